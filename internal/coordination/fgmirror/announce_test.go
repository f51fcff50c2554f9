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

func (s *busyStore) PutLeased(_ context.Context, key string, _ []byte, _ fgstore.Lease) error {
	if err := s.write(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered[key] = time.Now()
	return nil
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
