package fggateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmirror"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// testLink is a link that its transfers share evenly.
type testLink struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time
	sent int
}

// transfer waits until a number of bytes has passed.
func (l *testLink) transfer(ctx context.Context, size int) error {
	const part = 16 << 10
	for ; size > 0; size -= part {
		l.mu.Lock()
		if now := time.Now(); l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(float64(min(size, part)) / l.bytesPerSecond * float64(time.Second)))
		l.sent += min(size, part)
		wait := time.Until(l.free)
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
	return nil
}

// linkedFeed is a store behind links: its own and that of a gateway.
type linkedFeed struct {
	*fgstandin.Feed

	store, gateway *testLink
	// size is the size of all entries as the store sends them.
	size int
	slow time.Duration
}

func (f linkedFeed) RangeValues(ctx context.Context, prefix string) ([]fgstore.Value, fgstore.Position, error) {
	time.Sleep(f.slow)
	if err := f.store.transfer(ctx, f.size); err != nil {
		return nil, fgstore.Position{}, err
	}
	if err := f.gateway.transfer(ctx, f.size); err != nil {
		return nil, fgstore.Position{}, err
	}
	return f.Feed.RangeValues(ctx, prefix)
}

func (f linkedFeed) WatchEvents(ctx context.Context, prefix string, after fgstore.Position, wait time.Duration) ([]fgstore.Event, fgstore.Position, error) {
	time.Sleep(f.slow)
	return f.Feed.WatchEvents(ctx, prefix, after, wait)
}

// Guards against a fleet, or a zone, whose gateways read the whole store at once when they
// start, and do not serve for many seconds.
func TestFleetStarts(t *testing.T) {
	const (
		vms = 300
		// copyBytes is the size of a compressed copy between gateways, storeBytes that of
		// the entries as JSON with values in base64. memberBytes are the entries of gateways.
		copyBytes   = 100_000
		storeBytes  = 900_000
		memberBytes = 100_000
		storeLink   = 25e6
		fastLink    = 25e6
		slowLink    = 1.25e6
	)
	isKilled := func(int, fgsteer.MemberSpec) bool { return true }
	tests := []struct {
		name   string
		killed func(i int, m fgsteer.MemberSpec) bool
		// dead gateways do not start again.
		dead   func(i int, m fgsteer.MemberSpec) bool
		slow   time.Duration
		within time.Duration
	}{
		{name: "all were killed", killed: isKilled, within: 3 * time.Second},
		{
			name: "a zone was killed", within: 3 * time.Second,
			killed: func(_ int, m fgsteer.MemberSpec) bool { return m.AvailabilityZone == "r1-0" },
		},
		{
			name: "a region was killed, and one of its zones does not start again", within: 4 * time.Second,
			killed: func(_ int, m fgsteer.MemberSpec) bool { return m.Region == "r1" },
			dead:   func(_ int, m fgsteer.MemberSpec) bool { return m.AvailabilityZone == "r1-1" },
		},
		{
			name: "all were killed, and the contacts do not start again", killed: isKilled, within: 8 * time.Second,
			dead: func(_ int, m fgsteer.MemberSpec) bool { return m.Capacity == 533 },
		},
		{name: "all were killed, and the store responds slowly", killed: isKilled, slow: 240 * time.Millisecond, within: 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feed := fgstandin.NewFeed()
				feed.Put("policy", "1")
				members := trafficMembers(vms, 3)
				mirrors := make([]*fgmirror.Mirror, vms)
				links := make([]*testLink, vms)
				limits := make([]copyLimit, vms)
				index := map[string]int{}
				for i := range members {
					members[i].Capacity = 50
					links[i] = &testLink{bytesPerSecond: slowLink}
					if i/6%10 == 0 {
						members[i].Capacity = 533
						links[i].bytesPerSecond = fastLink
					}
					index[members[i].VM] = i
				}
				ctx, cancel := context.WithCancel(t.Context())
				store := &testLink{bytesPerSecond: storeLink}
				ready := make(chan time.Duration, vms)
				done := make(chan error, vms)
				start := time.Now()
				starting, running := 0, 0
				for i, m := range members {
					killed := tt.killed(i, m)
					f := linkedFeed{Feed: feed, store: store, gateway: links[i], size: storeBytes, slow: tt.slow}
					if !killed {
						f.store, f.gateway, f.slow = &testLink{bytesPerSecond: 1e12}, &testLink{bytesPerSecond: 1e12}, 0
					}
					fetch := func(ctx context.Context, from fgsteer.MemberSpec) (fgmirror.Copy, bool) {
						ctx, cancel := context.WithTimeout(ctx, copyTimeout)
						defer cancel()
						j := index[from.VM]
						if tt.dead != nil && tt.dead(j, from) {
							<-ctx.Done()
							return fgmirror.Copy{}, false
						}
						time.Sleep(2 * time.Millisecond)
						if mirrors[j] == nil || mirrors[j].View() == nil || !limits[j].take(copyBytes, members[j].Capacity) {
							return fgmirror.Copy{}, false
						}
						if links[j].transfer(ctx, copyBytes) != nil || links[i].transfer(ctx, copyBytes) != nil {
							return fgmirror.Copy{}, false
						}
						values, position := mirrors[j].Values()
						return fgmirror.Copy{Values: values, Position: position}, true
					}
					options := fgmirror.Options{Feed: f, Codec: testCodec{}, Logger: logr.Discard()}
					if killed {
						options.Copy = func(ctx context.Context) (fgmirror.Copy, bool) {
							time.Sleep(tt.slow)
							if store.transfer(ctx, memberBytes) != nil || links[i].transfer(ctx, memberBytes) != nil {
								return fgmirror.Copy{}, false
							}
							return copySearch{self: m, members: members, fetch: fetch}.run(ctx)
						}
					}
					if killed && tt.dead != nil && tt.dead(i, m) {
						continue
					}
					mirrors[i] = fgmirror.New(options)
					running++
					go func() { done <- mirrors[i].Run(ctx) }()
					if killed {
						starting++
						go func() {
							for mirrors[i].View() == nil {
								time.Sleep(5 * time.Millisecond)
							}
							ready <- time.Since(start)
						}()
					}
				}
				var times []time.Duration
				for range starting {
					times = append(times, <-ready)
				}
				cancel()
				for range running {
					<-done
				}
				slices.Sort(times)
				t.Logf("%d gateways had a copy: first after %s, half after %s, last after %s; the store sent %.0f MB", starting, times[0], times[len(times)/2], times[len(times)-1], float64(store.sent)/1e6)
				if last := times[len(times)-1]; last > tt.within {
					t.Errorf("the last gateway had a copy after %s, want %s", last, tt.within)
				}
			})
		})
	}
}
