package fggateway

import (
	"bufio"
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
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// testDialect encodes and decodes messages with header names of its own.
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

func (testDialect) WriteRemainingTime(h http.Header, remaining time.Duration) {
	h.Set("T-Patience", strconv.FormatInt(remaining.Milliseconds(), 10))
}

func (testDialect) ReadResponse(r *http.Response) fgmessage.Response {
	limit, err := strconv.ParseFloat(r.Header.Get("T-Limit"), 64)
	var load fgmessage.Load
	_, loadErr := fmt.Sscan(r.Header.Get("T-Load"), &load.Running, &load.Waiting, &load.Slots, &load.Slowdown)
	pause, _ := time.ParseDuration(r.Header.Get("T-Pause"))
	return fgmessage.Response{
		Leaving: r.Header.Get("T-Leaving") != "", Pause: pause, Load: load, HasLoad: loadErr == nil,
		AttemptID: r.Header.Get("T-Id"), Signed: r.Header.Get("T-Signed") != "", NotRun: r.Header.Get("T-Not-Run") != "",
		Misdirected: r.StatusCode == http.StatusMisdirectedRequest, Limit: limit, HasLimit: err == nil,
	}
}

func (testDialect) Ready() (string, string) { return http.MethodGet, "/ready" }

func (testDialect) Lookup() fgmessage.LookupCodec {
	return fgmessage.LookupCodec{
		Method: http.MethodGet, Path: "/lookup",
		Read: func(r *http.Request) fgmessage.Lookup { return fgmessage.Lookup{Region: r.URL.Query().Get("region")} },
		Write: func(w http.ResponseWriter, response fgmessage.LookupResponse) error {
			_, err := io.WriteString(w, strings.Join(response.Addresses, ","))
			return err
		},
	}
}

// testCodec decodes entries that are the JSON of package fgsteer's types.
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

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// find returns the lines that contain all words.
func (l *logBuffer) find(words ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		matches := true
		for _, word := range words {
			matches = matches && strings.Contains(line, word)
		}
		if matches {
			found = append(found, line)
		}
	}
	return found
}

// testEnv is a store with upstreams and gateways on loopback.
type testEnv struct {
	t      *testing.T
	feed   *fgstandin.Feed
	policy fgsteer.PolicySpec
	logs   logBuffer
	// links are the paths of gateways to the upstreams, by VM. The others have no faults.
	links map[string]*upstreamLink
	// dial opens the connections of gateways without a link to upstreams. Nil means TCP.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// maxExtra limits the second sends of all gateways.
	maxExtra float64
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	env := &testEnv{t: t, feed: fgstandin.NewFeed(), links: map[string]*upstreamLink{}}
	env.policy = fgsteer.PolicySpec{
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
	env.putPolicy()
	return env
}

func (env *testEnv) put(key string, v any) {
	env.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		env.t.Fatal(err)
	}
	env.feed.Put(key, string(data))
}

func (env *testEnv) putPolicy() { env.put("policy", env.policy) }

// upstream starts an upstream and registers it.
func (env *testEnv) upstream(id string, h http.HandlerFunc) {
	env.t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Id", r.Header.Get("T-Id"))
		h(rw, r)
	}))
	env.t.Cleanup(s.Close)
	env.put("up/"+id, fgsteer.UpstreamSpec{ID: id, Group: "g", Address: s.Listener.Addr().String(), Slots: 4, Region: "east"})
}

// testGateway is a running gateway.
type testGateway struct {
	*Gateway

	cancel context.CancelFunc
	done   chan error
}

// startGateway starts a gateway.
func (env *testEnv) startGateway(vm string) *testGateway {
	env.t.Helper()
	options := Options{
		Settings: Settings{
			Self: fgsteer.MemberSpec{VM: vm, Region: "east"}, CallerListen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0",
			LookupListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", MetricsListen: "127.0.0.1:0", MaxExtraRequests: env.maxExtra,
			Bounds: Bounds{
				LookupLifetime: 5 * time.Second, Grace: time.Second,
				RepeatRatio: 0.2, RepeatExtra: 64, RepeatWindow: 10 * time.Second, RateSlack: 20,
			},
		},
		Feed: env.feed, Codec: testCodec{}, EncodeMember: encodeMember, Dialect: testDialect{},
		Logger: logr.FromSlogHandler(slog.NewJSONHandler(&env.logs, nil)),
	}
	options.DialUpstream = env.dial
	if l := env.links[vm]; l != nil {
		options.DialUpstream = l.dial
	}
	g := New(options)
	if err := g.Listen(); err != nil {
		env.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(env.t.Context())
	r := &testGateway{Gateway: g, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- g.Run(ctx) }()
	env.t.Cleanup(r.stop)
	return r
}

// gateway starts a gateway and waits until it has received the policy and a
// number of upstreams.
func (env *testEnv) gateway(vm string, upstreams int) *testGateway {
	env.t.Helper()
	g := env.startGateway(vm)
	env.eventually("the gateway is ready", func() bool {
		// The view is nil until the gateway is ready.
		if !g.isReady() {
			return false
		}
		v := g.mirror.View()
		return len(v.Upstreams("g")) == upstreams && len(v.Members()) > 0
	})
	// Requests add to the retry budget, which is empty at first.
	for range 100 {
		g.retryBudget.CountRequest("g")
	}
	return g
}

func (r *testGateway) stop() {
	r.cancel()
	err := <-r.done
	r.done <- err
}

// eventually waits until a condition holds, and fails the test after 20 s.
func (env *testEnv) eventually(condition string, ok func() bool) {
	env.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			env.t.Fatalf("not in time: %s", condition)
		}
	}
}

