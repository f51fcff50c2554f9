package fggateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgadmission"
	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/coordination/fghedge"
	"github.com/filbertgap/filbertgap/internal/coordination/fgpath"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

// hedgeRequest returns what fghedge needs to know of a request of which a number of sends
// are in flight.
func (g *Gateway) hedgeRequest(r *http.Request, q *request, inFlight int) fghedge.Request {
	h := fghedge.Request{
		Group: q.group, Route: q.route.Name, Idempotent: q.route.Idempotent,
		Sends: q.sends + inFlight, MaxAttempts: q.route.MaxAttempts, Deadline: q.deadline,
	}
	if !g.crashes.Empty() {
		crashed, _ := g.crashes.Blocked(q.hash(r))
		h.Suspected = crashed > 0
	}
	return h
}

// sendUnhedged sends a request to one upstream without a second send, and records the
// response time, from which later second sends follow.
func (g *Gateway) sendUnhedged(ctx context.Context, r *http.Request, q *request, u *fgaffinity.Upstream, plan fghedge.Request) sendOutcome {
	start := time.Now()
	o := g.send(ctx, r, q, u)
	g.recordHedgeTime(plan, o.result, start)
	return o
}

// recordHedgeTime records the time of a first send that ended now.
func (g *Gateway) recordHedgeTime(h fghedge.Request, result fgaffinity.Result, start time.Time) {
	switch result {
	case fgaffinity.Answered, fgaffinity.Silent:
		now := time.Now()
		g.hedges.Record(h, now.Sub(start), now)
	}
}

// hedgedSend is a send of a request that may have a second one beside it. One goroutine
// owns it and the request; those of the exchanges report their end to it.
type hedgedSend struct {
	gateway *Gateway
	r       *http.Request
	q       *request
	// plan is the request as it was before the first send.
	plan  fghedge.Request
	delay time.Duration
	ended chan *upstreamSend
	// overdue receives the sends whose responses are overdue.
	overdue chan overdueResponse
	// inFlight holds the sends that have not ended, the first one first.
	inFlight      []*upstreamSend
	first, second *upstreamSend
	// suspects are the sends whose upstream proved slow or unreachable.
	suspects []*upstreamSend
	// earlier is the outcome of a send that failed, or responded with a server error, while
	// the other one was in flight.
	earlier *sendOutcome
	// secondEnded means that the end of the second send was recorded.
	secondEnded bool
}

// sendHedged sends a request to one upstream and, after the delay, to another one if the
// limits allow it. The first whole response wins; the other send is reset.
func (g *Gateway) sendHedged(ctx context.Context, r *http.Request, q *request, u *fgaffinity.Upstream, plan fghedge.Request, delay time.Duration) sendOutcome {
	h := &hedgedSend{
		gateway: g, r: r, q: q, delay: delay, plan: plan,
		ended: make(chan *upstreamSend, 2), overdue: make(chan overdueResponse, 2),
	}
	h.first = h.start(ctx, u, q.header)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			h.startSecond(ctx)
		case o := <-h.overdue:
			h.handleOverdue(o)
		case s := <-h.ended:
			o := h.end(s)
			serverError := o.refusal == nil && o.result == fgaffinity.Failed
			if len(h.inFlight) > 0 && (o.refusal != nil || serverError) {
				h.earlier = &o
				h.abandonSuspect()
				continue
			}
			return h.finish(s, o)
		}
	}
}

// finish returns the outcome of the request after a send that ended with o. A server error
// is passed on only if the other send has no better response.
func (h *hedgedSend) finish(s *upstreamSend, o sendOutcome) sendOutcome {
	e := h.earlier
	switch {
	case o.refusal == nil:
		h.cancelLosers(s)
		if e != nil && e.refusal == nil {
			e.response.close(e.response.complete)
			h.gateway.finishSend(e.response.upstream, h.q.group, e.result)
		}
	case e != nil && e.refusal == nil:
		h.release(o.next)
		if e.response.upstream == h.second.upstream {
			h.recordSecond(fghedge.Won)
		}
		return *e
	case e != nil && (o.result == fgaffinity.Unreached || o.result == fgaffinity.Replaced):
		// Further sends need the retry budget, if one of the upstreams was reached.
		o.result = e.result
	}
	return o
}

