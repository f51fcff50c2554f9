package fglistener

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// drainIdleTime is how long no connection may arrive until a draining listener
	// is closed. It is short, so that there is such a pause under load, too.
	drainIdleTime = 200 * time.Microsecond
	// maxDrainTime bounds the drain while connections keep arriving.
	maxDrainTime = 250 * time.Millisecond
)

// Draining is a TCP listener that can stop without a loss. Closing a TCP listener
// resets the connections that the kernel has established and queued, although their
// callers may have sent requests.
type Draining struct {
	*net.TCPListener

	accepted                atomic.Int64
	drained, closed         chan struct{}
	drainedOnce, closedOnce sync.Once

	mu sync.Mutex
	// drainEnd is when the drain ends at the latest. It is zero before the drain.
	drainEnd time.Time
}

// Listen opens a listener on a TCP address.
func Listen(address string) (*Draining, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Draining{TCPListener: l.(*net.TCPListener), drained: make(chan struct{}), closed: make(chan struct{})}, nil
}

// Accept returns the next connection. After a drain it blocks until Close.
func (d *Draining) Accept() (net.Conn, error) {
	for {
		draining, ended := d.beginAccept()
		if !ended {
			c, err := d.AcceptTCP()
			if err == nil {
				d.accepted.Add(1)
				return &callerConn{TCPConn: c}, nil
			}
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, err
			}
			// The deadline may pass before the kernel is asked.
			if !draining || d.isQueued() {
				continue
			}
		}
		_ = d.TCPListener.Close()
		d.drainedOnce.Do(func() { close(d.drained) })
		<-d.closed
		return nil, net.ErrClosed
	}
}

// isQueued reports whether the kernel has a connection for Accept.
func (d *Draining) isQueued() bool {
	raw, err := d.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// Accepted returns the number of connections that Accept has returned.
func (d *Draining) Accepted() int64 { return d.accepted.Load() }

// beginAccept sets the deadline for one call of Accept during a drain. ended means
// that the drain has taken its time.
func (d *Draining) beginAccept() (draining, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drainEnd.IsZero() {
		return false, false
	}
	now := time.Now()
	_ = d.SetDeadline(now.Add(drainIdleTime))
	return true, now.After(d.drainEnd)
}

// Drain lets Accept return the connections that are queued already, and then refuses
// new ones. When it returns without an error, Accept has been called again after the
// last connection.
func (d *Draining) Drain(ctx context.Context) error {
	d.mu.Lock()
	if d.drainEnd.IsZero() {
		d.drainEnd = time.Now().Add(maxDrainTime)
		_ = d.SetDeadline(time.Now())
	}
	d.mu.Unlock()
	select {
	case <-d.drained:
		return nil
	default:
	}
	select {
	case <-d.drained:
		return nil
	case <-d.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and makes Accept return net.ErrClosed. It may be called
// more than once.
func (d *Draining) Close() error {
	d.closedOnce.Do(func() { close(d.closed) })
	err := d.TCPListener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
