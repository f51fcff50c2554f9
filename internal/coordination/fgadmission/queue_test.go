package fgadmission

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
)

// queueTest is a Controller whose waiting requests get the room that a test gives them.
type queueTest struct {
	Controller

	mu     sync.Mutex
	room   int
	placed []string
	ends   sync.WaitGroup
}

// newQueueTest returns a Controller that tries waiting requests until the test ends.
func newQueueTest(t *testing.T) *queueTest {
	q := &queueTest{}
	ctx, cancel := context.WithCancel(t.Context())
	q.RecordLoad("g", 1, 1)
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return q
}

// wait starts a request that waits, and returns the channel of its end.
func (q *queueTest) wait(ctx context.Context, name string, priority int, left time.Duration) <-chan error {
	now := time.Now()
	a := q.Begin(Request{Group: "g", Workspace: name, Priority: priority, Objective: left, Start: now, Deadline: now.Add(time.Minute)})
	end := make(chan error, 1)
	q.ends.Go(func() {
		end <- q.Wait(ctx, a, Wait{Longest: left}, 100, func() Outcome {
			q.mu.Lock()
			defer q.mu.Unlock()
			if q.room == 0 {
				return Waits
			}
			q.room--
			q.placed = append(q.placed, name)
			return Placed
		})
	})
	synctest.Wait()
	return end
}

// add gives room to n requests.
func (q *queueTest) add(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.room += n
}

// Guards against less urgent requests, or those with more time left, that are placed first,
// and against room that is noticed only after a delay.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueueTest(t)
		q.wait(t.Context(), "later", 1, 500*time.Millisecond)
		q.wait(t.Context(), "less urgent", 2, 400*time.Millisecond)
		q.wait(t.Context(), "urgent", 0, 600*time.Millisecond)
		q.wait(t.Context(), "sooner", 1, 300*time.Millisecond)
		time.Sleep(minWakeInterval)
		// A pass that finds no room may begin at this moment.
		synctest.Wait()
		start := time.Now()
		q.add(4)
		q.SendEnded("g")
		q.ends.Wait()
		if took := time.Since(start); took > 2*minWakeInterval {
			t.Errorf("the end of a send was noticed after %v", took)
		}
		if want := []string{"urgent", "sooner", "later", "less urgent"}; !slices.Equal(q.placed, want) {
			t.Errorf("got %v, want %v", q.placed, want)
		}
	})
}

// Guards against waiting requests that miss room because nothing wakes them.
func TestQueueWakes(t *testing.T) {
	tests := []struct {
		name   string
		wake   func(*queueTest)
		within time.Duration
	}{
		{"send ended", func(q *queueTest) { q.SendEnded("g") }, 2 * minWakeInterval},
		{"load report", func(q *queueTest) { q.RecordLoad("g", 0.5, 1) }, 2 * minWakeInterval},
		{"timer", func(*queueTest) {}, 2 * wakeInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQueueTest(t)
				end := q.wait(t.Context(), "a", 0, time.Second)
				start := time.Now()
				q.add(1)
				tt.wake(q)
				if err := <-end; err != nil || time.Since(start) > tt.within {
					t.Errorf("got %v after %v, want room within %v", err, time.Since(start), tt.within)
				}
			})
		})
	}
}

// Guards against requests that wait without bounds, and against ends of a wait that leave
// the request in the queue or misinform its caller.
func TestQueueEnds(t *testing.T) {
	cause := func(c Cause) func(error) bool {
		return func(err error) bool {
			var refused Refuse
			return errors.As(err, &refused) && refused.Cause == c && refused.RetryAfter >= minRetryAfter
		}
	}
	tests := []struct {
		name string
		end  func(*queueTest, context.CancelFunc)
		want func(error) bool
		// within bounds the wait.
		within time.Duration
	}{
		{"expired", func(*queueTest, context.CancelFunc) {}, cause(Expired), 200*time.Millisecond + expiryMargin},
		{"caller left", func(_ *queueTest, leave context.CancelFunc) { leave() }, func(err error) bool { return errors.Is(err, context.Canceled) }, 0},
		{"stopped", func(q *queueTest, _ context.CancelFunc) { q.Stop() }, cause(Stopped), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQueueTest(t)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				end := q.wait(ctx, "a", 0, 200*time.Millisecond)
				start := time.Now()
				tt.end(q, leave)
				if err := <-end; !tt.want(err) || time.Since(start) > tt.within {
					t.Errorf("got %v after %v, want the end within %v", err, time.Since(start), tt.within)
				}
				if n := q.waiting(); n != 0 {
					t.Errorf("got %d waiting requests after the end", n)
				}
				q.add(1)
				time.Sleep(2 * wakeInterval)
				if len(q.placed) > 0 {
					t.Error("a request was placed after the end of its wait")
				}
			})
		})
	}
}

// Guards against queues that are not bounded in number or bytes, and requests that are
// refused because the queue in which they wait is full.
func TestQueueBounds(t *testing.T) {
	tests := []struct {
		name     string
		maxBytes int64
		want     int
	}{{"number", 0, maxWaiting}, {"bytes", 1000, 10}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQueueTest(t)
				q.SetMaxBytes(tt.maxBytes)
				var last <-chan error
				for range tt.want + 1 {
					last = q.wait(t.Context(), "a", 0, time.Second)
				}
				var refused Refuse
				if err := <-last; !errors.As(err, &refused) || refused.Cause != QueueFull {
					t.Errorf("got %v, want a refusal because the queue is full", err)
				}
				if n := q.waiting(); n != tt.want {
					t.Errorf("got %d waiting requests, want %d", n, tt.want)
				}
				waiting, now := q.groups["g"].queue.waiters[0].attempt, time.Now()
				if waiting.competition(fgaffinity.Estimate{}, now).QueueFull || !q.Begin(waiting.request).competition(fgaffinity.Estimate{}, now).QueueFull {
					t.Error("got a full queue for a request that waits in it, or none for a new one")
				}
				q.add(tt.want)
				q.ends.Wait()
				if len(q.placed) != tt.want {
					t.Errorf("got %d requests placed, want %d", len(q.placed), tt.want)
				}
				// A retry of a request that has waited competes as a new request.
				q.Stop()
				if !waiting.competition(fgaffinity.Estimate{}, now).QueueFull {
					t.Error("a request whose wait has ended counts as one that waits")
				}
			})
		})
	}
}

// Guards against gateways of a zone that all take the same free slots of an upstream, and
// reports of gateways that are gone.
func TestRoomIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b Controller
		a.upstreams = map[string]int{"g": 4}
		b.RecordLoad("g", 1, 1)
		for range 6 {
			b.groups["g"].queue.add(&waiter{attempt: b.Begin(Request{Group: "g"})})
		}
		a.RecordPeer("vm-b", b.Waiting())
		if got := a.contenders("g", time.Now()); got != 4 {
			t.Errorf("got %.1f contenders, want this request and 6 with two candidates each, on 4 upstreams", got)
		}
		c := Competition{Contenders: 4, Slots: 4}
		for _, tt := range []struct {
			room, random float64
			want         bool
		}{{0.25, 0.2, true}, {0.25, 0.3, false}, {0.75, 0.7, true}, {1, 0.99, true}} {
			c.Random = tt.random
			if got := c.takesPart(tt.room); got != tt.want {
				t.Errorf("room %.2f, random %.2f: got %v, want %v", tt.room, tt.random, got, tt.want)
			}
		}
		time.Sleep(peerTimeout + time.Millisecond)
		if got := a.contenders("g", time.Now()); got != 1 {
			t.Errorf("got %.1f contenders after the report is old, want 1", got)
		}
	})
}
