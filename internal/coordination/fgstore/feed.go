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
	// TTL is how long the lease lasts without being renewed.
	TTL time.Duration
}

// Feed is the part of the platform's key-value service with which a VM watches all
// keys and registers itself under a lease.
type Feed interface {
	// RangeValues returns all values under a prefix and the store's revision when the
	// read began. The values may include later changes.
	RangeValues(ctx context.Context, prefix string) ([]Value, uint64, error)
	// WatchEvents waits for at most wait for changes after a revision. It returns
	// the changes and the revision to continue from, or ErrCompacted.
	WatchEvents(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew restarts the TTL of a lease. It returns ErrLeaseEnded if there is none.
	Renew(ctx context.Context, l Lease) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, l Lease) error
	// PutLeased writes a value under a lease.
	PutLeased(ctx context.Context, key string, data []byte, l Lease) error
}
