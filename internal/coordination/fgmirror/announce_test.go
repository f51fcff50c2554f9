package fgmirror

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// announce announces "member/vm-1" until the test ends.
func announce(t *testing.T, m *Mirror, data string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Announce(ctx, "member/vm-1", []byte(data)) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
}

// announced returns the data of "member/vm-1" in a store, or "none".
func announced(f *fgstandin.Feed) string {
	values, _ := f.Values()
	for _, v := range values {
		if v.Key == "member/vm-1" {
			return string(v.Data)
		}
	}
	return "none"
}

// Guards against a write that the store executes seconds after its call failed: it
// replaced the entry of a later call and ended with its own lease.
func TestLateWriteDoesNotReplaceEntry(t *testing.T) {
	tests := []struct {
		name      string
		lateFirst bool
	}{{"before the next attempt", true}, {"after the next attempt", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				m := start(t, f)
				f.HoldWrites(true)
				announce(t, m, "x")
				f.HoldWrites(false)
				if tt.lateFirst {
					f.ReleaseWrites()
				}
				time.Sleep(2 * retryDelay)
				f.ReleaseWrites()
				f.EndOldLeases()
				for range 20 {
					if got := announced(f); got != "x" {
						t.Fatalf("the entry is %q", got)
					}
					time.Sleep(renewInterval / 2)
				}
			})
		})
	}
}

// Guards against a gateway that renews its lease while its entry is gone, or is that of
// another lease.
func TestLostEntryIsRegisteredAgain(t *testing.T) {
	tests := []struct {
		name string
		lose func(f *fgstandin.Feed)
	}{
		{"deleted", func(f *fgstandin.Feed) { f.Remove("member/vm-1") }},
		{"replaced", func(f *fgstandin.Feed) { f.Put("member/vm-1", "old#1") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				m := start(t, f)
				announce(t, m, "x#2")
				time.Sleep(renewInterval)
				tt.lose(f)
				time.Sleep(renewInterval + maxBatchWait)
				if got := announced(f); got != "x#2" {
					t.Errorf("the entry is %q", got)
				}
			})
		})
	}
}

// Guards against a process that ends late and replaces the entry of the next one on its
// VM, and against one whose clock is behind and that never registers.
func TestEntryOfLaterProcessIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("member/vm-1", "first#1")
		m := start(t, f)
		announce(t, m, "second#2")
		if got := announced(f); got != "second#2" {
			t.Errorf("the entry is %q, not that of the second process", got)
		}
		f.Put("member/vm-1", "third#3")
		time.Sleep(4 * renewInterval)
		if got := announced(f); got != "third#3" {
			t.Errorf("the entry is %q, not that of the third process", got)
		}
		f.Remove("member/vm-1")
		time.Sleep(renewInterval)
		if got := announced(f); got != "second#2" {
			t.Errorf("the entry is %q after that of the third process expired", got)
		}
	})
}

// Guards against a gateway that never registers because its copy of the store is too old to
// tell which revision it replaces.
func TestAnnounceWithOldCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("member/vm-1", "first#1")
		m := New(Options{Feed: f, Codec: fakeCodec{}, Logger: logr.Discard()})
		announce(t, m, "second#2")
		if got := announced(f); got != "second#2" {
			t.Errorf("the entry is %q", got)
		}
	})
}

// busyStore carries out writes one after the other. A call is given up after callTimeout,
// and is carried out all the same.
type busyStore struct {
	*fgstandin.Feed

	mu         sync.Mutex
	writeTime  time.Duration
	free       time.Time
	registered map[string]time.Time
	// ended holds when each gateway's lease ended.
	ended map[int64]bool
	last  int64
}

const busyCallTimeout = 1500 * time.Millisecond

// write waits for the store's turn.
func (s *busyStore) write() error {
	s.mu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(s.writeTime)
	wait := s.free.Sub(now)
	s.mu.Unlock()
	if wait > busyCallTimeout {
		time.Sleep(busyCallTimeout)
		return fgstore.ErrUnknown
	}
	time.Sleep(wait)
	return nil
}

func (s *busyStore) Grant(_ context.Context, ttl time.Duration) (fgstore.Lease, error) {
	if err := s.write(); err != nil {
		return fgstore.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	return fgstore.Lease{ID: s.last, TTL: ttl}, nil
}

func (s *busyStore) PutLeased(_ context.Context, key string, _ uint64, _ []byte, _ fgstore.Lease) (fgstore.Value, error) {
	if err := s.write(); err != nil {
		return fgstore.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered[key] = time.Now()
	return fgstore.Value{}, nil
}

func (s *busyStore) Renew(_ context.Context, l fgstore.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended[l.ID] {
		return fgstore.ErrLeaseEnded
	}
	return nil
}

func (s *busyStore) Revoke(context.Context, fgstore.Lease) error { return nil }

// Guards against gateways that all register at once when the store has been restored, so
// that the store is busy with calls that were given up.
func TestFleetRegistersAgain(t *testing.T) {
	for _, tt := range []struct {
		vms       int
		writeTime time.Duration
		within    time.Duration
	}{
		{300, 2 * time.Millisecond, 4 * time.Second},
		{4100, 2 * time.Millisecond, 20 * time.Second},
		// A store that is slower than registrationTime assumes.
		{4100, 2500 * time.Microsecond, 45 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d gateways, %s a write", tt.vms, tt.writeTime), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &busyStore{writeTime: tt.writeTime, Feed: fgstandin.NewFeed(), registered: map[string]time.Time{}, ended: map[int64]bool{}}
				members := make([]fgsteer.MemberSpec, tt.vms)
				for i := range members {
					members[i].VM = fmt.Sprint(i)
				}
				view := fgsteer.NewView(fgsteer.ViewSpec{Members: members})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, tt.vms)
				for i := range tt.vms {
					m := New(Options{Feed: s, Codec: fakeCodec{}, Logger: logr.Discard()})
					m.view.Store(view)
					go func() {
						// Gateways have not all started at the same moment.
						time.Sleep(time.Duration(i) * 2 * tt.writeTime)
						done <- m.Announce(ctx, fmt.Sprint(i), nil)
					}()
				}
				time.Sleep(time.Duration(tt.vms)*2*tt.writeTime + 3*time.Second)
				restored := time.Now()
				s.mu.Lock()
				if len(s.registered) != tt.vms {
					t.Errorf("%d of %d gateways registered at first", len(s.registered), tt.vms)
				}
				clear(s.registered)
				for id := range s.last {
					s.ended[id+1] = true
				}
				s.mu.Unlock()
				time.Sleep(tt.within)
				s.mu.Lock()
				t.Logf("%d of %d gateways registered again, the store is busy for %s more", len(s.registered), tt.vms, max(0, time.Until(s.free)))
				if len(s.registered) != tt.vms {
					t.Errorf("%d of %d gateways registered again after %s", len(s.registered), tt.vms, time.Since(restored))
				}
				s.mu.Unlock()
				cancel()
				for range tt.vms {
					<-done
				}
			})
		})
	}
}
