package fggateway

import (
	"context"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

const (
	// A response is overdue after the longest of overdueObjectiveFactor times the
	// route's latency objective, overdueMeanFactor times the group's mean response
	// time, and minOverdueDelay. The mean response time grows under load, so that a
	// fully loaded upstream does not count as slow.
	overdueObjectiveFactor = 1.5
	overdueMeanFactor      = 3
	minOverdueDelay        = 100 * time.Millisecond
)

// overdueWatch watches one send until its response arrives. If it is overdue, the watch
// abandons the send and reserves another upstream, or tells a hedgedSend, which decides.
type overdueWatch struct {
	gateway *Gateway
	delay   time.Duration
	timer   *time.Timer
	// criteria selects the upstream for a retry. canRetry means that a retry is
	// allowed.
	criteria fgaffinity.Criteria
	canRetry bool
	// overdue receives the result if a hedgedSend decides. It has room for it.
	overdue chan<- overdueResponse

	mu    sync.Mutex
	ended bool
	next  *fgaffinity.Upstream
}

// overdueResponse is what was found about a send whose response is overdue.
type overdueResponse struct {
	send            *upstreamSend
	slow, reachable bool
}

// watchOverdue starts watching for an overdue response of an upstream. If the
// upstream then proves slow or unreachable, the watch abandons the send of an
// idempotent request by calling cancel and reserves another upstream for the retry,
// provided that one is available and enough time remains. If overdue is not nil, its
// receiver does so instead.
func (g *Gateway) watchOverdue(q *request, s *upstreamSend, overdue chan<- overdueResponse) *overdueWatch {
	delay := max(time.Duration(overdueObjectiveFactor*float64(q.route.Objective)), overdueMeanFactor*g.balancer.MeanResponseTime(q.group), minOverdueDelay)
	w := &overdueWatch{
		gateway: g, delay: delay, criteria: q.criteria(), overdue: overdue,
		canRetry: q.route.Idempotent && q.sends+1 < q.route.MaxAttempts && time.Until(q.deadline) > delay+delay/2,
	}
	attempt := q.AttemptID
	w.timer = time.AfterFunc(delay, func() { w.expire(attempt, s) })
	return w
}

// expire handles an overdue response. It opens a new connection to distinguish an
// unreachable upstream, where the attempt times out, from a slow one.
func (w *overdueWatch) expire(attempt string, s *upstreamSend) {
	g, u, spec := w.gateway, s.upstream, s.upstream.Spec()
	slow := g.balancer.RecordOverdue(u)
	probeResult := g.pool.Probe(context.Background(), upstreamTarget(spec))
	reachable := probeResult != fgpool.Silent
	if !reachable {
		g.balancer.RecordUnreachable(u)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	if w.overdue != nil {
		w.overdue <- overdueResponse{send: s, slow: slow, reachable: reachable}
		return
	}
	if w.canRetry && (slow || !reachable) {
		w.next = g.reserveRetry(w.criteria)
	}
	if w.next != nil {
		s.cancel()
	}
	w.log(attempt, u, slow, reachable, w.next != nil)
}

// log logs an overdue response.
func (w *overdueWatch) log(attempt string, u *fgaffinity.Upstream, slow, reachable, sentAgain bool) {
	g := w.gateway
	if skipped, ok := g.logSamplers.failed.Allow(time.Now()); ok {
		g.logger.Info("response overdue", "attempt", attempt, "upstream", u.Spec().ID, "overdueMs", w.delay.Milliseconds(),
			"usualMs", g.balancer.MeanResponseTime(w.criteria.Group).Milliseconds(), "slow", slow, "reachable", reachable,
			"sentAgain", sentAgain, "skippedLines", skipped)
	}
}

// reserveRetry returns the upstream for a retry, or nil if none is available or the
// retry budget is used up.
func (g *Gateway) reserveRetry(c fgaffinity.Criteria) *fgaffinity.Upstream {
	u, err := g.balancer.Choose(c)
	if err != nil {
		return nil
	}
	if !g.retryBudget.TakeRetry(c.Group) {
		g.balancer.Done(u, fgaffinity.Left)
		return nil
	}
	return u
}

// stop stops the watch. It reports whether the response was in time, and returns the
// upstream for the retry if the send was abandoned.
func (w *overdueWatch) stop() (inTime bool, next *fgaffinity.Upstream) {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	inTime = !w.ended
	w.ended = true
	return inTime, w.next
}
