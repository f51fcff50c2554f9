package fglistener

import (
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
