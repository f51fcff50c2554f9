package fglistener

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// leftPollInterval is how often the connection of a running request is looked at. It
	// leaves time within the 0.5 s after which nothing may reach an upstream for a caller
	// that has left.
	leftPollInterval = 200 * time.Millisecond
	// tcpEstablished is the state of a TCP connection that neither side has closed.
	tcpEstablished = 1
)

// CancelWhenLeft returns a handler that cancels the context of a request when its caller
// has closed the connection. http.Server does not notice that while it has not read what the
// caller sent ahead. The server needs ConnContext.
func CancelWhenLeft(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if hasLeft(c) {
			cancel()
		}
		var timer *time.Timer
		// The function may run before AfterFunc has returned, so it waits for the timer.
		ready := make(chan struct{})
		timer = time.AfterFunc(leftPollInterval, func() {
			<-ready
			switch {
			case ctx.Err() != nil:
			case hasLeft(c):
				cancel()
			default:
				timer.Reset(leftPollInterval)
			}
		})
		close(ready)
		defer timer.Stop()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// hasLeft reports whether the other side has closed a TCP connection. It returns false if
// that is not known.
func hasLeft(c net.Conn) bool {
	tcp, ok := withoutTLS(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && info.State != tcpEstablished
	})
	return left
}
