package fggossip

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// followMargin is added to the wait of a FollowStore call to get its timeout.
const followMargin = 500 * time.Millisecond

// dialTimeout bounds the opening of a connection to a gateway. One that was killed with its
// VM refuses no connection.
const dialTimeout = 300 * time.Millisecond

// StoreFollower calls FollowStore of one gateway over one connection. It is not safe
// for concurrent use.
type StoreFollower struct {
	address string
	rpc     *drpcconn.Conn
}

// NewStoreFollower returns a follower of the gateway at a peer address. It connects at
// the first call.
func NewStoreFollower(address string) *StoreFollower { return &StoreFollower{address: address} }

// Follow waits for changes after a position, for about wait. After an error, the next
// call opens another connection.
func (f *StoreFollower) Follow(ctx context.Context, after fgstore.Position, wait time.Duration) (*fgwire.StoreChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+followMargin)
	defer cancel()
	if f.rpc == nil {
		d := net.Dialer{Timeout: dialTimeout}
		c, err := d.DialContext(ctx, "tcp", f.address)
		if err != nil {
			return nil, err
		}
		f.rpc = drpcconn.New(c)
	}
	changes, err := fgwire.NewDRPCGatewayClient(f.rpc).FollowStore(ctx, &fgwire.FollowRequest{Era: after.Era, Revision: after.Revision, WaitMs: wait.Milliseconds()})
	if err != nil {
		f.Close()
	}
	return changes, err
}

// Close closes the connection.
func (f *StoreFollower) Close() {
	if f.rpc != nil {
		_ = f.rpc.Close()
		f.rpc = nil
	}
}
