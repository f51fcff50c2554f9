package fggateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

const (
	// startRetryAfter is told to callers of a gateway that has just started.
	startRetryAfter = 300 * time.Millisecond
	// fullRetryAfter is told to callers when no upstream has room. Each caller
	// gets up to twice this time, so that they do not return together.
	fullRetryAfter = 100 * time.Millisecond
	// leastLeft is the time that a send must have to be of use.
	leastLeft = 20 * time.Millisecond
	// maxUnreached is how many upstreams that cannot be reached are passed over.
	maxUnreached = 3
	// room is the load per slot up to which an upstream gets requests. What waits
	// at an upstream beyond its slots is late, and makes all behind it late.
	room = 1.5
	// bufferedBytes of an answer are read before the first byte is passed on, so
	// that an answer that breaks off can be replaced.
	bufferedBytes = 64 << 10
)

// answered is an upstream's answer, with as much of its body as was read.
type answered struct {
	*fgpool.Response

	says     fgmessage.Response
	body     []byte
	whole    bool
	upstream *fgaffinity.Upstream
	// result is what the answer tells of the upstream.
	result fgaffinity.Result
	// cancel releases what bounded the exchange.
	cancel context.CancelFunc
}

// close ends the exchange with the upstream.
func (a *answered) close(whole bool) {
	a.Close(whole, a.says.IdleTimeout)
	a.cancel()
}

// forward sends a request to upstreams until one answers or no further try is
// allowed.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, q *request) {
	ctx, cancel := q.context(r)
	defer cancel()
	q.group = g.groups.Pick(q.route, q.object())
	g.repeats.Earn(q.group)
	unreached := 0
	var no *refusal
	// next is the upstream for a try that was paid for when a silent one was
	// given up.
	var next *fgaffinity.Upstream
	for {
		if r.Context().Err() != nil {
			break
		}
		if time.Until(q.deadline) < leastLeft {
			no = q.late()
			break
		}
		u := next
		if u == nil {
			var err error
			if u, err = g.balancer.Choose(q.choice()); err != nil {
				if no == nil {
					no = q.full(codeNoRoom, err.Error())
				}
				break
			}
		}
		q.tried = append(q.tried, u)
		o := g.send(ctx, r, q, u)
		if o.refusal == nil {
			g.acquit(r, q)
			g.deliver(w, q, o.answer)
			return
		}
		next, no = o.next, o.refusal
		if o.result == fgaffinity.Unreached || o.result == fgaffinity.Replaced {
			if unreached++; unreached <= maxUnreached {
				continue
			}
			break
		}
		if next != nil {
			continue
		}
		if ctx.Err() != nil || !g.mayRepeat(q) || !g.repeats.Take(q.group) {
			break
		}
	}
	if next != nil {
		g.done(next, q.group, fgaffinity.Left)
	}
	if r.Context().Err() != nil {
		g.giveBack(q)
		g.end(q, statusCallerLeft, codeCallerLeft, "the caller left", "")
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, q, no)
}

// statusCallerLeft stands in log lines for an answer that nobody waits for.
const statusCallerLeft = 499

// object returns what decides the upstream. Requests of routes that gain
// nothing from it go to the least loaded one.
func (q *request) object() string {
	if q.route.Sticky && q.AffinityKey != "" {
		return q.route.Name + "/" + q.AffinityKey
	}
	return ""
}

// choice describes the request to the balancer.
func (q *request) choice() fgaffinity.Choice {
	return fgaffinity.Choice{
		Group: q.group, Object: q.object(), Regions: q.regions(), Objective: q.route.Objective, Tried: q.tried, Room: room,
	}
}

// outcome is what came of a send.
type outcome struct {
	// answer is to be delivered if there is no refusal.
	answer  *answered
	result  fgaffinity.Result
	refusal *refusal
	// next is the upstream that gets the request if this one was given up.
	next *fgaffinity.Upstream
}

// send hands a request to one upstream.
func (g *Gateway) send(ctx context.Context, r *http.Request, q *request, u *fgaffinity.Upstream) outcome {
	spec := u.Spec()
	f := fgmessage.Forward{RemainingTime: time.Until(q.deadline), UpstreamID: spec.ID}
	if q.workspace != nil {
		f.Workspace = q.workspace.Name
	}
	g.dialect.WriteForward(q.header, f)
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	w := g.watch(q, u, cancel)
	var says fgmessage.Response
	answer, err := g.pool.Send(ctx, fgpool.Target{ID: spec.ID, Address: spec.Address}, fgpool.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: q.header, Body: q.body,
		Accept: func(res *http.Response) bool {
			says = g.dialect.ReadResponse(res)
			return says.AttemptID == q.AttemptID || says.AttemptID == "" && says.NotRun
		},
	})
	inTime, next := w.end()
	if err != nil {
		cancel()
		result := g.unanswered(r, q, u, next != nil, err)
		return outcome{result: result, refusal: q.failed(next != nil, err), next: next}
	}
	if next != nil {
		// The answer came while the try was given up.
		g.done(next, q.group, fgaffinity.Left)
	}
	if inTime {
		g.balancer.InTime(u, time.Since(began))
	}
	q.sends++
	if says.HasLoad {
		g.balancer.Load(u, says.Load.Running+says.Load.Waiting)
	}
	if says.ColdDuration > 0 {
		g.balancer.Chill(u, says.ColdDuration)
	}
	one := &answered{Response: answer, says: says, upstream: u, cancel: cancel}
	no := g.examine(q, one)
	return outcome{answer: one, result: one.result, refusal: no}
}

