package fglistener

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"
)

// Guards against a response that is truncated because its connection is closed while a request
// that was sent ahead is unread: the kernel then resets the connection, and drops what the
// caller's window has not taken.
func TestResponseBeforeUnreadRequest(t *testing.T) {
	const bodyBytes, windowBytes = 64 << 10, 4 << 10
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sentAhead, written := make(chan struct{}), make(chan struct{})
	var open Connections
	s := &http.Server{ConnState: open.Observe, ConnContext: ConnContext, Handler: open.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-sentAhead
		CloseAfterResponse(w, r)
		_, _ = w.Write(make([]byte, bodyBytes))
		close(written)
	}))}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(windowBytes)
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	if _, err := io.WriteString(c, request+string(bytes.Repeat([]byte(request), 1000))); err != nil {
		t.Fatal(err)
	}
	close(sentAhead)
	// The server closes the connection at once, and the caller reads slowly.
	<-written
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, iotest.OneByteReader(res.Body))
	if err != nil || n != bodyBytes {
		t.Errorf("got %d of %d bytes, error %v", n, bodyBytes, err)
	}
	_ = c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := open.Stop(ctx, s); err != nil {
		t.Error(err)
	}
	_ = l.Close()
	<-ended
}
