package fggateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// testDialect spells messages in words of its own.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) fgmessage.Request {
	ms, err := strconv.Atoi(h.Get("T-Patience"))
	if err != nil {
		ms = 0
	}
	return fgmessage.Request{AttemptID: h.Get("T-Id"), AffinityKey: h.Get("T-Object"), Key: h.Get("T-Key"), Timeout: time.Duration(ms) * time.Millisecond}
}

func (testDialect) WriteForward(h http.Header, f fgmessage.Forward) {
	h.Del("T-Key")
	h.Set("T-Workspace", f.Workspace)
	h.Set("T-Upstream", f.UpstreamID)
	h.Set("T-Left", strconv.FormatInt(f.RemainingTime.Milliseconds(), 10))
}

func (testDialect) ReadResponse(r *http.Response) fgmessage.Response {
	return fgmessage.Response{
		AttemptID: r.Header.Get("T-Id"), Signed: r.Header.Get("T-Signed") != "", NotRun: r.Header.Get("T-Not-Run") != "",
		Misdirected: r.StatusCode == http.StatusMisdirectedRequest,
	}
}

func (testDialect) Ready() (string, string) { return http.MethodGet, "/ready" }

func (testDialect) Lookup() fgmessage.LookupCodec {
	return fgmessage.LookupCodec{
		Method: http.MethodGet, Path: "/lookup",
		Read: func(r *http.Request) fgmessage.Lookup { return fgmessage.Lookup{Region: r.URL.Query().Get("region")} },
		Write: func(w http.ResponseWriter, a fgmessage.LookupResponse) error {
			_, err := io.WriteString(w, strings.Join(a.Addresses, ","))
			return err
		},
	}
}

// testCodec keeps entries as JSON of the product's own types.
type testCodec struct{}

func decode[T any](key, prefix string, data []byte) (T, bool, error) {
	var v T
	if !strings.HasPrefix(key, prefix) {
		return v, false, nil
	}
	return v, true, json.Unmarshal(data, &v)
}

func (testCodec) Policy(key string, data []byte) (*fgsteer.Policy, bool, error) {
	s, ok, err := decode[fgsteer.PolicySpec](key, "policy", data)
	return fgsteer.NewPolicy(s), ok, err
}

func (testCodec) DrainedZone(key string) (string, bool) { return strings.CutPrefix(key, "drain/") }

func (testCodec) Upstream(key string, data []byte, _ time.Time) (fgsteer.UpstreamSpec, bool, error) {
	return decode[fgsteer.UpstreamSpec](key, "up/", data)
}

func (testCodec) Member(key string, data []byte) (fgsteer.MemberSpec, bool, error) {
	return decode[fgsteer.MemberSpec](key, "member/", data)
}

func encodeMember(m fgsteer.MemberSpec) (string, []byte, error) {
	data, err := json.Marshal(m)
	return "member/" + m.VM, data, err
}

// lines gathers log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// find returns the lines that contain all words.
func (l *lines) find(words ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		all := true
		for _, w := range words {
			all = all && strings.Contains(line, w)
		}
		if all {
			found = append(found, line)
		}
	}
	return found
}

// world is a store, upstreams and gateways on loopback.
type world struct {
	t      *testing.T
	feed   *fgstandin.Feed
	policy fgsteer.PolicySpec
	logs   lines
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, feed: fgstandin.NewFeed()}
	w.policy = fgsteer.PolicySpec{
		Version: 1,
		Routes: []fgsteer.RouteSpec{
			{Name: "read", Host: "h.example", PathPrefix: "/read/", Idempotent: true, Timeout: 5 * time.Second, MaxAttempts: 2, Groups: []fgsteer.WeightedGroup{{Group: "g", Weight: 1}}},
			{Name: "write", Host: "h.example", PathPrefix: "/write/", Timeout: 5 * time.Second, MaxAttempts: 2, Groups: []fgsteer.WeightedGroup{{Group: "g", Weight: 1}}},
			{Name: "once", Host: "h.example", PathPrefix: "/once/", Timeout: 400 * time.Millisecond, MaxAttempts: 2, Groups: []fgsteer.WeightedGroup{{Group: "g", Weight: 1}}},
			{Name: "short", Host: "h.example", PathPrefix: "/short/", Idempotent: true, Timeout: 200 * time.Millisecond, MaxAttempts: 2, Groups: []fgsteer.WeightedGroup{{Group: "g", Weight: 1}}},
		},
		Groups:     []fgsteer.GroupSpec{{Name: "g"}},
		Workspaces: []fgsteer.WorkspaceSpec{{Name: "w", Keys: []string{"k"}}},
		Limits:     fgsteer.CallerLimits{MaxBodyBytes: 1 << 20},
	}
	w.putPolicy()
	return w
}

