package fggateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc/pool"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
	"github.com/filbertgap/filbertgap/internal/transport/fglistener"
)

// acceptPause separates attempts to accept a connection while that fails, for
// example because no descriptors are left.
const acceptPause = 20 * time.Millisecond

// callers serves connections of callers within the policy's limits. A connection
// keeps the limits that were in force when it was opened, since net/http reads
// them from its server at any time.
type callers struct {
	listener net.Listener
	handler  http.Handler
	// limits returns the limits in force.
	limits func() fgsteer.CallerLimits
	logger logr.Logger

	mu      sync.Mutex
	closed  bool
	servers map[fgsteer.CallerLimits]*callerServer
}

// callerServer serves the connections that were opened under the same limits.
type callerServer struct {
	http  *http.Server
	conns *fglistener.Listener
	ended chan error
}

func newCallers(l net.Listener, h http.Handler, limits func() fgsteer.CallerLimits, logger logr.Logger) *callers {
	return &callers{listener: l, handler: h, limits: limits, logger: logger, servers: map[fgsteer.CallerLimits]*callerServer{}}
}

// serve accepts connections until Shutdown or Close.
func (c *callers) serve(ctx context.Context) error {
	for {
		conn, err := c.listener.Accept()
		switch {
		case err != nil && c.isClosed():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			c.logger.Info("connection of a caller not accepted", "error", err.Error())
			if err := fgtimer.Wait(ctx, acceptPause); err != nil {
				return err
			}
			continue
		}
		s := c.server(c.limits())
		if s == nil {
			_ = conn.Close()
			continue
		}
		s.conns.Deliver(conn)
	}
}

func (c *callers) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// server returns the server for limits, or nil after the end.
func (c *callers) server(l fgsteer.CallerLimits) *callerServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	s := c.servers[l]
	if s == nil {
		s = &callerServer{http: newServer(c.handler), conns: fglistener.New(c.listener.Addr()), ended: make(chan error, 1)}
		if l.HeaderTimeout > 0 {
			s.http.ReadHeaderTimeout = l.HeaderTimeout
		}
		if l.IdleTimeout > 0 {
			s.http.IdleTimeout = l.IdleTimeout
		}
		if l.MaxHeaderBytes > 0 {
			s.http.MaxHeaderBytes = l.MaxHeaderBytes
		}
		c.servers[l] = s
		go func() { s.ended <- s.http.Serve(s.conns) }()
	}
	return s
}

// end takes no more connections and returns the servers that have some.
func (c *callers) end() []*callerServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.listener.Close()
	var all []*callerServer
	for _, s := range c.servers {
		all = append(all, s)
	}
	return all
}

// Shutdown takes no more connections and waits until the open ones have ended
// their requests.
func (c *callers) Shutdown(ctx context.Context) error {
	all := pool.New().WithErrors()
	for _, s := range c.end() {
		all.Go(func() error { return s.http.Shutdown(ctx) })
	}
	return all.Wait()
}

// Close closes all connections.
func (c *callers) Close() error {
	var err error
	for _, s := range c.end() {
		err = errors.Join(err, s.http.Close())
		<-s.ended
	}
	return err
}
