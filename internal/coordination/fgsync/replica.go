// Package fgsync keeps a VM's copy of a journal equal to the platform's.
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
	// ErrBusy means that a change lost the race for the journal too often.
	ErrBusy = merry.Sentinel("too many concurrent changes")
	// ErrReverted means that the platform holds an older generation under a newer
	// revision, which a replica never follows.
	ErrReverted = merry.Sentinel("the stored journal has gone back")
	// ErrGap means that entries are missing between a replica and a copy.
	ErrGap = merry.Sentinel("entries are missing")
	// ErrNoChange is returned by a build function when nothing needs to change.
	ErrNoChange = merry.Sentinel("nothing to change")
)

// Answer says what a call to the platform showed.
type Answer int

// The answers of the platform.
const (
	// AnswerNone means that the platform did not answer or refused the call.
	AnswerNone Answer = iota
	// AnswerReached means that the platform answered, but not with a value that
	// is at least as new as what the replica knows.
	AnswerReached
	// AnswerCurrent means that the replica held the newest value at some moment
	// after the call was sent.
	AnswerCurrent
)

// Options configures a Replica of a document with state S.
type Options[S any] struct {
	Store   fgstore.Store
	Key     string
	Initial S
	// Apply returns the state after an entry. It must not modify its argument.
	Apply func(S, fgjournal.Entry) (S, error)
	// Dump and Load write and read a state as a snapshot.
	Dump func(S) ([]byte, error)
	Load func([]byte) (S, error)
	// Active reports whether this process follows the platform itself. Nil means
	// that it does.
	Active func() bool
	// Observe receives the answers of the platform with the time at which the
	// call was sent. Nil ignores them.
	Observe func(sent time.Time, a Answer)
	// Lapsed reports that this process was without proof of the newest value for
	// so long that reads, which may be stale, no longer count as one. Nil means
	// that they always count.
	Lapsed func() bool
	Logger logr.Logger
}

// Replica is a copy of a journal. Its state only moves to higher generations.
type Replica[S any] struct {
	options Options[S]
	current atomic.Pointer[version[S]]

	mu      sync.Mutex
	changed chan struct{}
}

type version[S any] struct {
	state    S
	head     fgjournal.Head
	revision uint64
	dump     func() ([]byte, error)
}

// NewReplica returns a replica at generation 0.
func NewReplica[S any](o Options[S]) *Replica[S] {
	r := &Replica[S]{options: o, changed: make(chan struct{})}
	r.current.Store(r.newVersion(o.Initial, fgjournal.Head{}, 0))
	return r
}

func (r *Replica[S]) newVersion(state S, head fgjournal.Head, revision uint64) *version[S] {
	dump := sync.OnceValues(func() ([]byte, error) { return r.options.Dump(state) })
	return &version[S]{state: state, head: head, revision: revision, dump: dump}
}

// State returns the state in force.
func (r *Replica[S]) State() S { return r.current.Load().state }

// Generation returns the generation in force.
func (r *Replica[S]) Generation() uint64 { return r.current.Load().head.Generation }

// Changed returns a channel that is closed at the next change.
func (r *Replica[S]) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// base is a state that a copy came with, for replicas that lack entries.
type base[S any] struct {
	state      S
	generation uint64
}

// absorb moves the replica forward to a stored value. Older values are ignored.
func (r *Replica[S]) absorb(ctx context.Context, v fgstore.Value) error {
	if v.Revision <= r.current.Load().revision {
		return nil
	}
	var head fgjournal.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return fmt.Errorf("journal %s, revision %d: %w", r.options.Key, v.Revision, err)
	}
	if !head.Valid() {
		return fmt.Errorf("journal %s, revision %d: %w", r.options.Key, v.Revision, ErrGap)
	}
	var from *base[S]
	if _, ok := head.Since(r.Generation()); !ok && head.Snapshot != nil {
		state, err := r.loadSnapshot(ctx, *head.Snapshot)
		if err != nil {
			return fmt.Errorf("journal %s, snapshot %s: %w", r.options.Key, head.Snapshot.ID, err)
		}
		from = &base[S]{state: state, generation: head.Snapshot.Generation}
	}
	return r.install(head, v.Revision, from)
}

// install is the only place where the replica moves. It accepts a head only
// with both a newer revision and a newer generation.
func (r *Replica[S]) install(head fgjournal.Head, revision uint64, from *base[S]) error {
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
	state, err := r.advance(current, head, from)
	if err != nil {
		return err
	}
	r.current.Store(r.newVersion(state, head, revision))
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

func (r *Replica[S]) advance(current *version[S], head fgjournal.Head, from *base[S]) (S, error) {
	state := current.state
	entries, ok := head.Since(current.head.Generation)
	if !ok && from != nil {
		state = from.state
		entries, ok = head.Since(from.generation)
	}
	if !ok {
		return state, fmt.Errorf("journal %s: %w after generation %d", r.options.Key, ErrGap, current.head.Generation)
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

func (r *Replica[S]) observe(sent time.Time, a Answer) {
	if r.options.Observe != nil {
		r.options.Observe(sent, a)
	}
}
