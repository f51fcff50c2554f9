package fggateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fglistener"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

const (
	// startRetryAfter is the Retry-After value while a gateway that has just started
	// has no policy.
	startRetryAfter = 300 * time.Millisecond
	// overloadRetryAfter is the minimum Retry-After value for a request that no
	// upstream has run. A random delay of up to the same duration is added, so that
	// callers do not retry simultaneously.
	overloadRetryAfter = 100 * time.Millisecond
	// minSendTime is the shortest remaining time with which a request is sent.
	minSendTime = 20 * time.Millisecond
	// maxUnreached is how many upstreams that are unreachable, or whose address
	// another program has, are skipped for one request.
	maxUnreached = 3
	// maxLoadPerSlot is the load per slot at which an upstream gets no more requests, in
	// groups about which fgadmission does not decide. Requests that queue at an upstream are
	// late and delay all later ones.
	maxLoadPerSlot = 1.5
	// bufferedBytes of a response are read before its first byte is passed on, so
	// that the request can be retried if the response is truncated.
	bufferedBytes = 64 << 10
)

// upstreamResponse is an upstream's response with the part of its body that was
// read. complete means that this is the whole body. upstream is nil if the response came
// through another gateway.
type upstreamResponse struct {
	*fgpool.Response

	meta     fgmessage.Response
	body     []byte
	complete bool
	// prefixRead means that body and complete are set.
	prefixRead bool
	upstream   *fgaffinity.Upstream
	// result is the result to record for the upstream or the other gateway.
	result fgaffinity.Result
	// cancel releases the context of the exchange.
	cancel context.CancelFunc
}

// close ends the exchange with the upstream. The connection is kept only if the
// response named its request: without a name, a second copy that arrives late could
// not be told from the response to the next request. Gateways send one response only.
func (r *upstreamResponse) close(complete bool) {
	r.Close(complete && (r.meta.AttemptID != "" || r.upstream == nil), r.meta.IdleTimeout)
	r.cancel()
}

// forward sends a request to upstreams, directly or through another gateway, until one
// responds or no further retry is allowed.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, q *request) {
	ctx, cancel := g.sendContext(r, q)
	defer cancel()
	q.group = g.groups.Pick(q.route, q.affinityKey())
	q.attempt = g.beginAdmission(q)
	unreached := 0
	var refused *refusal
	// next is the upstream for a retry that was already taken from the retry budget
	// when the previous send, to a slow or unreachable upstream, was abandoned.
	var next *fgaffinity.Upstream
	for {
		if r.Context().Err() != nil {
			break
		}
		if time.Until(q.deadline) < minSendTime {
			refused = q.lateRefusal()
			break
		}
		if g.stopping.refuses(q) {
			refused = q.stopRefusal()
			break
		}
		chosen, err := g.chooseWay(r.Context(), q, next, unreached)
		next = nil
		if err != nil {
			if refused == nil {
				refused = q.unservedRefusal(codeNoRoom, err.Error())
			}
			break
		}
		var o sendOutcome
		switch way := chosen.(type) {
		case direct:
			o = g.sendDirect(ctx, r, q, way.upstream)
		case detour:
			o = g.sendDetour(ctx, r, q, way.peer)
		default:
			panic(fmt.Sprintf("unknown way %T", way))
		}
		if o.refusal == nil {
			if o.response.upstream != nil {
				g.recordCompletion(r, q)
			}
			g.deliver(w, r, q, o.response)
			return
		}
		next, refused = o.next, o.refusal
		if g.refuseCrashing(r, q) != nil {
			break
		}
		if o.result == fgaffinity.Unreached || o.result == fgaffinity.Replaced {
			if unreached++; unreached <= maxUnreached {
				continue
			}
			break
		}
		if next != nil {
			continue
		}
		if o.final || ctx.Err() != nil || !g.mayRetry(q) || !g.retryBudget.TakeRetry(q.group) {
			break
		}
	}
	g.release(q, next)
	if r.Context().Err() != nil {
		g.refundToken(q)
		g.finishRequest(q, statusCallerLeft, codeCallerLeft, "the caller disconnected", "")
		abortResponse(r)
	}
	g.delayRetry(q, refused)
	g.refuse(w, q, refused)
}

// sendDirect sends a request to one upstream, and counts the request at the first one.
func (g *Gateway) sendDirect(ctx context.Context, r *http.Request, q *request, u *fgaffinity.Upstream) sendOutcome {
	if q.tokenDeferred {
		q.tokenDeferred = false
		if refused := g.takeToken(q); refused != nil {
			g.release(q, u)
			return sendOutcome{result: fgaffinity.Left, refusal: refused, final: true}
		}
	}
	if len(q.chosen) == 0 {
		g.retryBudget.CountRequest(q.group)
		g.hedges.CountRequest(q.group)
	}
	q.chosen = append(q.chosen, u)
	q.attempt.Sent()
	if !g.hedges.Enabled() {
		return g.send(ctx, r, q, u)
	}
	plan := g.hedgeRequest(r, q, 1)
	if delay, ok := g.hedges.Plan(plan, time.Now()); ok {
		return g.sendHedged(ctx, r, q, u, plan, delay)
	}
	return g.sendUnhedged(ctx, r, q, u, plan)
}

