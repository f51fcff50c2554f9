package fgstandin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// earlyBufferBytes is the size of an Early server's receive buffer, so that a client cannot
// write a long body whose rest nobody reads.
const earlyBufferBytes = 4 << 10

// EarlyEnd is what an Early server does after its response.
type EarlyEnd int

const (
	// EndReset resets the connection.
	EndReset EarlyEnd = iota
	// EndInOrder ends the response, reads the rest of the request and then closes.
	EndInOrder
	// KeepOpen serves the next request on the connection.
	KeepOpen
)

// Early is a server that responds when it has read the head of a request, while the body is
// still being written.
type Early struct {
	listener net.Listener
	respond  func(http.Header) string
	end      EarlyEnd
	requests atomic.Int64
}

// ListenEarly starts a server on a loopback address. respond returns the bytes of the response
// to a request with the given header.
func ListenEarly(end EarlyEnd, respond func(http.Header) string) (*Early, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Early{listener: l, respond: respond, end: end}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return e, nil
}

func (e *Early) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadBuffer(earlyBufferBytes)
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e.requests.Add(1)
		_, _ = io.WriteString(c, e.respond(r.Header))
		switch e.end {
		case EndReset:
			_ = c.SetLinger(0)
			return
		case EndInOrder:
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, reader)
			return
		case KeepOpen:
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	}
}

// Address returns the server's address.
func (e *Early) Address() string { return e.listener.Addr().String() }

// Requests returns how many heads of requests have arrived.
func (e *Early) Requests() int64 { return e.requests.Load() }

// Close stops accepting connections.
func (e *Early) Close() { _ = e.listener.Close() }
