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

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/coordination/fgadmission"
	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/coordination/fgpath"
	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
	"github.com/filbertgap/filbertgap/internal/transport/fglistener"
)

// request is the state of a caller's request.
type request struct {
	fgmessage.Request

	start     time.Time
	deadline  time.Time
	view      *fgsteer.View
	route     *fgsteer.RouteSpec
	workspace *fgsteer.WorkspaceSpec
	group     string
	// attempt is nil in groups about which admission does not decide.
	attempt *fgadmission.Attempt
	header  http.Header
	// body holds the body in the parts in which it was read.
	body [][]byte
	// reserved is the memory reserved for the body, in bytes.
	reserved int64
	// chosen lists the upstreams chosen for the sends of the request, in order.
	chosen []*fgaffinity.Upstream
	// expected is what the balancer expects of the send that begins next. It is zero for an
	// upstream that the watch for overdue responses has chosen.
	expected fgaffinity.Estimate
	// counted means that the balancer has counted the request.
	counted bool
	// mayHaveRun means that an upstream may have run the request.
	mayHaveRun bool
	sends      int
	// outlastStop exempts the sends of the request from the end of a stop.
	outlastStop func() bool
	// detoured means that another gateway has sent the request. detours lists the gateways
	// through which this one has.
	detoured bool
	detours  []string
	// tokenTaken means that a token of the workspace was taken. tokenDeferred means that
	// it is taken only if the request does not go through another gateway, which takes one.
	tokenTaken    bool
	tokenDeferred bool
}

// code identifies the reason for the end of a request in logs and metrics.
type code string

// The codes of refusals and of requests that ended otherwise.
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
	codePeerRefused code = "peer-refused"
	codeStopped     code = "stopped"
)

// refusal is an error response that the gateway generates itself.
type refusal struct {
	status int
	code   code
	reason string
	// retryAfter is sent in the Retry-After header if it is positive.
	retryAfter time.Duration
}

// serveCaller serves one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	q := &request{Request: g.dialect.ReadRequest(r.Header), start: time.Now(), view: g.mirror.View()}
	q.readDetour(r.Header)
	if g.leaving.Load() {
		fglistener.CloseAfterResponse(w, r)
	}
	defer func() { g.bodies.release(q.reserved) }()
	g.awaitPolicy(r.Context(), q)
	if refused := g.admit(w, r, q); refused != nil {
		g.refuse(w, q, refused)
		return
	}
	g.forward(w, r, q)
}

const (
	// policyWait is how long a request waits for the policy at a gateway that has
	// just started: two round trips to the store, for a connection and a call.
	policyWait = 400 * time.Millisecond
	// policyPollInterval is the interval at which the policy is polled meanwhile.
	policyPollInterval = 10 * time.Millisecond
)

// awaitPolicy waits for the policy at a gateway that has just started. A refusal
// would delay the caller longer than the store takes to respond.
func (g *Gateway) awaitPolicy(ctx context.Context, q *request) {
	for time.Since(q.start) < policyWait && (q.view == nil || q.view.Policy() == nil) && time.Since(g.started) < 2*policyWait {
		if fgtimer.Wait(ctx, policyPollInterval) != nil {
			return
		}
		q.view = g.mirror.View()
	}
}

// admit checks whether a request may run, reads its body and takes a token of its
// workspace. It sets the route, the workspace, the deadline and the header of the
// request.
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
	q.deadline = q.start.Add(limit)
	if refused := g.readBody(w, r, q, policy.Limits().MaxBodyBytes); refused != nil {
		return refused
	}
	q.header = forwardedHeader(r.Header)
	if refused := g.refuseCrashing(r, q); refused != nil {
		return refused
	}
	if g.path.Status() == fgpath.Lost {
		if _, ok := g.detourPeer(q); ok {
			q.tokenDeferred = true
			return nil
		}
	}
	return g.takeToken(q)
}

// takeToken takes a token of the request's workspace, or refuses the request if the
// workspace is above its rate.
func (g *Gateway) takeToken(q *request) *refusal {
	if q.workspace == nil {
		return nil
	}
	d := g.limiter.Admit(q.workspace.Name)
	if d.Allowed {
		q.tokenTaken = true
		return nil
	}
	if d.WithinRate {
		g.metrics.RefusedWithinRate(q.workspace.Name)
	}
	return &refusal{
		status:     http.StatusTooManyRequests,
		code:       codeAboveRate,
		reason:     fmt.Sprintf("the workspace is above its rate (tokens %.1f, allowance %.1f, share %.2f)", d.Tokens, d.Allowance, d.Share),
		retryAfter: d.RetryAfter,
	}
}

// hostname returns a host without a port.
func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// forwardedHeader returns a copy without the fields that apply to one connection
// only. It also lacks Content-Length, which is set for each message, and Expect,
// since the body was read before, and the mark of a detour.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	fgheader.RemoveHopByHop(out)
	delete(out, "Content-Length")
	delete(out, "Expect")
	delete(out, detourHeader)
	return out
}

// sendContext returns the context of a request's sends. An idempotent request is cancelled when
// its caller disconnects. Others continue once they are sent, since the caller may rely on
// their effects. A stop ends the request, unless its response is being passed on.
func (g *Gateway) sendContext(r *http.Request, q *request) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if !q.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	ctx, end := context.WithCancelCause(ctx)
	q.outlastStop = context.AfterFunc(g.stopping.ended, func() { end(merry.Wrap(errStopped)) })
	return ctx, func() {
		q.outlastStop()
		end(nil)
		cancel()
	}
}

// refundToken refunds the token of a request that no upstream can have run.
func (g *Gateway) refundToken(q *request) {
	if q.tokenTaken && !q.mayHaveRun {
		g.limiter.Refund(q.workspace.Name)
	}
}

// refuse responds to a request with a refusal.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, refused *refusal) {
	g.refundToken(q)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refused.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(refused.status)
	if _, err := io.WriteString(w, refused.reason+"\n"); err != nil {
		g.logger.V(1).Info("writing a refusal failed", "attempt", q.AttemptID, "error", err.Error())
	}
	g.finishRequest(q, refused.status, refused.code, refused.reason, "")
}

// finishRequest records a request's end in the metrics and, within the limits for
// log lines, in the log.
func (g *Gateway) finishRequest(q *request, status int, c code, reason, upstream string) {
	took := time.Since(q.start)
	routeName := ""
	if q.route != nil {
		routeName = q.route.Name
	}
	g.metrics.RequestEnded(routeName, string(c), took)
	if c == codeAnswered {
		g.recordStep(stepRequest)
	}
	skipped, ok := g.logSamplers.forCode(c).Allow(q.start)
	if !ok {
		return
	}
	workspace, version, revision := "", int64(0), int64(0)
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	if upstream == "" && len(q.chosen) > 0 && len(q.detours) == 0 {
		upstream = q.chosen[len(q.chosen)-1].Spec().ID
	}
	if q.view != nil {
		revision = q.view.Revision()
		if p := q.view.Policy(); p != nil {
			version = p.Version()
		}
	}
	logger := g.logger
	if len(q.detours) > 0 {
		logger = logger.WithValues("peers", q.detours)
	}
	logger.Info("request ended", "attempt", q.AttemptID, "status", status, "code", c, "reason", reason, "route", routeName,
		"workspace", workspace, "group", q.group, "object", q.AffinityKey, "upstream", upstream, "sends", q.sends, "ms", took.Milliseconds(),
		"policy", version, "revision", revision, "storeAgeMs", g.mirror.Age().Milliseconds(), "copyAgeMs", g.mirror.CopyAge().Milliseconds(), "skippedLines", skipped)
}
