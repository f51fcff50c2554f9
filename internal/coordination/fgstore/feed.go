package fgstore

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// Sentinel errors of a Feed.
var (
	// ErrHistoryLost means that a watch asked for changes that the service no
	// longer keeps.
	ErrHistoryLost = merry.Sentinel("the platform no longer has these changes")
	// ErrLeaseEnded means that a lease does not exist any more.
	ErrLeaseEnded = merry.Sentinel("the lease has ended")
)

// Event is a change of one key. Deleted events have no value.
type Event struct {
	Value

	Deleted bool
}

// Lease is a lifetime that keys can be bound to.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// Feed is the part of the platform's key-value service by which a VM follows
// all keys and announces itself.
type Feed interface {
	// RangeValues returns all values under a prefix and a revision that is not
	// newer than any of them.
	RangeValues(ctx context.Context, prefix string) ([]Value, uint64, error)
	// WatchEvents waits for changes after a revision and returns the revision to
	// continue from.
	WatchEvents(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Grant opens a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease, or returns ErrLeaseEnded.
	Renew(ctx context.Context, l Lease) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, l Lease) error
	// PutLeased writes a value that is removed when its lease ends.
	PutLeased(ctx context.Context, key string, data []byte, l Lease) error
}
