package fgentry

import (
	"context"
	"sync"
)

// requestGroup counts the requests that peers have forwarded here, so that a
// graceful stop can wait for them. The zero value is ready to use.
type requestGroup struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count falls to zero.
	idle chan struct{}
}

func (g *requestGroup) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

func (g *requestGroup) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// wait returns when no request is in flight, or with the context's error.
func (g *requestGroup) wait(ctx context.Context) error {
	g.mu.Lock()
	if g.count == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
