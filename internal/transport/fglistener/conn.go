package fglistener

import (
	"crypto/tls"
	"net"
	"sync/atomic"
)

// callerConn is a connection that Draining has accepted.
type callerConn struct {
	*net.TCPConn

	// receiving means that bytes have arrived since the last response.
	receiving atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.receiving.Store(true)
	}
	return n, err
}

// isReceiving reports whether the beginning of a request has arrived on a connection that
// carries none. It returns false if that is not known: under TLS, it may be a handshake.
func isReceiving(c net.Conn) bool {
	caller, ok := c.(*callerConn)
	return ok && caller.receiving.Load()
}

// withoutTLS returns the connection under TLS, or c itself.
func withoutTLS(c net.Conn) net.Conn {
	if t, ok := c.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c
}
