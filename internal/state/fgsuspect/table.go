// Package fgsuspect detects requests that crash the upstreams which run them.
//
// Table is used by entries, which can isolate requests: every request in flight at
// a crashed upstream becomes a suspect. A suspect runs isolated, with no other
// request on its upstream, and is blocked if that upstream crashes as well.
// Crashes is used by gateways: it counts the upstreams that each request crashed.
package fgsuspect

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// EntryLifetime is how long a request stays suspect or blocked.
	EntryLifetime = 10 * time.Minute
	// reservationLifetime bounds a reservation whose request may have been
	// cancelled.
	reservationLifetime = time.Second
	// maxEntries bounds the number of suspect and blocked requests, each of which was
	// in flight at an upstream that crashed.
	maxEntries = 4096
)

// Sentinel errors of Table.Start.
var (
	// ErrBlocked means that the request is blocked because it crashes upstreams.
	ErrBlocked = merry.Sentinel("the request crashes upstreams")
	// ErrBusy means that the request is a suspect and the upstream runs other
	// requests, that the upstream runs a suspect or is reserved for another one, or that
	// the request was placed before it became a suspect.
	ErrBusy = merry.Sentinel("the upstream cannot run this request together with its current requests")
	// ErrRunning means that the request is a suspect and an equal one is running.
	ErrRunning = merry.Sentinel("an equal request that may crash upstreams is running")
)

// Fingerprint is a digest that is the same for equal requests.
type Fingerprint [32]byte

// Status reports whether requests with a fingerprint may crash upstreams.
type Status int

// The statuses of a fingerprint.
const (
	// Clear means that the request is neither suspect nor blocked.
	Clear Status = iota
	// Suspect means that an upstream crashed while it ran the request.
	Suspect
	// Blocked means that an upstream crashed while it ran only this request.
	Blocked
)

// State is the status of a fingerprint, as exchanged between peers.
type State struct {
	fingerprint Fingerprint
	status      Status
}

// NewState returns a state.
func NewState(f Fingerprint, s Status) State { return State{fingerprint: f, status: s} }

// Fingerprint returns the fingerprint of the request.
func (s State) Fingerprint() Fingerprint { return s.fingerprint }

// Status returns the status of the request.
func (s State) Status() Status { return s.status }

// entry is a suspect or blocked request.
type entry struct {
	status  Status
	expires time.Time
	// running is the run of the suspect in this process, or nil.
	running *Run
}

// Run is one request in flight at an upstream.
type Run struct {
	table       *Table
	upstream    string
	fingerprint Fingerprint
	// isolated means that the upstream must run no other request.
	isolated bool
	// crashed means that a crash of the upstream was already counted for the run.
	crashed bool
}

// Table tracks the requests in flight of this process, and suspect and blocked
// requests. The zero value is ready to use.
type Table struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// nextSweep is the earliest time at which a full table may have expired entries.
	nextSweep time.Time
	// runs holds the requests in flight at each upstream.
	runs        map[string]map[*Run]struct{}
	changed     chan struct{}
	reservation reservation
}

// reservation keeps new requests off an upstream for a suspect that waits until
// the upstream is idle.
type reservation struct {
	upstream    string
	fingerprint Fingerprint
	expires     time.Time
}

// Changed returns a channel that is closed when a request that got ErrBusy or
// ErrRunning should retry.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// notify closes the channel that Changed returned. t.mu is held.
func (t *Table) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Status returns the status of a fingerprint.
func (t *Table) Status(f Fingerprint) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.get(f); e != nil {
		return e.status
	}
	return Clear
}

// Running reports whether a suspect with the fingerprint is in flight in this
// process.
func (t *Table) Running(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(f)
	return e != nil && e.running != nil
}

// get returns an entry, or nil if there is none or it has expired. t.mu is held.
func (t *Table) get(f Fingerprint) *entry {
	e := t.entries[f]
	if e == nil || time.Now().Before(e.expires) {
		return e
	}
	delete(t.entries, f)
	return nil
}

