package fgupstream

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/filbertgap/filbertgap/internal/transport/fgconn"
)

// conn counts the bytes that the kernel accepted for sending.
type conn struct {
	*fgconn.Conn

	closed  atomic.Bool
	mu      sync.Mutex
	written int64
}

// Write writes to the connection unless closeAndCount has been called.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// bytesWritten returns the number of bytes written so far.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// closeAndCount closes the connection and returns the final number of bytes
// written. The Transport's writing goroutine may still run after RoundTrip has
// returned, so closeAndCount also makes later writes fail.
func (c *conn) closeAndCount() int64 {
	c.closed.Store(true)
	// Close before locking: it interrupts a blocked Write, which holds the lock.
	_ = c.Conn.Close()
	return c.bytesWritten()
}
