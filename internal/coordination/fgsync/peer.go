package fgsync

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

// Copy is the data that a replica sends to a peer: either the entries that the peer
// lacks, or the whole head and one part of a snapshot at the head's generation.
type Copy struct {
	// Head is an encoded fgjournal.Head.
	Head     []byte
	Revision uint64
	// Snapshot is one part of an encoded snapshot.
	Snapshot []byte
	// Parts is the number of parts of the snapshot, or 0 if there is none.
	Parts int
}

// CopySince returns the data that a peer at a generation lacks. If that includes a
// snapshot, the peer calls CopySince once for each part, starting at part 0.
func (r *Replica[S]) CopySince(generation uint64, part int) (Copy, error) {
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
	parts := splitParts(dump)
	if part < 0 || part >= len(parts) {
		return Copy{}, fmt.Errorf("journal %s: snapshot part %d does not exist, there are %d", r.options.Key, part, len(parts))
	}
	return Copy{Head: head, Revision: v.revision, Snapshot: parts[part], Parts: len(parts)}, nil
}

// Fetch fetches a peer's copy with call and applies it. A copy that is not newer than
// the replica is ignored.
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
			return fmt.Errorf("journal %s: the peer's copy changed between two parts: %w", r.options.Key, ErrMissingEntries)
		}
		snapshot = append(snapshot, c.Snapshot...)
	}
	return r.applyCopy(first, snapshot)
}

// applyCopy applies a peer's copy. If the copy has a snapshot, snapshot holds all of
// its parts, joined.
func (r *Replica[S]) applyCopy(c Copy, snapshot []byte) error {
	current := r.current.Load()
	if c.Revision <= current.revision {
		return nil
	}
	var head fgjournal.Head
	if err := json.Unmarshal(c.Head, &head); err != nil {
		return err
	}
	if !head.Valid() {
		return fmt.Errorf("journal %s: %w", r.options.Key, ErrMissingEntries)
	}
	if c.Parts > 0 {
		state, err := r.options.Load(snapshot)
		if err != nil {
			return err
		}
		return r.install(head, c.Revision, &loadedSnapshot[S]{state: state, generation: head.Generation})
	}
	if head.Generation == current.head.Generation {
		return nil
	}
	extended, ok := current.head.Extend(head)
	if !ok {
		return fmt.Errorf("journal %s: %w after generation %d", r.options.Key, ErrMissingEntries, current.head.Generation)
	}
	return r.install(extended, c.Revision, nil)
}
