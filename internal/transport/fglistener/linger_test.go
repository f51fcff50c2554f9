package fglistener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

const (
	// lingerBodyBytes of a response do not fit into the window of a caller of these tests.
	lingerBodyBytes   = 64 << 10
	lingerWindowBytes = 4 << 10
	lingerRequest     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// lingerServer closes each connection after its response.
type lingerServer struct {
	http    http.Server
	open    Connections
	address string
	// start lets the handler respond, and written receives a value when it has.
	start, written chan struct{}
}

func startLingerServer(t *testing.T) *lingerServer {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &lingerServer{address: l.Addr().String(), start: make(chan struct{}), written: make(chan struct{}, 1)}
	s.http.ConnState, s.http.ConnContext = s.open.Observe, ConnContext
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-s.start
		CloseAfterResponse(w, r)
		_, _ = w.Write(make([]byte, lingerBodyBytes))
		s.written <- struct{}{}
	})
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(l) }()
	t.Cleanup(func() {
		_, _ = l.Close(), s.http.Close()
		<-ended
	})
	return s
}

// dial sends requests on a connection with a small window.
func (s *lingerServer) dial(t *testing.T, requests int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(lingerWindowBytes)
	if _, err := io.WriteString(c, strings.Repeat(lingerRequest, requests)); err != nil {
		t.Fatal(err)
	}
	return c
}

// readSlowly reads a response, and fails the test unless it is whole.
func readSlowly(t *testing.T, c net.Conn) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, iotest.OneByteReader(res.Body))
	if err != nil || n != lingerBodyBytes {
		t.Errorf("got %d of %d bytes, error %v", n, lingerBodyBytes, err)
	}
}

// Guards against a response that is truncated because its connection is closed while requests
// that were sent ahead are unread: the kernel then resets the connection, and drops what the
// caller's window has not taken.
func TestResponseBeforeUnreadRequest(t *testing.T) {
	s := startLingerServer(t)
	c := s.dial(t, 1000)
	close(s.start)
	<-s.written
	readSlowly(t, c)
	_ = c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := s.open.Stop(ctx, &s.http); err != nil {
		t.Error(err)
	}
}

// Guards against the end of a stop that resets a connection whose response is written, but has
// not arrived.
func TestEndOfStopKeepsWrittenResponses(t *testing.T) {
	s := startLingerServer(t)
	c := s.dial(t, 1)
	close(s.start)
	<-s.written
	// The server has ended the data of the connection.
	for end := time.Now().Add(10 * time.Second); !s.open.allClosing(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is not being closed")
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.open.Stop(ctx, &s.http); err == nil {
		t.Error("the connection was closed before the stop ended")
	}
	readSlowly(t, c)
}

// allClosing reports whether all connections are being closed.
func (c *Connections) allClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if !isClosing(conn) {
			return false
		}
	}
	return len(c.open) > 0
}
