// Package fgstore defines what the system needs of the platform: a key-value
// service with compare-and-swap and watches, and a list of VMs.
package fgstore

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// MaxValueBytes is the largest value that the platform's service holds.
const MaxValueBytes = 1 << 20

// Sentinel errors of a Store.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = merry.Sentinel("key not found")
	// ErrConflict means that the key's revision is not the expected one.
	ErrConflict = merry.Sentinel("revision conflict")
	// ErrUnknown means that the answer was lost: the call may have taken effect.
	ErrUnknown = merry.Sentinel("no answer from the platform")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = merry.Sentinel("the value is too large for the platform")
	// ErrUnavailable means that the call did not take effect.
	ErrUnavailable = merry.Sentinel("the platform refuses calls")
)

// Value is a stored value with the revision that wrote it.
type Value struct {
	Key      string `json:"key"`
	Data     []byte `json:"data"`
	Revision uint64 `json:"revision"`
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value of a key, or ErrNotFound. It may be stale.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key's revision is expected (0: the key
	// does not exist), and returns the new revision.
	CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) (uint64, error)
	// Delete removes a key if its revision is expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until the key's revision exceeds after and returns its value.
	// It returns ErrNotFound when the service has answered that nothing changed.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
	// Range returns the keys with a prefix, in order. It may be stale.
	Range(ctx context.Context, prefix string) ([]string, error)
}

// VMState tells whether a listed VM stays.
type VMState string

// The states of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list, which lags.
type VM struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// VMLister returns the platform's VM list.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
