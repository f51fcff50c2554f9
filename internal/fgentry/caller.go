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

	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

const (
	headerRequestID = "X-Request-Id"
	headerWorkspace = "Filbertgap-Workspace"
	headerTimeout   = "Request-Timeout-Ms"

	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKey bounds what is stored of each request.
	maxIdempotencyKeyBytes = 255
	// writeGrace is added to the deadline for the last part of an answer.
	writeGrace = time.Second
	// maxRequestIDBytes bounds a caller's request id, which log lines repeat.
	maxRequestIDBytes = 128
)

func (e *Entry) callerHandler() http.Handler {
	r := httprouter.New()
	r.HandleMethodNotAllowed = false
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.GET("/fg/v1/lookup", e.handleLookup)
	r.NotFound = http.HandlerFunc(e.handleRequest)
	return r
}

// call is one caller's request on its way through this process.
type call struct {
	id        string
	snapshot  *fgconfig.Snapshot
	route     *fgconfig.Route
	key       *fgconfig.Key
	workspace string
	// once marks a request that must not run twice.
	nonIdempotent bool
	// idempotencyKey is the key of repeats as the caller gave it.
	idempotencyKey string
	// foreign marks an idempotencyKey that names no process.
	foreign bool
	// upstreamID is the id under which the upstream receives the request.
	upstreamID string
	// settled means that refusals account for earlier arrivals of the same id.
	duplicatesChecked bool
	// hop tells how a peer forwarded the request here, and from where.
	hop        hop
	fromRegion string
	// admittedAt is when the workspace's token was taken.
	admittedAt time.Time
	// sendContext bounds what was sent. For a non-idempotent request it does
	// not end when the caller leaves.
	sendContext context.Context
	body        *requestBody
	bodyDigest  [sha256.Size]byte
	fingerprint fgsuspect.Fingerprint
	// refusal and ended tell the metrics how the call ended.
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

// finish ends a call that was served with an error.
func (e *Entry) finish(w http.ResponseWriter, r *http.Request, c *call, err error) {
	switch {
	case err == nil:
	case errors.Is(err, errTruncatedResponse), errors.Is(err, errCallerGone):
		// Closes the caller's connection, so that a cut answer does not look whole.
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
		return fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "send one Idempotency-Key of at most 255 bytes, which holds no key of this system")
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

// callContext returns the context of a call, which ends at its deadline, when
// its key is withdrawn, and when its caller leaves.
func (e *Entry) callContext(r *http.Request, c *call) (context.Context, func()) {
	timeout := c.route.Spec().Deadline.Value()
	if ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 32); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	detached, cancelDetached := context.WithTimeout(context.WithoutCancel(r.Context()), timeout)
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
		cancel()
		endTracking()
		cancelDetached()
	}
}

// limitWrites ends writes to a caller that does not read its answer by the
// deadline. The returned function lifts the limit for the connection's next
// request.
func setWriteDeadline(w http.ResponseWriter, ctx context.Context) func() {
	control := http.NewResponseController(w)
	if deadline, ok := ctx.Deadline(); ok {
		_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	}
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// digestOf returns a digest of texts that differs when any of them differs.
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
