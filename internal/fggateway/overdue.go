package fggateway

import (
	"context"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
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

// expire handles an answer that is overdue. A new connection tells an upstream
// that is gone without a word from one that is slow.
func (w *overdueWatch) expire(attempt string, u *fgaffinity.Upstream, cancel context.CancelFunc) {
	g, spec := w.gateway, u.Spec()
	slow := g.balancer.Overdue(u)
	sign := g.pool.Probe(context.Background(), fgpool.Target{ID: spec.ID, Address: spec.Address})
	reachable := sign != fgpool.Silent
	if !reachable {
		g.balancer.Unreachable(u)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	if w.again && (slow || !reachable) {
		w.next = g.takeRepeat(w.choice)
	}
	if w.next != nil {
		cancel()
	}
	if skipped, ok := g.logs.failed.Allow(time.Now()); ok {
		g.logger.Info("answer overdue", "attempt", attempt, "upstream", spec.ID, "overdueMs", w.after.Milliseconds(),
			"usualMs", g.balancer.Usual(w.choice.Group).Milliseconds(), "slow", slow, "reachable", reachable,
			"sentAgain", w.next != nil, "skippedLines", skipped)
	}
}

// takeRepeat returns the upstream for a repeat, if there is one and the fleet's
// bound allows it.
func (g *Gateway) takeRepeat(c fgaffinity.Choice) *fgaffinity.Upstream {
	u, err := g.balancer.Choose(c)
	if err != nil {
		return nil
	}
	if !g.repeats.Take(c.Group) {
		g.balancer.Done(u, fgaffinity.Left)
		return nil
	}
	return u
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
