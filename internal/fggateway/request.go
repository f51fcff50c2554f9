package fggateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

// request is a caller's request on its way through the gateway.
type request struct {
	fgmessage.Request

	began     time.Time
	deadline  time.Time
	view      *fgsteer.View
	route     *fgsteer.RouteSpec
	workspace *fgsteer.WorkspaceSpec
	group     string
	header    http.Header
	body      []byte
	// reserved is the memory that is counted for the body.
	reserved int64
	// tried lists the upstreams that the request was handed to.
	tried []*fgaffinity.Upstream
	// mayHaveRun means that some upstream may have run the request.
	mayHaveRun bool
	sends      int
	// metered means that a token of the workspace was spent.
	metered bool
}

// code names the reason of a refusal in logs and metrics.
type code string

// The codes of refusals, and of requests that ended otherwise.
const (
	codeAnswered    code = "answered"
	codeAnswerCut   code = "answer-cut"
	codeCallerLeft  code = "caller-left"
	codeNoPolicy    code = "no-policy"
	codeBadTarget   code = "bad-target"
	codeNoRoute     code = "no-route"
	codeKeyUnknown  code = "key-unknown"
	codeBodyLarge   code = "body-too-large"
	codeBodyMissing code = "body-missing"
	codeAboveRate   code = "above-rate"
	codeNoRoom      code = "no-room"
	codeUnreached   code = "upstream-unreached"
	codeShed        code = "upstream-shed"
	codeLost        code = "upstream-lost"
	codeNotWhole    code = "answer-not-whole"
	codeLate        code = "late"
	codeCrashes     code = "crashes-upstreams"
	codeNoMemory    code = "no-memory"
)

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	code   code
	reason string
	// retryAfter is told to the caller if it is positive.
	retryAfter time.Duration
}

// serveCaller serves one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	q := &request{Request: g.dialect.ReadRequest(r.Header), began: time.Now(), view: g.mirror.View()}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	defer func() { g.bodies.release(q.reserved) }()
	g.awaitPolicy(r.Context(), q)
	if no := g.admit(w, r, q); no != nil {
		g.refuse(w, q, no)
		return
	}
	g.forward(w, r, q)
}

const (
	// policyWait is how long a request waits at a gateway that has just started
	// for the policy: two ways to the store and back, for a connection and a call.
	policyWait = 400 * time.Millisecond
	// policyPoll separates looks at whether it has come.
	policyPoll = 10 * time.Millisecond
)

// awaitPolicy waits for a policy at a gateway that has just started. A refusal
// would send the caller away for longer than the store takes to answer.
func (g *Gateway) awaitPolicy(ctx context.Context, q *request) {
	for time.Since(q.began) < policyWait && (q.view == nil || q.view.Policy() == nil) && time.Since(g.started) < 2*policyWait {
		if fgtimer.Wait(ctx, policyPoll) != nil {
			return
		}
		q.view = g.mirror.View()
	}
}

// admit decides whether a request may run, and reads it whole.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, q *request) *refusal {
	if q.view == nil || q.view.Policy() == nil {
		return &refusal{status: http.StatusServiceUnavailable, code: codeNoPolicy, reason: "no policy is known yet", retryAfter: startRetryAfter}
	}
	policy := q.view.Policy()
	if !strings.HasPrefix(r.RequestURI, "/") {
		return &refusal{status: http.StatusBadRequest, code: codeBadTarget, reason: "the request target is not a path"}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := policy.Route(hostname(r.Host), path)
	if !ok {
		return &refusal{status: http.StatusNotFound, code: codeNoRoute, reason: "no route matches"}
	}
	q.route = route
	if policy.KeyRequired() && !route.Open {
		if q.workspace, ok = policy.WorkspaceOf(q.Key); !ok {
			return &refusal{status: http.StatusUnauthorized, code: codeKeyUnknown, reason: "the key is unknown"}
		}
	}
	limit := route.Timeout
	if q.Timeout > 0 {
		limit = min(limit, q.Timeout)
	}
	q.deadline = q.began.Add(limit)
	if no := g.readBody(w, r, q, policy.Limits().MaxBodyBytes); no != nil {
		return no
	}
	q.header = forwardedHeader(r.Header)
	if no := g.refuseCrashing(r, q); no != nil {
		return no
	}
	return g.meterRequest(q)
}

// meterRequest counts a request against its workspace's rate.
func (g *Gateway) meterRequest(q *request) *refusal {
	if q.workspace == nil {
		return nil
	}
	d := g.meter.Admit(q.workspace.Name)
	if d.Allowed {
		q.metered = true
		return nil
	}
	return &refusal{
		status:     http.StatusTooManyRequests,
		code:       codeAboveRate,
		reason:     fmt.Sprintf("the workspace is above its rate (tokens %.1f, allowance %.1f, share %.2f)", d.Tokens, d.Allowance, d.Share),
		retryAfter: d.RetryAfter,
	}
}

// hostname returns a host without its port.
func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// forwardedHeader returns a copy without what belongs to one connection. The
// length of the body is written anew, and the body was read whole before.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	fgheader.RemoveHopByHop(out)
	delete(out, "Content-Length")
	delete(out, "Expect")
	return out
}

// context returns the context of the request's sends. An idempotent request
// ends when its caller leaves; another one that was sent goes on, since its
// caller may have wanted its effect.
func (q *request) context(r *http.Request) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if !q.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, q.deadline)
}

// giveBack returns the token of a request that no upstream can have run.
func (g *Gateway) giveBack(q *request) {
	if q.metered && !q.mayHaveRun {
		g.meter.GiveBack(q.workspace.Name)
	}
}

// refuse answers a request that no upstream answered.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, no *refusal) {
	g.giveBack(q)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if no.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(no.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(no.status)
	if _, err := io.WriteString(w, no.reason+"\n"); err != nil {
		g.logger.V(1).Info("refusal not written", "attempt", q.AttemptID, "error", err.Error())
	}
	g.end(q, no.status, no.code, no.reason, "")
}

// end counts a request's end and writes its line, within the bounds for lines.
func (g *Gateway) end(q *request, status int, c code, reason, upstream string) {
	took := time.Since(q.began)
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	g.metrics.RequestEnded(name, string(c), took)
	skipped, ok := g.logs.of(c).Allow(q.began)
	if !ok {
		return
	}
	workspace, version, revision := "", int64(0), int64(0)
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	if upstream == "" && len(q.tried) > 0 {
		upstream = q.tried[len(q.tried)-1].Spec().ID
	}
	if q.view != nil {
		revision = q.view.Revision()
		if p := q.view.Policy(); p != nil {
			version = p.Version()
		}
	}
	g.logger.Info("request ended", "attempt", q.AttemptID, "status", status, "code", c, "reason", reason, "route", name,
		"workspace", workspace, "group", q.group, "object", q.AffinityKey, "upstream", upstream, "sends", q.sends, "ms", took.Milliseconds(),
		"policy", version, "revision", revision, "storeAgeMs", g.mirror.Age().Milliseconds(), "skippedLines", skipped)
}
