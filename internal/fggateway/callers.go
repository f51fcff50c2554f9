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

// acceptRetryDelay is the delay after a failed accept, for example because no file
// descriptors are left.
const acceptRetryDelay = 20 * time.Millisecond

// callerServers serves connections of callers within the policy's limits. A
// connection keeps the limits that were in force when it was opened. There is one
// server for each set of limits, since net/http may read a server's limits at any
// time.
type callerServers struct {
	listener *fglistener.Draining
	handler  http.Handler
	// limits returns the limits in force.
	limits func() fgsteer.CallerLimits
	logger logr.Logger

	mu      sync.Mutex
	closed  bool
	servers map[fgsteer.CallerLimits]*limitedServer
}

// limitedServer serves the connections that were opened under the same limits.
type limitedServer struct {
	http     *http.Server
	listener *fglistener.Listener
	open     fglistener.Connections
	ended    chan error
}

func newCallerServers(l *fglistener.Draining, h http.Handler, limits func() fgsteer.CallerLimits, logger logr.Logger) *callerServers {
	return &callerServers{listener: l, handler: h, limits: limits, logger: logger, servers: map[fgsteer.CallerLimits]*limitedServer{}}
}

// serve accepts connections until Shutdown or Close.
func (c *callerServers) serve(ctx context.Context) error {
	for {
		conn, err := c.listener.Accept()
		switch {
		case err != nil && c.isClosed():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			c.logger.Info("accepting a caller's connection failed", "error", err.Error())
			if err := fgtimer.Wait(ctx, acceptRetryDelay); err != nil {
				return err
			}
			continue
		}
		s := c.server(c.limits())
		if s == nil {
			_ = conn.Close()
			continue
		}
		s.listener.Deliver(conn)
	}
}

func (c *callerServers) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// server returns the server for a set of limits, or nil after stopAccepting.
func (c *callerServers) server(l fgsteer.CallerLimits) *limitedServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	s := c.servers[l]
	if s == nil {
		s = &limitedServer{listener: fglistener.New(c.listener.Addr()), ended: make(chan error, 1)}
		s.http = newServer(s.open.Handler(fglistener.CancelWhenLeft(c.handler)))
		s.http.ConnContext, s.http.ConnState = fglistener.ConnContext, s.open.Observe
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
		go func() { s.ended <- s.http.Serve(s.listener) }()
	}
	return s
}

// stopAccepting closes the listener and returns all servers.
func (c *callerServers) stopAccepting() []*limitedServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.listener.Close()
	var servers []*limitedServer
	for _, s := range c.servers {
		servers = append(servers, s)
	}
	return servers
}

// Shutdown stops accepting connections and waits until the requests on the open
// ones have ended. Connections that the kernel has established by then are served.
func (c *callerServers) Shutdown(ctx context.Context) error {
	if err := c.listener.Drain(ctx); err != nil {
		c.logger.Info("accepting the queued connections failed", "error", err.Error())
	}
	tasks := pool.New().WithErrors()
	for _, s := range c.stopAccepting() {
		tasks.Go(func() error {
			s.listener.Flush()
			return s.open.Stop(ctx, s.http)
		})
	}
	return tasks.Wait()
}

// Close stops accepting connections and closes the open ones.
func (c *callerServers) Close() error {
	var err error
	for _, s := range c.stopAccepting() {
		err = errors.Join(err, s.http.Close())
		<-s.ended
	}
	return err
}
