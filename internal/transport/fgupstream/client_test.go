package fgupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedServer is a TCP server that responds to the first request on each
// connection and calls second for the second one. It counts requests by ID.
type scriptedServer struct {
	listener net.Listener
	second   func(net.Conn)

	mu       sync.Mutex
	received map[string]int
	conns    int
}

func newScriptedServer(t *testing.T, second func(net.Conn)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: listener, second: second, received: map[string]int{}}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	s.conns++
	s.mu.Unlock()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.received[req.Header.Get(HeaderRequestID)]++
		s.mu.Unlock()
		if n > 1 {
			s.second(c)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *scriptedServer) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

func newRequest(t *testing.T, method, id, body string) *http.Request {
	t.Helper()
	var b io.Reader
	if body != "" {
		b = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://ignored/x", b)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderRequestID, id)
	r.Header.Set("Idempotency-Key", id)
	r.Header.Set("X-Idempotency-Key", id)
	return r
}

// warmUp sends a request so that the client has an idle connection.
func warmUp(t *testing.T, c *Client, address string) {
	t.Helper()
	res, _, err := c.RoundTrip(t.Context(), address, newRequest(t, http.MethodGet, "warm", ""))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// Guards against a request that net/http's Transport sends again, when a reused
// connection breaks after the upstream has read the request.
func TestRequestIsSentOnce(t *testing.T) {
	breaks := []struct {
		name  string
		apply func(net.Conn)
	}{
		{"close", func(net.Conn) {}},
		{"reset", func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }},
		{"truncated status line", func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 2") }},
	}
	requests := []struct{ method, body string }{
		{http.MethodGet, ""}, {http.MethodHead, ""}, {http.MethodOptions, ""}, {http.MethodDelete, ""},
		{http.MethodPost, ""}, {http.MethodPost, "reserve"}, {http.MethodPut, "reserve"}, {http.MethodGet, "body"},
	}
	for _, b := range breaks {
		for _, req := range requests {
			t.Run(b.name+" "+req.method+" "+req.body, func(t *testing.T) {
				s := newScriptedServer(t, b.apply)
				c := New(Options{})
				defer c.Close()
				warmUp(t, c, s.address())
				_, outcome, err := c.RoundTrip(t.Context(), s.address(), newRequest(t, req.method, "once", req.body))
				if err == nil || outcome != Lost {
					t.Errorf("outcome = %v, error %v; want Lost", outcome, err)
				}
				if n := s.count("once"); n != 1 {
					t.Errorf("the upstream received the request %d times", n)
				}
			})
		}
	}
}

// Guards against reporting that a request did not run although it may have, and
// against Lost where it is certain that the request did not run.
func TestOutcomes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := listener.Addr().String()
	_ = listener.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	respondWith := func(text string) *scriptedServer {
		return newScriptedServer(t, func(c net.Conn) { _, _ = io.WriteString(c, text) })
	}
	tests := []struct {
		name    string
		ctx     context.Context
		address string
		want    Outcome
	}{
		{"connection refused", t.Context(), refusing, Unreached},
		{"cancelled before sending", cancelled, respondWith("").address(), Unreached},
		{"declared refusal", t.Context(), respondWith("HTTP/1.1 503 x\r\nRequest-Not-Run: true\r\nContent-Length: 0\r\n\r\n").address(), Refused},
		{"503 without declaration", t.Context(), respondWith("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n").address(), Answered},
		{"declaration on another status", t.Context(), respondWith("HTTP/1.1 500 x\r\nRequest-Not-Run: true\r\nContent-Length: 0\r\n\r\n").address(), Answered},
		{"status 000", t.Context(), respondWith("HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n").address(), Lost},
		{"status 000 with a refusal", t.Context(), respondWith("HTTP/1.1 000 x\r\nRequest-Not-Run: true\r\nContent-Length: 0\r\n\r\n").address(), Lost},
		{"space in a name", t.Context(), respondWith("HTTP/1.1 200 x\r\nX : y\r\nContent-Length: 0\r\n\r\n").address(), Lost},
		{"refusal with a space in a name", t.Context(), respondWith("HTTP/1.1 503 x\r\nRequest-Not-Run: true\r\nContent-Length : 0\r\n\r\n").address(), Lost},
		{"refusal with a folded line", t.Context(), respondWith("HTTP/1.1 503 x\r\nRequest-Not-Run: true\r\nX: y\r\n z\r\nContent-Length: 0\r\n\r\n").address(), Lost},
		{"protocol that was not asked for", t.Context(), respondWith("HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n").address(), Lost},
		{"truncated header", t.Context(), respondWith("HTTP/1.1 503 x\r\nRequest-Not-Run: true\r\n").address(), Lost},
		{"truncated length", t.Context(), respondWith("HTTP/1.1 200 OK\r\nContent-Length: 1").address(), Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(Options{})
			defer c.Close()
			if tt.address != refusing {
				warmUp(t, c, tt.address)
			}
			res, outcome, _ := c.RoundTrip(tt.ctx, tt.address, newRequest(t, http.MethodPost, "x", "body"))
			if res != nil {
				_ = res.Body.Close()
			}
			if outcome != tt.want {
				t.Errorf("outcome = %v, want %v", outcome, tt.want)
			}
			if got := RefusesConnections(t.Context(), tt.address); got != (tt.address == refusing) {
				t.Errorf("RefusesConnections = %v", got)
			}
		})
	}
}