func (w *world) put(key string, v any) {
	w.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		w.t.Fatal(err)
	}
	w.feed.Put(key, string(data))
}

func (w *world) putPolicy() { w.put("policy", w.policy) }

// upstream starts an upstream and registers it.
func (w *world) upstream(id string, h http.HandlerFunc) {
	w.t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Id", r.Header.Get("T-Id"))
		h(rw, r)
	}))
	w.t.Cleanup(s.Close)
	w.put("up/"+id, fgsteer.UpstreamSpec{ID: id, Group: "g", Address: s.Listener.Addr().String(), Slots: 4, Region: "east"})
}

// run is a running gateway.
type run struct {
	*Gateway

	cancel context.CancelFunc
	done   chan error
}

// gateway starts a gateway and waits until it knows the policy and n upstreams.
func (w *world) gateway(vm string, upstreams int) *run {
	w.t.Helper()
	g := New(Options{
		Settings: Settings{
			Self: fgsteer.MemberSpec{VM: vm, Region: "east"}, CallerListen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0",
			LookupListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", MetricsListen: "127.0.0.1:0",
			Bounds: Bounds{
				LookupLifetime: 5 * time.Second, Grace: time.Second,
				RepeatRatio: 0.2, RepeatExtra: 64, RepeatWindow: 10 * time.Second, RateSlack: 20,
			},
		},
		Feed: w.feed, Codec: testCodec{}, Entry: encodeMember, Dialect: testDialect{},
		Logger: logr.FromSlogHandler(slog.NewJSONHandler(&w.logs, nil)),
	})
	if err := g.Listen(); err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	r := &run{Gateway: g, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- g.Run(ctx) }()
	w.t.Cleanup(r.stop)
	w.eventually("the gateway is ready", func() bool {
		v := g.mirror.View()
		return g.ready() && len(v.Upstreams("g")) == upstreams && len(v.Members()) > 0
	})
	// Repeats are earned by requests and with time.
	for range 100 {
		g.repeats.Earn("g")
	}
	return r
}

func (r *run) stop() {
	r.cancel()
	err := <-r.done
	r.done <- err
}

// eventually waits for a condition that other goroutines bring about.
func (w *world) eventually(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("not in time: %s", what)
		}
	}
}

// reply is what a caller got.
type reply struct {
	status     int
	body       string
	retryAfter string
	header     http.Header
}

// call sends a request to a gateway and returns the answer.
func (r *run) call(t *testing.T, method, path string, header ...string) (reply, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, "http://"+r.settings.Self.CallerAddress+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h.example"
	q.Header.Set("T-Id", "a1")
	q.Header.Set("T-Key", "k")
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, string(body), res.Header.Get("Retry-After"), res.Header}, err
}

func (r *run) mustCall(t *testing.T, method, path string, header ...string) reply {
	t.Helper()
	a, err := r.call(t, method, path, header...)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// counter counts the requests of an upstream.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

func (c *counter) get() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

func whole(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Signed", "s")
	_, _ = io.WriteString(w, "fine")
}

// untilLeft works until its caller has left.
func untilLeft(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// breakOff closes the connection without an answer.
func breakOff(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a request that runs for another workspace, carries the key on,
// or arrives changed.
func TestServes(t *testing.T) {
	w := newWorld(t)
	seen := make(chan string, 1)
	w.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		seen <- fmt.Sprint(r.Method, r.RequestURI, r.Host, r.Header.Get("T-Workspace"), r.Header.Get("T-Key"), r.Header.Get("T-Upstream"), r.Header.Get("X-Own"), string(body), err)
		whole(rw, r)
	})
	g := w.gateway("vm-1", 1)
	a := g.mustCall(t, http.MethodPut, "/write/x?y=%2F", "X-Own", "own", "Connection", "X-Hop", "X-Hop", "1", "T-Workspace", "forged")
	if a.status != 200 || a.body != "fine" || a.header.Get("T-Signed") != "s" {
		t.Errorf("got %+v", a)
	}
	if got, want := <-seen, "PUT/write/x?y=%2Fh.examplewu1ownbody<nil>"; got != want {
		t.Errorf("the upstream saw %q, want %q", got, want)
	}
}

// Guards against wrong refusals, and refusals that do not say whether the
// request has run.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name, path string
		header     []string
		status     int
	}{
		{"no route", "/none/", nil, 404},
		{"another host", "/read/", nil, 404},
		{"unknown key", "/read/x", []string{"T-Key", "other"}, 401},
		{"no key", "/read/x", []string{"T-Key", ""}, 401},
	}
	w := newWorld(t)
	w.upstream("u1", whole)
	g := w.gateway("vm-1", 1)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := tt.path
			if tt.name == "another host" {
				path = "/write"
			}
			if a := g.mustCall(t, http.MethodGet, path, tt.header...); a.status != tt.status {
				t.Errorf("got %+v, want status %d", a, tt.status)
			}
		})
	}
}

