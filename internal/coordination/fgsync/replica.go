// Package fgsync keeps a VM's copy of a journal equal to the platform's.
package fgsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

const (
	// maxSubmitTries bounds the compare-and-swap attempts of one change.
	maxSubmitTries = 20
	// watchRetryDelay separates watch calls after an error.
	watchRetryDelay = 200 * time.Millisecond
)

// ErrBusy means that a change lost the race for the journal too often.
var ErrBusy = merry.Sentinel("too many concurrent changes")

// Options configures a Replica of a document with state S.
type Options[S any] struct {
	Store   fgstore.Store
	Key     string
	Initial S
	// Apply returns the state after an entry. It must not modify its argument.
	Apply  func(S, fgjournal.Entry) (S, error)
	Logger logr.Logger
}

// Replica is a copy of a journal. Its state only moves to higher generations.
type Replica[S any] struct {
	options Options[S]
	current atomic.Pointer[version[S]]

	mu      sync.Mutex
	changed chan struct{}
	contact atomic.Int64
}

type version[S any] struct {
	state    S
	head     fgjournal.Head
	revision uint64
}

// NewReplica returns a replica at generation 0.
func NewReplica[S any](o Options[S]) *Replica[S] {
	r := &Replica[S]{options: o, changed: make(chan struct{})}
	r.current.Store(&version[S]{state: o.Initial})
	return r
}

// State returns the state in force.
func (r *Replica[S]) State() S { return r.current.Load().state }

// Generation returns the generation in force.
func (r *Replica[S]) Generation() uint64 { return r.current.Load().head.Generation }

// LastContact returns when the call was sent to which the platform last
// answered, or the zero time.
func (r *Replica[S]) LastContact() time.Time {
	n := r.contact.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Changed returns a channel that is closed at the next change.
func (r *Replica[S]) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Run follows the platform until the context ends.
func (r *Replica[S]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.follow(ctx); err != nil && ctx.Err() == nil {
			r.options.Logger.V(1).Info("watch failed", "journal", r.options.Key, "error", err.Error())
			sleep(ctx, watchRetryDelay)
		}
	}
	return ctx.Err()
}

func (r *Replica[S]) follow(ctx context.Context) error {
	start := time.Now()
	v, err := r.options.Store.Watch(ctx, r.options.Key, r.current.Load().revision)
	if errors.Is(err, fgstore.ErrNotFound) {
		r.contact.Store(start.UnixNano())
		return nil
	}
	if err != nil {
		return err
	}
	r.contact.Store(start.UnixNano())
	return r.absorb(v)
}

// Refresh reads the platform's value once.
func (r *Replica[S]) Refresh(ctx context.Context) error {
	v, err := r.options.Store.Get(ctx, r.options.Key)
	if errors.Is(err, fgstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return r.absorb(v)
}

// absorb moves the replica forward to a stored value. Older values are ignored.
func (r *Replica[S]) absorb(v fgstore.Value) error {
	var head fgjournal.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return fmt.Errorf("journal %s, revision %d: %w", r.options.Key, v.Revision, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.current.Load()
	if v.Revision <= current.revision {
		return nil
	}
	entries, ok := head.Since(current.head.Generation)
	if !ok {
		return fmt.Errorf("journal %s lacks the entries after generation %d", r.options.Key, current.head.Generation)
	}
	state := current.state
	for _, e := range entries {
		next, err := r.options.Apply(state, e)
		if err != nil {
			return fmt.Errorf("journal %s, generation %d: %w", r.options.Key, e.Generation, err)
		}
		state = next
	}
	r.current.Store(&version[S]{state: state, head: head, revision: v.Revision})
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// Submit appends a change and returns its generation. It builds the payload
// from the newest state, again after each lost race. A change id that the
// journal already holds is not appended twice.
func (r *Replica[S]) Submit(ctx context.Context, changeID string, build func(S) (json.RawMessage, error)) (uint64, error) {
	for range maxSubmitTries {
		if err := r.Refresh(ctx); err != nil {
			return 0, err
		}
		base := r.current.Load()
		if g, ok := base.head.Find(changeID); ok {
			return g, nil
		}
		payload, err := build(base.state)
		if err != nil {
			return 0, err
		}
		generation, err := r.swap(ctx, base, changeID, payload)
		switch {
		case err == nil:
			return generation, nil
		case errors.Is(err, fgstore.ErrConflict), errors.Is(err, fgstore.ErrUnknown):
			// The write may have taken effect or may still do so. The next try
			// finds it by its change id, or fails the swap of one of the two.
			continue
		default:
			return 0, err
		}
	}
	return 0, merry.Wrap(ErrBusy)
}

func (r *Replica[S]) swap(ctx context.Context, base *version[S], changeID string, payload json.RawMessage) (uint64, error) {
	head := base.head.Append(changeID, payload)
	data, err := json.Marshal(head)
	if err != nil {
		return 0, err
	}
	revision, err := r.options.Store.CompareAndSwap(ctx, r.options.Key, base.revision, data)
	if err != nil {
		return 0, err
	}
	return head.Generation, r.absorb(fgstore.Value{Key: r.options.Key, Data: data, Revision: revision})
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
