package fglistener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	stopping atomic.Bool

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
	if caller, ok := conn.(*callerConn); ok && state == http.StateIdle {
		caller.receiving.Store(false)
	}
	c.open[conn] = connState{state: state, since: time.Now()}
}

// Handler returns a handler that closes each connection after its response once Stop
// was called.
func (c *Connections) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.stopping.Load() {
			CloseAfterResponse(w, r)
		}
		h.ServeHTTP(w, r)
	})
}

// release ends the reads on connections that carry no request, and on which none is
// arriving, which makes the server close them. It returns the number of open connections.
// Closing such a connection instead could cut off a request that the server has just read:
// a read deadline fails only a read that has returned nothing.
func (c *Connections) release() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if isReceiving(conn) {
			continue
		}
		if s.state == http.StateIdle || s.state == http.StateNew && time.Since(s.since) > newConnWait {
			_ = conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(c.open)
}

// Stop closes a server after the requests on its accepted connections have got their
// responses, or when the context ends. The server's listener must not return further
// connections. Shutdown of http.Server would drop a request that it reads after
// Shutdown has begun, without a response.
func (c *Connections) Stop(ctx context.Context, s *http.Server) error {
	c.stopping.Store(true)
	var err error
	for err == nil && c.release() > 0 {
		err = fgtimer.Wait(ctx, stopPollInterval)
	}
	if err != nil {
		c.resetActive()
	}
	_ = s.Close()
	return err
}

// resetActive makes the end of connections with unfinished requests a reset: the part of
// a response that is in transit must not arrive as a whole one. On a connection that is being
// closed, the response is finished.
func (c *Connections) resetActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		// Close of http.Server closes one connection after another.
		preventLinger(conn)
		if s.state == http.StateActive && !isClosing(conn) {
			resetOnClose(conn)
		}
	}
}
