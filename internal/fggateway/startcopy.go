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
	// store at its start.
	maxReaders = 20
	// copyWaitPerMember times the number of gateways is the time within which a gateway
	// that gets no copy reads the store itself, at random, and at most maxCopyWait.
	copyWaitPerMember = 10 * time.Millisecond
	maxCopyWait       = 2 * time.Second
	// copyRetryInterval is the time between two rounds of calls for a copy.
	copyRetryInterval = 100 * time.Millisecond
	// copyTimeout bounds a call for a copy at a start. The next gateway is asked after
	// it; most of those that do not respond at once have been killed.
	copyTimeout = 500 * time.Millisecond
	// copyBytesPerCapacity times its capacity are the bytes of copies that a gateway
	// sends per second: half of what its link carries, which its requests need too.
	copyBytesPerCapacity = 12_500
)

// startCopy returns the copy of the store that another gateway holds. It reports false
// if this one should read the store itself: in a small fleet, as a contact of its zone, or
// if no gateway has had a copy for a while.
func (g *Gateway) startCopy(ctx context.Context) (fgmirror.Copy, bool) {
	key, _, err := g.options.EncodeMember(g.settings.Self)
	if err != nil {
		return fgmirror.Copy{}, false
	}
	members := g.readMembers(ctx, strings.TrimSuffix(key, g.settings.Self.VM))
	if len(members) <= maxReaders {
		return fgmirror.Copy{}, false
	}
	self := g.settings.Self
	contacts := fgmirror.Contacts(members, self.AvailabilityZone, func(string) bool { return true })
	if isIn(contacts, self.VM) {
		return fgmirror.Copy{}, false
	}
	var zone, region []fgsteer.MemberSpec
	for _, m := range members {
		switch {
		case m.VM == self.VM:
		case m.AvailabilityZone == self.AvailabilityZone:
			zone = append(zone, m)
		case m.Region == self.Region:
			region = append(region, m)
		}
	}
	end := time.Now().Add(rand.N(min(copyWaitPerMember*time.Duration(len(members)), maxCopyWait)))
	for ctx.Err() == nil {
		// A contact has a copy first. Later any gateway may have one, and is less busy. If
		// the zone has just lost all of its gateways, other zones have copies.
		for _, all := range [][]fgsteer.MemberSpec{contacts, zone, region} {
			if len(all) == 0 {
				continue
			}
			if c, ok := g.copyFrom(ctx, all[rand.N(len(all))]); ok {
				return c, true
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

func valuesOf(response *fgwire.StoreAnswer) []fgstore.Value {
	values := make([]fgstore.Value, len(response.GetEntries()))
	for i, e := range response.GetEntries() {
		values[i] = fgstore.Value{Key: e.GetKey(), Data: e.GetValue(), Revision: e.GetRevision()}
	}
	return values
}
