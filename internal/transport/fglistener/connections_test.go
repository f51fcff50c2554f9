package fglistener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against a response that is cut off by the end of a stop and looks complete to
// callers that take the end of the connection for the end of the response.
func TestStopResetsUnfinishedRequests(t *testing.T) {
	tests := []struct {
		name string
		// unfinished means that the request runs longer than the stop waits.
		unfinished bool
		want       error
	}{{"unfinished", true, syscall.ECONNRESET}, {"idle", false, nil}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			release := make(chan struct{})
			var open Connections
			s := &http.Server{ConnState: open.Observe, Handler: open.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if tt.unfinished {
					<-release
				}
			}))}
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(l) }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAtLeast(c, make([]byte, 1), 1); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if tt.unfinished {
				cancel()
			}
			if err := open.Stop(ctx, s); (err != nil) != tt.unfinished {
				t.Errorf("the stop ended with %v", err)
			}
			if _, err := io.Copy(io.Discard, c); !errors.Is(err, tt.want) {
				t.Errorf("the caller read %v, want %v", err, tt.want)
			}
			close(release)
			<-ended
		})
	}
}

// Guards against a stop that ends the read of a request that is arriving: its caller gets no
// response, or status 400 if the read ends within a name.
func TestStopWaitsForRequestThatArrives(t *testing.T) {
	tests := []struct {
		name string
		// kept means that the connection has carried another request.
		kept        bool
		first, rest string
	}{
		{"new connection", false, "GET / HTTP/1.1\r\nHost: h\r\nX: ", "y\r\n\r\n"},
		{"kept connection", true, "GET / HTTP/1.1\r\nHost: h\r\nX: ", "y\r\n\r\n"},
		{"within a name", true, "GET / HTTP/1.1\r\nHost: h\r\nX-", "Y: z\r\n\r\n"},
		{"first byte", true, "G", "ET / HTTP/1.1\r\nHost: h\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var open Connections
			s := &http.Server{ConnState: open.Observe, Handler: open.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }))}
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(l) }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			exchange := func(parts ...string) (int, error) {
				for i, part := range parts {
					if i > 0 {
						time.Sleep(newConnWait + 200*time.Millisecond)
					}
					if _, err := io.WriteString(c, part); err != nil {
						return 0, err
					}
				}
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					return 0, err
				}
				_, err = io.Copy(io.Discard, res.Body)
				return res.StatusCode, err
			}
			if tt.kept {
				if status, err := exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK || err != nil {
					t.Fatal(status, err)
				}
			}
			if _, err := io.WriteString(c, tt.first); err != nil {
				t.Fatal(err)
			}
			// The server has read the beginning.
			for end := time.Now().Add(10 * time.Second); !open.anyReceiving(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the server has not read the beginning")
				}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- open.Stop(ctx, s) }()
			if status, err := exchange("", tt.rest); status != http.StatusOK || err != nil {
				t.Errorf("got status %d, error %v", status, err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			_ = l.Close()
			<-ended
		})
	}
}

// anyReceiving reports whether a request is arriving on any connection.
func (c *Connections) anyReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if isReceiving(conn) {
			return true
		}
	}
	return false
}
