package fglistener

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// lingerTimeout is how long a connection lingers at most: a caller that reads slowly needs
// that time to receive the end of its response.
const lingerTimeout = 2 * time.Second

const (
	// closeAtOnce closes the connection.
	closeAtOnce = iota
	// closeLingering first drops what the caller sends until the caller has closed.
	closeLingering
	// neverLinger is closeAtOnce, which does not change any more.
	neverLinger
)

// callerConn is a connection that Draining has accepted.
type callerConn struct {
	*net.TCPConn

	// receiving means that bytes have arrived since the last response.
	receiving atomic.Bool
	// linger is what Close does: one of the values above.
	linger atomic.Int32
	// closing means that Close was called.
	closing atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.receiving.Store(true)
	}
	return n, err
}

// Close implements net.Conn. A further Close ends one that lingers.
func (c *callerConn) Close() error {
	c.closing.Store(true)
	if c.linger.Swap(neverLinger) == closeLingering && c.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.TCPConn)
	}
	return c.TCPConn.Close()
}

// isReceiving reports whether the beginning of a request has arrived on a connection that
// carries none. It returns false if that is not known: under TLS, it may be a handshake.
func isReceiving(c net.Conn) bool {
	caller, ok := c.(*callerConn)
	return ok && caller.receiving.Load()
}

// isClosing reports whether the server is closing a connection, after its last response.
func isClosing(c net.Conn) bool {
	caller, ok := withoutTLS(c).(*callerConn)
	return ok && caller.closing.Load()
}

// withoutTLS returns the connection under TLS, or c itself.
func withoutTLS(c net.Conn) net.Conn {
	if t, ok := c.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c
}
