// Package fgpath tells whether a VM has lost its path to the upstreams, by what its
// connections to them show.
package fgpath

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minFailed is the number of different upstreams, unless there are fewer, that must be
	// unreachable in a row. One that has crashed says nothing about the path.
	minFailed = 3
	// failureWindow is how long a failed attempt to connect counts.
	failureWindow = 3 * time.Second
	// silenceTimeout is the time without a response of any upstream after which open
	// connections count as dead.
	silenceTimeout = time.Second
)

// Status is the state of the path to the upstreams.
type Status int

// The states of the path.
const (
	// Open means that connections can be opened, as far as known.
	Open Status = iota
	// NoNewConnections means that connections cannot be opened, while open ones carry
	// responses.
	NoNewConnections
	// Lost means that connections cannot be opened and that open ones are silent.
	Lost
)

// String returns the status' name in log lines.
func (s Status) String() string {
	names := [...]string{Open: "open", NoNewConnections: "no new connections", Lost: "lost"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Tracker tracks the path to the upstreams. The zero value is an open path. It is safe for
// concurrent use.
type Tracker struct {
	// failing means that failed is not empty.
	failing atomic.Bool
	// lastResponse is when an upstream last responded. It holds a monotonic time, which steps
	// of the VM's clock do not change.
	lastResponse atomic.Pointer[time.Time]

	mu sync.Mutex
	// failed holds when a connection to each upstream last failed, since one was opened.
	failed map[string]time.Time
	// upstreams is the number of upstreams.
	upstreams int
}

// SetUpstreams sets the number of upstreams.
func (t *Tracker) SetUpstreams(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upstreams = n
}

// RecordConnected records that a connection to an upstream was opened.
func (t *Tracker) RecordConnected() {
	if !t.failing.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.failed)
	t.failing.Store(false)
}

// RecordFailed records that a connection to an upstream could not be opened.
func (t *Tracker) RecordFailed(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed == nil {
		t.failed = map[string]time.Time{}
	}
	t.failed[upstream] = time.Now()
	t.failing.Store(true)
}

// RecordResponse records that an upstream has responded.
func (t *Tracker) RecordResponse() {
	now := time.Now()
	t.lastResponse.Store(&now)
}

// Status returns the state of the path.
func (t *Tracker) Status() Status {
	if !t.failing.Load() {
		return Open
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for upstream, at := range t.failed {
		if now.Sub(at) > failureWindow {
			delete(t.failed, upstream)
		}
	}
	t.failing.Store(len(t.failed) > 0)
	last := t.lastResponse.Load()
	switch {
	case len(t.failed) < max(1, min(minFailed, t.upstreams)):
		return Open
	case last != nil && now.Sub(*last) < silenceTimeout:
		return NoNewConnections
	default:
		return Lost
	}
}
