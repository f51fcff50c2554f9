package fgentry

import (
	"context"
	"sync"
)

// inflight counts the requests that peers forwarded here, so that a stop waits
// for them. The zero value is ready to use.
type inflight struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count falls to zero.
	idle chan struct{}
}

func (i *inflight) enter() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count++
}

func (i *inflight) leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count--
	if i.count == 0 && i.idle != nil {
		close(i.idle)
		i.idle = nil
	}
}

// wait returns when no request is in flight.
func (i *inflight) wait(ctx context.Context) error {
	i.mu.Lock()
	if i.count == 0 {
		i.mu.Unlock()
		return nil
	}
	if i.idle == nil {
		i.idle = make(chan struct{})
	}
	idle := i.idle
	i.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
