package fgsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

// maxSubmitTries bounds the compare-and-swap attempts of one change.
const maxSubmitTries = 20

// Submit appends a change and returns its generation. It builds the payload
// from the newest state, again after each lost race. A change id that the
// journal already holds is not appended twice. An error that matches
// fgstore.ErrUnknown means that the change may have been appended or may still
// be; any other error means that it was not.
func (r *Replica[S]) Submit(ctx context.Context, changeID string, build func(S) (json.RawMessage, error)) (uint64, error) {
	doubt := false
	for range maxSubmitTries {
		generation, err := r.try(ctx, changeID, build)
		switch {
		case err == nil:
			return generation, nil
		case errors.Is(err, fgstore.ErrUnknown):
			// The write may have taken effect or may still do so. The next try
			// finds it by its change id, or fails the swap of one of the two.
			doubt = true
		case errors.Is(err, fgstore.ErrConflict):
		case errors.Is(err, errRefused):
			// The state that refuses was confirmed as the newest one, by a write
			// that also makes every earlier swap fail.
			return 0, err
		default:
			return 0, inDoubt(err, doubt)
		}
		if ctx.Err() != nil {
			return 0, inDoubt(ctx.Err(), doubt)
		}
	}
	return 0, inDoubt(merry.Wrap(ErrBusy), doubt)
}

// errRefused marks the errors of a build function.
var errRefused = merry.Sentinel("change refused")

func inDoubt(err error, doubt bool) error {
	if !doubt {
		return err
	}
	return fmt.Errorf("%w: %w", fgstore.ErrUnknown, err)
}

func (r *Replica[S]) try(ctx context.Context, changeID string, build func(S) (json.RawMessage, error)) (uint64, error) {
	if err := r.Refresh(ctx); err != nil {
		// Nothing was written, whatever became of the read.
		return 0, fmt.Errorf("%w: read failed: %s", fgstore.ErrUnavailable, err.Error())
	}
	base := r.current.Load()
	if g, ok := base.head.Find(changeID); ok {
		return g, nil
	}
	payload, err := build(base.state)
	if errors.Is(err, ErrNoChange) {
		return base.head.Generation, nil
	}
	if err == nil {
		payload, err = fgjournal.Normalize(changeID, payload)
	}
	if err != nil {
		return 0, r.confirm(ctx, base, err)
	}
	return r.append(ctx, base, changeID, payload)
}

// confirm checks that a refusal was built from the newest state and not from a
// stale read, by writing the same head again. Otherwise a change that was
// accepted, but whose answer was lost, could be refused as a conflict.
func (r *Replica[S]) confirm(ctx context.Context, base *version[S], refusal error) error {
	if _, err := r.swap(ctx, base, base.head); err != nil {
		return err
	}
	return fmt.Errorf("%w: %w", errRefused, refusal)
}

func (r *Replica[S]) append(ctx context.Context, base *version[S], changeID string, payload json.RawMessage) (uint64, error) {
	head := base.head
	full := head.Full(payload)
	if full {
		ref, err := r.saveSnapshot(ctx, base)
		if err != nil {
			return 0, fmt.Errorf("%w: snapshot not written: %s", fgstore.ErrUnavailable, err.Error())
		}
		head = head.Compact(ref)
	}
	generation, err := r.swap(ctx, base, head.Append(changeID, payload))
	if err == nil && full {
		r.removeSnapshots(ctx, *head.Snapshot)
	}
	return generation, err
}

func (r *Replica[S]) swap(ctx context.Context, base *version[S], head fgjournal.Head) (uint64, error) {
	data, err := json.Marshal(head)
	if err != nil {
		return 0, err
	}
	sent := time.Now()
	revision, err := r.options.Store.CompareAndSwap(ctx, r.options.Key, base.revision, data)
	if err != nil {
		return 0, err
	}
	if err := r.absorb(ctx, fgstore.Value{Key: r.options.Key, Data: data, Revision: revision}); err != nil {
		r.options.Logger.Error(err, "own change not applied", "journal", r.options.Key, "generation", head.Generation)
		return head.Generation, nil
	}
	r.observe(sent, AnswerCurrent)
	return head.Generation, nil
}