// done ends a request at an upstream.
func (g *Gateway) done(u *fgaffinity.Upstream, group string, r fgaffinity.Result) {
	g.balancer.Done(u, r)
	g.metrics.SendEnded(group, r.String())
}

// unanswered counts a send that no answer came to.
func (g *Gateway) unanswered(r *http.Request, q *request, u *fgaffinity.Upstream, givenUp bool, err error) fgaffinity.Result {
	result := fgaffinity.Lost
	switch {
	case r.Context().Err() != nil:
		result = fgaffinity.Left
	case givenUp, time.Until(q.deadline) <= 0:
		result = fgaffinity.Silent
	case errors.Is(err, fgpool.ErrNotSent):
		result = fgaffinity.Unreached
	}
	if !errors.Is(err, fgpool.ErrNotSent) {
		q.sends++
		q.mayHaveRun = true
	}
	if result == fgaffinity.Lost {
		g.suspect(r, q, u)
	}
	g.done(u, q.group, result)
	if skipped, ok := g.logs.failed.Allow(time.Now()); ok {
		g.logger.Info("send failed", "attempt", q.AttemptID, "upstream", u.Spec().ID, "address", u.Spec().Address, "result", result.String(),
			"sent", !errors.Is(err, fgpool.ErrNotSent), "inFlight", u.InFlight(), "error", err.Error(), "skippedLines", skipped)
	}
	return result
}

// failed returns the refusal for a send that no answer came to.
func (q *request) failed(givenUp bool, err error) *refusal {
	switch {
	case givenUp, time.Until(q.deadline) <= 0:
		return q.late()
	case q.mayHaveRun:
		return &refusal{status: http.StatusBadGateway, code: codeLost, reason: "the connection to the upstream broke; the request may have run"}
	default:
		return q.full(codeUnreached, "the upstream cannot be reached")
	}
}

// examine reads an answer as far as needed to judge it. It returns the refusal
// that stands for one which is not passed on, whose exchange it ends.
func (g *Gateway) examine(q *request, a *answered) *refusal {
	a.body, a.whole = readPart(a.Body)
	var no *refusal
	switch {
	case a.says.Misdirected:
		a.result, no = fgaffinity.Replaced, q.full(codeShed, "another program has the upstream's address")
	case a.says.NotRun:
		a.result, no = fgaffinity.Shed, q.full(codeShed, "the upstream refused the request")
	case a.body == nil, a.StatusCode < 300 && !a.says.Signed:
		q.mayHaveRun = true
		a.result, no = fgaffinity.Lost, &refusal{status: http.StatusBadGateway, code: codeNotWhole, reason: "the upstream's answer is not whole"}
	case a.StatusCode >= http.StatusInternalServerError:
		q.mayHaveRun = true
		a.result = fgaffinity.Failed
	default:
		q.mayHaveRun = true
		a.result = fgaffinity.Answered
	}
	if no != nil {
		a.close(a.whole && a.result != fgaffinity.Lost)
		g.done(a.upstream, q.group, a.result)
	}
	return no
}

// readPart reads the first part of a body. A nil slice means that it broke off;
// whole that its end was reached.
func readPart(body io.Reader) (part []byte, whole bool) {
	part, err := io.ReadAll(io.LimitReader(body, bufferedBytes))
	if err != nil {
		return nil, false
	}
	return part, len(part) < bufferedBytes
}

// deliver passes an answer on to the caller.
func (g *Gateway) deliver(w http.ResponseWriter, q *request, a *answered) {
	h := w.Header()
	for field, values := range forwardedHeader(a.Header) {
		h[field] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	if a.ContentLength >= 0 {
		h["Content-Length"] = a.Header["Content-Length"]
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(a.StatusCode)
	_, err := w.Write(a.body)
	if !a.whole && err == nil {
		_, err = io.Copy(w, a.Body)
	}
	a.close(err == nil)
	g.done(a.upstream, q.group, a.result)
	if err != nil {
		g.end(q, statusCallerLeft, codeAnswerCut, "the answer was cut: "+err.Error(), a.upstream.Spec().ID)
		panic(http.ErrAbortHandler)
	}
	g.end(q, a.StatusCode, codeAnswered, "the upstream answered", a.upstream.Spec().ID)
}

// writeTimeout bounds how long a caller may take to receive an answer.
const writeTimeout = 10 * time.Second

// late returns the refusal of a request whose time has run out.
func (q *request) late() *refusal {
	if q.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, code: codeLate, reason: "no answer came in time; the request may have run"}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: codeLate, reason: "the time ran out before the request was sent"}
}

// full returns the refusal of a request that nobody ran, or that somebody may
// have run before.
func (q *request) full(c code, reason string) *refusal {
	if q.mayHaveRun {
		return &refusal{status: http.StatusBadGateway, code: c, reason: reason + "; an earlier try may have run"}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: c, reason: reason, retryAfter: fullRetryAfter + rand.N(fullRetryAfter)}
}

// regions returns where a request may run: where both its route and its
// workspace allow it.
func (q *request) regions() []string {
	if q.workspace == nil || len(q.workspace.Regions) == 0 {
		return q.route.Regions
	}
	if len(q.route.Regions) == 0 {
		return q.workspace.Regions
	}
	both := []string{""}
	for _, a := range q.route.Regions {
		for _, b := range q.workspace.Regions {
			if a == b {
				both = append(both, a)
			}
		}
	}
	return both
}

// mayRepeat reports whether a request may be sent to a further upstream: it
// cannot have run or may run again, and tries are left.
func (g *Gateway) mayRepeat(q *request) bool {
	return (!q.mayHaveRun || q.route.Idempotent) && q.sends < q.route.MaxAttempts
}
