package fgstandin

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// endlessBytes is how much an Endless server offers on a connection.
	endlessBytes = 64 << 20
	// endlessBufferBytes is the size of its send buffer, so that the kernel holds
	// little of what the client has not read.
	endlessBufferBytes = 64 << 10
	// endlessRequestWait is how long it waits for a request before it responds.
	endlessRequestWait = 200 * time.Millisecond
)

// Endless is a server in trouble: it responds to whatever it receives with bytes that
// do not end until the client closes the connection.
type Endless struct {
	listener net.Listener
	taken    chan int
}

// ListenEndless starts a server on a loopback address. It sends start and then repeats
// next.
func ListenEndless(start, next string) (*Endless, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endless{listener: l, taken: make(chan int, 64)}
	block := []byte(strings.Repeat(next, 1+(16<<10)/len(next)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { e.taken <- serveEndless(c, []byte(start), block) }()
		}
	}()
	return e, nil
}

// serveEndless returns how many bytes were taken.
func serveEndless(c net.Conn, start, block []byte) int {
	defer func() { _ = c.Close() }()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(endlessBufferBytes)
	}
	_ = c.SetReadDeadline(time.Now().Add(endlessRequestWait))
	_, _ = c.Read(make([]byte, 4<<10))
	n, err := c.Write(start)
	for err == nil && n < endlessBytes {
		var more int
		more, err = c.Write(block)
		n += more
	}
	return n
}

// Address returns the server's address.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Taken waits for the end of a connection and returns how many bytes were taken from
// it, up to 64 MB and including what the kernel holds.
func (e *Endless) Taken() int { return <-e.taken }

// Close stops accepting connections.
func (e *Endless) Close() { _ = e.listener.Close() }

// CountingDialer counts the bytes that a client reads from its connections. Unlike what
// a server has written, they do not include those that the kernel holds.
type CountingDialer struct {
	net.Dialer

	read atomic.Int64
}

// DialContext opens a connection.
func (d *CountingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, read: &d.read}, nil
}

// BytesRead returns how many bytes were read.
func (d *CountingDialer) BytesRead() int64 { return d.read.Load() }

type countingConn struct {
	net.Conn

	read *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}
