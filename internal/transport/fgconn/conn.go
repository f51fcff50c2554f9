// Package fgconn provides client connections and transports for HTTP/1.1 whose responses are
// valid and whole, or end with an error.
package fgconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a client connection on which a reset is never read as the end of the data. The
// kernel reports a reset or a timeout once, to a Read or to a Write, and the next Read
// returns io.EOF as if the peer had closed the connection in order.
type Conn struct {
	net.Conn

	// writing is held during each Write.
	writing sync.Mutex
	// broken is the first error with which the connection ended.
	broken atomic.Pointer[error]
}

// New returns a Conn that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.record(err)
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has closed the connection in
// order. Then it ends a Write in progress: after a peer's last byte, no request is worth
// writing.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		c.record(err)
		return n, err
	}
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	c.writing.Unlock()
	if broken := c.broken.Load(); broken != nil {
		err = *broken
	}
	return n, err
}

// record keeps an error if it ended the connection. EPIPE does not tell of a reset that came
// instead of the end: a Write gets it after the peer has closed the connection in order.
func (c *Conn) record(err error) {
	if err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.broken.CompareAndSwap(nil, &err)
}
