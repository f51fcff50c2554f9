package fgentry

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/panics"
)

// errTaskEnded means that a task ended before it was stopped.
var errTaskEnded = merry.Sentinel("a task of the entry ended")

// task is a function that runs until its context ends.
type task struct {
	name string
	run  func(context.Context) error
}

// loopTask returns a task for a function that returns only when its context
// ends.
func loopTask(name string, run func(context.Context)) task {
	return task{name: name, run: func(ctx context.Context) error {
		run(ctx)
		return ctx.Err()
	}}
}

// taskResult is sent when a task has ended.
type taskResult struct {
	name string
	err  error
}

// taskGroup is a set of running tasks. Its owner must call stop.
type taskGroup struct {
	cancel context.CancelFunc
	ends   chan taskResult
	count  int
}

// startTasks starts each task in its own goroutine.
func startTasks(ctx context.Context, all ...task) *taskGroup {
	ctx, cancel := context.WithCancel(ctx)
	g := &taskGroup{cancel: cancel, ends: make(chan taskResult, len(all)), count: len(all)}
	for _, t := range all {
		go func() {
			end := taskResult{name: t.name}
			if r := panics.Try(func() { end.err = t.run(ctx) }); r != nil {
				end.err = r.AsError()
			}
			g.ends <- end
		}()
	}
	return g
}

// wait returns nil when the context ends or the channel is closed, or an error
// when a task ends before that.
func (g *taskGroup) wait(ctx context.Context, stopRequested <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stopRequested:
		return nil
	case end := <-g.ends:
		g.count--
		if ctx.Err() != nil && errors.Is(end.err, ctx.Err()) {
			return nil
		}
		return fmt.Errorf("%w: %s: %w", errTaskEnded, end.name, end.err)
	}
}

// stop cancels all tasks and returns when they have ended.
func (g *taskGroup) stop() {
	g.cancel()
	for ; g.count > 0; g.count-- {
		<-g.ends
	}
}