// callResult is the response that a caller received.
type callResult struct {
	status     int
	body       string
	retryAfter string
	header     http.Header
}

// call sends a request to a gateway and returns the response. header holds
// alternating names and values.
func (r *testGateway) call(t *testing.T, method, path string, header ...string) (callResult, error) {
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
		return callResult{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return callResult{res.StatusCode, string(body), res.Header.Get("Retry-After"), res.Header}, err
}

func (r *testGateway) mustCall(t *testing.T, method, path string, header ...string) callResult {
	t.Helper()
	res, err := r.call(t, method, path, header...)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// rawCaller is a connection on which a caller sends a request in parts.
type rawCaller struct {
	t *testing.T
	net.Conn
}

// dialCaller opens a connection to a gateway.
func (r *testGateway) dialCaller(t *testing.T) rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", r.settings.Self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return rawCaller{t, c}
}

// send sends a part of a request.
func (c rawCaller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Error(err)
	}
}

// response reads the response. The status is 0 if the connection ends without a whole one.
func (c rawCaller) response() callResult {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callResult{body: err.Error()}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return callResult{body: err.Error()}
	}
	return callResult{res.StatusCode, string(body), res.Header.Get("Retry-After"), res.Header}
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

func respond(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Signed", "s")
	_, _ = io.WriteString(w, "fine")
}

// blockUntilDisconnect sends no response and returns when the client disconnects.
func blockUntilDisconnect(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a request that reaches the upstream with another workspace, with
// the caller's key, or otherwise changed.
func TestRequestReachesUpstream(t *testing.T) {
	env := newTestEnv(t)
	seen := make(chan string, 1)
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		seen <- fmt.Sprint(r.Method, r.RequestURI, r.Host, r.Header.Get("T-Workspace"), r.Header.Get("T-Key"), r.Header.Get("T-Upstream"), r.Header.Get("X-Own"), string(body), err)
		respond(rw, r)
	})
	g := env.gateway("vm-1", 1)
	res := g.mustCall(t, http.MethodPut, "/write/x?y=%2F", "X-Own", "own", "Connection", "X-Hop", "X-Hop", "1", "T-Workspace", "forged")
	if res.status != 200 || res.body != "fine" || res.header.Get("T-Signed") != "s" {
		t.Errorf("got %+v", res)
	}
	if got, want := <-seen, "PUT/write/x?y=%2Fh.examplewu1ownbody<nil>"; got != want {
		t.Errorf("the upstream saw %q, want %q", got, want)
	}
}

// Guards against wrong status codes of requests without a route or a valid key.
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
	env := newTestEnv(t)
	env.upstream("u1", respond)
	g := env.gateway("vm-1", 1)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := tt.path
			if tt.name == "another host" {
				path = "/write"
			}
			if res := g.mustCall(t, http.MethodGet, path, tt.header...); res.status != tt.status {
				t.Errorf("got %+v, want status %d", res, tt.status)
			}
		})
	}
}

