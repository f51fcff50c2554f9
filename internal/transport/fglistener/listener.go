// Package fglistener hands connections that were accepted elsewhere to a
// server.
package fglistener

import (
	"net"
	"sync"
)

// Listener is a net.Listener whose connections come from Deliver.
type Listener struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// New returns a listener. The address is that at which connections are accepted.
func New(a net.Addr) *Listener {
	return &Listener{address: a, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Deliver passes on a connection, and waits until it is taken. After Close it
// closes the connection.
func (l *Listener) Deliver(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.done:
		_ = c.Close()
	}
}

// Accept returns the next delivered connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. It may be called more than once.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address at which connections are accepted.
func (l *Listener) Addr() net.Addr { return l.address }
