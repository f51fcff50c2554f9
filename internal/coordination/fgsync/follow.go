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
	// watchRetryDelay separates watch calls after an error, and the checks
	// whether the replica has become active.
	watchRetryDelay = 200 * time.Millisecond
	// pollInterval separates the reads that prove freshness. A watch cannot prove
	// it, because its events may be late.
	pollInterval = time.Second
	// pollTimeout is shorter than pollInterval, so that a silent platform is
	// noticed, and said to the peers, once per interval.
	pollTimeout = 900 * time.Millisecond
	// watchTimeout bounds a watch, so that a silent connection is replaced. The
	// client of the platform makes it end earlier.
	watchTimeout = 5 * time.Second
)

// Run follows the platform until the context ends.
func (r *Replica[S]) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { r.watchLoop(ctx) })
	wg.Go(func() { r.pollLoop(ctx) })
	wg.Wait()
	return ctx.Err()
}

func (r *Replica[S]) active() bool { return r.options.Active == nil || r.options.Active() }

func (r *Replica[S]) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.active() {
			_ = fgtimer.Wait(ctx, watchRetryDelay)
			continue
		}
		if err := r.watch(ctx); err != nil && ctx.Err() == nil {
			r.options.Logger.V(1).Info("watch failed", "journal", r.options.Key, "error", err.Error())
			_ = fgtimer.Wait(ctx, watchRetryDelay)
		}
	}
}

func (r *Replica[S]) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	sent := time.Now()
	after := r.current.Load().revision
	v, err := r.options.Store.Watch(call, r.options.Key, after)
	if errors.Is(err, fgstore.ErrNotFound) || errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	if err != nil {
		return err
	}
	if v.Revision <= after {
		return fmt.Errorf("revision %d is not above %d", v.Revision, after)
	}
	return r.judge(ctx, sent, v)
}

func (r *Replica[S]) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if r.active() {
			if err := r.poll(ctx); err != nil && ctx.Err() == nil {
				r.options.Logger.V(1).Info("read failed", "journal", r.options.Key, "error", err.Error())
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (r *Replica[S]) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	lapsed := r.lapsed()
	if err := r.Refresh(ctx); err != nil || !lapsed {
		return err
	}
	return r.prove(ctx)
}

func (r *Replica[S]) lapsed() bool { return r.options.Lapsed != nil && r.options.Lapsed() }

// prove writes the head again as it is. Unlike a read, a swap cannot succeed on
// an old value, so it shows that the replica holds the newest one. A conflict
// means that it does not; the next poll tries again.
func (r *Replica[S]) prove(ctx context.Context) error {
	base := r.current.Load()
	_, err := r.swap(ctx, base, base.head)
	return err
}

// Refresh reads the platform's value once.
func (r *Replica[S]) Refresh(ctx context.Context) error {
	sent := time.Now()
	v, err := r.options.Store.Get(ctx, r.options.Key)
	if errors.Is(err, fgstore.ErrNotFound) {
		return r.judge(ctx, sent, fgstore.Value{})
	}
	if err != nil {
		// A caller that gave up says nothing about the platform.
		if !errors.Is(ctx.Err(), context.Canceled) {
			r.observe(sent, AnswerNone)
		}
		return err
	}
	return r.judge(ctx, sent, v)
}

// judge absorbs the answer of a read. A value older than what the replica knows
// is a stale read, which proves nothing about the newest value.
func (r *Replica[S]) judge(ctx context.Context, sent time.Time, v fgstore.Value) error {
	err := r.absorb(ctx, v)
	if err != nil || v.Revision < r.current.Load().revision || r.lapsed() {
		r.observe(sent, AnswerReached)
		return err
	}
	r.observe(sent, AnswerCurrent)
	return nil
}