// Guards against a non-idempotent request that runs twice, an idempotent one that is
// not retried, and responses that misinform the caller about whether it has run.
func TestRetries(t *testing.T) {
	unsigned := func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "forged") }
	truncated := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Signed", "s")
		rw.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(rw, "part")
		panic(http.ErrAbortHandler)
	}
	misdirected := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
	}
	serverError := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Signed", "s")
		rw.WriteHeader(http.StatusInternalServerError)
	}
	otherAttempt := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Id", "another")
		respond(rw, r)
	}
	tests := []struct {
		name, path string
		// first serves the first request that arrives at any upstream, others the rest.
		first, others http.HandlerFunc
		status        int
		arrivals      int
	}{
		{"idempotent, connection closed", "/read/x", closeConnection, respond, 200, 2},
		{"idempotent, unsigned", "/read/x", unsigned, respond, 200, 2},
		{"idempotent, truncated", "/read/x", truncated, respond, 200, 2},
		{"idempotent, only a response to another attempt", "/short/x", otherAttempt, respond, 504, 1},
		{"silent", "/once/x", blockUntilDisconnect, respond, 504, 1},
		{"idempotent, connection always closed", "/read/x", closeConnection, closeConnection, 502, 2},
		{"connection closed", "/write/x", closeConnection, respond, 502, 1},
		{"unsigned", "/write/x", unsigned, respond, 502, 1},
		{"cut", "/write/x", truncated, respond, 502, 1},
		{"server error of the upstream", "/write/x", serverError, respond, 500, 1},
		{"shed", "/write/x", shed, respond, 200, 2},
		{"shed everywhere", "/write/x", shed, shed, 503, 2},
		{"another upstream has the address", "/write/x", misdirected, respond, 200, 2},
		{"connection closed, then shed", "/read/x", closeConnection, shed, 502, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			var arrivals counter
			serve := func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if arrivals.add() == 1 {
					tt.first(rw, r)
					return
				}
				tt.others(rw, r)
			}
			env.upstream("u1", serve)
			env.upstream("u2", serve)
			env.upstream("u3", serve)
			g := env.gateway("vm-1", 3)
			res := g.mustCall(t, http.MethodPost, tt.path)
			if res.status != tt.status || arrivals.get() != tt.arrivals {
				t.Errorf("status %d after %d arrivals, want %d after %d", res.status, arrivals.get(), tt.status, tt.arrivals)
			}
			if (res.status == 503) != (res.retryAfter != "") {
				t.Errorf("status %d with Retry-After %q", res.status, res.retryAfter)
			}
		})
	}
}

// Guards against a response that says "not run" for a request that timed out and may
// have run, and against callers who wait longer than the route's timeout.
func TestTimeout(t *testing.T) {
	env := newTestEnv(t)
	env.upstream("u1", blockUntilDisconnect)
	g := env.gateway("vm-1", 1)
	start := time.Now()
	res := g.mustCall(t, http.MethodGet, "/short/x")
	if res.status != http.StatusGatewayTimeout {
		t.Errorf("got %+v", res)
	}
	if took := time.Since(start); took < 200*time.Millisecond || took > 3*time.Second {
		t.Errorf("the response took %s", took)
	}
}

// Guards against an upstream that stops responding and still gets its share of the
// requests, and against idempotent requests that fail because of it.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	env := newTestEnv(t)
	silent := make(chan struct{})
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-silent:
			blockUntilDisconnect(rw, r)
		default:
			respond(rw, r)
		}
	})
	env.upstream("u2", respond)
	g := env.gateway("vm-1", 2)
	close(silent)
	consecutive := 0
	env.eventually("ten successful requests in a row", func() bool {
		if g.mustCall(t, http.MethodGet, "/short/x").status == 200 {
			consecutive++
		} else {
			consecutive = 0
		}
		return consecutive == 10
	})
}

// Guards against an upstream that gets more requests than the limit in its responses, and
// against a limit that the other gateways do not hear of or that lasts after its end.
func TestUpstreamNamesLimit(t *testing.T) {
	env := newTestEnv(t)
	var limited atomic.Bool
	var requests atomic.Int64
	limited.Store(true)
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if limited.Load() {
			rw.Header().Set("T-Limit", "0.5")
		}
		respond(rw, r)
	})
	env.upstream("u2", respond)
	a, b := env.gateway("vm-1", 2), env.gateway("vm-2", 2)
	env.eventually("the gateways know each other", func() bool { return len(a.mirror.View().Members()) == 2 && len(b.mirror.View().Members()) == 2 })
	env.eventually("the limit is named", func() bool {
		a.mustCall(t, http.MethodGet, "/read/x")
		return a.balancer.LimitedUpstreams() == 1
	})
	env.eventually("the other gateway hears of the limit", func() bool { return b.balancer.LimitedUpstreams() == 1 })
	start, before := time.Now(), requests.Load()
	for range 200 {
		for _, g := range []*testGateway{a, b} {
			if got := g.mustCall(t, http.MethodGet, "/read/x"); got.status != http.StatusOK {
				t.Fatalf("got %+v while another upstream has capacity", got)
			}
		}
	}
	if got, allowed := requests.Load()-before, int64(1.5*0.5*time.Since(start).Seconds()+5); got > allowed {
		t.Errorf("the upstream got %d requests in %v, allowed %d", got, time.Since(start), allowed)
	}
	limited.Store(false)
	env.eventually("the limit is lifted", func() bool {
		a.mustCall(t, http.MethodGet, "/read/x")
		b.mustCall(t, http.MethodGet, "/read/x")
		return a.balancer.LimitedUpstreams() == 0 && b.balancer.LimitedUpstreams() == 0
	})
	for _, message := range []string{"upstream named a limit", "upstream lifted its limit"} {
		if len(env.logs.find(`"msg":"`+message+`"`, `"upstream":"u1"`)) == 0 {
			t.Errorf("no line %q", message)
		}
	}
}

