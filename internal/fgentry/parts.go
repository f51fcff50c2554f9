package fgentry

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/panics"
)

// errPartEnded means that a part ended before it was told to.
var errPartEnded = merry.Sentinel("a part of the entry ended")

// part is a task that runs until its context ends.
type part struct {
	name string
	run  func(context.Context) error
}

// loop makes a part of a function that returns only when its context ends.
func loop(name string, run func(context.Context)) part {
	return part{name: name, run: func(ctx context.Context) error {
		run(ctx)
		return ctx.Err()
	}}
}

// partEnd reports that a part has ended, and why.
type partEnd struct {
	name string
	err  error
}

// parts are running parts. Their owner must call stop.
type parts struct {
	cancel context.CancelFunc
	ends   chan partEnd
	count  int
}

// startParts starts each part in a goroutine of its own.
func startParts(ctx context.Context, all ...part) *parts {
	ctx, cancel := context.WithCancel(ctx)
	p := &parts{cancel: cancel, ends: make(chan partEnd, len(all)), count: len(all)}
	for _, one := range all {
		go func() {
			end := partEnd{name: one.name}
			if r := panics.Try(func() { end.err = one.run(ctx) }); r != nil {
				end.err = r.AsError()
			}
			p.ends <- end
		}()
	}
	return p
}

// wait returns when the context ends or the channel closes, or with an error
// when a part ends before.
func (p *parts) wait(ctx context.Context, told <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-told:
		return nil
	case end := <-p.ends:
		p.count--
		if ctx.Err() != nil && errors.Is(end.err, ctx.Err()) {
			return nil
		}
		return fmt.Errorf("%w: %s: %w", errPartEnded, end.name, end.err)
	}
}

// stop ends all parts and returns when they have ended.
func (p *parts) stop() {
	p.cancel()
	for ; p.count > 0; p.count-- {
		<-p.ends
	}
}
