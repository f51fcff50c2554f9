package fggateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fglistener"
)

// rawUpstream registers an upstream that serves each connection with serve, which
// gets the number of the connection, counted from 1.
func (env *testEnv) rawUpstream(id string, serve func(n int, c net.Conn, r *bufio.Reader)) {
	env.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	env.put("up/"+id, fgsteer.UpstreamSpec{ID: id, Group: "g", Address: listener.Addr().String(), Slots: 4, Region: "east"})
}

// readRequest reads a request with its body and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q.Header.Get("T-Id"), err
}

// encodeResponse returns a signed response. An empty id leaves out its field.
func encodeResponse(id, body string) string {
	if id != "" {
		id = "T-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sT-Signed: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

const (
	anonymousRefusal = "HTTP/1.1 503 Service Unavailable\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	namedRefusal     = "HTTP/1.1 503 Service Unavailable\r\nT-Id: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// Guards against a late second copy of a response that reaches the next caller on
// the connection, or that says of the next request that it has not run.
func TestLateCopyOfResponse(t *testing.T) {
	tests := []struct {
		name string
		// first is sent for the first request, late when the second has arrived. %s
		// is the id of the first request.
		first, late string
		firstStatus int
	}{
		{"refusal, twice", namedRefusal, namedRefusal + namedRefusal, 503},
		{"response", encodeResponse("%s", "first"), encodeResponse("%s", "first"), 200},
		{"refusal", namedRefusal, namedRefusal, 503},
		{"refusal without an id", namedRefusal, anonymousRefusal, 503},
		{"refusal without an id, twice", anonymousRefusal, anonymousRefusal, 503},
		{"response without an id", encodeResponse("%s", "first"), encodeResponse("", "first"), 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			var ran counter
			env.rawUpstream("u1", func(n int, c net.Conn, r *bufio.Reader) {
				first, err := readRequest(r)
				if err != nil {
					return
				}
				if first != "a1" {
					// The second request came on a connection of its own.
					ran.add()
					_, _ = io.WriteString(c, encodeResponse(first, "second"))
					return
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(tt.first, "%s", first))
				second, err := readRequest(r)
				if err != nil {
					return
				}
				ran.add()
				_, _ = io.WriteString(c, strings.ReplaceAll(tt.late, "%s", first)+encodeResponse(second, "second"))
			})
			g := env.gateway("vm-1", 1)
			if res := g.mustCall(t, http.MethodPost, "/write/x", "T-Id", "a1"); res.status != tt.firstStatus {
				t.Fatalf("the first request got %+v", res)
			}
			res := g.mustCall(t, http.MethodPost, "/write/x", "T-Id", "a2")
			if res.status != 200 || res.body != "second" || ran.get() != 1 {
				t.Errorf("the second request got %+v after %d runs", res, ran.get())
			}
		})
	}
}

// Guards against callers without an id that get each other's responses.
func TestRequestsWithoutIDDoNotShareConnections(t *testing.T) {
	env := newTestEnv(t)
	var connections counter
	env.rawUpstream("u1", func(_ int, c net.Conn, r *bufio.Reader) {
		n := connections.add()
		for range 2 {
			if _, err := readRequest(r); err != nil {
				return
			}
			body := fmt.Sprintf("answer %d", n)
			_, _ = io.WriteString(c, encodeResponse("", body)+encodeResponse("", body))
		}
	})
	g := env.gateway("vm-1", 1)
	for n := range 3 {
		want := fmt.Sprintf("answer %d", n+1)
		if res := g.mustCall(t, http.MethodGet, "/read/x", "T-Id", ""); res.body != want {
			t.Errorf("got %+v, want %q", res, want)
		}
	}
}

// Guards against an upstream whose endless bytes are kept in memory or hold its
// caller until the deadline, against a caller who is told that the request has not
// run, and against operators who cannot find the upstream.
func TestEndlessResponseOfUpstream(t *testing.T) {
	tests := []struct {
		name, start, next string
		status            int
	}{
		{"head", "HTTP/1.1 200 OK\r\nT-Id: a1\r\n", "X: yyyy\r\n", http.StatusBadGateway},
		{"no response", "", "garbage\x00", http.StatusBadGateway},
		{"refusal that never ends", "HTTP/1.1 200 OK\r\nT-Id: a1\r\n\r\n", "x", http.StatusBadGateway},
		{"refusal that never ends, in chunks", "HTTP/1.1 200 OK\r\nT-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", http.StatusBadGateway},
		{"refusal that never ends, with a length", "HTTP/1.1 200 OK\r\nT-Id: a1\r\nContent-Length: 999999999\r\n\r\n", "x", http.StatusBadGateway},
		{"refusal that did not run and never ends", "HTTP/1.1 200 OK\r\nT-Id: a1\r\nT-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			endless, err := fgstandin.ListenEndless(tt.start, tt.next)
			if err != nil {
				t.Fatal(err)
			}
			defer endless.Close()
			env.put("up/u1", fgsteer.UpstreamSpec{ID: "u1", Group: "g", Address: endless.Address(), Slots: 4, Region: "east"})
			g := env.gateway("vm-1", 1)
			start := time.Now()
			res := g.mustCall(t, http.MethodPost, "/write/x", "T-Id", "a1")
			if res.status != tt.status || tt.status == http.StatusBadGateway && !strings.Contains(res.body, "may have run") && !strings.Contains(res.body, "unsigned") {
				t.Errorf("got %+v", res)
			}
			if took := time.Since(start); took > 4*time.Second {
				t.Errorf("the caller waited %s of its 5 s", took)
			}
			if n := endless.Taken(); n > 2<<20 {
				t.Errorf("%d bytes were taken", n)
			}
			if !strings.HasPrefix(tt.name, "refusal") {
				env.eventually("a log line that names the upstream", func() bool {
					return len(env.logs.find(`"msg":"send failed"`, `"upstream":"u1"`, `"result":"malformed"`, `"attempt":"a1"`)) == 1
				})
				if text := g.scrape(t); !strings.Contains(text, `filbertgap_gateway_sends_total{group="g",result="malformed"} 1`+"\n") {
					t.Error("the metrics do not count the send as malformed")
				}
			}
		})
	}
}

// scrape returns the gateway's metrics.
func (r *testGateway) scrape(t *testing.T) string {
	t.Helper()
	res, err := http.Get("http://" + r.sockets.metrics.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against a planned stop that cuts off requests which were just accepted. The
// callers open connections until the gateway refuses them, and some wait before they
// send. A connection that the process never accepted is the kernel's to reset; each
// other one gets its response.
func TestStopUnderLoad(t *testing.T) {
	env := newTestEnv(t)
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respond(rw, r)
	})
	g := env.gateway("vm-1", 1)
	g.SetBounds(Bounds{Grace: 4 * time.Second})
	const callers = 16
	served := make(chan int64, callers)
	for i := range callers {
		go func() {
			n := int64(0)
			for {
				c, err := net.Dial("tcp", g.settings.Self.CallerAddress)
				if err != nil {
					break
				}
				time.Sleep(time.Duration(i) * time.Millisecond)
				if exchangeOnce(c) != nil {
					break
				}
				n++
			}
			served <- n
		}()
	}
	env.eventually("requests are served", func() bool { return g.sockets.callers.Accepted() > 10*callers })
	g.cancel()
	total := int64(0)
	for range callers {
		total += <-served
	}
	if n := g.sockets.callers.Accepted(); n != total {
		t.Errorf("%d connections were accepted, and %d responses reached callers", n, total)
	}
}

// Guards against a stop that closes a kept connection on which it has just read a
// request: the request is passed on, and its caller gets no response. Callers keep
// sending on kept connections until these end; each request that the gateway has
// handled must have got its response.
func TestStopAnswersKeptConnections(t *testing.T) {
	env := newTestEnv(t)
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respond(rw, r)
	})
	for round := range 5 {
		g := env.gateway(fmt.Sprintf("vm-%d", round), 1)
		// The gateway stops accepting at once and does not ask callers to close
		// their connections before.
		servers := newCallerServers(g.sockets.callers, http.HandlerFunc(g.serveCaller), g.callerLimits, g.logger)
		callers, err := fglistener.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		servers.listener = callers
		ended := make(chan error, 1)
		go func() { ended <- servers.serve(t.Context()) }()
		const count = 64
		responses := make(chan int, count)
		for range count {
			go func() {
				n := 0
				defer func() { responses <- n }()
				c, err := net.Dial("tcp", callers.Addr().String())
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					if _, err := io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\nT-Key: k\r\n\r\n"); err != nil {
						return
					}
					res, err := http.ReadResponse(r, nil)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, res.Body); err != nil {
						return
					}
					n++
				}
			}()
		}
		env.eventually("requests are served", func() bool { return g.handled(t) > 20*count })
		if err := servers.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		total := 0
		for range count {
			total += <-responses
		}
		<-ended
		if n := g.handled(t); n != total {
			t.Errorf("%d requests were handled, and %d responses reached callers", n, total)
		}
	}
}

