// Package fgstore defines the interfaces through which the system uses the platform:
// a key-value service with compare-and-swap, watches and leases, and a list of VMs.
package fgstore

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// MaxValueBytes is the size limit of a value in the platform's key-value service.
const MaxValueBytes = 1 << 20

// Sentinel errors of a Store.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = merry.Sentinel("key not found")
	// ErrConflict means that the key does not have the expected revision.
	ErrConflict = merry.Sentinel("revision conflict")
	// ErrUnknown means that no response arrived: the call may have taken effect or
	// may still do so.
	ErrUnknown = merry.Sentinel("no response from the platform")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = merry.Sentinel("the value is too large for the platform")
	// ErrUnavailable means that the call failed and did not take effect.
	ErrUnavailable = merry.Sentinel("the platform is unavailable")
)

// Value is a stored value with the revision of its latest write.
type Value struct {
	Key      string `json:"key"`
	Data     []byte `json:"data"`
	Revision uint64 `json:"revision"`
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value of a key, or ErrNotFound. The result may be stale.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key has the expected revision, where 0 means
	// that the key does not exist. It returns the new revision, or ErrConflict.
	CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) (uint64, error)
	// Delete deletes a key if it has the expected revision.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until the key has a revision above after and returns its value. It
	// returns ErrNotFound if the service ends the watch without a change.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
	// Range returns the keys with a prefix, sorted. The result may be stale.
	Range(ctx context.Context, prefix string) ([]string, error)
}

// VMState reports whether a listed VM is about to be removed.
type VMState string

// The states of a listed VM.
const (
	// VMLive means that the VM is running.
	VMLive VMState = "live"
	// VMLeaving means that the VM is about to be removed.
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list, which may be outdated.
type VM struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// VMLister returns the platform's VM list.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
