package fgentry

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
)

// withdrawalGrace is how long a request in flight may continue after its key
// was withdrawn or has expired.
const withdrawalGrace = 2 * time.Second

// errKeyWithdrawn is the cancellation cause of a request whose key was
// withdrawn or has expired.
var errKeyWithdrawn = merry.Sentinel("the request's key was withdrawn or has expired")

// trackedRequest is a request in flight that was sent with a key.
type trackedRequest struct {
	key    *fgconfig.Key
	cancel context.CancelCauseFunc
	// timer cancels the request. It is nil while the key does not expire.
	timer *time.Timer
	// ending means that the key was withdrawn and that the timer is final.
	ending bool
}

// keyTracker holds the requests in flight that were sent with a key. The zero
// value is empty.
type keyTracker struct {
	mu       sync.Mutex
	requests map[*trackedRequest]struct{}
}

// trackKey returns a context that is cancelled 2 s after the key of a call is
// withdrawn or expires; context.Cause then matches errKeyWithdrawn. The
// returned function ends the tracking.
func (e *Entry) trackKey(ctx context.Context, c *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &trackedRequest{key: c.key, cancel: cancel}
	k := &e.keyedRequests
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.requests == nil {
		k.requests = map[*trackedRequest]struct{}{}
	}
	k.requests[t] = struct{}{}
	t.scheduleExpiry(c.key)
	// The configuration may have changed since the call loaded its snapshot.
	t.recheck(e.config.State())
	return ctx, func() { k.remove(t) }
}

func (k *keyTracker) remove(t *trackedRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.requests, t)
	t.stopTimer()
	t.cancel(nil)
}

// recheck checks the keys of all requests in flight against a configuration.
func (k *keyTracker) recheck(s *fgconfig.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for t := range k.requests {
		t.recheck(s)
	}
}

func (t *trackedRequest) recheck(s *fgconfig.Snapshot) {
	now, ok := s.Key(t.key.ID())
	switch {
	case t.ending || now == t.key:
	case !ok || now.Spec().Digest != t.key.Spec().Digest || now.Spec().Workspace != t.key.Spec().Workspace:
		t.ending = true
		t.cancelAfter(withdrawalGrace)
	default:
		t.key = now
		t.scheduleExpiry(now)
	}
}

func (t *trackedRequest) scheduleExpiry(k *fgconfig.Key) {
	t.stopTimer()
	if at := k.Spec().ExpiresAt; at != nil {
		t.cancelAfter(time.Until(*at) + withdrawalGrace)
	}
}

func (t *trackedRequest) cancelAfter(d time.Duration) {
	t.stopTimer()
	t.timer = time.AfterFunc(d, func() { t.cancel(errKeyWithdrawn) })
}

func (t *trackedRequest) stopTimer() {
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}

// runKeyTracker rechecks the requests in flight after each change of the
// configuration.
func (e *Entry) runKeyTracker(ctx context.Context) {
	for {
		changed := e.config.Changed()
		e.keyedRequests.recheck(e.config.State())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
