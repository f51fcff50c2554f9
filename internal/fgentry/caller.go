package fgentry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
	"github.com/filbertgap/filbertgap/internal/transport/fglistener"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

const (
	headerRequestID = "X-Request-Id"
	headerWorkspace = "Filbertgap-Workspace"
	headerTimeout   = "Request-Timeout-Ms"

	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeyBytes bounds the memory per stored Idempotency-Key.
	maxIdempotencyKeyBytes = 255
	// writeGrace is added to a call's deadline to write the end of the
	// response.
	writeGrace = time.Second
	// maxRequestIDBytes bounds a caller's request id, which is written to log
	// lines.
	maxRequestIDBytes = 128
)

// errStopped means that a stop has ended a call.
var errStopped = merry.Sentinel("the process stops")

func (e *Entry) callerHandler() http.Handler {
	r := httprouter.New()
	r.HandleMethodNotAllowed = false
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.GET("/fg/v1/lookup", e.handleLookup)
	r.NotFound = http.HandlerFunc(e.handleRequest)
	return r
}

// call is the state of one request while this process serves it.
type call struct {
	id        string
	snapshot  *fgconfig.Snapshot
	route     *fgconfig.Route
	key       *fgconfig.Key
	workspace string
	// nonIdempotent marks a request that must not run twice.
	nonIdempotent bool
	// idempotencyKey is the caller's Idempotency-Key, by which duplicates are
	// recognised.
	idempotencyKey string
	// unprefixed means that idempotencyKey does not begin with an idPrefix and
	// so names no entry process.
	unprefixed bool
	// upstreamID is the request id that the upstream receives.
	upstreamID string
	// duplicatesChecked means that refusals already account for earlier
	// attempts with the same id.
	duplicatesChecked bool
	// hop is the reason why a peer forwarded the request here, and fromRegion
	// the peer's region.
	hop        hop
	fromRegion string
	// admittedAt is when the token of the workspace's rate limit was taken. For
	// a call that a peer has placed here, it is when the call arrived.
	admittedAt time.Time
	// sendContext bounds a send. For a non-idempotent request, it does not end
	// when the caller disconnects.
	sendContext context.Context
	body        *requestBody
	bodyDigest  [sha256.Size]byte
	fingerprint fgsuspect.Fingerprint
	// refusal and completed record for the metrics how the call ended.
	refusal   *fgproblem.Problem
	completed bool
}

func (e *Entry) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{id: r.Header.Get(headerRequestID), snapshot: e.config.State()}
	if c.id == "" || len(c.id) > maxRequestIDBytes || fgkey.Contains(c.id) {
		c.id = fgrequest.NewTraceID()
	}
	w.Header().Set(headerRequestID, c.id)
	return c
}

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	c := e.newCall(w, r)
	measured := e.metrics.Begin()
	defer func() { c.observe(measured) }()
	e.finish(w, r, c, e.serve(w, r, c))
}

// finish completes a call that was served with the given error or nil.
func (e *Entry) finish(w http.ResponseWriter, r *http.Request, c *call, err error) {
	switch {
	case err == nil:
	case errors.Is(err, errTruncatedResponse), errors.Is(err, errCallerDisconnected):
		// Closes the caller's connection, so that a truncated response does not
		// look complete.
		fglistener.ResetIfUnframed(r)
		panic(http.ErrAbortHandler)
	default:
		e.refuse(w, r, c, e.correctOutcome(c, err))
	}
	c.completed = true
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, c *call) error {
	keys := r.Header.Values(headerIdempotencyKey)
	if len(keys) > 0 {
		c.idempotencyKey = keys[0]
	}
	if err := fgkey.CheckURL(r); err != nil {
		return err
	}
	if err := c.matchRoute(r); err != nil {
		return err
	}
	if err := c.authenticate(r); err != nil {
		return err
	}
	if len(keys) > 1 || len(c.idempotencyKey) > maxIdempotencyKeyBytes || fgkey.Contains(c.idempotencyKey) {
		return fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "send one Idempotency-Key of at most 255 bytes that does not contain a workspace key")
	}
	return e.serveIdentified(w, r, c)
}