// Guards against a request that runs twice, an idempotent one that is given up
// too soon, and answers that tell the caller something false.
func TestTries(t *testing.T) {
	unsigned := func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "forged") }
	cut := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Signed", "s")
		rw.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(rw, "part")
		panic(http.ErrAbortHandler)
	}
	misdirected := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
	}
	ownFault := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Signed", "s")
		rw.WriteHeader(http.StatusInternalServerError)
	}
	foreign := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Id", "another")
		whole(rw, r)
	}
	tests := []struct {
		name, path string
		// first serves the first request that arrives anywhere, others the rest.
		first, others http.HandlerFunc
		status        int
		arrivals      int
	}{
		{"idempotent, broken off", "/read/x", breakOff, whole, 200, 2},
		{"idempotent, unsigned", "/read/x", unsigned, whole, 200, 2},
		{"idempotent, cut", "/read/x", cut, whole, 200, 2},
		{"idempotent, only a foreign answer", "/short/x", foreign, whole, 504, 1},
		{"silent", "/once/x", untilLeft, whole, 504, 1},
		{"idempotent, always broken off", "/read/x", breakOff, breakOff, 502, 2},
		{"broken off", "/write/x", breakOff, whole, 502, 1},
		{"unsigned", "/write/x", unsigned, whole, 502, 1},
		{"cut", "/write/x", cut, whole, 502, 1},
		{"a fault of the upstream's own", "/write/x", ownFault, whole, 500, 1},
		{"shed", "/write/x", shed, whole, 200, 2},
		{"shed everywhere", "/write/x", shed, shed, 503, 2},
		{"another upstream has the address", "/write/x", misdirected, whole, 200, 2},
		{"broken off, then shed", "/read/x", breakOff, shed, 502, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t)
			var arrivals counter
			serve := func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if arrivals.add() == 1 {
					tt.first(rw, r)
					return
				}
				tt.others(rw, r)
			}
			w.upstream("u1", serve)
			w.upstream("u2", serve)
			w.upstream("u3", serve)
			g := w.gateway("vm-1", 3)
			a := g.mustCall(t, http.MethodPost, tt.path)
			if a.status != tt.status || arrivals.get() != tt.arrivals {
				t.Errorf("status %d after %d arrivals, want %d after %d", a.status, arrivals.get(), tt.status, tt.arrivals)
			}
			if (a.status == 503) != (a.retryAfter != "") {
				t.Errorf("status %d with Retry-After %q", a.status, a.retryAfter)
			}
		})
	}
}

// Guards against "not run" for a request that was not answered in time but may
// have run, and against callers who wait beyond the route's time.
func TestTimeout(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", untilLeft)
	g := w.gateway("vm-1", 1)
	began := time.Now()
	a := g.mustCall(t, http.MethodGet, "/short/x")
	if a.status != http.StatusGatewayTimeout {
		t.Errorf("got %+v", a)
	}
	if took := time.Since(began); took < 200*time.Millisecond || took > 3*time.Second {
		t.Errorf("answered after %s", took)
	}
}

