// Package fgrelay decides which gateways exchange their states directly, and which pass
// on those of others. In a large fleet, gateways exchange states directly within
// their region only. A few relays of each region send the states of their region to
// relays of the other regions. These pass them on to the gateways of their own
// availability zone, and to two gateways of each other zone of the region, which do
// the same there. States are passed on unchanged, with their origin and sequence, so
// that the use in a state counts once if it arrives twice, late or through several
// relays.
//
// No relay is elected: each gateway computes them from the registered gateways and
// from those that it has heard lately. If two gateways see different relays, states
// are sent twice or reach a region through another gateway, and both are harmless.
package fgrelay

import (
	"slices"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// maxDirectMembers is the number of gateways up to which each sends its state to
	// all others.
	maxDirectMembers = 20
	// relaysPerRegion is the number of relays of a region. They are in different
	// availability zones if possible.
	relaysPerRegion = 2
	// distributorsPerZone is the number of gateways of another zone to which a relay
	// passes on what came from other regions.
	distributorsPerZone = 2
)

// Layout holds the receivers of one gateway's own state and of the states that it
// passes on.
type Layout struct {
	self    fgsteer.MemberSpec
	members map[string]fgsteer.MemberSpec
	// peers get the own state.
	peers              []fgsteer.MemberSpec
	zone, distributors []fgsteer.MemberSpec
	// relays are those of each other region. index is this gateway's place among the
	// relays of its own, if isRelay is set.
	relays  [][]fgsteer.MemberSpec
	index   int
	isRelay bool
}

// NewLayout returns the layout of one of the members. isAvailable reports whether a
// gateway has been heard lately and is not leaving.
func NewLayout(self fgsteer.MemberSpec, members []fgsteer.MemberSpec, isAvailable func(vm string) bool) Layout {
	l := Layout{self: self, members: make(map[string]fgsteer.MemberSpec, len(members))}
	byRegion := map[string][]fgsteer.MemberSpec{}
	var others, region []fgsteer.MemberSpec
	for _, m := range members {
		l.members[m.VM] = m
		byRegion[m.Region] = append(byRegion[m.Region], m)
		if m.VM != self.VM {
			others = append(others, m)
			if m.Region == self.Region {
				region = append(region, m)
			}
		}
	}
	if len(members) <= maxDirectMembers || len(byRegion) < 2 {
		l.peers = others
		return l
	}
	l.peers = region
	l.zone, l.distributors = distribution(self, region, isAvailable)
	for name, candidates := range byRegion {
		relays := chooseRelays(candidates, isAvailable)
		if name != self.Region {
			l.relays = append(l.relays, relays)
			continue
		}
		if l.index = slices.IndexFunc(relays, func(m fgsteer.MemberSpec) bool { return m.VM == self.VM }); l.index >= 0 {
			l.isRelay = true
		}
	}
	return l
}

// distribution returns the other gateways of the own zone, and the distributors of the
// other zones of the region.
func distribution(self fgsteer.MemberSpec, region []fgsteer.MemberSpec, isAvailable func(vm string) bool) (zone, distributors []fgsteer.MemberSpec) {
	byZone := map[string][]fgsteer.MemberSpec{}
	for _, m := range region {
		if m.AvailabilityZone == self.AvailabilityZone {
			zone = append(zone, m)
		} else if isAvailable(m.VM) {
			byZone[m.AvailabilityZone] = append(byZone[m.AvailabilityZone], m)
		}
	}
	for _, candidates := range byZone {
		slices.SortFunc(candidates, fgsteer.CompareCapacity)
		distributors = append(distributors, candidates[:min(len(candidates), distributorsPerZone)]...)
	}
	return zone, distributors
}

// chooseRelays returns the relays of a region: the available gateway with the highest
// capacity, and the next one in another availability zone, or else the next one.
func chooseRelays(candidates []fgsteer.MemberSpec, isAvailable func(vm string) bool) []fgsteer.MemberSpec {
	available := slices.DeleteFunc(slices.Clone(candidates), func(m fgsteer.MemberSpec) bool { return !isAvailable(m.VM) })
	if len(available) == 0 {
		available = slices.Clone(candidates)
	}
	slices.SortFunc(available, fgsteer.CompareCapacity)
	relays := available[:1]
	for len(relays) < min(relaysPerRegion, len(available)) {
		next := slices.IndexFunc(available, func(m fgsteer.MemberSpec) bool {
			return !slices.ContainsFunc(relays, func(r fgsteer.MemberSpec) bool { return r.AvailabilityZone == m.AvailabilityZone })
		})
		if next < 0 {
			next = len(relays)
		}
		relays = append(slices.Clone(relays), available[next])
	}
	return relays
}

// Peers returns the gateways that get this gateway's own state.
func (l Layout) Peers() []fgsteer.MemberSpec { return l.peers }

// IsRelay reports whether this gateway sends the states of its region to others.
func (l Layout) IsRelay() bool { return l.isRelay }

// Targets returns the gateways of other regions that get the states of this region in
// a round, one of each region. The relays of a region send to different ones and
// change places with each round, so that one dead relay on each side does not cut the
// regions off from each other.
func (l Layout) Targets(round int) []fgsteer.MemberSpec {
	if !l.isRelay {
		return nil
	}
	var targets []fgsteer.MemberSpec
	for _, relays := range l.relays {
		targets = append(targets, relays[(l.index+round)%len(relays)])
	}
	return targets
}

// Zone returns the other gateways of this availability zone, and Distributors those of
// the other zones of the region that pass on states to their zones.
func (l Layout) Zone() []fgsteer.MemberSpec         { return l.zone }
func (l Layout) Distributors() []fgsteer.MemberSpec { return l.distributors }

// Distribution is the set of gateways to which received states are passed on.
type Distribution int

// The distributions of states.
const (
	// NoDistribution passes on nothing. It applies to states from the own zone and from
	// unknown gateways.
	NoDistribution Distribution = iota
	// ToZone passes states from another zone of the region on to the own zone.
	ToZone
	// ToRegion passes states from another region on to the own zone and to the
	// distributors of the other ones.
	ToRegion
)

// DistributionFrom returns the distribution of states that a sender has passed on.
func (l Layout) DistributionFrom(sender string) Distribution {
	m, ok := l.members[sender]
	switch {
	case !ok, len(l.relays) == 0:
		return NoDistribution
	case m.Region != l.self.Region:
		return ToRegion
	case m.AvailabilityZone != l.self.AvailabilityZone:
		return ToZone
	default:
		return NoDistribution
	}
}

// InRegion reports whether a gateway is registered in this gateway's region.
func (l Layout) InRegion(vm string) bool {
	m, ok := l.members[vm]
	return ok && m.Region == l.self.Region
}
