package fggateway

import (
	"context"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
)

const (
	// An answer is overdue after this many objectives of its route, this many times
	// the group's usual time, and this time at least. Under load the usual time
	// grows, so that a full upstream does not count as a slow one.
	overdueObjective = 1.5
	overdueUsual     = 3
	overdueLeast     = 100 * time.Millisecond
)

// overdueWatch looks after one try until its answer has come.
type overdueWatch struct {
	gateway *Gateway
	after   time.Duration
	timer   *time.Timer
	// choice finds another upstream; again tells that the request may go there.
	choice fgaffinity.Choice
	again  bool

	mu    sync.Mutex
	ended bool
	next  *fgaffinity.Upstream
}

// watch notes when an upstream's answer is overdue. An idempotent request at an
// upstream that is slow is then given up there, by cancel, and goes to another
// one, if there is one and that may still help its caller.
func (g *Gateway) watch(q *request, u *fgaffinity.Upstream, cancel context.CancelFunc) *overdueWatch {
	after := max(time.Duration(overdueObjective*float64(q.route.Objective)), overdueUsual*g.balancer.Usual(q.group), overdueLeast)
	w := &overdueWatch{
		gateway: g, after: after, choice: q.choice(),
		again: q.route.Idempotent && q.sends+1 < q.route.MaxAttempts && time.Until(q.deadline) > after+after/2,
	}
	attempt := q.AttemptID
	w.timer = time.AfterFunc(after, func() { w.expire(attempt, u, cancel) })
	return w
}

// expire handles an answer that is overdue.
func (w *overdueWatch) expire(attempt string, u *fgaffinity.Upstream, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	g := w.gateway
	slow := g.balancer.Overdue(u)
	if w.again && slow {
		if next, err := g.balancer.Choose(w.choice); err == nil {
			if g.repeats.Take(w.choice.Group) {
				w.next = next
				cancel()
			} else {
				g.balancer.Done(next, fgaffinity.Left)
			}
		}
	}
	if skipped, ok := g.logs.failed.Allow(time.Now()); ok {
		g.logger.Info("answer overdue", "attempt", attempt, "upstream", u.Spec().ID, "overdueMs", w.after.Milliseconds(),
			"usualMs", g.balancer.Usual(w.choice.Group).Milliseconds(), "slow", slow, "sentAgain", w.next != nil, "skippedLines", skipped)
	}
}

// end stops the watch. It reports whether the answer was in time, and the
// upstream that the request goes to if it was given up.
func (w *overdueWatch) end() (inTime bool, next *fgaffinity.Upstream) {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	inTime = !w.ended
	w.ended = true
	return inTime, w.next
}