// Guards against an upstream that goes silent and keeps its part of the requests,
// and against idempotent requests that are lost with it.
func TestSilentUpstreamIsLeft(t *testing.T) {
	w := newWorld(t)
	silent := make(chan struct{})
	w.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-silent:
			untilLeft(rw, r)
		default:
			whole(rw, r)
		}
	})
	w.upstream("u2", whole)
	g := w.gateway("vm-1", 2)
	close(silent)
	inARow := 0
	w.eventually("ten answers in a row", func() bool {
		if g.mustCall(t, http.MethodGet, "/short/x").status == 200 {
			inARow++
		} else {
			inARow = 0
		}
		return inARow == 10
	})
}

// Guards against an upstream that is kept at work for a caller who has left.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t)
	arrived, ended := make(chan struct{}), make(chan struct{})
	w.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		close(arrived)
		untilLeft(rw, r)
		close(ended)
	})
	g := w.gateway("vm-1", 1)
	c, err := net.Dial("tcp", g.settings.Self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\nT-Key: k\r\n\r\n")
	<-arrived
	_ = c.Close()
	<-ended
}

// Guards against a stop that cuts a request, keeps itself in look-ups or takes
// longer than the grace period.
func TestStop(t *testing.T) {
	w := newWorld(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	w.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-release
		whole(rw, r)
	})
	g, other := w.gateway("vm-1", 1), w.gateway("vm-2", 1)
	replies := make(chan reply, 1)
	go func() {
		a, err := g.call(t, http.MethodPost, "/write/x")
		if err != nil {
			a.body = err.Error()
		}
		replies <- a
	}()
	<-arrived
	g.SetBounds(Bounds{Grace: 4 * time.Second})
	began := time.Now()
	g.cancel()
	w.eventually("the gateway is not ready", func() bool { return !g.ready() })
	w.eventually("the other gateway's look-ups name itself only", func() bool {
		all := other.addresses(other.mirror.View(), fgmessage.Lookup{Region: "east"})
		return len(all) == 1 && all[0] == other.settings.Self.CallerAddress
	})
	close(release)
	if a := <-replies; a.status != 200 || a.body != "fine" {
		t.Errorf("the request in flight got %+v", a)
	}
	if err := <-g.done; err != nil {
		t.Error(err)
	}
	g.done <- nil
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("stopped after %s, want at most %s", took, 4*time.Second)
	}
}

// Guards against failed requests whose cause cannot be found from their id.
func TestFailuresAreExplained(t *testing.T) {
	w := newWorld(t)
	w.policy.Workspaces = append(w.policy.Workspaces, fgsteer.WorkspaceSpec{Name: "small", Keys: []string{"s"}, Rate: 0.001, Burst: 1})
	w.putPolicy()
	w.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/short/") {
			untilLeft(rw, r)
			return
		}
		breakOff(rw, r)
	})
	g := w.gateway("vm-1", 1)
	tests := []struct {
		name, id, path, key string
		words               []string
	}{
		{"above the rate", "r1", "/read/x", "s", []string{`"code":"above-rate"`, `"status":429`, `"workspace":"small"`, "above its rate"}},
		{"broken off", "r2", "/write/x", "k", []string{`"code":"upstream-lost"`, `"status":502`, `"route":"write"`, "may have run"}},
		{"too slow", "r3", "/short/x", "k", []string{`"code":"late"`, `"status":504`, `"route":"short"`, `"sends":1`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g.mustCall(t, http.MethodPost, tt.path, "T-Id", tt.id, "T-Key", tt.key)
			words := append([]string{`"attempt":"` + tt.id + `"`, `"policy":1`}, tt.words...)
			w.eventually("a line about the request", func() bool { return len(w.logs.find(words...)) == 1 })
		})
	}
}

// Guards against metrics that do not count what was refused, and why.
func TestMetrics(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", whole)
	g := w.gateway("vm-1", 1)
	g.mustCall(t, http.MethodGet, "/read/x")
	g.mustCall(t, http.MethodGet, "/read/x", "T-Key", "other")
	res, err := http.Get("http://" + g.sockets.metrics.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`filbertgap_gateway_requests_total{end="answered",route="read"} 1`,
		`filbertgap_gateway_requests_total{end="key-unknown",route="read"} 1`,
		`filbertgap_gateway_request_seconds_count{route="read"} 2`,
		`filbertgap_gateway_sends_total{group="g",result="answered"} 1`,
		`filbertgap_gateway_policy_version 1`,
		`filbertgap_gateway_upstreams 1`,
	} {
		if !strings.Contains(string(text), line+"\n") {
			t.Errorf("the metrics lack %s", line)
		}
	}
}