// handled returns how many requests have ended, by the metrics.
func (r *testGateway) handled(t *testing.T) int {
	t.Helper()
	n := 0
	for line := range strings.Lines(r.scrape(t)) {
		var value int
		if strings.HasPrefix(line, "filbertgap_gateway_requests_total{") {
			if _, err := fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &value); err != nil {
				t.Fatal(err)
			}
			n += value
		}
	}
	return n
}

// exchangeOnce sends one request on a new connection and reads its response.
func exchangeOnce(c net.Conn) error {
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "POST /write/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\nT-Key: k\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// Guards against a withdrawn key or an upstream that has left being used again by a
// gateway that restarts while the store is away and its peers have an older copy.
func TestRestartedGatewayDoesNotUseOldCopies(t *testing.T) {
	env := newTestEnv(t)
	var arrivals counter
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		arrivals.add()
		respond(rw, r)
	})
	a := env.gateway("vm-1", 1)
	env.feed.Fail(errors.New("the store is away"))
	// a keeps its copy, and the store loses the key and the upstream.
	env.policy.Version, env.policy.Workspaces[0].Keys = 2, []string{"new"}
	env.putPolicy()
	env.feed.Remove("up/u1")
	b := env.startGateway("vm-2")
	a.sendState(1, time.Second)
	if res := b.mustCall(t, http.MethodGet, "/read/x"); res.status != http.StatusServiceUnavailable || arrivals.get() != 0 {
		t.Errorf("a gateway that knows no policy responded %+v after %d arrivals", res, arrivals.get())
	}
	env.feed.Fail(nil)
	env.eventually("the gateway is ready", b.isReady)
	if res := b.mustCall(t, http.MethodGet, "/read/x"); res.status != http.StatusUnauthorized {
		t.Errorf("the withdrawn key got %+v", res)
	}
	if res := b.mustCall(t, http.MethodGet, "/read/x", "T-Key", "new"); res.status != http.StatusServiceUnavailable || arrivals.get() != 0 {
		t.Errorf("the upstream that has left: %+v, %d arrivals", res, arrivals.get())
	}
}