// statusCallerLeft is logged as the status if the caller disconnected before the
// end of the response.
const statusCallerLeft = 499

// affinityKey returns the key that ranks the upstreams. It is empty on routes whose
// requests do not profit from it, which go to the least loaded upstream.
func (q *request) affinityKey() string {
	if q.route.Sticky && q.AffinityKey != "" {
		return q.route.Name + "/" + q.AffinityKey
	}
	return ""
}

// criteria returns the criteria by which the balancer chooses an upstream.
func (q *request) criteria() fgaffinity.Criteria {
	c := fgaffinity.Criteria{
		Group: q.group, AffinityKey: q.affinityKey(), Regions: q.regions(), Objective: q.route.Objective, Exclude: q.chosen, Counted: q.counted, MaxLoadPerSlot: maxLoadPerSlot,
	}
	if q.attempt != nil {
		c.Accept = q.attempt.Accept
	}
	return c
}

// sendOutcome is the outcome of a send.
type sendOutcome struct {
	// response is to be delivered if refusal is nil.
	response *upstreamResponse
	result   fgaffinity.Result
	refusal  *refusal
	// next is the upstream for the retry if the send was abandoned.
	next *fgaffinity.Upstream
	// final means that no further send may follow.
	final bool
}

// upstreamTarget returns where an upstream's requests are sent.
func upstreamTarget(s *fgsteer.UpstreamSpec) fgpool.Target {
	return fgpool.Target{ID: s.ID, Address: s.Address}
}

// finishSend records the result of a send.
func (g *Gateway) finishSend(u *fgaffinity.Upstream, group string, r fgaffinity.Result) {
	g.balancer.Done(u, r)
	g.admission.SendEnded(group)
	g.metrics.SendEnded(group, r.String())
}

// recordSendFailure records a send that began at a time and got no response, and returns
// its result.
func (g *Gateway) recordSendFailure(r *http.Request, q *request, u *fgaffinity.Upstream, start time.Time, abandoned bool, err error) fgaffinity.Result {
	result := fgaffinity.Lost
	switch {
	case r.Context().Err() != nil, errors.Is(err, errStopped):
		result = fgaffinity.Left
	case abandoned, time.Until(q.deadline) <= 0:
		result = fgaffinity.Silent
	case errors.Is(err, fgpool.ErrNotSent):
		result = fgaffinity.Unreached
	case errors.Is(err, fgpool.ErrWithdrawn):
		result = fgaffinity.Silent
	case errors.Is(err, fgpool.ErrMalformed):
		result = fgaffinity.Malformed
	}
	if !errors.Is(err, fgpool.ErrNotSent) {
		q.sends++
		q.mayHaveRun = true
	}
	if result == fgaffinity.Lost {
		g.checkForCrash(r, q, u, start)
	}
	g.finishSend(u, q.group, result)
	if skipped, ok := g.logSamplers.failed.Allow(time.Now()); ok {
		g.logger.Info("send failed", "attempt", q.AttemptID, "upstream", u.Spec().ID, "address", u.Spec().Address, "result", result.String(),
			"sent", !errors.Is(err, fgpool.ErrNotSent), "inFlight", u.InFlight(), "error", err.Error(), "skippedLines", skipped)
	}
	return result
}

// failureRefusal returns the refusal for a send without a response.
func (q *request) failureRefusal(abandoned bool, err error) *refusal {
	switch {
	case abandoned, time.Until(q.deadline) <= 0:
		return q.lateRefusal()
	case errors.Is(err, errStopped):
		return q.stopRefusal()
	case errors.Is(err, fgpool.ErrMalformed):
		return &refusal{status: http.StatusBadGateway, code: codeNotWhole, reason: "the upstream sent no valid response; the request may have run"}
	case q.mayHaveRun:
		return &refusal{status: http.StatusBadGateway, code: codeLost, reason: "the connection to the upstream broke; the request may have run"}
	default:
		return q.unservedRefusal(codeUnreached, "the upstream is unreachable")
	}
}

