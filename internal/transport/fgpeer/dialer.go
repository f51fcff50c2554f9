package fgpeer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	dialTimeout = time.Second
	// poolExpiration is how long an unused connection stays in the pool.
	poolExpiration = 30 * time.Second
	poolPerPeer    = 4
)

// Dialer opens authenticated connections to peers and pools drpc connections.
type Dialer struct {
	secret Secret
	dialer net.Dialer
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// NewDialer returns a dialer that authenticates with the fleet's secret.
func NewDialer(secret Secret) *Dialer {
	return &Dialer{
		secret: secret,
		dialer: net.Dialer{Timeout: dialTimeout},
		pool:   drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: poolExpiration, KeyCapacity: poolPerPeer}),
	}
}

// RPC returns a drpc connection to a peer's address. Network connections are
// opened on first use and pooled.
func (d *Dialer) RPC(ctx context.Context, address string) drpc.Conn {
	return d.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		c, err := d.Dial(ctx, address, ProtocolRPC)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(c), nil
	})
}

// Dial opens an authenticated connection that carries the given protocol.
func (d *Dialer) Dial(ctx context.Context, address string, protocol Protocol) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := d.secret.dialHandshake(c, protocol); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the pool and its idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }
