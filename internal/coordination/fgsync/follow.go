package fgsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	// watchRetryDelay is the time between watch calls after an error, and between
	// the checks whether an inactive replica has become active.
	watchRetryDelay = 200 * time.Millisecond
	// pollInterval separates the reads that show whether the replica is current. A
	// watch cannot show it, because its events may be late.
	pollInterval = time.Second
	// pollTimeout is shorter than pollInterval, so that an unresponsive platform is
	// detected and reported to the peers once per interval.
	pollTimeout = 900 * time.Millisecond
	// watchTimeout bounds a watch call, so that a dead connection is replaced. The
	// platform client normally ends the call earlier.
	watchTimeout = 5 * time.Second
)

// Run watches and polls the platform's store until ctx is done.
func (r *Replica[S]) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { r.watchLoop(ctx) })
	wg.Go(func() { r.pollLoop(ctx) })
	wg.Wait()
	return ctx.Err()
}

func (r *Replica[S]) active() bool { return r.options.Active == nil || r.options.Active() }

// watchLoop applies changes as soon as watch events report them.
func (r *Replica[S]) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.active() {
			_ = fgtimer.Wait(ctx, watchRetryDelay)
			continue
		}
		if err := r.watch(ctx); err != nil && ctx.Err() == nil {
			r.options.Logger.V(1).Info("journal watch failed", "journal", r.options.Key, "error", err.Error())
			_ = fgtimer.Wait(ctx, watchRetryDelay)
		}
	}
}

// watch waits for the next change of the journal and applies it.
func (r *Replica[S]) watch(ctx context.Context) error {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	sent := time.Now()
	after := r.current.Load().revision
	v, err := r.options.Store.Watch(watchCtx, r.options.Key, after)
	if errors.Is(err, fgstore.ErrNotFound) || errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	if err != nil {
		return err
	}
	if v.Revision <= after {
		return fmt.Errorf("watch returned revision %d, want one above %d", v.Revision, after)
	}
	return r.applyRead(ctx, sent, v)
}

// pollLoop reads the journal once per pollInterval.
func (r *Replica[S]) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if r.active() {
			if err := r.poll(ctx); err != nil && ctx.Err() == nil {
				r.options.Logger.V(1).Info("reading the journal failed", "journal", r.options.Key, "error", err.Error())
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// poll reads the journal once. If reads do not suffice to show that the replica is
// current, it confirms that with a compare-and-swap.
func (r *Replica[S]) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	readsUnproven := r.readsUnproven()
	if err := r.Refresh(ctx); err != nil || !readsUnproven {
		return err
	}
	return r.confirmCurrent(ctx)
}

func (r *Replica[S]) readsUnproven() bool {
	return r.options.ReadsUnproven != nil && r.options.ReadsUnproven()
}

// confirmCurrent writes the head again unchanged. Unlike a read, which may be stale,
// a compare-and-swap succeeds only on the newest value, so its success shows that the
// replica is current. After a conflict the next poll tries again.
func (r *Replica[S]) confirmCurrent(ctx context.Context) error {
	base := r.current.Load()
	_, err := r.compareAndSwap(ctx, base, base.head)
	return err
}

// Refresh reads the journal from the platform once and applies it.
func (r *Replica[S]) Refresh(ctx context.Context) error {
	sent := time.Now()
	v, err := r.options.Store.Get(ctx, r.options.Key)
	if errors.Is(err, fgstore.ErrNotFound) {
		return r.applyRead(ctx, sent, fgstore.Value{})
	}
	if err != nil {
		// A call that the caller cancelled shows nothing about the platform.
		if !errors.Is(ctx.Err(), context.Canceled) {
			r.observe(sent, ResultUnreachable)
		}
		return err
	}
	return r.applyRead(ctx, sent, v)
}

// applyRead applies a value that was read and reports what the read showed. A value
// older than the replica's is a stale read, which does not show that the replica is
// current.
func (r *Replica[S]) applyRead(ctx context.Context, sent time.Time, v fgstore.Value) error {
	err := r.applyValue(ctx, v)
	if err != nil || v.Revision < r.current.Load().revision || r.readsUnproven() {
		r.observe(sent, ResultReachable)
		return err
	}
	r.observe(sent, ResultCurrent)
	return nil
}