// serveIdentified serves a call whose route and workspace are known.
func (e *Entry) serveIdentified(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, end := e.callContext(r, c)
	defer end()
	r = r.WithContext(ctx)
	if c.key != nil {
		if err := e.checkFreshness(); err != nil {
			return err
		}
	}
	release, err := e.readBody(w, r, c)
	if err != nil {
		return err
	}
	defer release()
	c.fingerprint = fgsuspect.Fingerprint(digestOf(c.workspace, c.route.Name(), r.Method, r.URL.Path, r.URL.RawQuery, string(c.bodyDigest[:])))
	defer setWriteDeadline(w, ctx)()
	switch {
	case c.hop == hopID:
		return e.serveAsOwner(w, r, c)
	case c.hop == hopPlacement || !c.nonIdempotent:
		return e.admitAndSend(w, r, c)
	default:
		return e.serveNonIdempotent(w, r, c)
	}
}

// callContext returns the context of a call. It ends at the call's deadline,
// when the caller disconnects, 2 s after the call's key is withdrawn or
// expires, or at the end of a stop.
func (e *Entry) callContext(r *http.Request, c *call) (context.Context, func()) {
	timeout := c.route.Spec().Deadline.Value()
	if ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 32); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	detached, cancelDetached := context.WithTimeout(context.WithoutCancel(r.Context()), timeout)
	detached, endCall := context.WithCancelCause(detached)
	detach := context.AfterFunc(e.callsEnded, func() { endCall(merry.Wrap(errStopped)) })
	endTracking := func() {}
	if c.key != nil {
		detached, endTracking = e.trackKey(detached, c)
	}
	ctx, cancel := context.WithCancel(detached)
	stop := context.AfterFunc(r.Context(), cancel)
	c.sendContext = ctx
	if c.nonIdempotent {
		c.sendContext = detached
	}
	return ctx, func() {
		stop()
		detach()
		cancel()
		endCall(nil)
		endTracking()
		cancelDetached()
	}
}

// setWriteDeadline bounds writes to a caller that does not read its response by
// the deadline. The returned function removes the bound for the connection's
// next request.
func setWriteDeadline(w http.ResponseWriter, ctx context.Context) func() {
	control := http.NewResponseController(w)
	if deadline, ok := ctx.Deadline(); ok {
		_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	}
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// digestOf returns a digest of a list of texts. The lengths are included, so
// that the boundaries between the texts count.
func digestOf(texts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, text := range texts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(text), text)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func (c *call) matchRoute(r *http.Request) error {
	c.route = c.snapshot.RouteFor(r.URL.Path, r.Method)
	if c.route == nil {
		return fgproblem.New(http.StatusNotFound, fgproblem.CodeNoRoute, "no route matches the path")
	}
	if !slices.Contains(c.route.Spec().Methods, r.Method) {
		return fgproblem.New(http.StatusMethodNotAllowed, fgproblem.CodeMethodNotAllowed, "the route does not accept the method")
	}
	c.nonIdempotent = !c.route.Spec().Idempotent
	return nil
}

func (c *call) authenticate(r *http.Request) error {
	if c.route.Spec().Access == fgapi.AccessOpen {
		return nil
	}
	presented, err := fgkey.FromHeader(r.Header)
	if errors.Is(err, fgkey.ErrMissing) {
		return fgproblem.New(http.StatusUnauthorized, fgproblem.CodeKeyMissing, "the route needs a key: send Authorization: Bearer fgk_...")
	}
	if err != nil {
		return keyInvalid()
	}
	key, ok := c.snapshot.Key(presented.ID())
	if !ok || !presented.Matches(key.Spec().Digest) || expired(key) {
		return keyInvalid()
	}
	c.key = key
	c.workspace = key.Spec().Workspace
	return nil
}

func keyInvalid() error {
	return fgproblem.New(http.StatusUnauthorized, fgproblem.CodeKeyInvalid, "the key is unknown, withdrawn or expired")
}

func expired(k *fgconfig.Key) bool {
	at := k.Spec().ExpiresAt
	return at != nil && !time.Now().Before(*at)
}

func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, c *call, err error) {
	var p *fgproblem.Problem
	if !errors.As(err, &p) {
		p = fgproblem.New(http.StatusInternalServerError, fgproblem.CodeOutcomeUnknown, "internal error").WithOutcome(fgproblem.Unknown)
		e.logger.Error(err, "request failed", "requestId", c.id)
	}
	e.logDecision(c, destination{}, string(p.Outcome()), string(p.Code()))
	c.refusal = p
	if r.ContentLength != 0 && (c.body == nil || !c.body.complete) {
		// The rest of the body must not be read as the next request.
		w.Header().Set("Connection", "close")
	}
	if c.hop != hopNone {
		w.Header().Set(headerOutcome, string(p.Outcome()))
	}
	p.Write(w, c.id)
}
