// Package fgsync replicates a journal from the platform's store to a VM, directly or
// through peers, and appends changes to it.
package fgsync

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

// Sentinel errors of a Replica.
var (
	// ErrBusy means that a change was given up after too many conflicts with
	// concurrent changes.
	ErrBusy = merry.Sentinel("too many concurrent changes")
	// ErrReverted means that the stored journal has a lower generation at a higher
	// revision. A replica never goes back to a lower generation.
	ErrReverted = merry.Sentinel("the stored journal was reverted")
	// ErrMissingEntries means that entries are missing between the replica's
	// generation and the received one.
	ErrMissingEntries = merry.Sentinel("journal entries are missing")
	// ErrNoChange is returned by a build function if nothing needs to change.
	ErrNoChange = merry.Sentinel("nothing to change")
)

// CallResult is what a call to the platform showed about the platform and the replica.
type CallResult int

// The results of calls to the platform.
const (
	// ResultUnreachable means that the platform did not respond or refused the call.
	ResultUnreachable CallResult = iota
	// ResultReachable means that the platform responded, but that the response does
	// not show that the replica is current.
	ResultReachable
	// ResultCurrent means that the replica was current at some time after the call
	// was sent.
	ResultCurrent
)

// Options configures a Replica of a journal whose entries make up a state S.
type Options[S any] struct {
	Store fgstore.Store
	// Key is the key of the journal's head in the store.
	Key string
	// Initial is the state before the first entry.
	Initial S
	// Apply returns the state after an entry. It must not modify its arguments.
	Apply func(S, fgjournal.Entry) (S, error)
	// Dump and Load encode and decode a state as a snapshot.
	Dump func(S) ([]byte, error)
	Load func([]byte) (S, error)
	// Active reports whether this process itself reads the platform's store. If nil,
	// it always does.
	Active func() bool
	// Observe is called after each read and each successful compare-and-swap of the
	// journal, with the result and the time at which the call was sent. It is not
	// called for failed watches and cancelled reads. It may be nil.
	Observe func(sent time.Time, result CallResult)
	// ReadsUnproven reports whether the replica was not shown to be current for so
	// long that a read, which may be stale, no longer suffices to show it. Only a
	// compare-and-swap does then. If nil, reads always suffice.
	ReadsUnproven func() bool
	Logger        logr.Logger
}

// Replica is a copy of a journal. Its generation never decreases. It is safe for
// concurrent use.
type Replica[S any] struct {
	options Options[S]
	current atomic.Pointer[version[S]]

	mu      sync.Mutex
	changed chan struct{}
}

// version is an immutable version of the replica.
type version[S any] struct {
	state    S
	head     fgjournal.Head
	revision uint64
	// dump returns the encoded state, which it computes once.
	dump func() ([]byte, error)
}

// NewReplica returns a replica at generation 0.
func NewReplica[S any](o Options[S]) *Replica[S] {
	r := &Replica[S]{options: o, changed: make(chan struct{})}
	r.current.Store(r.newVersion(o.Initial, fgjournal.Head{}, 0))
	return r
}

// newVersion returns a version whose state is encoded on the first use of dump.
func (r *Replica[S]) newVersion(state S, head fgjournal.Head, revision uint64) *version[S] {
	dump := sync.OnceValues(func() ([]byte, error) { return r.options.Dump(state) })
	return &version[S]{state: state, head: head, revision: revision, dump: dump}
}

// State returns the state after the last applied entry.
func (r *Replica[S]) State() S { return r.current.Load().state }

// Generation returns the generation of the last applied entry.
func (r *Replica[S]) Generation() uint64 { return r.current.Load().head.Generation }

// Changed returns a channel that is closed when the generation next increases.
func (r *Replica[S]) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// loadedSnapshot is the state of a snapshot, for a replica that lacks older entries.
type loadedSnapshot[S any] struct {
	state      S
	generation uint64
}

// applyValue applies a stored value of the journal, and loads the snapshot that it
// refers to if necessary. A value that is not newer than the replica is ignored.
func (r *Replica[S]) applyValue(ctx context.Context, v fgstore.Value) error {
	if v.Revision <= r.current.Load().revision {
		return nil
	}
	var head fgjournal.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return fmt.Errorf("journal %s, revision %d: %w", r.options.Key, v.Revision, err)
	}
	if !head.Valid() {
		return fmt.Errorf("journal %s, revision %d: %w", r.options.Key, v.Revision, ErrMissingEntries)
	}
	var snapshot *loadedSnapshot[S]
	if _, ok := head.Since(r.Generation()); !ok && head.Snapshot != nil {
		state, err := r.loadSnapshot(ctx, *head.Snapshot)
		if err != nil {
			return fmt.Errorf("journal %s, snapshot %s: %w", r.options.Key, head.Snapshot.ID, err)
		}
		snapshot = &loadedSnapshot[S]{state: state, generation: head.Snapshot.Generation}
	}
	return r.install(head, v.Revision, snapshot)
}

// install replaces the replica's version; nothing else does. It ignores a head whose
// revision is not higher than the replica's, and refuses one with a lower generation.
// snapshot may be nil.
func (r *Replica[S]) install(head fgjournal.Head, revision uint64, snapshot *loadedSnapshot[S]) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.current.Load()
	switch {
	case revision <= current.revision:
		return nil
	case head.Generation < current.head.Generation:
		return fmt.Errorf("journal %s: %w from generation %d to %d", r.options.Key, ErrReverted, current.head.Generation, head.Generation)
	case head.Generation == current.head.Generation:
		r.current.Store(&version[S]{state: current.state, head: head, revision: revision, dump: current.dump})
		return nil
	}
	state, err := r.advance(current, head, snapshot)
	if err != nil {
		return err
	}
	r.current.Store(r.newVersion(state, head, revision))
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// advance returns the state at a head. It applies the entries after the current
// state, or else those after the snapshot.
func (r *Replica[S]) advance(current *version[S], head fgjournal.Head, snapshot *loadedSnapshot[S]) (S, error) {
	state := current.state
	entries, ok := head.Since(current.head.Generation)
	if !ok && snapshot != nil {
		state = snapshot.state
		entries, ok = head.Since(snapshot.generation)
	}
	if !ok {
		return state, fmt.Errorf("journal %s: %w after generation %d", r.options.Key, ErrMissingEntries, current.head.Generation)
	}
	for _, e := range entries {
		next, err := r.options.Apply(state, e)
		if err != nil {
			return state, fmt.Errorf("journal %s, generation %d: %w", r.options.Key, e.Generation, err)
		}
		state = next
	}
	return state, nil
}

// observe passes the result of a call to Options.Observe.
func (r *Replica[S]) observe(sent time.Time, result CallResult) {
	if r.options.Observe != nil {
		r.options.Observe(sent, result)
	}
}
