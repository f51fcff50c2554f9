package fglistener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// queued is how many connections are in the kernel's queue when the drain begins.
const queued = 40

// openQueued opens connections that nobody accepts yet and sends a request on each.
func openQueued(t *testing.T, address string) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, queued)
	for i := range conns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		conns[i] = c
	}
	return conns
}

// Guards against a planned stop that resets connections which the kernel has
// established already: their callers have sent requests.
func TestDrainServesQueuedConnections(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := openQueued(t, l.Addr().String())
	var open Connections
	s := &http.Server{ConnState: open.Observe, Handler: open.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }))}
	ended := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(ctx) }()
	go func() { ended <- s.Serve(l) }()
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if err := open.Stop(ctx, s); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("the server ended with %v", err)
	}
	for i, c := range conns {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		body, err := io.ReadAll(res.Body)
		if err != nil || string(body) != "fine" {
			t.Errorf("connection %d: %q, %v", i, body, err)
		}
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("a connection was established after the drain")
	}
	if err := l.Drain(ctx); err != nil {
		t.Errorf("a second drain: %v", err)
	}
	if err := l.Close(); err != nil {
		t.Errorf("a second close: %v", err)
	}
}

// Guards against a stop that hangs because nobody accepts, and against a drain that
// a flood of connections keeps open.
func TestDrainEnds(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := l.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a drain without an acceptor: %v", err)
	}
	flood, stop := context.WithCancel(t.Context())
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		for flood.Err() == nil {
			if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
				_ = c.Close()
			}
		}
	}()
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	if err := l.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	stop()
	<-flooded
	_ = l.Close()
	<-accepting
}

// Guards against an http.Server whose Shutdown overlooks the last delivered
// connection.
func TestFlushWaitsForAccept(t *testing.T) {
	l := New(nil)
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	accepted, next := make(chan net.Conn), make(chan struct{})
	go func() {
		c, _ := l.Accept()
		accepted <- c
		<-next
		_, _ = l.Accept()
	}()
	go l.Deliver(a)
	if <-accepted != a {
		t.Fatal("another connection was accepted")
	}
	flushed := make(chan struct{})
	go func() {
		l.Flush()
		close(flushed)
	}()
	select {
	case <-flushed:
		t.Error("Flush returned before Accept was called again")
	default:
	}
	close(next)
	<-flushed
	_ = l.Close()
	l.Flush()
}
