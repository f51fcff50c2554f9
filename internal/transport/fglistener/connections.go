package fglistener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	// newConnWait is how long a stop waits for the first request on a connection.
	newConnWait = time.Second
	// stopPollInterval is how often a stop looks at the open connections.
	stopPollInterval = 5 * time.Millisecond
)

// Connections knows the open connections of an http.Server. The zero value is ready
// to use.
type Connections struct {
	mu   sync.Mutex
	open map[net.Conn]connState
}

// connState is the state of a connection and the time since which it is in it.
type connState struct {
	state http.ConnState
	since time.Time
}

// Observe records the state of a connection. It is meant for the field ConnState of
// http.Server.
func (c *Connections) Observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	if c.open == nil {
		c.open = map[net.Conn]connState{}
	}
	c.open[conn] = connState{state: state, since: time.Now()}
}

// busy reports whether a connection carries a request or may be about to.
func (c *Connections) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.open {
		if s.state == http.StateActive || s.state == http.StateNew && time.Since(s.since) < newConnWait {
			return true
		}
	}
	return false
}

// Stop closes a server after the requests on its accepted connections have got their
// responses, or when the context ends. The server's listener must not return further
// connections. Shutdown of http.Server would drop a request that it reads after
// Shutdown has begun, without a response.
func (c *Connections) Stop(ctx context.Context, s *http.Server) error {
	s.SetKeepAlivesEnabled(false)
	var err error
	for err == nil && c.busy() {
		err = fgtimer.Wait(ctx, stopPollInterval)
	}
	_ = s.Close()
	return err
}
