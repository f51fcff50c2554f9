package fgpool

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
	"github.com/filbertgap/filbertgap/internal/transport/fgconn"
)

// readBufferBytes is large enough for a response header and most bodies.
const readBufferBytes = 4 << 10

// conn is a connection to an upstream. The raw connection is nil if the
// connection isn't TCP.
type conn struct {
	*fgconn.Conn

	reader  *bufio.Reader
	head    *headLimit
	raw     syscall.RawConn
	expires time.Time // end of the idle timeout
	// used means that the connection has carried a request.
	used bool
	// linger sets SO_LINGER. It is nil if the connection cannot be reset.
	linger lingerer
	// acknowledger is nil if the connection has a file descriptor.
	acknowledger acknowledger
	// notReset counts connections that should have been reset but could not be.
	notReset *atomic.Int64
	ended    atomic.Bool
}

// lingerer is a connection that can be reset, such as a net.TCPConn.
type lingerer interface{ SetLinger(sec int) error }

// acknowledger is a connection without a file descriptor that knows how many of the
// written bytes the other end has not acknowledged.
type acknowledger interface{ Unacknowledged() (int, error) }

// end closes the connection. complete means that nothing of a request can be in transit:
// the last exchange is complete, or there was none. Otherwise, the connection is reset,
// since the kernel and the network would go on delivering the request after a normal
// close. Each connection ends here and only once.
func (c *conn) end(complete bool) {
	if !c.ended.CompareAndSwap(false, true) {
		return
	}
	if complete && c.linger != nil {
		_ = c.linger.SetLinger(-1)
	}
	if !complete && c.linger == nil {
		c.notReset.Add(1)
	}
	_ = c.Close()
}

// unacknowledged returns the number of written bytes that the other end has not
// acknowledged, including those that the kernel has not sent. It is zero if that is not
// known.
func (c *conn) unacknowledged() int {
	n := 0
	var err error
	if c.raw != nil {
		controlErr := c.raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		err = errors.Join(err, controlErr)
	} else if c.acknowledger != nil {
		n, err = c.acknowledger.Unacknowledged()
	}
	if err != nil {
		return 0
	}
	return n
}

// newConn returns a connection that reads through a headLimit.
func newConn(c net.Conn) *conn {
	whole := fgconn.New(c)
	head := &headLimit{conn: whole}
	a, _ := c.(acknowledger)
	return &conn{Conn: whole, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), acknowledger: a, notReset: new(atomic.Int64)}
}

// headLimit limits how many bytes are read from a connection while the head of a
// response is expected. The zero limit is none.
type headLimit struct {
	conn      net.Conn
	limited   bool
	remaining int
	// broken means that reading from the connection has failed, and not that what was read is
	// not valid.
	broken bool
}

// set limits the next bytes to n.
func (l *headLimit) set(n int) { l.limited, l.remaining = true, n }

// clear ends the limit.
func (l *headLimit) clear() { l.limited = false }

// Read returns errHeadTooLarge if the limit is used up.
func (l *headLimit) Read(b []byte) (int, error) {
	if l.limited {
		if l.remaining <= 0 {
			return 0, merry.Wrap(errHeadTooLarge)
		}
		b = b[:min(len(b), l.remaining)]
	}
	n, err := l.conn.Read(b)
	l.remaining -= n
	l.broken = l.broken || err != nil && !errors.Is(err, fgheader.ErrInvalid)
	return n, err
}

// newUpstreamConn returns a connection that was opened, with TCP_USER_TIMEOUT set, or the
// error of opening it.
func (p *Pool) newUpstreamConn(netConn net.Conn, err error) (*conn, error) {
	if err != nil {
		return nil, err
	}
	c := newConn(netConn)
	c.notReset = &p.notReset
	// The connection is reset unless end decides otherwise, also if the process is killed.
	if l, ok := netConn.(lingerer); ok && l.SetLinger(0) == nil {
		c.linger = l
	}
	tcp, ok := netConn.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	if c.raw, err = tcp.SyscallConn(); err != nil {
		c.end(true)
		return nil, err
	}
	var sockoptErr error
	err = c.raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil || sockoptErr != nil {
		c.end(true)
		return nil, net.ErrClosed
	}
	return c, nil
}

// isReusable reports whether an idle connection is still open and has no unread
// data. Data that arrives between requests is not a response to the next one.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
