package fglistener

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext stores a connection in the context of its requests. It is meant for
// the field of http.Server with the same name.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ResetIfUnframed makes the end of a request's connection a reset if the caller speaks
// HTTP/1.0, where the end of the connection may be the end of the response: a
// response that is aborted would look complete.
func ResetIfUnframed(r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	resetOnClose(c)
}

// resetOnClose makes the end of a connection a reset if it is TCP.
func resetOnClose(c net.Conn) {
	preventLinger(c)
	if tcp, ok := withoutTLS(c).(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// preventLinger makes Close of a connection return at once.
func preventLinger(c net.Conn) {
	if caller, ok := withoutTLS(c).(*callerConn); ok {
		caller.linger.Store(neverLinger)
	}
}

// CloseAfterResponse makes the server close the connection after the response to a request.
// What the caller has sent ahead is read and dropped until the caller closes the connection,
// since a close with unread data is a reset, which can truncate the response. The server needs
// ConnContext.
func CloseAfterResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if caller, ok := withoutTLS(c).(*callerConn); ok {
		caller.linger.CompareAndSwap(closeAtOnce, closeLingering)
	}
}
