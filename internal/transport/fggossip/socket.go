// Package fggossip exchanges messages between gateways: small states in UDP
// datagrams, and whole copies of the platform's store over drpc.
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

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

const (
	// maxDatagramBytes is the size of the largest state that can be received.
	maxDatagramBytes = 60 << 10
	// callTimeout is the timeout of a call to a peer, which may be in another
	// region.
	callTimeout = time.Second
)

// Socket exchanges states with other gateways.
type Socket struct {
	udp *net.UDPConn
	tcp net.Listener
}

// Listen opens a gateway's peer address for UDP and TCP, on the same port.
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

// Close closes the socket and makes Receive and Serve return.
func (s *Socket) Close() error { return errors.Join(s.udp.Close(), s.tcp.Close()) }

// Address returns the address that peers use.
func (s *Socket) Address() string { return s.tcp.Addr().String() }

// Send sends a state to each address and returns its size in bytes, and the first
// error after trying all of them. Datagrams may be lost without an error.
func (s *Socket) Send(state *fgwire.GatewayState, addresses []*net.UDPAddr) (int, error) {
	data, err := proto.Marshal(state)
	if err != nil {
		return 0, err
	}
	for _, a := range addresses {
		if _, sendErr := s.udp.WriteToUDP(data, a); sendErr != nil && err == nil {
			err = sendErr
		}
	}
	return len(data), err
}

// Receive calls handle with each received state, and the peer address of the gateway
// that sent it, until the context is done. It ignores datagrams that can't be decoded.
func (s *Socket) Receive(ctx context.Context, handle func(state *fgwire.GatewayState, from string)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.udp.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.udp.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// The error may report an earlier datagram that a peer's host refused.
			continue
		}
		state := &fgwire.GatewayState{}
		if proto.Unmarshal(buffer[:n], state) == nil {
			handle(state, from.String())
		}
	}
}

// Serve handles drpc calls of peers until the context is done.
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

// FetchStore requests a peer's copy of the store. The response has entries
// only if the copy is newer than the position.
func FetchStore(ctx context.Context, address string, after fgstore.Position) (*fgwire.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	rpc := drpcconn.New(c)
	defer func() { _ = rpc.Close() }()
	answer, err := fgwire.NewDRPCGatewayClient(rpc).FetchStore(ctx, &fgwire.StoreRequest{Era: after.Era, Revision: after.Revision, Compressed: true})
	if err != nil || len(answer.GetCompressed()) == 0 {
		return answer, err
	}
	answer.Entries, err = decompressEntries(answer.GetCompressed())
	return answer, err
}

// MeasureRTT returns the round-trip time to a peer, measured as the time that it
// takes to open a TCP connection.
func MeasureRTT(ctx context.Context, address string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	rtt := time.Since(start)
	return rtt, c.Close()
}
