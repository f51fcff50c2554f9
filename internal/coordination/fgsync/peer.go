package fgsync

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

// Copy is what a replica hands to a peer: the entries that the peer lacks, or
// the whole head and one part of a snapshot at the head's generation.
type Copy struct {
	Head     []byte
	Revision uint64
	Snapshot []byte
	// Parts is the number of parts of the snapshot; zero without one.
	Parts int
}

// Offer returns what a peer at a generation lacks. A peer calls it once for
// each part of a snapshot.
func (r *Replica[S]) Offer(generation uint64, part int) (Copy, error) {
	v := r.current.Load()
	if head, ok := v.head.After(generation); ok && generation > 0 {
		data, err := json.Marshal(head)
		return Copy{Head: data, Revision: v.revision}, err
	}
	head, err := json.Marshal(v.head)
	if err != nil {
		return Copy{}, err
	}
	dump, err := v.dump()
	if err != nil {
		return Copy{}, err
	}
	parts := split(dump)
	if part < 0 || part >= len(parts) {
		return Copy{}, fmt.Errorf("journal %s: snapshot part %d of %d", r.options.Key, part, len(parts))
	}
	return Copy{Head: head, Revision: v.revision, Snapshot: parts[part], Parts: len(parts)}, nil
}

// Fetch moves the replica forward to a peer's copy. An older copy is ignored.
func (r *Replica[S]) Fetch(ctx context.Context, call func(ctx context.Context, generation uint64, part int) (Copy, error)) error {
	generation := r.Generation()
	first, err := call(ctx, generation, 0)
	if err != nil {
		return err
	}
	snapshot := first.Snapshot
	for part := 1; part < first.Parts; part++ {
		c, err := call(ctx, generation, part)
		if err != nil {
			return err
		}
		if c.Revision != first.Revision {
			return fmt.Errorf("journal %s: the peer's copy changed: %w", r.options.Key, ErrGap)
		}
		snapshot = append(snapshot, c.Snapshot...)
	}
	return r.accept(first, snapshot)
}

func (r *Replica[S]) accept(c Copy, snapshot []byte) error {
	current := r.current.Load()
	if c.Revision <= current.revision {
		return nil
	}
	var head fgjournal.Head
	if err := json.Unmarshal(c.Head, &head); err != nil {
		return err
	}
	if !head.Valid() {
		return fmt.Errorf("journal %s: %w", r.options.Key, ErrGap)
	}
	if c.Parts > 0 {
		state, err := r.options.Load(snapshot)
		if err != nil {
			return err
		}
		return r.install(head, c.Revision, &base[S]{state: state, generation: head.Generation})
	}
	if head.Generation == current.head.Generation {
		return nil
	}
	whole, ok := current.head.Extend(head)
	if !ok {
		return fmt.Errorf("journal %s: %w after generation %d", r.options.Key, ErrGap, current.head.Generation)
	}
	return r.install(whole, c.Revision, nil)
}