// start starts a send, whose end is received from h.ended.
func (h *hedgedSend) start(ctx context.Context, u *fgaffinity.Upstream, header http.Header) *upstreamSend {
	g := h.gateway
	s := g.prepareSend(ctx, h.r, h.q, u, header, h.overdue)
	h.inFlight = append(h.inFlight, s)
	go func() {
		s.exchange(g)
		if s.err == nil {
			s.response.readPrefix()
		}
		h.ended <- s
	}()
	return s
}

// startSecond starts the second send, unless a limit, the state of the group or the end of
// the first send forbids it.
func (h *hedgedSend) startSecond(ctx context.Context) {
	g, q := h.gateway, h.q
	// An abandoned send is followed by a retry.
	if h.second != nil || len(h.inFlight) != 1 || h.inFlight[0].ctx.Err() != nil || g.path.Status() != fgpath.Open {
		return
	}
	u, refused := h.chooseSecond()
	if u == nil {
		g.metrics.SecondSend(q.group, refused.String())
		return
	}
	q.chosen = append(q.chosen, u)
	// The header of the first send may be being written.
	h.second = h.start(ctx, u, q.header.Clone())
	h.second.second = true
}

// chooseSecond reserves the upstream of the second send, and takes the send from both
// limits. Without one, it returns the reason.
func (h *hedgedSend) chooseSecond() (*fgaffinity.Upstream, fghedge.End) {
	g, q := h.gateway, h.q
	if !g.hedges.Take(q.group) {
		return nil, fghedge.RefusedLimit
	}
	p, ok := h.placeSecond()
	if !ok {
		g.hedges.Refund(q.group)
		return nil, fghedge.RefusedRoom
	}
	if !g.retryBudget.TakeRetry(q.group) {
		g.hedges.Refund(q.group)
		g.release(q, p.Upstream)
		return nil, fghedge.RefusedBudget
	}
	q.expected = p.Expected
	return p.Upstream, fghedge.Won
}

// placeSecond reserves an upstream on another VM than the first one, in another zone if
// possible. There is none while requests of the group wait for room.
func (h *hedgedSend) placeSecond() (fgaffinity.Placement, bool) {
	g, q, first := h.gateway, h.q, h.first.upstream
	hash := fgadmission.GroupHash(q.group)
	if slices.ContainsFunc(g.admission.Waiting(), func(w fgadmission.GroupWaiting) bool { return w.Group == hash }) {
		return fgaffinity.Placement{}, false
	}
	request := g.hedgeRequest(h.r, q, len(h.inFlight))
	for zones := fghedge.OtherZones; zones <= fghedge.AnyZone; zones++ {
		c := q.criteria()
		c.Accept = func(u *fgaffinity.Upstream, e fgaffinity.Estimate) bool {
			return fghedge.Accepts(request, fghedge.Candidate{
				LoadPerSlot: e.LoadPerSlot, Known: e.Known, Own: !u.HasReported() && !first.HasReported(), Expected: e.Total(),
				SameVM: vmOf(u) == vmOf(first), SameZone: u.Spec().AvailabilityZone == first.Spec().AvailabilityZone,
				Restricted: g.balancer.Restricted(u),
			}, zones, time.Now())
		}
		if p, err := g.balancer.Place(c); err == nil {
			return p, true
		}
	}
	return fgaffinity.Placement{}, false
}

// vmOf returns what identifies the VM of an upstream: the host of its address.
func vmOf(u *fgaffinity.Upstream) string {
	host, _, err := net.SplitHostPort(u.Spec().Address)
	if err != nil {
		return u.Spec().Address
	}
	return host
}

