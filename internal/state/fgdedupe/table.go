// Package fgdedupe remembers the non-idempotent requests that this process has
// received, so that a repeat gets the first one's outcome and never runs.
package fgdedupe

import (
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// previousWindows are kept besides the current one.
	previousWindows = 5
	// windowsAhead is how far the clock of the VM that gave out an id may be
	// ahead of this process's.
	windowsAhead = 1
	// MaxAnswerBytes is the longest body of a stored answer.
	MaxAnswerBytes = 64 << 10

	defaultMaxEntries = 1 << 16
	defaultMaxBytes   = 32 << 20
	// workspacePart is the divisor of the entries that one workspace may hold,
	// so that it cannot fill the table for all others.
	workspacePart = 4
	// fieldBytes is charged for each header field of a stored answer besides
	// its text.
	fieldBytes = 64
)

// Sentinel errors of Begin.
var (
	// ErrWindow means that the id's window is no longer or not yet kept: the
	// request may have run.
	ErrWindow = merry.Sentinel("the id's time window is not kept")
	// ErrFull means that there is no room: the request did not run.
	ErrFull = merry.Sentinel("the table of non-idempotent requests is full")
	// ErrReused means that the id was used for another request.
	ErrReused = merry.Sentinel("the id was used for a request with another method, path or body")
)

// Outcome is how a request ended: Answer, Unkept, Unknown or NotRun.
type Outcome interface {
	isOutcome()
}

