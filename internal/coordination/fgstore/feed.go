package fgstore

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// Sentinel errors of a Feed.
var (
	// ErrCompacted means that a watch started after a revision that the service
	// has compacted. All values must be read again.
	ErrCompacted = merry.Sentinel("the platform has compacted the requested changes")
	// ErrRestored means that the store was restored from an older copy of itself. All
	// values must be read again.
	ErrRestored = merry.Sentinel("the platform's store was restored from an older copy")
	// ErrLeaseEnded means that a lease has expired or was revoked.
	ErrLeaseEnded = merry.Sentinel("the lease has ended")
)

// Event is a change of one key. An event with Deleted set has no data.
type Event struct {
	Value

	Deleted bool
}

// Lease is a lease of the platform. When it ends, the keys that were written under
// it are deleted.
type Lease struct {
	ID int64
	// Era is the era of the store that granted the lease.
	Era uint64
	// TTL is how long the lease lasts without being renewed.
	TTL time.Duration
}

// Feed is the part of the platform's key-value service with which a VM watches all
// keys and registers itself under a lease.
type Feed interface {
	// RangeValues returns all values under a prefix and the store's position when the
	// read began. The values are of the position's era and may include later changes.
	RangeValues(ctx context.Context, prefix string) ([]Value, Position, error)
	// WatchEvents waits for at most wait for changes after a position. It returns the
	// changes and the position to continue from, ErrCompacted, or ErrRestored if the
	// store is in another era than the position.
	WatchEvents(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Event, Position, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew restarts the TTL of a lease. It returns ErrLeaseEnded if there is none, or if
	// it was granted in an earlier era, in which another VM may have its ID.
	Renew(ctx context.Context, l Lease) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, l Lease) error
	// PutLeased writes a value under a lease if the key has the expected revision, where 0
	// means that the key does not exist. It returns the value with its revision, which is 0
	// if the service does not name it. With ErrConflict it returns the present value, whose
	// revision is 0 if there is none.
	PutLeased(ctx context.Context, key string, expected uint64, data []byte, l Lease) (Value, error)
}
