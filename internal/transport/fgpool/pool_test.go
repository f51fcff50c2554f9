package fgpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// upstream accepts connections on loopback and hands each to serve.
func upstream(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return Target{ID: "u", Address: l.Addr().String()}
}

// readRequest reads a request whole and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q.Header.Get("Id"), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(id string) Request {
	return Request{
		Method: http.MethodPost, URI: "/a/b?c=%20d", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("order"),
		Accept: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

// exchange sends a request and returns the body of its answer.
func exchange(t *testing.T, p *Pool, to Target, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := p.Send(ctx, to, request(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a.Body)
	a.Close(err == nil, time.Minute)
	return string(body), err
}

// Guards against a request that arrives otherwise than the caller sent it.
func TestRequestIsUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	to := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
		seen <- lines.String() + string(body)
		_, _ = io.WriteString(c, answer("1", "ok"))
	})
	if _, err := exchange(t, &Pool{}, to, "1"); err != nil {
		t.Fatal(err)
	}
	want := "POST /a/b?c=%20d HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 5\r\n\r\norder"
	if got := <-seen; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a second answer to one request that is delivered as the answer
// to the next one.
func TestExtraAnswers(t *testing.T) {
	tests := []struct {
		name string
		// late waits for the next request before the extra answer is sent.
		late bool
		// connections is how many the two requests need.
		connections int64
	}{
		{"at once", false, 2},
		{"in place of the next one", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			extra := make(chan struct{})
			to := upstream(t, func(n int, c net.Conn, r *bufio.Reader) {
				id, err := readRequest(r)
				if err != nil {
					return
				}
				text := answer(id, "one")
				if n == 1 && !tt.late {
					text += answer(id, "two")
				}
				_, _ = io.WriteString(c, text)
				if n == 1 && !tt.late {
					close(extra)
				}
				next, err := readRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, answer(id, "two")+answer(next, "yes"))
			})
			p := &Pool{}
			if body, err := exchange(t, p, to, "1"); err != nil || body != "one" {
				t.Fatal(body, err)
			}
			if !tt.late {
				<-extra
			}
			body, err := exchange(t, p, to, "2")
			if want := map[bool]string{true: "yes", false: "one"}[tt.late]; err != nil || body != want {
				t.Errorf("got %q, %v; want %q", body, err, want)
			}
			if p.Opened() != tt.connections {
				t.Errorf("%d connections were opened, want %d", p.Opened(), tt.connections)
			}
		})
	}
}

// Guards against "not sent" for a request that an upstream may have run.
func TestSentOrNot(t *testing.T) {
	closed := upstream(t, func(int, net.Conn, *bufio.Reader) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	tests := []struct {
		name string
		to   Target
		want error
	}{
		{"nobody listens", Target{ID: "u", Address: l.Addr().String()}, ErrNotSent},
		{"closed at once", closed, ErrLost},
		{"closed after the request", upstream(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) }), ErrLost},
		{"no HTTP", upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
		}), ErrLost},
		{"only foreign answers", upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, answer("x", "a")+answer("y", "b"))
		}), ErrLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := exchange(t, &Pool{}, tt.to, "1"); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

// Guards against a request on a kept connection that the upstream has closed,
// which would be lost although the upstream is well.
func TestClosedIdleConnection(t *testing.T) {
	done := make(chan struct{}, 2)
	to := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if id, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
		_ = c.Close()
		done <- struct{}{}
	})
	p := &Pool{}
	for range 2 {
		if body, err := exchange(t, p, to, "1"); err != nil || body != "ok" {
			t.Fatal(body, err)
		}
		<-done
		waitForClose(t, p)
	}
}

// waitForClose waits until the close of all idle connections has arrived.
func waitForClose(t *testing.T, p *Pool) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range p.idle {
		for _, c := range all {
			_, _ = c.reader.Peek(1)
		}
	}
}

// Guards against a whole answer that is made of a part, and its reuse.
func TestCutAnswer(t *testing.T) {
	to := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\npart")
	})
	p := &Pool{}
	if body, err := exchange(t, p, to, "1"); err == nil {
		t.Errorf("a cut answer was read as %q", body)
	}
	if len(p.idle) != 0 {
		t.Error("the connection of a cut answer was kept")
	}
}

// Guards against a caller's leaving that keeps an upstream at work.
func TestCancelClosesTheConnection(t *testing.T) {
	received, ended := make(chan struct{}), make(chan struct{})
	to := upstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
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
	_, err := (&Pool{}).Send(ctx, to, request("1"))
	if !errors.Is(err, ErrLost) || !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	<-ended
}

// Guards against a large body that blocks on an upstream which answers early,
// and against reuse of that connection.
func TestEarlyAnswer(t *testing.T) {
	to := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, answer("1", "no"))
		_, _ = io.Copy(io.Discard, r)
	})
	q := request("1")
	q.Body = make([]byte, 32<<20)
	p := &Pool{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := p.Send(ctx, to, q)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(a.Body)
	if err != nil || string(body) != "no" {
		t.Errorf("got %q, %v", body, err)
	}
	a.Close(true, time.Minute)
	if len(p.idle) != 0 {
		t.Error("a connection with an unfinished request was kept")
	}
}

// Guards against kept connections that are used although their upstream has gone
// without closing them.
func TestProbe(t *testing.T) {
	to := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := &Pool{}
	if _, err := exchange(t, p, to, "1"); err != nil {
		t.Fatal(err)
	}
	if p.Probe(t.Context(), to) != Connected {
		t.Error("an upstream that listens gives no sign")
	}
	if n := len(p.idle[to.key()]); n != 2 {
		t.Errorf("%d connections are kept, want 2", n)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if p.Probe(t.Context(), Target{ID: "u", Address: l.Addr().String()}) != Refused {
		t.Error("an upstream that refuses a connection is not told apart")
	}
	p.SetConnectTimeout(time.Nanosecond)
	if p.Probe(t.Context(), to) != Silent {
		t.Error("an upstream that does not answer gives a sign")
	}
	if len(p.idle[to.key()]) != 0 {
		t.Error("connections to an upstream that is gone were kept")
	}
}
