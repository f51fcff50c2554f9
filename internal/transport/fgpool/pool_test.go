package fgpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// startUpstream starts a server on loopback and calls serve for each connection
// with its number, counted from 1.
func startUpstream(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
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
	return Target{ID: "u", Address: listener.Addr().String()}
}

// readRequest reads a whole request and returns its Id header.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), err
}

// encodeResponse returns a response with an Id header. The body must have fewer than
// 10 bytes, because its length is written as a single digit.
func encodeResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// request returns a request that accepts only responses with its own Id header.
func request(id string) Request {
	return Request{
		Method: http.MethodPost, URI: "/a/b?c=%20d", Host: "h.example", Header: http.Header{"Id": {id}}, Body: [][]byte{[]byte("order")},
		Accept: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id },
	}
}

// sendAndRead sends a request and returns the body of the response.
func sendAndRead(t *testing.T, p *Pool, target Target, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	res, err := p.Send(ctx, target, request(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	res.Close(err == nil, time.Minute)
	return string(body), err
}

// Guards against a change of the request target, the header or the body on the
// way to the upstream.
func TestRequestIsUnchanged(t *testing.T) {
	received := make(chan string, 1)
	target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		var lines strings.Builder
		for {
			line, err := r.ReadString('\n')
			lines.WriteString(line)
			if err != nil || line == "\r\n" {
				break
			}
		}
		body := make([]byte, 5)
		_, _ = io.ReadFull(r, body)
		received <- lines.String() + string(body)
		_, _ = io.WriteString(c, encodeResponse("1", "ok"))
	})
	if _, err := sendAndRead(t, &Pool{}, target, "1"); err != nil {
		t.Fatal(err)
	}
	want := "POST /a/b?c=%20d HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 5\r\n\r\norder"
	if got := <-received; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a second response to one request that is delivered as the
// response to the next request on the connection.
func TestExtraResponses(t *testing.T) {
	tests := []struct {
		name string
		// late sends the extra response only after the next request has arrived.
		late bool
		// connections is how many connections the two requests need.
		connections int64
	}{
		{"before the next request", false, 2},
		{"after the next request", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			extraSent := make(chan struct{})
			target := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
				id, err := readRequest(r)
				if err != nil {
					return
				}
				text := encodeResponse(id, "one")
				if n == 1 && !tt.late {
					text += encodeResponse(id, "two")
				}
				_, _ = io.WriteString(c, text)
				if n == 1 && !tt.late {
					close(extraSent)
				}
				next, err := readRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, encodeResponse(id, "two")+encodeResponse(next, "yes"))
			})
			p := &Pool{}
			if body, err := sendAndRead(t, p, target, "1"); err != nil || body != "one" {
				t.Fatal(body, err)
			}
			if !tt.late {
				<-extraSent
			}
			body, err := sendAndRead(t, p, target, "2")
			if want := map[bool]string{true: "yes", false: "one"}[tt.late]; err != nil || body != want {
				t.Errorf("got %q, %v; want %q", body, err, want)
			}
			if p.Opened() != tt.connections {
				t.Errorf("%d connections were opened, want %d", p.Opened(), tt.connections)
			}
		})
	}
}

// Guards against ErrNotSent for a request that an upstream may have run.
func TestSendErrors(t *testing.T) {
	closed := startUpstream(t, func(int, net.Conn, *bufio.Reader) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	tests := []struct {
		name   string
		target Target
		want   error
	}{
		{"no process listens", Target{ID: "u", Address: listener.Addr().String()}, ErrNotSent},
		{"closed immediately", closed, ErrNoResponse},
		{"closed after the request", startUpstream(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) }), ErrNoResponse},
		{"response is not HTTP", startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
		}), ErrNoResponse},
		{"only responses to other requests", startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, encodeResponse("x", "a")+encodeResponse("y", "b"))
		}), ErrNoResponse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := sendAndRead(t, &Pool{}, tt.target, "1"); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

