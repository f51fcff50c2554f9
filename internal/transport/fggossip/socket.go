// Package fggossip carries what gateways tell each other: small states in
// datagrams, and whole copies of the store over drpc.
package fggossip

import (
	"context"
	"errors"
	"net"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

const (
	// maxDatagram is the largest state that is sent or read.
	maxDatagram = 60 << 10
	// fetchTimeout bounds a call to a peer in another region.
	fetchTimeout = time.Second
)

// Socket exchanges states with other gateways.
type Socket struct {
	udp *net.UDPConn
	tcp net.Listener
}

// Listen opens a gateway's peer address for both kinds of messages.
func Listen(address string) (*Socket, error) {
	tcp, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	a, err := net.ResolveUDPAddr("udp4", tcp.Addr().String())
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	udp, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	return &Socket{udp: udp, tcp: tcp}, nil
}

// Address returns the address that peers use.
func (s *Socket) Address() string { return s.tcp.Addr().String() }

// Send sends a state to each address. A datagram may be lost; the first failure
// to send one is returned after all were tried.
func (s *Socket) Send(state *fgwire.GatewayState, addresses []*net.UDPAddr) error {
	data, err := proto.Marshal(state)
	if err != nil {
		return err
	}
	for _, a := range addresses {
		if _, sendErr := s.udp.WriteToUDP(data, a); sendErr != nil && err == nil {
			err = sendErr
		}
	}
	return err
}

// Receive calls handle with each state until the context ends.
func (s *Socket) Receive(ctx context.Context, handle func(*fgwire.GatewayState)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.udp.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := s.udp.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// A peer's address refused an earlier datagram.
			continue
		}
		state := &fgwire.GatewayState{}
		if proto.Unmarshal(buffer[:n], state) == nil {
			handle(state)
		}
	}
}

// Serve answers calls of peers until the context ends.
func (s *Socket) Serve(ctx context.Context, service fgwire.DRPCGatewayServer) error {
	mux := drpcmux.New()
	if err := fgwire.DRPCRegisterGateway(mux, service); err != nil {
		return err
	}
	if err := drpcserver.New(mux).Serve(ctx, s.tcp); err != nil {
		return err
	}
	return ctx.Err()
}

// Fetch asks a peer for its copy of the store, if it is newer than a revision.
func Fetch(ctx context.Context, address string, revision uint64) (*fgwire.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	rpc := drpcconn.New(c)
	defer func() { _ = rpc.Close() }()
	return fgwire.NewDRPCGatewayClient(rpc).FetchStore(ctx, &fgwire.StoreRequest{Revision: revision})
}

// Measure returns the time to a peer and back, as a connection takes to open.
func Measure(ctx context.Context, address string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := time.Now()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	took := time.Since(began)
	return took, c.Close()
}
