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

// partTries bounds the attempts to write one part of a snapshot.
const partTries = 3

// prefix returns the beginning of the keys of the journal's snapshots.
func (r *Replica[S]) prefix() string { return path.Dir(r.options.Key) + "/snapshot/" }

// idPrefix begins the id of a snapshot. Its order is that of generations.
func idPrefix(generation uint64) string { return fmt.Sprintf("%016x-", generation) }

func (r *Replica[S]) partKey(id string, part int) string {
	return fmt.Sprintf("%s%s/%04d", r.prefix(), id, part)
}

// saveSnapshot writes a version under a unique name.
func (r *Replica[S]) saveSnapshot(ctx context.Context, v *version[S]) (fgjournal.SnapshotRef, error) {
	data, err := v.dump()
	if err != nil {
		return fgjournal.SnapshotRef{}, err
	}
	parts := split(data)
	ref := fgjournal.SnapshotRef{ID: idPrefix(v.head.Generation) + rand.Text(), Generation: v.head.Generation, Parts: len(parts)}
	for i, p := range parts {
		if err := r.savePart(ctx, r.partKey(ref.ID, i), p); err != nil {
			return fgjournal.SnapshotRef{}, err
		}
	}
	return ref, nil
}

func (r *Replica[S]) savePart(ctx context.Context, key string, data []byte) error {
	var err error
	for range partTries {
		_, err = r.options.Store.CompareAndSwap(ctx, key, 0, data)
		if err == nil || errors.Is(err, fgstore.ErrConflict) {
			// The key is unique to this writer, so a conflict is its own earlier
			// write whose answer was lost.
			return nil
		}
		if !errors.Is(err, fgstore.ErrUnknown) {
			return err
		}
	}
	return err
}

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

// removeSnapshots removes the snapshots that no head refers to any more. A
// writer that still prepares a head with one of them works from a generation
// not above the kept one's, so its swap fails.
func (r *Replica[S]) removeSnapshots(ctx context.Context, keep fgjournal.SnapshotRef) {
	keys, err := r.options.Store.Range(ctx, r.prefix())
	if err != nil {
		r.options.Logger.V(1).Info("snapshots not listed", "journal", r.options.Key, "error", err.Error())
		return
	}
	end := r.prefix() + idPrefix(keep.Generation+1)
	for _, k := range keys {
		if k >= end || strings.HasPrefix(k, r.prefix()+keep.ID+"/") {
			continue
		}
		v, err := r.options.Store.Get(ctx, k)
		if err == nil {
			err = r.options.Store.Delete(ctx, k, v.Revision)
		}
		if err != nil {
			r.options.Logger.V(1).Info("snapshot not removed", "key", k, "error", err.Error())
		}
	}
}

// split cuts data into parts that fit the platform. It returns at least one.
func split(data []byte) [][]byte {
	var parts [][]byte
	for len(data) > fgstore.MaxValueBytes {
		parts = append(parts, data[:fgstore.MaxValueBytes])
		data = data[fgstore.MaxValueBytes:]
	}
	return append(parts, data)
}