// Guards against sending a request on an idle connection that the upstream has
// already closed. The request would fail although the upstream is healthy.
func TestClosedIdleConnection(t *testing.T) {
	done := make(chan struct{}, 2)
	target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if id, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, encodeResponse(id, "ok"))
		}
		_ = c.Close()
		done <- struct{}{}
	})
	p := &Pool{}
	for range 2 {
		if body, err := sendAndRead(t, p, target, "1"); err != nil || body != "ok" {
			t.Fatal(body, err)
		}
		<-done
		waitForClose(t, p)
	}
}

// waitForClose waits until the client has seen the upstream close every idle
// connection.
func waitForClose(t *testing.T, p *Pool) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_, _ = c.reader.Peek(1)
		}
	}
}

// Guards against a truncated body that is reported as complete, and against
// reuse of its connection.
func TestTruncatedResponse(t *testing.T) {
	target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\npart")
	})
	p := &Pool{}
	if body, err := sendAndRead(t, p, target, "1"); err == nil {
		t.Errorf("a truncated response was read as %q", body)
	}
	if len(p.idle) != 0 {
		t.Error("the connection of a truncated response was kept")
	}
}

// Guards against a response that is taken for complete although its connection ended
// within its head.
func TestHeadBreaksOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nX: y\r\n\r\n"
	target := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, head[:n-1])
	})
	p := &Pool{}
	for i := range len(head) {
		if res, err := p.Send(t.Context(), target, request("1")); !errors.Is(err, ErrNoResponse) {
			t.Fatalf("a head of %d bytes was read as %+v, error %v", i, res, err)
		}
	}
}

// Guards against an upstream that keeps running a request after its caller has
// disconnected: cancelling the context closes the connection.
func TestCancelClosesConnection(t *testing.T) {
	received, ended := make(chan struct{}), make(chan struct{})
	target := startUpstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		close(received)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := (&Pool{}).Send(ctx, target, request("1"))
	if !errors.Is(err, ErrNoResponse) || !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	<-ended
}

// Guards against a deadlock when an upstream responds before it has read a large
// body, and against reuse of that connection.
func TestEarlyResponse(t *testing.T) {
	target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, encodeResponse("1", "no"))
		_, _ = io.Copy(io.Discard, r)
	})
	req := request("1")
	req.Body = [][]byte{make([]byte, 32<<20)}
	p := &Pool{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	res, err := p.Send(ctx, target, req)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != "no" {
		t.Errorf("got %q, %v", body, err)
	}
	res.Close(true, time.Minute)
	if len(p.idle) != 0 {
		t.Error("a connection with an unfinished request was kept")
	}
}

// Guards against reuse of idle connections whose upstream disappeared without
// closing them.
func TestProbe(t *testing.T) {
	target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, encodeResponse(id, "ok"))
		}
	})
	p := &Pool{}
	if _, err := sendAndRead(t, p, target, "1"); err != nil {
		t.Fatal(err)
	}
	if p.Probe(t.Context(), target) != Connected {
		t.Error("probing an upstream that listens does not return Connected")
	}
	if n := len(p.idle[target.key()]); n != 2 {
		t.Errorf("%d connections are idle, want 2", n)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	if p.Probe(t.Context(), Target{ID: "u", Address: listener.Addr().String()}) != Refused {
		t.Error("probing an upstream that refuses connections does not return Refused")
	}
	p.SetConnectTimeout(time.Nanosecond)
	if p.Probe(t.Context(), target) != Silent {
		t.Error("probing an upstream that does not respond does not return Silent")
	}
	if len(p.idle[target.key()]) != 0 {
		t.Error("idle connections to an upstream that does not respond were kept")
	}
}

// Guards against a connection that is returned to the pool while it closes, and is never
// closed.
func TestCloseLeavesNoIdleConnection(t *testing.T) {
	for range 100 {
		p := &Pool{}
		closed := make(chan struct{})
		var returns sync.WaitGroup
		for range 4 {
			returns.Go(func() {
				near, _ := net.Pipe()
				for {
					select {
					case <-closed:
						return
					default:
						p.put(Target{ID: "u"}.key(), newConn(near))
					}
				}
			})
		}
		for !p.HasIdle(Target{ID: "u"}) {
			runtime.Gosched()
		}
		p.close()
		close(closed)
		returns.Wait()
		if n := len(p.idle[Target{ID: "u"}.key()]); n > 0 {
			t.Fatalf("%d connections are left", n)
		}
	}
}