// Guards against an upstream that keeps running a request whose caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	env := newTestEnv(t)
	arrived, ended := make(chan struct{}), make(chan struct{})
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		close(arrived)
		blockUntilDisconnect(rw, r)
		close(ended)
	})
	g := env.gateway("vm-1", 1)
	c, err := net.Dial("tcp", g.settings.Self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\nT-Key: k\r\n\r\n")
	<-arrived
	_ = c.Close()
	<-ended
}

// Guards against a shutdown that aborts a request, leaves the gateway in look-ups or
// takes longer than the grace period.
func TestGracefulStop(t *testing.T) {
	env := newTestEnv(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-release
		respond(rw, r)
	})
	g, other := env.gateway("vm-1", 1), env.gateway("vm-2", 1)
	responses := make(chan callResult, 1)
	go func() {
		res, err := g.call(t, http.MethodPost, "/write/x")
		if err != nil {
			res.body = err.Error()
		}
		responses <- res
	}()
	<-arrived
	g.SetBounds(Bounds{Grace: 4 * time.Second})
	start := time.Now()
	g.cancel()
	env.eventually("the gateway is not ready", func() bool { return !g.isReady() })
	env.eventually("the other gateway's look-ups return only itself", func() bool {
		all := other.addresses(other.mirror.View(), fgmessage.Lookup{Region: "east"})
		return len(all) == 1 && all[0] == other.settings.Self.CallerAddress
	})
	close(release)
	if res := <-responses; res.status != 200 || res.body != "fine" {
		t.Errorf("the request in flight got %+v", res)
	}
	if err := <-g.done; err != nil {
		t.Error(err)
	}
	g.done <- nil
	if took := time.Since(start); took > 4*time.Second {
		t.Errorf("stopped after %s, want at most %s", took, 4*time.Second)
	}
}

// Guards against failed requests whose cause cannot be found in the log by their id.
func TestFailuresAreLogged(t *testing.T) {
	env := newTestEnv(t)
	env.policy.Workspaces = append(env.policy.Workspaces, fgsteer.WorkspaceSpec{Name: "small", Keys: []string{"s"}, Rate: 0.001, Burst: 1})
	env.putPolicy()
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/short/") {
			blockUntilDisconnect(rw, r)
			return
		}
		closeConnection(rw, r)
	})
	g := env.gateway("vm-1", 1)
	tests := []struct {
		name, id, path, key string
		words               []string
	}{
		{"above the rate", "r1", "/read/x", "s", []string{`"code":"above-rate"`, `"status":429`, `"workspace":"small"`, "above its rate"}},
		{"connection closed", "r2", "/write/x", "k", []string{`"code":"upstream-lost"`, `"status":502`, `"route":"write"`, "may have run"}},
		{"too slow", "r3", "/short/x", "k", []string{`"code":"late"`, `"status":504`, `"route":"short"`, `"sends":1`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g.mustCall(t, http.MethodPost, tt.path, "T-Id", tt.id, "T-Key", tt.key)
			words := append([]string{`"attempt":"` + tt.id + `"`, `"policy":1`}, tt.words...)
			env.eventually("a log line about the request", func() bool { return len(env.logs.find(words...)) == 1 })
		})
	}
}

// Guards against metrics that do not count requests, refusals and their codes.
func TestMetrics(t *testing.T) {
	env := newTestEnv(t)
	env.upstream("u1", respond)
	g := env.gateway("vm-1", 1)
	g.mustCall(t, http.MethodGet, "/read/x")
	g.mustCall(t, http.MethodGet, "/read/x", "T-Key", "other")
	text := g.scrape(t)
	for _, line := range []string{
		`filbertgap_gateway_requests_total{end="answered",route="read"} 1`,
		`filbertgap_gateway_requests_total{end="key-unknown",route="read"} 1`,
		`filbertgap_gateway_request_seconds_count{route="read"} 2`,
		`filbertgap_gateway_sends_total{group="g",result="answered"} 1`,
		`filbertgap_gateway_policy_version 1`,
		`filbertgap_gateway_upstreams 1`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("the metrics lack %s", line)
		}
	}
}