// Guards against a copy of a peer that takes a gateway back to an older revision.
func TestOlderCopyOfPeerIsIgnored(t *testing.T) {
	env := newTestEnv(t)
	env.upstream("u1", respond)
	g := env.gateway("vm-1", 1)
	values, position := env.feed.Values()
	env.policy.Version, env.policy.Workspaces[0].Keys = 2, []string{"new"}
	env.putPolicy()
	env.eventually("the withdrawal is known", func() bool { return g.mustCall(t, http.MethodGet, "/read/x").status == 401 })
	g.mirror.Replace(values, position, true)
	if res := g.mustCall(t, http.MethodGet, "/read/x"); res.status != http.StatusUnauthorized {
		t.Errorf("the withdrawn key got %+v", res)
	}
}

// Guards against a response that broke off and looks complete to its caller, for each
// way in which its end can be marked.
func TestBrokenResponseIsNeverComplete(t *testing.T) {
	// The first bytes of a response are kept back until it can no longer be
	// replaced, so that the break comes after them.
	long := strings.Repeat("x", bufferedBytes+100)
	tests := []struct {
		name, start string
		reset       bool
	}{
		{"length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 3*bufferedBytes, long), false},
		{"length, reset", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 3*bufferedBytes, long), true},
		{"chunks", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long), false},
		{"chunk cut", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", 2*len(long), long), false},
		{"no length, reset", "\r\n" + long, true},
	}
	for _, tt := range tests {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(tt.name+" "+protocol, func(t *testing.T) {
				env := newTestEnv(t)
				passed := make(chan struct{})
				env.rawUpstream("u1", func(_ int, c net.Conn, r *bufio.Reader) {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nT-Id: "+id+"\r\nT-Signed: s\r\n"+tt.start)
					<-passed
					if tt.reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
				g := env.gateway("vm-1", 1)
				c, err := net.Dial("tcp", g.settings.Self.CallerAddress)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "GET /read/x "+protocol+"\r\nHost: h.example\r\nT-Id: a\r\nT-Key: k\r\n\r\n")
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(res.Body, make([]byte, bufferedBytes/2)); err != nil {
					t.Fatal(err)
				}
				close(passed)
				if n, err := io.Copy(io.Discard, res.Body); err == nil {
					t.Errorf("the response ended after %d more bytes as if it were complete", n)
				}
			})
		}
	}
}

