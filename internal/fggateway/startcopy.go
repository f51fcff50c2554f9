package fggateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmirror"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
)

const (
	// maxReaders is the number of registered gateways up to which each reads the whole
	// store at its start: with few, that takes less time than a call for a copy.
	maxReaders = 50
	// The contacts of a zone read the store at once. Of the others, the two with the next
	// higher capacities read it if they have got no copy for takeOverTime, and so on, until
	// after maxCopyWait all do.
	takeOverTime = 500 * time.Millisecond
	maxCopyWait  = 4 * time.Second
	// copyRetryInterval is the time between two rounds of calls for a copy.
	copyRetryInterval = 100 * time.Millisecond
	// copyTimeout bounds a call for a copy at a start. A gateway that has not responded
	// within slowCopy has probably been killed with its VM, and is not asked again.
	copyTimeout = 500 * time.Millisecond
	slowCopy    = 250 * time.Millisecond
	// maxSilentOfZone is the number of gateways of another zone that have not responded
	// after which none of the zone is asked again: it may have lost its power.
	maxSilentOfZone = 2
	// copyBytesPerCapacity times its capacity are the bytes of copies that a gateway
	// sends per second: half of what its link carries, which its requests need too.
	copyBytesPerCapacity = 12_500
)

// startCopy returns the copy of the store that another gateway holds. It reports false
// if this one should read the store itself.
func (g *Gateway) startCopy(ctx context.Context) (fgmirror.Copy, bool) {
	key, _, err := g.options.EncodeMember(g.settings.Self)
	if err != nil {
		return fgmirror.Copy{}, false
	}
	members := g.readMembers(ctx, strings.TrimSuffix(key, g.settings.Self.VM))
	return copySearch{self: g.settings.Self, members: members, fetch: g.copyFrom}.run(ctx)
}

// copySearch is the search of a starting gateway for a copy of the store.
type copySearch struct {
	self    fgsteer.MemberSpec
	members []fgsteer.MemberSpec
	fetch   func(ctx context.Context, m fgsteer.MemberSpec) (fgmirror.Copy, bool)
}

// run returns a copy. It reports false if the gateway should read the store itself: in a
// small fleet, as a contact of its zone, or if no gateway has had a copy for a while.
func (s copySearch) run(ctx context.Context) (fgmirror.Copy, bool) {
	if len(s.members) <= maxReaders {
		return fgmirror.Copy{}, false
	}
	contacts := fgmirror.Contacts(s.members, s.self.AvailabilityZone, func(string) bool { return true })
	if isIn(contacts, s.self.VM) {
		return fgmirror.Copy{}, false
	}
	var zone, region []fgsteer.MemberSpec
	for _, m := range s.members {
		switch {
		case m.VM == s.self.VM:
		case m.AvailabilityZone == s.self.AvailabilityZone:
			zone = append(zone, m)
		case m.Region == s.self.Region:
			region = append(region, m)
		}
	}
	slices.SortFunc(zone, fgsteer.CompareCapacity)
	rank := len(zone)
	if i := slices.IndexFunc(zone, func(m fgsteer.MemberSpec) bool { return fgsteer.CompareCapacity(s.self, m) < 0 }); i >= 0 {
		rank = i
	}
	end := time.Now().Add(min(takeOverTime*time.Duration(rank/max(1, len(contacts))), maxCopyWait+rand.N(takeOverTime)))
	// silent holds the VMs that have not responded, and silentOfZone counts those of other
	// zones.
	silent, silentOfZone := map[string]bool{}, map[string]int{}
	for ctx.Err() == nil {
		// A contact has a copy first. Later any gateway may have one, and is less busy. If
		// the zone has just lost all of its gateways, other zones have copies.
		for _, all := range [][]fgsteer.MemberSpec{contacts, zone, region} {
			if len(all) == 0 {
				continue
			}
			m := all[rand.N(len(all))]
			if silent[m.VM] || silentOfZone[m.AvailabilityZone] >= maxSilentOfZone {
				continue
			}
			start := time.Now()
			if c, ok := s.fetch(ctx, m); ok {
				return c, true
			}
			if time.Since(start) > slowCopy {
				silent[m.VM] = true
				if m.AvailabilityZone != s.self.AvailabilityZone {
					silentOfZone[m.AvailabilityZone]++
				}
			}
		}
		if !time.Now().Before(end) {
			break
		}
		_ = fgtimer.Wait(ctx, copyRetryInterval/2+rand.N(copyRetryInterval))
	}
	return fgmirror.Copy{}, false
}

func isIn(members []fgsteer.MemberSpec, vm string) bool {
	return slices.ContainsFunc(members, func(m fgsteer.MemberSpec) bool { return m.VM == vm })
}

// readMembers reads the registered gateways from the store.
func (g *Gateway) readMembers(ctx context.Context, prefix string) []fgsteer.MemberSpec {
	values, _, err := g.options.Feed.RangeValues(ctx, prefix)
	if err != nil {
		return nil
	}
	var members []fgsteer.MemberSpec
	for _, v := range values {
		if m, ok, err := g.options.Codec.Member(v.Key, v.Data); ok && err == nil && strings.HasPrefix(v.Key, prefix) {
			members = append(members, m)
		}
	}
	return members
}

// copyFrom asks a gateway for its copy of the store.
func (g *Gateway) copyFrom(ctx context.Context, m fgsteer.MemberSpec) (fgmirror.Copy, bool) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	response, err := fggossip.FetchStore(ctx, m.PeerAddress, fgstore.Position{})
	if err != nil || len(response.GetEntries()) == 0 {
		return fgmirror.Copy{}, false
	}
	g.steps.copied.Store(m.VM, true)
	return fgmirror.Copy{Values: valuesOf(response), Position: positionOf(response)}, true
}

// copyLimit limits the copies of the store that a gateway sends. The zero value is ready to
// use.
type copyLimit struct {
	mu   sync.Mutex
	next time.Time
}

// take reports whether a copy may be sent now.
func (l *copyLimit) take(size int, capacity float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.next) {
		return false
	}
	if capacity > 0 {
		l.next = now.Add(time.Duration(float64(size) / (copyBytesPerCapacity * capacity) * float64(time.Second)))
	}
	return true
}

// compressedCopy holds a compressed copy of the store, which many gateways that start may
// ask for. The zero value is ready to use.
type compressedCopy struct {
	mu       sync.Mutex
	position fgstore.Position
	data     []byte
}

// of returns the compressed entries of a position.
func (c *compressedCopy) of(position fgstore.Position, entries []*fgwire.StoreEntry) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.data) > 0 && c.position == position {
		return c.data, nil
	}
	data, err := fggossip.CompressEntries(entries)
	if err == nil {
		c.position, c.data = position, data
	}
	return data, err
}

func valuesOf(response *fgwire.StoreAnswer) []fgstore.Value {
	values := make([]fgstore.Value, len(response.GetEntries()))
	for i, e := range response.GetEntries() {
		values[i] = fgstore.Value{Key: e.GetKey(), Data: e.GetValue(), Revision: e.GetRevision()}
	}
	return values
}
