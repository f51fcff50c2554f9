package fgupstream

import (
	"net"
	"sync"
	"sync/atomic"
)

// conn counts the bytes that the kernel accepted for the other end.
type conn struct {
	net.Conn

	sealed  atomic.Bool
	mu      sync.Mutex
	written int64
}

// Write sends bytes unless the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection and returns the final count: the Transport's
// writing goroutine may still run when RoundTrip has returned.
func (c *conn) seal() int64 {
	c.sealed.Store(true)
	// Closing first ends a write that holds the lock.
	_ = c.Conn.Close()
	return c.count()
}
