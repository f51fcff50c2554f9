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

// finishTimeout bounds how long a stopping server sends its last answers.
const finishTimeout = time.Second

// ServerOptions configures a Server.
type ServerOptions struct {
	Secret Secret
	// RPC handles drpc calls.
	RPC drpc.Handler
	// HTTP handles forwarded requests. Nil refuses them.
	HTTP   http.Handler
	Logger logr.Logger
}

// Server accepts the connections of peers.
type Server struct {
	options ServerOptions
	rpc     *drpcserver.Server
}

// NewServer returns a server.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, rpc: drpcserver.New(o.RPC)}
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	forwarded := fglistener.New(l.Addr())
	httpServer := &http.Server{Handler: s.options.HTTP, ReadHeaderTimeout: handshakeTimeout}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	defer func() {
		finishHTTP(httpServer)
		_ = forwarded.Close()
	}()
	wg.Go(func() { _ = httpServer.Serve(forwarded) })
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			return err
		}
		wg.Go(func() { s.serveConn(ctx, c, forwarded) })
	}
}

// finishHTTP stops a server. An answer whose handler has returned may still be
// on its way to the connection, so it gets a moment before the connections are
// closed.
func finishHTTP(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	_ = s.Shutdown(ctx)
	_ = s.Close()
}

func (s *Server) serveConn(ctx context.Context, c net.Conn, forwarded *fglistener.Listener) {
	protocol, err := s.options.Secret.acceptHandshake(c)
	if err != nil {
		s.options.Logger.V(1).Info("peer connection refused", "remote", c.RemoteAddr().String(), "error", err.Error())
		_ = c.Close()
		return
	}
	switch protocol {
	case ProtocolRPC:
		_ = s.rpc.ServeOne(ctx, c)
	case ProtocolHTTP:
		forwarded.Deliver(c)
	default:
		_ = c.Close()
	}
}
