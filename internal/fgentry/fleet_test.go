package fgentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgdedupe"
	"github.com/filbertgap/filbertgap/internal/transport/fgpeer"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

const testTimeout = 20 * time.Second

// fleet is a set of entries and upstreams that communicate over loopback
// connections.
type fleet struct {
	platform *fgstandin.Platform
	entries  []*Entry
	ports    []*killablePort
	stops    []context.CancelFunc
	// suspectWaits receives a value when a request waits for a suspect.
	suspectWaits chan struct{}
	upstreams    []*fgstandin.Upstream
	crashed      []string
	// faultOnce clears the faults of all other upstreams after the first fault.
	faultOnce bool
	mu        sync.Mutex
	key       fgkey.Key
}

// killablePort is a peer listener that can be closed together with its
// connections, as if its process had died.
type killablePort struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (p *killablePort) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err == nil {
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
	}
	return c, err
}

func (p *killablePort) kill() {
	_ = p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func newFleet(t *testing.T, entries, upstreams int) *fleet {
	t.Helper()
	f := &fleet{platform: &fgstandin.Platform{}, key: fgkey.New(), suspectWaits: make(chan struct{}, 1)}
	change := fgconfig.Change{Put: []fgapi.Resource{
		resource("west", &fgapi.RegionSpec{AvailabilityZones: []string{"west-a"}}),
		resource("office", &fgapi.WorkspaceSpec{RequestsPerSecond: 100_000, Burst: 100_000}),
		resource(f.key.ID(), &fgapi.KeySpec{Workspace: "office", Digest: f.key.Digest()}),
		resource("orders", routeSpec("/orders", false, "GET", "POST")),
		resource("browse", routeSpec("/browse", true, "GET", "POST")),
	}}
	for i := range upstreams {
		name := fmt.Sprintf("up-%d", i)
		change.Put = append(change.Put, resource(name, &fgapi.UpstreamSpec{
			Address: f.startUpstream(t, name), Group: "all", Region: "west", AvailabilityZone: "west-a",
		}))
	}
	for i := range entries {
		f.startEntry(t, fmt.Sprintf("vm-%d", i))
	}
	f.apply(t, change)
	for _, e := range f.entries {
		await(t, e.members.Changed, func() bool { return len(e.members.State().All()) == entries })
		f.awaitShare(t, e)
	}
	return f
}

// awaitShare waits until an entry admits requests of the workspace, from its
// own share or a peer's. It does not sleep between checks, because
// admitWorkspace waits for the peers.
func (f *fleet) awaitShare(t *testing.T, e *Entry) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for e.admitWorkspace(ctx, &call{workspace: "office"}) != nil {
		if ctx.Err() != nil {
			t.Fatal("timeout while waiting for a share of the workspace")
		}
		runtime.Gosched()
	}
}

func (f *fleet) log(_, text string) {
	if !strings.Contains(text, "request waits") {
		return
	}
	select {
	case f.suspectWaits <- struct{}{}:
	default:
	}
}

func resource(name string, spec fgapi.Spec) fgapi.Resource {
	for _, k := range fgapi.Kinds() {
		if fmt.Sprintf("%T", fgapi.NewSpec(k)) == fmt.Sprintf("%T", spec) {
			return fgapi.Resource{APIVersion: fgapi.Version, Kind: k, Metadata: fgapi.Metadata{Name: name}, Spec: spec}
		}
	}
	panic("unknown spec")
}

func routeSpec(prefix string, idempotent bool, methods ...string) *fgapi.RouteSpec {
	return &fgapi.RouteSpec{
		PathPrefix: prefix, Methods: methods, Access: fgapi.AccessKeyed, Idempotent: idempotent,
		Deadline: fgapi.NewDuration(testTimeout), UpstreamGroup: "all",
	}
}

func (f *fleet) startUpstream(t *testing.T, name string) string {
	t.Helper()
	u := &fgstandin.Upstream{}
	s := httptest.NewServer(u)
	t.Cleanup(s.Close)
	var once sync.Once
	u.OnCrash(func() {
		once.Do(func() {
			f.mu.Lock()
			f.crashed = append(f.crashed, name)
			f.mu.Unlock()
			f.clearOtherFaults(u)
			_ = s.Listener.Close()
			s.CloseClientConnections()
		})
	})
	u.OnShed(func() { f.clearOtherFaults(u) })
	f.upstreams = append(f.upstreams, u)
	return s.Listener.Addr().String()
}

