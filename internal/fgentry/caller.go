package fgentry

import (
	"context"
	"encoding/json"
	"errors"
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

	// lookupLifetime is how long callers may cache a look-up answer.
	lookupLifetime = 30 * time.Second
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

// LookupVM is one VM of a look-up answer.
type LookupVM struct {
	VM               string `json:"vm"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// IDPrefix begins the Idempotency-Key of requests sent to this VM.
	IDPrefix string `json:"idPrefix"`
}

// LookupAnswer tells a caller which VMs to use, in order.
type LookupAnswer struct {
	VMs             []LookupVM `json:"vms"`
	LifetimeSeconds int        `json:"lifetimeSeconds"`
}

func (e *Entry) handleLookup(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer := LookupAnswer{LifetimeSeconds: int(lookupLifetime.Seconds())}
	for _, m := range e.members.State().All() {
		if m.Leaving || !e.reports.Alive(m.Incarnation) {
			continue
		}
		answer.VMs = append(answer.VMs, LookupVM{VM: m.VM, Address: m.CallerAddress, Region: m.Region, AvailabilityZone: m.AvailabilityZone})
	}
	slices.SortStableFunc(answer.VMs, func(a, b LookupVM) int { return e.distance(a) - e.distance(b) })
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(answer.LifetimeSeconds))
	_ = json.NewEncoder(w).Encode(answer)
}

func (e *Entry) distance(v LookupVM) int {
	switch {
	case v.VM == e.settings.raw.VM:
		return 0
	case v.Region == e.settings.raw.Region:
		return 1
	default:
		return 2
	}
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
	u, err := e.place(c)
	if err != nil {
		return err
	}
	return e.forward(ctx, w, r, c, u)
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

// place chooses an upstream of the route's group.
func (e *Entry) place(c *call) (*fgconfig.Upstream, error) {
	for _, u := range c.snapshot.Upstreams(c.route.Spec().UpstreamGroup) {
		if u.Spec().Region == e.settings.raw.Region {
			return u, nil
		}
	}
	return nil, fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoUpstream, "no upstream serves the route here")
}

func (e *Entry) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, u *fgconfig.Upstream) error {
	out := r.Clone(ctx)
	out.Header.Del("Authorization")
	out.Header.Set(headerWorkspace, c.workspace)
	out.Header.Set(headerRequestID, c.id)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(headerTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	res, err := e.upstreams.RoundTrip(ctx, u.Spec().Address, out)
	if err != nil {
		return fgproblem.New(http.StatusBadGateway, fgproblem.CodeUpstreamLost, "the upstream did not answer").WithOutcome(fgproblem.Unknown)
	}
	defer func() { _ = res.Body.Close() }()
	e.logger.Info("request", "requestId", c.id, "workspace", c.workspace, "vm", e.settings.raw.VM, "upstream", u.Name(), "outcome", "ran", "status", res.StatusCode)
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
