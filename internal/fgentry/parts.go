package fgentry

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/panics"
)

// errPartEnded means that a part ended before it was told to.
var errTaskEnded = merry.Sentinel("a part of the entry ended")

// part is a task that runs until its context ends.
type task struct {
	name string
	run  func(context.Context) error
}

// loop makes a part of a function that returns only when its context ends.
func loopTask(name string, run func(context.Context)) task {
	return task{name: name, run: func(ctx context.Context) error {
		run(ctx)
		return ctx.Err()
	}}
}

// partEnd reports that a part has ended, and why.
type taskResult struct {
	name string
	err  error
}

// parts are running parts. Their owner must call stop.
type taskGroup struct {
	cancel context.CancelFunc
	ends   chan taskResult
	count  int
}

// startParts starts each part in a goroutine of its own.
func startTasks(ctx context.Context, all ...task) *taskGroup {
	ctx, cancel := context.WithCancel(ctx)
	p := &taskGroup{cancel: cancel, ends: make(chan taskResult, len(all)), count: len(all)}
	for _, t := range all {
		go func() {
			end := taskResult{name: t.name}
			if r := panics.Try(func() { end.err = t.run(ctx) }); r != nil {
				end.err = r.AsError()
			}
			p.ends <- end
		}()
	}
	return p
}

// wait returns when the context ends or the channel closes, or with an error
// when a part ends before.
func (p *taskGroup) wait(ctx context.Context, stopRequested <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stopRequested:
		return nil
	case end := <-p.ends:
		p.count--
		if ctx.Err() != nil && errors.Is(end.err, ctx.Err()) {
			return nil
		}
		return fmt.Errorf("%w: %s: %w", errTaskEnded, end.name, end.err)
	}
}

// stop ends all parts and returns when they have ended.
func (p *taskGroup) stop() {
	p.cancel()
	for ; p.count > 0; p.count-- {
		<-p.ends
	}
}
