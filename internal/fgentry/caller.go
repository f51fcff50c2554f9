package fgentry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

const (
	headerRequestID = "X-Request-Id"
	headerWorkspace = "Filbertgap-Workspace"
	headerTimeout   = "Request-Timeout-Ms"
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
}

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	c := &call{id: r.Header.Get(headerRequestID), snapshot: e.config.State()}
	if c.id == "" {
		c.id = fgrequest.NewTraceID()
	}
	w.Header().Set(headerRequestID, c.id)
	if err := e.serve(w, r, c); err != nil {
		e.refuse(w, c, err)
	}
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, c *call) error {
	if err := c.matchRoute(r); err != nil {
		return err
	}
	if err := c.authenticate(r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.route.Spec().Deadline.Value())
	defer cancel()
	if c.key != nil {
		if err := e.checkFresh(); err != nil {
			return err
		}
		var end func()
		ctx, end = e.trackKey(ctx, c)
		defer end()
	}
	r = r.WithContext(ctx)
	if c.route.Spec().Idempotent {
		return e.run(w, r, c)
	}
	return e.once(w, r, c)
}

// run admits a call, places it and sends it to its target.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, c *call) error {
	if err := e.admitWorkspace(r.Context(), c); err != nil {
		return err
	}
	t, err := e.place(r.Context(), c, placeOptions{})
	if err != nil {
		return err
	}
	switch t := t.(type) {
	case localTarget:
		return e.sendLocal(w, r, c, t)
	default:
		return fmt.Errorf("unknown target %T", t)
	}
}

func (c *call) matchRoute(r *http.Request) error {
	c.route = c.snapshot.Route(r.URL.Path)
	if c.route == nil {
		return fgproblem.New(http.StatusNotFound, fgproblem.CodeNoRoute, "no route matches the path")
	}
	if !slices.Contains(c.route.Spec().Methods, r.Method) {
		return fgproblem.New(http.StatusMethodNotAllowed, fgproblem.CodeMethodNotAllowed, "the route does not accept the method")
	}
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

// sendLocal sends a call to an upstream and copies its answer.
func (e *Entry) sendLocal(w http.ResponseWriter, r *http.Request, c *call, t localTarget) error {
	out := r.Clone(r.Context())
	out.Header.Del("Authorization")
	out.Header.Set(headerWorkspace, c.workspace)
	out.Header.Set(headerRequestID, c.id)
	if deadline, ok := r.Context().Deadline(); ok {
		out.Header.Set(headerTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	res, err := e.upstreams.RoundTrip(r.Context(), t.upstream.Spec().Address, out)
	if err != nil {
		t.done(resultLost)
		return fgproblem.New(http.StatusBadGateway, fgproblem.CodeUpstreamLost, "the upstream did not answer").WithOutcome(fgproblem.Unknown)
	}
	defer t.done(resultOf(res))
	defer func() { _ = res.Body.Close() }()
	e.logger.Info("request", "requestId", c.id, "workspace", c.workspace, "vm", e.settings.raw.VM, "upstream", t.upstream.Name(), "outcome", "ran", "status", res.StatusCode)
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.StatusCode)
	if _, err := io.Copy(w, res.Body); err != nil {
		// Closes the caller's connection, so that a cut answer does not look whole.
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (e *Entry) refuse(w http.ResponseWriter, c *call, err error) {
	var p *fgproblem.Problem
	if !errors.As(err, &p) {
		p = fgproblem.New(http.StatusInternalServerError, fgproblem.CodeOutcomeUnknown, "internal error").WithOutcome(fgproblem.Unknown)
		e.logger.Error(err, "request failed", "requestId", c.id)
	}
	e.logger.Info("request", "requestId", c.id, "workspace", c.workspace, "vm", e.settings.raw.VM, "upstream", "", "outcome", p.Outcome(), "reason", p.Code())
	p.Write(w, c.id)
}
