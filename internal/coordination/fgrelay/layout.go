// Package fgrelay decides which gateways exchange their states directly, and which pass
// on those of others. In a large fleet, a gateway sends its state to all gateways of its
// availability zone, and to one gateway of each other zone. That one is the root of a
// tree: it collects states for a short time and passes them on down the tree to the
// gateways of its own zone. A zone has a few trees, and each origin belongs to one of
// them by its hash, so that the work is divided evenly. States are passed on unchanged,
// with their origin and sequence, so that the use in a state counts once if it arrives
// twice, late or in several ways.
//
// Where the death of a gateway cuts a tree, states arrive in a second way: gateways tell
// each other which states they hold, and ask for those that they lack (Relay).
//
// No root is elected: each gateway computes the trees from the registered gateways and
// from those that it has heard lately. If two gateways see different trees, some states
// arrive twice or in the second way, and both are harmless.
package fgrelay

import (
	"cmp"
	"slices"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// maxDirectMembers is the number of gateways up to which each sends its state to all
// others.
const maxDirectMembers = 20

// Layout holds the receivers of one gateway's own state and of the states that it
// passes on.
type Layout struct {
	self fgsteer.MemberSpec
	// zoneOf names the zone of each member. It is empty if all states are sent directly.
	zoneOf map[string]*zone
	// zones are ordered by region and name. own is the zone of this gateway.
	zones []*zone
	own   *zone
	// peers get the own state directly.
	peers []fgsteer.MemberSpec
	trees []tree
	// places are those of this gateway in the trees.
	places []int
}

// Status tells what a gateway knows about others.
type Status interface {
	// IsAvailable reports whether a gateway has been heard lately and is not leaving.
	IsAvailable(vm string) bool
	// PassesOn reports whether a gateway's version passes states on in trees.
	PassesOn(vm string) bool
}

// NewLayout returns the layout of one of the members.
func NewLayout(self fgsteer.MemberSpec, members []fgsteer.MemberSpec, status Status) Layout {
	l := Layout{self: self}
	byName := map[string]*zone{}
	for _, m := range members {
		z := byName[m.AvailabilityZone]
		if z == nil {
			z = &zone{name: m.AvailabilityZone, region: m.Region}
			byName[m.AvailabilityZone] = z
			l.zones = append(l.zones, z)
		}
		z.members = append(z.members, m)
	}
	l.own = byName[self.AvailabilityZone]
	if len(members) <= maxDirectMembers || len(l.zones) < 2 || l.own == nil {
		l.peers = withoutSelf(members, self.VM)
		return l
	}
	l.peers = withoutSelf(l.own.members, self.VM)
	l.zoneOf = make(map[string]*zone, len(members))
	slices.SortFunc(l.zones, func(a, b *zone) int { return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.name, b.name)) })
	for _, z := range l.zones {
		z.chooseRoots(status)
		for _, m := range z.members {
			l.zoneOf[m.VM] = z
		}
	}
	if l.own.passesOn {
		for i := range l.own.roots {
			t := l.own.newTree(i)
			l.trees, l.places = append(l.trees, t), append(l.places, t.index(self.VM))
		}
	}
	return l
}

func withoutSelf(members []fgsteer.MemberSpec, vm string) []fgsteer.MemberSpec {
	return slices.DeleteFunc(slices.Clone(members), func(m fgsteer.MemberSpec) bool { return m.VM == vm })
}

// Peers returns the gateways that get this gateway's own state directly: those of its
// zone, or in a small fleet all.
func (l Layout) Peers() []fgsteer.MemberSpec { return l.peers }

// Len returns the number of members that take part in trees, or 0 if all states are sent
// directly.
func (l Layout) Len() int { return len(l.zoneOf) }

// isDirect reports whether all gateways send their states to all others.
func (l Layout) isDirect() bool { return len(l.zoneOf) == 0 }

// rootOf returns the tree of which this gateway is the root.
func (l Layout) rootOf() (int, bool) {
	if l.isDirect() || !l.own.passesOn {
		return 0, false
	}
	i := slices.IndexFunc(l.own.roots, func(m fgsteer.MemberSpec) bool { return m.VM == l.self.VM })
	return i, i >= 0
}

// IsRoot reports whether this gateway is the root of a tree of its zone.
func (l Layout) IsRoot() bool {
	_, ok := l.rootOf()
	return ok
}

// isRootFor reports whether this gateway is the root for an origin's states.
func (l Layout) isRootFor(origin string) bool {
	return l.own.passesOn && l.own.root(origin).VM == l.self.VM
}

// Children returns the gateways to which this one passes on the states of a tree.
func (l Layout) Children(tree int) []fgsteer.MemberSpec {
	if tree < 0 || tree >= len(l.trees) {
		return nil
	}
	return l.trees[tree].children(l.places[tree])
}

// entries returns the roots of all other zones for an origin's states. accept limits
// the zones.
func (l Layout) entries(origin string, accept func(*zone) bool) (passOn, old []fgsteer.MemberSpec) {
	if l.isDirect() {
		return nil, nil
	}
	for _, z := range l.zones {
		switch {
		case z == l.own || accept != nil && !accept(z):
		case z.passesOn:
			passOn = append(passOn, z.root(origin))
		default:
			old = append(old, z.root(origin))
		}
	}
	return passOn, old
}

// sibling returns the zone whose gateways this zone's roots tell which states they hold:
// the next one of the region, or else of all regions.
func (l Layout) sibling() *zone {
	own := slices.Index(l.zones, l.own)
	for i := 1; i < len(l.zones); i++ {
		if z := l.zones[(own+i)%len(l.zones)]; z.region == l.own.region {
			return z
		}
	}
	return l.zones[(own+1)%len(l.zones)]
}

// sponsors reports whether this gateway passes on the states of an origin of its region
// to other regions, because the origin's version does not send them there.
func (l Layout) sponsors(origin string) bool {
	z := l.zoneOf[origin]
	if z == nil || z.region != l.own.region {
		return false
	}
	if !z.passesOn {
		i := slices.IndexFunc(l.zones, func(o *zone) bool { return o.region == z.region && o.passesOn })
		if i < 0 {
			return false
		}
		z = l.zones[i]
	}
	return z == l.own && l.isRootFor(origin)
}

// mate returns the gateway of the zone that is told in a round which states of an origin
// this one holds.
func (l Layout) mate(origin string, round int) (fgsteer.MemberSpec, bool) {
	if len(l.trees) == 0 {
		return fgsteer.MemberSpec{}, false
	}
	t := l.own.treeOf(origin)
	return l.trees[t].mate(l.places[t], round)
}

// find returns a member.
func (l Layout) find(vm string) (fgsteer.MemberSpec, bool) {
	z := l.zoneOf[vm]
	if z == nil {
		return fgsteer.MemberSpec{}, false
	}
	i := slices.IndexFunc(z.members, func(m fgsteer.MemberSpec) bool { return m.VM == vm })
	return z.members[i], true
}