func (f *fleet) startEntry(t *testing.T, vm string) {
	t.Helper()
	secret, err := fgpeer.NewSecret([]byte("a fleet secret for tests"))
	if err != nil {
		t.Fatal(err)
	}
	const any = "127.0.0.1:0"
	e := New(Settings{fleetSecret: secret, operatorToken: "token", raw: RawSettings{
		VM: vm, Region: "west", AvailabilityZone: "west-a", DrainTimeout: testTimeout,
		CallerListen: any, PeerListen: any, OperatorListen: any, MetricsListen: any,
	}}, f.platform, f.platform, funcr.New(f.log, funcr.Options{Verbosity: 1}))
	if err := e.Listen(); err != nil {
		t.Fatal(err)
	}
	port := &killablePort{Listener: e.listeners.peer}
	e.listeners.peer = port
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	f.entries = append(f.entries, e)
	f.ports = append(f.ports, port)
	f.stops = append(f.stops, cancel)
}

func (f *fleet) apply(t *testing.T, c fgconfig.Change) {
	t.Helper()
	g, err := f.entries[0].config.Submit(t.Context(), fgrequest.NewTraceID(), func(s *fgconfig.Snapshot) (json.RawMessage, error) {
		if err := s.Check(c); err != nil {
			return nil, err
		}
		return json.Marshal(c)
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range f.entries {
		await(t, e.config.Changed, func() bool { return e.config.Generation() >= g })
	}
}

// await waits until done returns true. It calls done again each time the
// channel closes.
func await(t *testing.T, changed func() <-chan struct{}, done func() bool) {
	t.Helper()
	limit := time.After(testTimeout)
	for {
		next := changed()
		if done() {
			return
		}
		select {
		case <-next:
		case <-limit:
			t.Fatal("timeout while waiting for the fleet")
		}
	}
}

// id returns a request id that only entry i may run.
func (f *fleet) id(i int, suffix string) string {
	return fgrequest.Prefix(f.entries[i].incarnation, fgdedupe.WindowAt(time.Now())) + "-" + suffix
}

// response is what a caller received.
type response struct {
	status  int
	code    string
	outcome string
	body    string
	err     error
}

func (r response) String() string {
	return fmt.Sprintf("%d %s %s %v", r.status, r.code, r.outcome, r.err)
}

func (f *fleet) send(ctx context.Context, entry int, method, path, idempotencyKey, body string) response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.entries[entry].CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+f.key.Reveal())
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return do(req)
}

func do(req *http.Request) response {
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	out := response{status: res.StatusCode, body: string(data), err: err}
	var p struct{ Code, Outcome string }
	if json.Unmarshal(data, &p) == nil {
		out.code, out.outcome = p.Code, p.Outcome
	}
	return out
}

// clearOtherFaults clears the faults of all other upstreams if faultOnce is
// set, so that a test does not depend on which upstream the placer chooses
// first.
func (f *fleet) clearOtherFaults(u *fgstandin.Upstream) {
	if !f.faultOnce {
		return
	}
	for _, other := range f.upstreams {
		if other != u {
			other.SetBehavior(fgstandin.Behavior{})
		}
	}
}

// sendUntilServed resends a request while the upstream that refused it is in
// backoff.
func (f *fleet) sendUntilServed(t *testing.T, entry int, method, path, id, body string) response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for {
		res := f.send(ctx, entry, method, path, id, body)
		if res.code != "no-capacity" || res.outcome != "not-run" {
			return res
		}
	}
}

// setBehavior sets the behavior of all upstreams.
func (f *fleet) setBehavior(b fgstandin.Behavior) {
	for _, u := range f.upstreams {
		u.SetBehavior(b)
	}
}

// countRuns returns how many requests with a path the upstreams ran.
func (f *fleet) countRuns(path string) int {
	n := 0
	for _, u := range f.upstreams {
		for _, o := range u.Observed() {
			if o.Path == path {
				n++
			}
		}
	}
	return n
}

// crashedUpstreams returns the names of the upstreams that crashed.
func (f *fleet) crashedUpstreams() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crashed)
}
