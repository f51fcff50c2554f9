package fgpeer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"github.com/filbertgap/filbertgap/internal/transport/fglistener"
)

// shutdownTimeout is how long a stopping server may take to send its last
// responses.
const shutdownTimeout = time.Second

// ServerOptions configures a Server.
type ServerOptions struct {
	Secret Secret
	// RPC handles drpc calls.
	RPC drpc.Handler
	// HTTP handles forwarded requests. Nil uses http.DefaultServeMux.
	HTTP   http.Handler
	Logger logr.Logger
}

// Server accepts connections from peers.
type Server struct {
	options ServerOptions
	rpc     *drpcserver.Server
}

// NewServer returns a server that has not started to accept connections.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, rpc: drpcserver.New(o.RPC)}
}

// Serve accepts connections until the context is done or accepting fails.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	httpListener := fglistener.New(l.Addr())
	var open fglistener.Connections
	handler := s.options.HTTP
	if handler == nil {
		handler = http.DefaultServeMux
	}
	httpServer := &http.Server{Handler: open.Handler(handler), ReadHeaderTimeout: handshakeTimeout, ConnState: open.Observe}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	defer func() {
		shutdownHTTP(httpServer, &open)
		_ = httpListener.Close()
	}()
	wg.Go(func() { _ = httpServer.Serve(httpListener) })
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			return err
		}
		wg.Go(func() { s.serveConn(ctx, c, httpListener) })
	}
}

// shutdownHTTP stops a server. A response may still be in transit to its
// connection after its handler has returned, so the server is stopped gracefully for
// up to shutdownTimeout before the connections are closed.
func shutdownHTTP(s *http.Server, open *fglistener.Connections) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = open.Stop(ctx, s)
}

// serveConn performs the handshake and passes the connection to the server of
// its protocol.
func (s *Server) serveConn(ctx context.Context, c net.Conn, httpListener *fglistener.Listener) {
	protocol, err := s.options.Secret.acceptHandshake(c)
	if err != nil {
		s.options.Logger.V(1).Info("peer handshake failed", "remote", c.RemoteAddr().String(), "error", err.Error())
		_ = c.Close()
		return
	}
	switch protocol {
	case ProtocolRPC:
		_ = s.rpc.ServeOne(ctx, c)
	case ProtocolHTTP:
		httpListener.Deliver(c)
	default:
		_ = c.Close()
	}
}
