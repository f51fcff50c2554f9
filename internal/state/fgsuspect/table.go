// Package fgsuspect tells which requests may crash the upstreams that run
// them. A suspect runs alone, and is convicted when its upstream crashes again.
package fgsuspect

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// Lifetime is how long a suspicion or conviction holds.
	Lifetime = 10 * time.Minute
	// reservationLifetime ends a reservation whose request has given up.
	reservationLifetime = time.Second
	// maxEntries bounds the table. Each entry stands for a request in flight at
	// a crashed upstream.
	maxEntries = 4096
)

// Sentinel errors of Enter.
var (
	// ErrConvicted means that the request crashes upstreams.
	ErrConvicted = merry.Sentinel("the request crashes upstreams")
	// ErrBusy means that the request must not run beside what runs now.
	ErrBusy = merry.Sentinel("the request must not run beside others on this upstream")
	// ErrRunning means that an equal request, a suspect, runs now.
	ErrRunning = merry.Sentinel("an equal request that may crash upstreams runs now")
)

// Fingerprint identifies equal requests.
type Fingerprint [32]byte

// Status is what is known of a fingerprint.
type Status int

// The statuses of a fingerprint.
const (
	// Clear means that nothing is known against the request.
	Clear Status = iota
	// Suspect means that an upstream crashed while it ran the request.
	Suspect
	// Convicted means that an upstream crashed while it ran the request alone.
	Convicted
)

// State is the status of a fingerprint, as told to peers.
type State struct {
	fingerprint Fingerprint
	status      Status
}

// NewState returns a state.
func NewState(f Fingerprint, s Status) State { return State{fingerprint: f, status: s} }

// Fingerprint returns the request that the state is about.
func (s State) Fingerprint() Fingerprint { return s.fingerprint }

// Status returns what is known of it.
func (s State) Status() Status { return s.status }

type entry struct {
	status  Status
	expires time.Time
	// running is the run of a suspect on this VM.
	running *Run
}

// Run is one request in flight at an upstream.
type Run struct {
	table       *Table
	upstream    string
	fingerprint Fingerprint
	alone       bool
	crashed     bool
}

// Table holds the requests in flight and the suspects. The zero value is ready
// to use.
type Table struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// sweepAt is when the next search for expired entries may find one.
	sweepAt time.Time
	runs    map[string]map[*Run]struct{}
	changed chan struct{}
	awaited reservation
}

// reservation keeps an upstream for a suspect that waits for it to be empty.
type reservation struct {
	upstream    string
	fingerprint Fingerprint
	expires     time.Time
}

// Changed returns a channel that is closed when a request that got ErrBusy or
// ErrRunning may try again.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

func (t *Table) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Status returns what is known of a fingerprint.
func (t *Table) Status(f Fingerprint) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.get(f); e != nil {
		return e.status
	}
	return Clear
}

// Running reports whether a suspect runs in this process now.
func (t *Table) Running(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(f)
	return e != nil && e.running != nil
}

// get returns an entry that has not expired.
func (t *Table) get(f Fingerprint) *entry {
	e := t.entries[f]
	if e == nil || time.Now().Before(e.expires) {
		return e
	}
	delete(t.entries, f)
	return nil
}

// Enter registers a request that is about to be sent to an upstream. Leave
// must end it.
func (t *Table) Enter(upstream string, f Fingerprint) (*Run, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(f)
	if e != nil && e.status == Convicted {
		return nil, merry.Wrap(ErrConvicted)
	}
	alone := e != nil
	if alone && e.running != nil {
		return nil, merry.Wrap(ErrRunning)
	}
	if t.reserved(upstream, f) {
		return nil, merry.Wrap(ErrBusy)
	}
	if alone && len(t.runs[upstream]) > 0 {
		t.await(upstream, f)
		return nil, merry.Wrap(ErrBusy)
	}
	r := &Run{table: t, upstream: upstream, fingerprint: f, alone: alone}
	if alone {
		e.running = r
		if t.awaited.fingerprint == f {
			t.awaited = reservation{}
		}
	}
	t.add(r)
	return r, nil
}

// reserved reports whether a suspect runs alone on an upstream, or another
// request waits to do so.
func (t *Table) reserved(upstream string, f Fingerprint) bool {
	for r := range t.runs[upstream] {
		if r.alone {
			return true
		}
	}
	a := t.awaited
	return a.upstream == upstream && a.fingerprint != f && time.Now().Before(a.expires)
}

// await keeps other requests off an upstream until it is empty for a suspect.
// One upstream at a time is kept so.
func (t *Table) await(upstream string, f Fingerprint) {
	if time.Now().Before(t.awaited.expires) {
		return
	}
	t.awaited = reservation{upstream: upstream, fingerprint: f, expires: time.Now().Add(reservationLifetime)}
}

func (t *Table) add(r *Run) {
	if t.runs == nil {
		t.runs = map[string]map[*Run]struct{}{}
	}
	if t.runs[r.upstream] == nil {
		t.runs[r.upstream] = map[*Run]struct{}{}
	}
	t.runs[r.upstream][r] = struct{}{}
}

// Leave ends a run. An answered run clears its suspicion; the result is the
// news for peers.
func (r *Run) Leave(answered bool) []State {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs[r.upstream], r)
	if len(t.runs[r.upstream]) == 0 {
		delete(t.runs, r.upstream)
		t.notify()
	}
	e := t.get(r.fingerprint)
	if e == nil {
		return nil
	}
	if e.running == r {
		e.running = nil
	}
	if !answered || r.crashed || e.status == Convicted {
		return nil
	}
	delete(t.entries, r.fingerprint)
	return []State{NewState(r.fingerprint, Clear)}
}

// Crash records that an upstream broke its connections and refuses new ones.
// Every request in flight there becomes a suspect; one that ran alone is
// convicted. The result is the news for peers. One crash counts once for each
// run.
func (t *Table) Crash(upstream string) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []State
	for r := range t.runs[upstream] {
		if r.crashed {
			continue
		}
		r.crashed = true
		s := NewState(r.fingerprint, Suspect)
		if r.alone {
			s.status = Convicted
		}
		t.merge(s)
		news = append(news, s)
	}
	return news
}

// Merge takes over what a peer found.
func (t *Table) Merge(states []State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range states {
		t.merge(s)
	}
}

func (t *Table) merge(s State) {
	e := t.get(s.fingerprint)
	switch {
	case s.status == Clear && e != nil && e.status == Suspect:
		delete(t.entries, s.fingerprint)
	case s.status == Clear:
	case e != nil:
		e.status = max(e.status, s.status)
		e.expires = time.Now().Add(Lifetime)
	case t.room():
		t.entries[s.fingerprint] = &entry{status: s.status, expires: time.Now().Add(Lifetime)}
	}
}

// room makes room for one entry, from expired ones only.
func (t *Table) room() bool {
	if t.entries == nil {
		t.entries = map[Fingerprint]*entry{}
	}
	if len(t.entries) < maxEntries {
		return true
	}
	if time.Now().Before(t.sweepAt) {
		return false
	}
	t.sweepAt = time.Now().Add(Lifetime)
	for f := range t.entries {
		if e := t.get(f); e != nil && e.expires.Before(t.sweepAt) {
			t.sweepAt = e.expires
		}
	}
	return len(t.entries) < maxEntries
}
