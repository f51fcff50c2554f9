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

	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
)

// Conn is a client connection on which a reset is never read as the end of the data. The
// kernel reports a reset or a timeout once, to a Read or to a Write, and the next Read
// returns io.EOF as if the peer had closed the connection in order. After ExpectHead, the head
// of a response that fgheader.HeadScanner refuses ends with an error.
type Conn struct {
	net.Conn

	// writing is held during each Write.
	writing sync.Mutex
	// broken is the first error with which the connection ended.
	broken atomic.Pointer[error]

	mu sync.Mutex
	// expectsHead means that head has not ended.
	expectsHead bool
	head        fgheader.HeadScanner
	// invalid is the error of the head. Each further Read returns it, since net/http passes
	// over an error within a folded line.
	invalid error
}

// New returns a Conn that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// ExpectHead makes Read check the head of a response, which begins with the bytes that were
// read before.
func (c *Conn) ExpectHead(before []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expectsHead = true
	c.head.Reset()
	c.invalid = nil
	return c.scanHead(before)
}

// checkHead checks the next bytes of the connection.
func (c *Conn) checkHead(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expectsHead {
		return nil
	}
	return c.scanHead(b)
}

// scanHead checks the next bytes of the head. c.mu is held.
func (c *Conn) scanHead(b []byte) error {
	if c.invalid == nil {
		c.invalid = c.head.Scan(b)
		c.expectsHead = !c.head.Ended()
	}
	return c.invalid
}

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
	if invalid := c.checkHead(b[:n]); invalid != nil {
		return 0, invalid
	}
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