// Guards against a response whose head breaks off and that reaches the caller as a success
// with an empty or a short body.
func TestHeadBreaksOff(t *testing.T) {
	tests := []struct{ name, head string }{
		{"in the status line", "HTTP/1.1 200"},
		{"after the status line", "HTTP/1.1 200 OK\r\n"},
		{"in a field's name", "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signed: s\r\nContent-Le"},
		{"in the length", "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signed: s\r\nContent-Length: 1"},
		{"before the last line", "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signed: s\r\nContent-Length: 1\r\n"},
		{"in the last line", "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Signed: s\r\nContent-Length: 1\r\n\r"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.rawUpstream("u1", func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(c, tt.head)
				}
			})
			g := env.gateway("vm-1", 1)
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				if res := g.mustCall(t, method, "/write/x", "T-Id", "a"); res.status != http.StatusBadGateway {
					t.Errorf("%s got %+v, want status 502", method, res)
				}
			}
		})
	}
}

// Guards against a download that is kept whole, continues after its caller has left,
// or is not sent again although it broke before its first byte reached the caller.
func TestDownload(t *testing.T) {
	const size = 32 << 20
	env := newTestEnv(t)
	broken, left := make(chan struct{}, 1), make(chan struct{})
	var arrivals counter
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/broken" && arrivals.add() == 1 {
			rw.Header().Set("Content-Length", fmt.Sprint(size))
			rw.Header().Set("T-Signed", "s")
			_, _ = io.WriteString(rw, "the beginning")
			_ = http.NewResponseController(rw).Flush()
			broken <- struct{}{}
			panic(http.ErrAbortHandler)
		}
		rw.Header().Set("Content-Length", fmt.Sprint(size))
		rw.Header().Set("T-Signed", "s")
		block := make([]byte, 64<<10)
		for range size / len(block) {
			if _, err := rw.Write(block); err != nil {
				close(left)
				return
			}
		}
	}
	env.upstream("u1", serve)
	env.upstream("u2", serve)
	g := env.gateway("vm-1", 2)
	get := func(path string) *http.Response {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+g.settings.Self.CallerAddress+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "h.example"
		q.Header.Set("T-Id", "a1")
		q.Header.Set("T-Key", "k")
		res, err := http.DefaultTransport.RoundTrip(q)
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	res := get("/read/broken")
	n, err := io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if res.StatusCode != 200 || n != size || err != nil || len(broken) != 1 {
		t.Errorf("a download that broke first: status %d, %d bytes, %v", res.StatusCode, n, err)
	}
	res = get("/read/left")
	if _, err := io.CopyN(io.Discard, res.Body, 1<<20); err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	select {
	case <-left:
	case <-time.After(20 * time.Second):
		t.Error("the upstream still sends to a caller that has left")
	}
}

// Guards against responses of many slow callers that are held in memory: a response
// is read no faster than its caller takes it.
func TestDownloadFollowsItsCaller(t *testing.T) {
	env := newTestEnv(t)
	var sent counter
	env.upstream("u1", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("T-Signed", "s")
		block := make([]byte, 1<<20)
		for range 256 {
			if _, err := rw.Write(block); err != nil {
				return
			}
			sent.add()
		}
	})
	g := env.gateway("vm-1", 1)
	c, err := net.Dial("tcp", g.settings.Self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	_, _ = io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\nT-Key: k\r\n\r\n")
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	// The caller reads nothing until the route's timeout ends the response.
	env.eventually("the response has ended", func() bool { return len(env.logs.find(`"code":"answer-cut"`)) == 1 })
	// The kernel buffers of two connections hold some MB.
	if n := sent.get(); n > 32 {
		t.Errorf("the upstream has sent %d MB to a caller that reads nothing", n)
	}
}
