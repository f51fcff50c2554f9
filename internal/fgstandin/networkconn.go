package fgstandin

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// streamBufferBytes bounds the data that is sent and not yet read in one
// direction, like the buffers of a TCP connection.
const streamBufferBytes = 64 << 10

// memoryConn is one end of an in-memory connection.
type memoryConn struct {
	network       *Network
	local, remote netip.AddrPort
	in, out       *stream
	// resets means that Close resets the connection.
	resets atomic.Bool
}

// Read reads data that the other end has sent.
func (c *memoryConn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write sends data to the other end.
func (c *memoryConn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close closes both directions. Data that was written still arrives, unless SetLinger
// made the close a reset.
func (c *memoryConn) Close() error {
	if c.resets.Load() {
		c.out.reset()
	}
	c.out.closeWriter()
	c.in.closeReader()
	c.network.removeConn(c)
	return nil
}

// SetLinger makes Close a reset if sec is 0, and a normal close if it is negative, as
// for a net.TCPConn.
func (c *memoryConn) SetLinger(sec int) error {
	c.resets.Store(sec == 0)
	return nil
}

// Unacknowledged returns the number of written bytes that have not arrived.
func (c *memoryConn) Unacknowledged() (int, error) { return c.out.inTransit(), nil }

// LocalAddr returns the address of this end.
func (c *memoryConn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the address of the other end.
func (c *memoryConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline sets the deadlines of both directions.
func (c *memoryConn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline sets the deadline of Read.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline sets the deadline of Write.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// chunk is written data and its time of arrival.
type chunk struct {
	data    []byte
	arrives time.Time
}

// stream is one direction of a connection.
type stream struct {
	network *Network
	link    link

	mu     sync.Mutex
	chunks []chunk
	// size is the number of bytes in chunks.
	size         int
	writerClosed bool
	// wasReset means that the writer has reset the connection.
	wasReset bool
	// closeArrives is when the reader sees that the writer has closed.
	closeArrives time.Time
	readerClosed bool
	// silent stops the delivery of data and of a close.
	silent        bool
	readDeadline  time.Time
	writeDeadline time.Time
	// changed is closed at the next change of the other fields.
	changed chan struct{}
}

// read waits until data or the close of the writer arrives, or until the
// deadline.
func (s *stream) read(p []byte) (int, error) {
	for {
		partitioned, networkChanged := s.network.isPartitioned(s.link)
		s.mu.Lock()
		n, retryAt, err := s.tryRead(p, partitioned)
		changed := s.changeChan()
		s.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		waitForAny(retryAt, changed, networkChanged)
	}
}

// tryRead returns data, an error, or the time at which to try again (the zero time
// means at the next change). The caller holds mu.
func (s *stream) tryRead(p []byte, partitioned bool) (int, time.Time, error) {
	now := time.Now()
	switch {
	case s.readerClosed:
		return 0, time.Time{}, net.ErrClosed
	case expired(s.readDeadline, now):
		return 0, time.Time{}, os.ErrDeadlineExceeded
	case partitioned || s.silent:
		return 0, s.readDeadline, nil
	case len(s.chunks) > 0:
		if first := &s.chunks[0]; !first.arrives.After(now) {
			return s.consume(p, first), time.Time{}, nil
		}
		return 0, earlier(s.chunks[0].arrives, s.readDeadline), nil
	case s.writerClosed && !s.closeArrives.After(now):
		if s.wasReset {
			return 0, time.Time{}, syscall.ECONNRESET
		}
		return 0, time.Time{}, io.EOF
	case s.writerClosed:
		return 0, earlier(s.closeArrives, s.readDeadline), nil
	default:
		return 0, s.readDeadline, nil
	}
}

// consume copies data of the first chunk and removes it.
func (s *stream) consume(p []byte, first *chunk) int {
	n := copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.size -= n
	s.notify()
	return n
}

// write queues data and waits while the buffer is full.
func (s *stream) write(p []byte) (int, error) {
	delay := s.network.delayOf(s.link)
	written := 0
	for written < len(p) {
		s.mu.Lock()
		n, err := s.tryWrite(p[written:], delay)
		changed, deadline := s.changeChan(), s.writeDeadline
		s.mu.Unlock()
		written += n
		if err != nil {
			return written, err
		}
		if n == 0 {
			waitForAny(deadline, changed, nil)
		}
	}
	return written, nil
}

// tryWrite queues as much data as the buffer has room for. The caller holds mu.
func (s *stream) tryWrite(p []byte, delay time.Duration) (int, error) {
	now := time.Now()
	switch {
	case s.writerClosed:
		return 0, net.ErrClosed
	case expired(s.writeDeadline, now):
		return 0, os.ErrDeadlineExceeded
	case s.readerClosed && !s.silent:
		return 0, syscall.ECONNRESET
	}
	n := min(len(p), streamBufferBytes-s.size)
	if n > 0 {
		s.chunks = append(s.chunks, chunk{data: append([]byte(nil), p[:n]...), arrives: now.Add(delay)})
		s.size += n
		s.notify()
	}
	return n, nil
}

func (s *stream) closeWriter() {
	delay := s.network.delayOf(s.link)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writerClosed {
		s.writerClosed = true
		s.closeArrives = time.Now().Add(delay)
	}
	s.notify()
}

// inTransit returns the number of written bytes that have not arrived: those that a
// partition holds back count, whenever they were written.
func (s *stream) inTransit() int {
	partitioned, _ := s.network.isPartitioned(s.link)
	s.mu.Lock()
	defer s.mu.Unlock()
	if partitioned || s.silent {
		return s.size
	}
	n, now := 0, time.Now()
	for _, c := range s.chunks {
		if c.arrives.After(now) {
			n += len(c.data)
		}
	}
	return n
}

// reset drops the data that has not arrived, as TCP does not send it again after a
// reset.
func (s *stream) reset() {
	partitioned, _ := s.network.isPartitioned(s.link)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writerClosed {
		return
	}
	s.wasReset = true
	now := time.Now()
	kept := s.chunks[:0]
	s.size = 0
	for _, c := range s.chunks {
		if !partitioned && !s.silent && !c.arrives.After(now) {
			kept = append(kept, c)
			s.size += len(c.data)
		}
	}
	s.chunks = kept
	s.notify()
}

func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerClosed = true
	s.notify()
}

// setSilent must not lock the network: its caller holds that lock.
func (s *stream) setSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	s.notify()
}

func (s *stream) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDeadline = t
	s.notify()
}

func (s *stream) setWriteDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeDeadline = t
	s.notify()
}

// changeChan returns a channel that is closed at the next change.
func (s *stream) changeChan() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *stream) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func expired(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

// earlier returns the earlier of two times; the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// waitForAny waits until t (the zero time means never) or until one of the
// channels is closed.
func waitForAny(t time.Time, a, b <-chan struct{}) {
	var timer <-chan time.Time
	if !t.IsZero() {
		timer = time.After(time.Until(t))
	}
	select {
	case <-timer:
	case <-a:
	case <-b:
	}
}