// Answer is a whole answer.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// NewAnswer returns an answer. Its parts must not be modified afterwards.
func NewAnswer(status int, header http.Header, body []byte) Answer {
	return Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Header returns the answer's header. It must not be modified.
func (a Answer) Header() http.Header { return a.header }

// Body returns the answer's body. It must not be modified.
func (a Answer) Body() []byte { return a.body }

func (a Answer) size() int64 {
	n := len(a.body)
	for name, values := range a.header {
		for _, v := range values {
			n += len(name) + len(v) + fieldBytes
		}
	}
	return int64(n)
}

// Unkept means that the request ran and its answer was not kept.
type Unkept struct{}

// Unknown means that the request may have run.
type Unknown struct{}

// NotRun means that the request did not run. Its reason is what the caller
// was told.
type NotRun struct {
	reason error
}

// NewNotRun returns an outcome with its reason.
func NewNotRun(reason error) NotRun { return NotRun{reason: reason} }

// Reason returns what the caller was told.
func (n NotRun) Reason() error { return n.reason }

func (Answer) isOutcome()  {}
func (Unkept) isOutcome()  {}
func (Unknown) isOutcome() {}
func (NotRun) isOutcome()  {}

// Digest identifies a request's method, path, query and body.
type Digest [32]byte

// Key identifies a request.
type Key struct {
	workspace string
	id        string
	window    uint64
}

// NewKey returns the key of a request in a window.
func NewKey(workspace, id string, window uint64) Key {
	return Key{workspace: workspace, id: id, window: window}
}

type name struct{ workspace, id string }

// Claim is one request of the table.
type Claim struct {
	digest    Digest
	done      chan struct{}
	outcome   Outcome
	reclaimed bool
}

// Done returns a channel that is closed when the request has ended.
func (c *Claim) Done() <-chan struct{} { return c.done }

// Outcome returns how the request ended. It may be called after Done.
func (c *Claim) Outcome() Outcome { return c.outcome }

// Reclaimed reports whether an earlier arrival with the same id was kept by
// Retain.
func (c *Claim) Reclaimed() bool { return c.reclaimed }

// Options bounds a Table. Zero values mean the defaults.
type Options struct {
	MaxEntries int
	MaxBytes   int64
}

// Table holds the requests of the kept windows. The zero value is ready to use.
type Table struct {
	options Options

	mu      sync.Mutex
	lowest  uint64
	windows map[uint64]*window
	entries int
	bytes   int64
	// held counts the entries of each workspace.
	held map[string]int
}

type window struct {
	claims map[name]*Claim
	// ids counts the claims of each id over all workspaces.
	ids   map[string]int
	bytes int64
}

// New returns an empty table.
func New(o Options) *Table { return &Table{options: o} }

func (t *Table) maxEntries() int {
	if t.options.MaxEntries > 0 {
		return t.options.MaxEntries
	}
	return defaultMaxEntries
}

func (t *Table) maxBytes() int64 {
	if t.options.MaxBytes > 0 {
		return t.options.MaxBytes
	}
	return defaultMaxBytes
}

// Begin claims a request. The first arrival gets first=true and must end the
// claim with Finish, Release or Retain; others wait for the claim's end.
func (t *Table) Begin(k Key, d Digest, now time.Time) (c *Claim, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if k.window < t.lowest || k.window > WindowAt(now)+windowsAhead {
		return nil, false, merry.Wrap(ErrWindow)
	}
	w := t.windows[k.window]
	if w != nil {
		if c, ok := w.claims[k.name()]; ok {
			return t.repeat(w, k, c, d)
		}
	}
	if t.full(k.workspace) {
		return nil, false, merry.Wrap(ErrFull)
	}
	return t.add(k, d), true, nil
}

func (t *Table) repeat(w *window, k Key, c *Claim, d Digest) (*Claim, bool, error) {
	if c.digest != d {
		return nil, false, merry.Wrap(ErrReused)
	}
	if _, released := c.outcome.(NotRun); !released {
		return c, false, nil
	}
	next := &Claim{digest: d, done: make(chan struct{}), reclaimed: true}
	w.claims[k.name()] = next
	return next, true, nil
}

func (t *Table) full(workspace string) bool {
	return t.entries >= t.maxEntries() || t.bytes >= t.maxBytes() ||
		t.held[workspace] >= max(1, t.maxEntries()/workspacePart)
}

func (t *Table) add(k Key, d Digest) *Claim {
	if t.windows == nil {
		t.windows = map[uint64]*window{}
		t.held = map[string]int{}
	}
	w := t.windows[k.window]
	if w == nil {
		w = &window{claims: map[name]*Claim{}, ids: map[string]int{}}
		t.windows[k.window] = w
	}
	c := &Claim{digest: d, done: make(chan struct{})}
	w.claims[k.name()] = c
	w.ids[k.id]++
	t.entries++
	t.held[k.workspace]++
	return c
}

func (k Key) name() name { return name{workspace: k.workspace, id: k.id} }

// Seen reports whether an id of a window may have run: the window is not kept,
// or a request of any workspace holds the id.
func (t *Table) Seen(id string, inWindow uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if inWindow < t.lowest || inWindow > WindowAt(now)+windowsAhead {
		return true
	}
	w := t.windows[inWindow]
	return w != nil && w.ids[id] > 0
}

// Find returns the claim of an id in any kept window.
func (t *Table) Find(workspace, id string, now time.Time) (Key, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	for number, w := range t.windows {
		if _, ok := w.claims[name{workspace: workspace, id: id}]; ok {
			return NewKey(workspace, id, number), true
		}
	}
	return Key{}, false
}

// Finish ends a claim whose request ran or may have run. An answer that does
// not fit is replaced by Unkept.
func (t *Table) Finish(k Key, c *Claim, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := o.(Answer); ok && !t.store(k, c, a) {
		o = Unkept{}
	}
	c.end(o)
}

// store charges an answer to its window. An answer whose window was dropped
// needs no room, since only the waiting repeats still hold it.
func (t *Table) store(k Key, c *Claim, a Answer) bool {
	if len(a.body) > MaxAnswerBytes {
		return false
	}
	w := t.windows[k.window]
	if w == nil || w.claims[k.name()] != c {
		return true
	}
	n := a.size()
	if t.bytes+n > t.maxBytes() {
		return false
	}
	w.bytes += n
	t.bytes += n
	return true
}

// Release ends a claim whose request did not run. A later arrival with the
// same id is a first one again.
func (t *Table) Release(k Key, c *Claim, reason error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.windows[k.window]; w != nil && w.claims[k.name()] == c {
		delete(w.claims, k.name())
		if w.ids[k.id]--; w.ids[k.id] == 0 {
			delete(w.ids, k.id)
		}
		t.forget(k.workspace)
	}
	c.end(NewNotRun(reason))
}

// Retain ends a claim whose request did not run, and keeps its id: a later
// arrival is a first one whose claim is Reclaimed.
func (t *Table) Retain(c *Claim, reason error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.end(NewNotRun(reason))
}

func (c *Claim) end(o Outcome) {
	c.outcome = o
	close(c.done)
}

func (t *Table) forget(workspace string) {
	t.entries--
	t.held[workspace]--
	if t.held[workspace] == 0 {
		delete(t.held, workspace)
	}
}

// advance drops the windows that are too old. A clock that steps back does not
// bring a dropped window back.
func (t *Table) advance(now time.Time) {
	current := WindowAt(now)
	if current < previousWindows {
		return
	}
	t.lowest = max(t.lowest, current-previousWindows)
	for number, w := range t.windows {
		if number >= t.lowest {
			continue
		}
		for n := range w.claims {
			t.forget(n.workspace)
		}
		t.bytes -= w.bytes
		delete(t.windows, number)
	}
}

// Len returns the number of entries.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries
}

// Bytes returns the size of the stored answers.
func (t *Table) Bytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}
