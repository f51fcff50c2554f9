package fgsync

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"path"
	"strings"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

// maxPartAttempts bounds the attempts to write one part of a snapshot.
const maxPartAttempts = 3

// snapshotPrefix returns the key prefix of the journal's snapshots.
func (r *Replica[S]) snapshotPrefix() string { return path.Dir(r.options.Key) + "/snapshot/" }

// snapshotIDPrefix returns the prefix of the ids of snapshots at a generation. Its
// lexical order is the order of generations.
func snapshotIDPrefix(generation uint64) string { return fmt.Sprintf("%016x-", generation) }

// partKey returns the key of one part of a snapshot.
func (r *Replica[S]) partKey(id string, part int) string {
	return fmt.Sprintf("%s%s/%04d", r.snapshotPrefix(), id, part)
}

// saveSnapshot writes the state of a version as a snapshot with a unique id.
func (r *Replica[S]) saveSnapshot(ctx context.Context, v *version[S]) (fgjournal.SnapshotRef, error) {
	data, err := v.dump()
	if err != nil {
		return fgjournal.SnapshotRef{}, err
	}
	parts := splitParts(data)
	ref := fgjournal.SnapshotRef{ID: snapshotIDPrefix(v.head.Generation) + rand.Text(), Generation: v.head.Generation, Parts: len(parts)}
	for i, p := range parts {
		if err := r.savePart(ctx, r.partKey(ref.ID, i), p); err != nil {
			return fgjournal.SnapshotRef{}, err
		}
	}
	return ref, nil
}

// savePart writes one part of a snapshot.
func (r *Replica[S]) savePart(ctx context.Context, key string, data []byte) error {
	var err error
	for range maxPartAttempts {
		_, err = r.options.Store.CompareAndSwap(ctx, key, 0, data)
		if err == nil || errors.Is(err, fgstore.ErrConflict) {
			// Only this call writes the key, so a conflict means that an earlier
			// attempt took effect although no response arrived.
			return nil
		}
		if !errors.Is(err, fgstore.ErrUnknown) {
			return err
		}
	}
	return err
}

// loadSnapshot reads and decodes a snapshot.
func (r *Replica[S]) loadSnapshot(ctx context.Context, ref fgjournal.SnapshotRef) (S, error) {
	var data bytes.Buffer
	for i := range ref.Parts {
		v, err := r.options.Store.Get(ctx, r.partKey(ref.ID, i))
		if err != nil {
			var zero S
			return zero, err
		}
		_, _ = data.Write(v.Data)
	}
	return r.options.Load(data.Bytes())
}

// removeSnapshots removes the snapshots that are not newer than keep, except keep
// itself. No head refers to them any more. A concurrent writer that is about to write
// a head with one of them started from a generation not above that of keep, so its
// compare-and-swap fails.
func (r *Replica[S]) removeSnapshots(ctx context.Context, keep fgjournal.SnapshotRef) {
	keys, err := r.options.Store.Range(ctx, r.snapshotPrefix())
	if err != nil {
		r.options.Logger.V(1).Info("listing the snapshots failed", "journal", r.options.Key, "error", err.Error())
		return
	}
	end := r.snapshotPrefix() + snapshotIDPrefix(keep.Generation+1)
	for _, k := range keys {
		if k >= end || strings.HasPrefix(k, r.snapshotPrefix()+keep.ID+"/") {
			continue
		}
		v, err := r.options.Store.Get(ctx, k)
		if err == nil {
			err = r.options.Store.Delete(ctx, k, v.Revision)
		}
		if err != nil {
			r.options.Logger.V(1).Info("removing a snapshot failed", "key", k, "error", err.Error())
		}
	}
}

// splitParts splits data into parts of at most fgstore.MaxValueBytes. It returns at
// least one part, which may be empty.
func splitParts(data []byte) [][]byte {
	var parts [][]byte
	for len(data) > fgstore.MaxValueBytes {
		parts = append(parts, data[:fgstore.MaxValueBytes])
		data = data[fgstore.MaxValueBytes:]
	}
	return append(parts, data)
}
