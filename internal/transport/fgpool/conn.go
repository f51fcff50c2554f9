package fgpool

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes holds the header of an answer and most bodies.
const readBufferBytes = 4 << 10

// conn is a connection to an upstream.
type conn struct {
	net.Conn

	reader  *bufio.Reader
	raw     syscall.RawConn
	expires time.Time
}

func dial(ctx context.Context, address string) (*conn, error) {
	n, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, reader: bufio.NewReaderSize(n, readBufferBytes)}
	tcp, ok := n.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	if c.raw, err = tcp.SyscallConn(); err != nil {
		_ = n.Close()
		return nil, err
	}
	var failure error
	err = c.raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil || failure != nil {
		_ = n.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it: what comes without a request belongs to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
