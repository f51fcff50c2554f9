// Package fglistener provides a net.Listener for connections that another
// listener has accepted.
package fglistener

import (
	"net"
	"sync"
)

// Listener is a net.Listener that accepts the connections passed to Deliver.
type Listener struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// New returns a listener whose Addr returns a, the address of the listener that
// accepts the connections.
func New(a net.Addr) *Listener {
	return &Listener{address: a, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Deliver blocks until Accept returns the connection. If the listener is closed,
// Deliver closes the connection instead.
func (l *Listener) Deliver(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.done:
		_ = c.Close()
	}
}

// Flush returns when Accept has been called again after the last delivered
// connection, or when the listener is closed. An http.Server knows the connection by
// then, so that its Shutdown waits for it.
func (l *Listener) Flush() {
	select {
	case l.conns <- nil:
	case <-l.done:
	}
}

// Accept returns the next delivered connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		select {
		case c := <-l.conns:
			if c != nil {
				return c, nil
			}
		case <-l.done:
			return nil, net.ErrClosed
		}
	}
}

// Close makes Accept return net.ErrClosed. It may be called more than once.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address that was passed to New.
func (l *Listener) Addr() net.Addr { return l.address }