// handleOverdue handles a send whose response is overdue. While another send is in flight,
// that one takes the place of the retry.
func (h *hedgedSend) handleOverdue(o overdueResponse) {
	if o.slow || !o.reachable {
		h.suspects = append(h.suspects, o.send)
	}
	h.abandonSuspect()
	o.send.watch.log(h.q.AttemptID, o.send.upstream, o.slow, o.reachable, o.send.retry != nil || len(h.inFlight) > 1)
}

// abandonSuspect abandons the only send in flight if its upstream proved slow or
// unreachable, and reserves the upstream for the retry.
func (h *hedgedSend) abandonSuspect() {
	g, q := h.gateway, h.q
	if len(h.inFlight) != 1 || !slices.Contains(h.suspects, h.inFlight[0]) {
		return
	}
	s := h.inFlight[0]
	if s.retry != nil || q.sends+1 >= q.route.MaxAttempts || time.Until(q.deadline) <= s.watch.delay/2 {
		return
	}
	if s.retry = g.reserveRetry(q.criteria()); s.retry != nil {
		s.cancel()
	}
}

// end records the end of a send.
func (h *hedgedSend) end(s *upstreamSend) sendOutcome {
	h.remove(s)
	s.next = s.retry
	o := h.gateway.endSend(h.r, h.q, s)
	switch {
	case s == h.first:
		h.gateway.recordHedgeTime(h.plan, o.result, s.start)
	case o.result == fgaffinity.Left:
		h.recordSecond(fghedge.CallerLeft)
	case o.refusal != nil:
		h.recordSecond(fghedge.Failed)
	}
	return o
}

func (h *hedgedSend) remove(s *upstreamSend) {
	h.inFlight = slices.DeleteFunc(h.inFlight, func(t *upstreamSend) bool { return t == s })
}

func (h *hedgedSend) release(u *fgaffinity.Upstream) { h.gateway.release(h.q, u) }

// cancelLosers ends the other send after the response of winner. A response that is
// already there is dropped.
func (h *hedgedSend) cancelLosers(winner *upstreamSend) {
	if winner == h.second {
		h.recordSecond(fghedge.Won)
	} else {
		h.recordSecond(fghedge.Lost)
	}
	for len(h.inFlight) > 0 {
		select {
		case s := <-h.ended:
			h.dropEnded(s)
		default:
			h.inFlight[0].cancel()
			h.dropCancelled(<-h.ended)
		}
	}
}

// dropEnded records a send that ended by itself when the other one had already won.
func (h *hedgedSend) dropEnded(s *upstreamSend) {
	if o := h.end(s); o.refusal == nil {
		s.response.close(s.response.complete)
		h.gateway.finishSend(s.upstream, h.q.group, fgaffinity.Left)
	} else {
		h.release(o.next)
	}
}

// dropCancelled records a send that was cancelled because the other one had won.
func (h *hedgedSend) dropCancelled(s *upstreamSend) {
	g, q := h.gateway, h.q
	h.remove(s)
	if s == h.first {
		// The time until now is a lower bound of the response time.
		g.recordHedgeTime(h.plan, fgaffinity.Silent, s.start)
		q.attempt.Responded(time.Since(s.start))
	}
	switch {
	case s.err == nil:
		g.recordHead(q, s)
		s.response.close(false)
	case !errors.Is(s.err, fgpool.ErrNotSent):
		q.sends++
	}
	g.finishSend(s.upstream, q.group, fgaffinity.Left)
}

// recordSecond records how the second send ended, once.
func (h *hedgedSend) recordSecond(e fghedge.End) {
	if h.second == nil || h.secondEnded {
		return
	}
	h.secondEnded = true
	g, q := h.gateway, h.q
	g.metrics.SecondSend(q.group, e.String())
	if skipped, ok := g.logSamplers.served.Allow(time.Now()); ok {
		g.logger.Info("second send ended", "attempt", q.AttemptID, "group", q.group, "route", q.route.Name, "end", e.String(),
			"first", h.first.upstream.Spec().ID, "second", h.second.upstream.Spec().ID, "delayMs", h.delay.Milliseconds(),
			"ms", time.Since(h.second.start).Milliseconds(), "skippedLines", skipped)
	}
}