// Start registers a request that is about to be sent to an upstream. suspect means that
// it was placed as a suspect, by the VM that keeps suspects apart. The caller must end the
// run with Run.Finish.
func (t *Table) Start(upstream string, f Fingerprint, suspect bool) (*Run, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(f)
	if e != nil && e.status == Blocked {
		return nil, merry.Wrap(ErrBlocked)
	}
	isolated := e != nil
	if isolated && !suspect {
		return nil, merry.Wrap(ErrBusy)
	}
	if isolated && e.running != nil {
		return nil, merry.Wrap(ErrRunning)
	}
	if t.reserved(upstream, f) {
		return nil, merry.Wrap(ErrBusy)
	}
	if isolated && len(t.runs[upstream]) > 0 {
		t.reserve(upstream, f)
		return nil, merry.Wrap(ErrBusy)
	}
	r := &Run{table: t, upstream: upstream, fingerprint: f, isolated: isolated}
	if isolated {
		e.running = r
		if t.reservation.fingerprint == f {
			t.reservation = reservation{}
		}
	}
	t.add(r)
	return r, nil
}

// reserved reports whether an upstream runs a suspect, or is reserved for another
// request than f. t.mu is held.
func (t *Table) reserved(upstream string, f Fingerprint) bool {
	for r := range t.runs[upstream] {
		if r.isolated {
			return true
		}
	}
	r := t.reservation
	return r.upstream == upstream && r.fingerprint != f && time.Now().Before(r.expires)
}

// reserve reserves an upstream for a suspect until the upstream is idle. Only one
// upstream is reserved at a time. t.mu is held.
func (t *Table) reserve(upstream string, f Fingerprint) {
	if time.Now().Before(t.reservation.expires) {
		return
	}
	t.reservation = reservation{upstream: upstream, fingerprint: f, expires: time.Now().Add(reservationLifetime)}
}

// add registers a run at its upstream. t.mu is held.
func (t *Table) add(r *Run) {
	if t.runs == nil {
		t.runs = map[string]map[*Run]struct{}{}
	}
	if t.runs[r.upstream] == nil {
		t.runs[r.upstream] = map[*Run]struct{}{}
	}
	t.runs[r.upstream][r] = struct{}{}
}

// Finish ends a run. A response clears the request if it is a suspect, unless a crash
// was counted for the run. The result is the change to send to peers, if there is one.
func (r *Run) Finish(responded bool) []State {
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
	if !responded || r.crashed || e.status == Blocked {
		return nil
	}
	delete(t.entries, r.fingerprint)
	return []State{NewState(r.fingerprint, Clear)}
}

// RecordCompletion records that another VM ran a request to completion, which clears it if
// it is a suspect. The result is the change to send to peers, if there is one.
func (t *Table) RecordCompletion(f Fingerprint) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.get(f); e == nil || e.status != Suspect {
		return nil
	}
	delete(t.entries, f)
	return []State{NewState(f, Clear)}
}

// RecordCrash records that an upstream broke its connections and refuses new ones.
// Every request in flight there becomes a suspect; one that ran isolated is
// blocked. The result is the changes to send to peers. Repeated calls for the same
// crash count once for each run.
func (t *Table) RecordCrash(upstream string) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []State
	for r := range t.runs[upstream] {
		if r.crashed {
			continue
		}
		r.crashed = true
		s := NewState(r.fingerprint, Suspect)
		if r.isolated {
			s.status = Blocked
		}
		t.merge(s)
		changes = append(changes, s)
	}
	return changes
}

// Merge applies states received from a peer.
func (t *Table) Merge(states []State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range states {
		t.merge(s)
	}
}

// merge applies one state. A cleared state removes a suspect, but not a blocked
// request. t.mu is held.
func (t *Table) merge(s State) {
	e := t.get(s.fingerprint)
	switch {
	case s.status == Clear && e != nil && e.status == Suspect:
		delete(t.entries, s.fingerprint)
	case s.status == Clear:
	case e != nil:
		e.status = max(e.status, s.status)
		e.expires = time.Now().Add(EntryLifetime)
	case t.ensureCapacity():
		t.entries[s.fingerprint] = &entry{status: s.status, expires: time.Now().Add(EntryLifetime)}
	}
}

// ensureCapacity reports whether the table can take one more entry. A full table
// drops its expired entries, but never one that is valid. t.mu is held.
func (t *Table) ensureCapacity() bool {
	if t.entries == nil {
		t.entries = map[Fingerprint]*entry{}
	}
	if len(t.entries) < maxEntries {
		return true
	}
	if time.Now().Before(t.nextSweep) {
		return false
	}
	t.nextSweep = time.Now().Add(EntryLifetime)
	for f := range t.entries {
		if e := t.get(f); e != nil && e.expires.Before(t.nextSweep) {
			t.nextSweep = e.expires
		}
	}
	return len(t.entries) < maxEntries
}