// classify reads the beginning of a response's body and sets the response's result.
// If the response must not be passed on, classify closes it and returns a refusal.
func (g *Gateway) classify(q *request, res *upstreamResponse) *refusal {
	res.readPrefix()
	var refused *refusal
	switch {
	case res.meta.Misdirected:
		res.result, refused = fgaffinity.Replaced, q.unservedRefusal(codeShed, "another program has the upstream's address")
	case res.meta.NotRun:
		res.result, refused = fgaffinity.Shed, q.unservedRefusal(codeShed, "the upstream refused the request")
	case res.body == nil, res.StatusCode < 300 && !res.meta.Signed:
		q.mayHaveRun = true
		res.result, refused = fgaffinity.Lost, &refusal{status: http.StatusBadGateway, code: codeNotWhole, reason: "the upstream's response is truncated or unsigned"}
	default:
		q.recordRun(res)
	}
	if refused != nil {
		res.close(res.complete && res.result != fgaffinity.Lost)
		g.finishSend(res.upstream, q.group, res.result)
	}
	return refused
}

// recordRun sets the result of a response that an upstream sent after it ran the request.
func (q *request) recordRun(res *upstreamResponse) {
	q.mayHaveRun = true
	res.result = fgaffinity.Answered
	if res.StatusCode >= http.StatusInternalServerError {
		res.result = fgaffinity.Failed
	}
}

// readPrefix sets body and complete, once.
func (r *upstreamResponse) readPrefix() {
	if !r.prefixRead {
		r.body, r.complete = readPrefix(r.Body)
		r.prefixRead = true
	}
}

// readPrefix reads up to bufferedBytes of a body. A nil slice means that reading
// failed, complete that the end was reached.
func readPrefix(body io.Reader) (prefix []byte, complete bool) {
	prefix, err := io.ReadAll(io.LimitReader(body, bufferedBytes))
	if err != nil {
		return nil, false
	}
	return prefix, len(prefix) < bufferedBytes
}

// deliver passes a response on to the caller.
func (g *Gateway) deliver(w http.ResponseWriter, r *http.Request, q *request, res *upstreamResponse) {
	q.outlastStop()
	h := w.Header()
	for field, values := range forwardedHeader(res.Header) {
		h[field] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	if res.ContentLength >= 0 {
		h["Content-Length"] = res.Header["Content-Length"]
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(res.StatusCode)
	_, err := w.Write(res.body)
	if !res.complete && err == nil {
		_, err = io.Copy(w, res.Body)
	}
	res.close(err == nil)
	end, reason, upstream := codeAnswered, "the upstream responded", ""
	if res.upstream != nil {
		g.finishSend(res.upstream, q.group, res.result)
		upstream = res.upstream.Spec().ID
	} else {
		g.metrics.DetourEnded(res.result.String())
		if !res.meta.Signed {
			end, reason = codePeerRefused, "another gateway responded itself"
		}
	}
	if err != nil {
		g.finishRequest(q, statusCallerLeft, codeAnswerCut, "passing on the response failed: "+err.Error(), upstream)
		abortResponse(r)
	}
	g.finishRequest(q, res.StatusCode, end, reason, upstream)
}

// abortResponse ends the caller's connection, so that a response that is not
// complete does not look complete. It does not return.
func abortResponse(r *http.Request) {
	fglistener.ResetIfUnframed(r)
	panic(http.ErrAbortHandler)
}

// writeTimeout bounds the time in which a caller must receive a response.
const writeTimeout = 10 * time.Second

// lateRefusal returns the refusal for a request whose deadline has passed.
func (q *request) lateRefusal() *refusal {
	if q.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, code: codeLate, reason: "no response arrived in time; the request may have run"}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: codeLate, reason: "the deadline passed before the request was sent"}
}

// unservedRefusal returns the refusal for a request that the last upstream did not
// run. Unless an earlier upstream may have run it, the refusal states the delay
// after which the caller may retry.
func (q *request) unservedRefusal(c code, reason string) *refusal {
	if q.mayHaveRun {
		return &refusal{status: http.StatusBadGateway, code: c, reason: reason + "; an earlier send may have run"}
	}
	after := max(overloadRetryAfter, q.attempt.RetryAfter())
	return &refusal{status: http.StatusServiceUnavailable, code: c, reason: reason, retryAfter: after + rand.N(after)}
}

// regions returns the regions where a request may run: those that both its route
// and its workspace allow. Empty means anywhere. If they have no region in common,
// the result is the empty name, which matches no region.
func (q *request) regions() []string {
	if q.workspace == nil || len(q.workspace.Regions) == 0 {
		return q.route.Regions
	}
	if len(q.route.Regions) == 0 {
		return q.workspace.Regions
	}
	common := []string{""}
	for _, a := range q.route.Regions {
		for _, b := range q.workspace.Regions {
			if a == b {
				common = append(common, a)
			}
		}
	}
	return common
}

// mayRetry reports whether a request may be sent to another upstream: it cannot have
// run or is idempotent, and the route's MaxAttempts allows another send.
func (g *Gateway) mayRetry(q *request) bool {
	return (!q.mayHaveRun || q.route.Idempotent) && q.sends < q.route.MaxAttempts
}
