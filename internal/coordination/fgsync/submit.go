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

// maxSubmitAttempts bounds the attempts to append one change.
const maxSubmitAttempts = 20

// Submit appends a change and returns its generation. It builds the payload from the
// newest state, and again after each conflict with a concurrent change. Submit is
// idempotent: if the journal already contains the change id, it returns the
// generation of that change. An error that matches fgstore.ErrUnknown means that the
// change may have been appended or may still be; any other error means that it was
// not.
func (r *Replica[S]) Submit(ctx context.Context, changeID string, build func(S) (json.RawMessage, error)) (uint64, error) {
	outcomeUnknown := false
	for range maxSubmitAttempts {
		generation, err := r.attempt(ctx, changeID, build)
		switch {
		case err == nil:
			return generation, nil
		case errors.Is(err, fgstore.ErrUnknown):
			// The write may have taken effect or may still do so. Either the next
			// attempt finds its change id, or one of the two compare-and-swaps
			// fails.
			outcomeUnknown = true
		case errors.Is(err, fgstore.ErrConflict):
		case errors.Is(err, errRefused):
			// A write has confirmed that the refusal is based on the newest state.
			// The write also makes every earlier compare-and-swap fail.
			return 0, err
		default:
			return 0, withUnknownOutcome(err, outcomeUnknown)
		}
		if ctx.Err() != nil {
			return 0, withUnknownOutcome(ctx.Err(), outcomeUnknown)
		}
	}
	return 0, withUnknownOutcome(merry.Wrap(ErrBusy), outcomeUnknown)
}

// errRefused marks errors of a build function and of fgjournal.Normalize.
var errRefused = merry.Sentinel("change refused")

// withUnknownOutcome wraps an error in fgstore.ErrUnknown if an earlier attempt may have
// taken effect.
func withUnknownOutcome(err error, outcomeUnknown bool) error {
	if !outcomeUnknown {
		return err
	}
	return fmt.Errorf("%w: %w", fgstore.ErrUnknown, err)
}

// attempt tries once to append a change.
func (r *Replica[S]) attempt(ctx context.Context, changeID string, build func(S) (json.RawMessage, error)) (uint64, error) {
	if err := r.Refresh(ctx); err != nil {
		// The error is not wrapped, since nothing was written even if the outcome of
		// the read is unknown.
		return 0, fmt.Errorf("%w: reading the journal failed: %s", fgstore.ErrUnavailable, err.Error())
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
		return 0, r.confirmRefusal(ctx, base, err)
	}
	return r.append(ctx, base, changeID, payload)
}

// confirmRefusal checks that a refusal is based on the newest state and not on a stale
// read, by writing the same head again. Otherwise a change that was appended by an
// earlier attempt whose response was lost could be refused as a conflict with itself.
func (r *Replica[S]) confirmRefusal(ctx context.Context, base *version[S], refusal error) error {
	if _, err := r.compareAndSwap(ctx, base, base.head); err != nil {
		return err
	}
	return fmt.Errorf("%w: %w", errRefused, refusal)
}

// append appends a change to the head of base. A full head is compacted first.
func (r *Replica[S]) append(ctx context.Context, base *version[S], changeID string, payload json.RawMessage) (uint64, error) {
	head := base.head
	full := head.Full(payload)
	if full {
		ref, err := r.saveSnapshot(ctx, base)
		if err != nil {
			return 0, fmt.Errorf("%w: writing a snapshot failed: %s", fgstore.ErrUnavailable, err.Error())
		}
		head = head.Compact(ref)
	}
	generation, err := r.compareAndSwap(ctx, base, head.Append(changeID, payload))
	if err == nil && full {
		r.removeSnapshots(ctx, *head.Snapshot)
	}
	return generation, err
}

// compareAndSwap replaces the stored head of base by another one with a compare-and-swap,
// applies it to the replica and returns its generation.
func (r *Replica[S]) compareAndSwap(ctx context.Context, base *version[S], head fgjournal.Head) (uint64, error) {
	data, err := json.Marshal(head)
	if err != nil {
		return 0, err
	}
	sent := time.Now()
	revision, err := r.options.Store.CompareAndSwap(ctx, r.options.Key, base.revision, data)
	if err != nil {
		return 0, err
	}
	if err := r.applyValue(ctx, fgstore.Value{Key: r.options.Key, Data: data, Revision: revision}); err != nil {
		r.options.Logger.Error(err, "a change was stored but could not be applied here", "journal", r.options.Key, "generation", head.Generation)
		return head.Generation, nil
	}
	r.observe(sent, ResultCurrent)
	return head.Generation, nil
}