// Guards against Unreached for a request that was partly written: the connection
// accepts some bytes and then fails.
func TestPartialWriteIsLost(t *testing.T) {
	tests := []struct {
		accept int
		want   Outcome
	}{{0, Unreached}, {1, Lost}, {40, Lost}}
	for _, tt := range tests {
		c := New(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			return &failingConn{Conn: near, accept: tt.accept}, nil
		}})
		_, outcome, err := c.RoundTrip(t.Context(), "upstream:80", newRequest(t, http.MethodPost, "x", "body"))
		if err == nil || outcome != tt.want {
			t.Errorf("%d bytes accepted: outcome = %v, error %v; want %v", tt.accept, outcome, err, tt.want)
		}
	}
}

// failingConn accepts some bytes of each Write and then returns an error.
type failingConn struct {
	net.Conn
	accept int
}

func (c *failingConn) Write([]byte) (int, error) { return c.accept, errors.New("broken") }

// Guards against reuse of a connection that was idle for longer than the idle
// timeout, since a NAT or firewall on the path may have dropped its state.
func TestIdleConnectionExpires(t *testing.T) {
	tests := []struct {
		idle  time.Duration
		dials int
	}{{4 * time.Second, 1}, {6 * time.Second, 2}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			dials := 0
			c := New(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
				dials++
				near, far := net.Pipe()
				go respondToAll(far)
				return near, nil
			}})
			warmUp(t, c, "upstream:80")
			time.Sleep(tt.idle)
			warmUp(t, c, "upstream:80")
			if dials != tt.dials {
				t.Errorf("idle for %v: %d connections, want %d", tt.idle, dials, tt.dials)
			}
			c.Close()
		})
	}
}

// respondToAll responds to every request on a connection.
func respondToAll(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against a late response that is delivered to another request: a
// connection must not be reused after its request was cancelled.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	reached := make(chan struct{})
	release := make(chan struct{})
	defer close(release)
	s := newScriptedServer(t, func(net.Conn) { close(reached); <-release })
	c := New(Options{})
	defer c.Close()
	warmUp(t, c, s.address())
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-reached; cancel() }()
	_, outcome, err := c.RoundTrip(ctx, s.address(), newRequest(t, http.MethodPost, "x", "body"))
	if outcome != Lost || !errors.Is(err, context.Canceled) {
		t.Errorf("outcome = %v, error %v; want Lost and cancelled", outcome, err)
	}
	warmUp(t, c, s.address())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns != 2 {
		t.Errorf("%d connections, want 2", s.conns)
	}
}
