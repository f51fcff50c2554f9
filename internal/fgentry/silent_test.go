package fgentry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"storj.io/drpc/drpcmux"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/transport/fgpeer"
)

// copyUntilSilent copies until the connection is switched to silent, and then
// discards.
func copyUntilSilent(to, from net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if !silent.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// Guards against reusing a peer connection on which nothing arrives any more,
// while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	secret, err := fgpeer.NewSecret([]byte("a fleet secret for tests only"))
	if err != nil {
		t.Fatal(err)
	}
	p := &fgstandin.Platform{}
	e := New(Settings{fleetSecret: secret}, p, p, logr.Discard())
	mux := drpcmux.New()
	if err := fgwire.DRPCRegisterPeer(mux, &peerService{entry: e}); err != nil {
		t.Fatal(err)
	}
	behind, front := listenLoopback(t), listenLoopback(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- fgpeer.NewServer(fgpeer.ServerOptions{Secret: secret, RPC: mux, Logger: logr.Discard()}).Serve(ctx, behind)
	}()
	defer func() { cancel(); <-done }()
	silent := make(chan *atomic.Bool, 2)
	go relay(front, behind.Addr().String(), silent)
	exchange := func(timeout time.Duration) error {
		call, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, err := e.peer(call, front.Addr().String()).Exchange(call, &fgwire.NodeState{})
		return err
	}
	if err := exchange(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	(<-silent).Store(true)
	if err := exchange(200 * time.Millisecond); err == nil {
		t.Fatal("the connection still responds")
	}
	if err := exchange(5 * time.Second); err != nil {
		t.Errorf("the silent connection was not replaced: %v", err)
	}
	_ = e.dialer.Close()
}

func listenLoopback(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// relay forwards connections. For each, it sends a switch that makes the
// connection silent.
func relay(front net.Listener, address string, switches chan<- *atomic.Bool) {
	for {
		near, err := front.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", address)
		if err != nil {
			_ = near.Close()
			continue
		}
		silent := &atomic.Bool{}
		go copyUntilSilent(far, near, silent)
		go copyUntilSilent(near, far, silent)
		switches <- silent
	}
}
