// Package fgdedupe deduplicates non-idempotent requests by their ids. It records
// the requests that this process has received, so that a duplicate gets the outcome of
// the first request and does not run again.
package fgdedupe

import (
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// previousWindows is the number of windows kept before the current one.
	previousWindows = 5
	// maxWindowsAhead is the number of windows by which the clock of the VM that
	// issued an id may be ahead of this VM's clock.
	maxWindowsAhead = 1
	// MaxResponseBytes is the maximum body size of a stored response.
	MaxResponseBytes = 64 << 10

	defaultMaxEntries = 1 << 16
	defaultMaxBytes   = 32 << 20
	// workspaceDivisor limits one workspace to MaxEntries/workspaceDivisor entries,
	// so that it cannot fill the table for all others.
	workspaceDivisor = 4
	// fieldOverheadBytes is the memory accounted for each header field of a stored
	// response in addition to its text.
	fieldOverheadBytes = 64
)

// Sentinel errors of Table.Begin.
var (
	// ErrWindow means that the id's window is too old or too far in the future, so
	// that the table cannot determine whether the request ran.
	ErrWindow = merry.Sentinel("the id's time window is too old or in the future")
	// ErrFull means that the table is full or the workspace holds its maximum of
	// entries. The request did not run.
	ErrFull = merry.Sentinel("the table of non-idempotent requests is full")
	// ErrReused means that the id was used for another request.
	ErrReused = merry.Sentinel("the id was used for a request with another method, path or body")
)

// Outcome is how a request ended. It is a Response, ResponseNotStored, Unknown
// or NotRun.
type Outcome interface {
	isOutcome()
}

// Response is a complete HTTP response.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// NewResponse returns a response. The header and body must not be modified afterwards.
func NewResponse(status int, header http.Header, body []byte) Response {
	return Response{status: status, header: header, body: body}
}

// Status returns the HTTP status code.
func (r Response) Status() int { return r.status }

// Header returns the HTTP header. It must not be modified.
func (r Response) Header() http.Header { return r.header }

// Body returns the body. It must not be modified.
func (r Response) Body() []byte { return r.body }

// size returns the memory to account for the response in bytes.
func (r Response) size() int64 {
	n := len(r.body)
	for name, values := range r.header {
		for _, v := range values {
			n += len(name) + len(v) + fieldOverheadBytes
		}
	}
	return int64(n)
}

// ResponseNotStored means that the request ran, but its response was not stored.
type ResponseNotStored struct{}

// Unknown means that the request may or may not have run.
type Unknown struct{}

// NotRun means that the request did not run. Its reason is the error that the
// caller received.
type NotRun struct {
	reason error
}

// NewNotRun returns a NotRun with a reason.
func NewNotRun(reason error) NotRun { return NotRun{reason: reason} }

// Reason returns the error that the caller received.
func (n NotRun) Reason() error { return n.reason }

func (Response) isOutcome()          {}
func (ResponseNotStored) isOutcome() {}
func (Unknown) isOutcome()           {}
func (NotRun) isOutcome()            {}

// Digest is a digest of a request's method, path, query and body.
type Digest [32]byte

// Key identifies a request by its workspace, id and the time window of the id.
type Key struct {
	workspace string
	id        string
	window    uint64
}

// NewKey returns the key of a request.
func NewKey(workspace, id string, window uint64) Key {
	return Key{workspace: workspace, id: id, window: window}
}

// requestID is the key of a request within a window.
type requestID struct{ workspace, id string }

// Claim is one run of a request. The caller whose Begin call returned first=true
// runs the request and ends the claim; the others wait for it.
type Claim struct {
	digest    Digest
	done      chan struct{}
	outcome   Outcome
	reclaimed bool
}

// Done returns a channel that is closed when the claim has ended.
func (c *Claim) Done() <-chan struct{} { return c.done }

// Outcome returns how the request ended. It must not be called before the channel
// of Done is closed.
func (c *Claim) Outcome() Outcome { return c.outcome }

// Reclaimed reports whether an earlier claim of the same id was ended by Retain.
func (c *Claim) Reclaimed() bool { return c.reclaimed }

// Options bounds a Table. Zero values mean the defaults.
type Options struct {
	// MaxEntries bounds the number of requests.
	MaxEntries int
	// MaxBytes bounds the size of the stored responses.
	MaxBytes int64
}

// Table holds the requests of the current and the previousWindows time windows.
// The zero value is ready to use.
type Table struct {
	options Options

	mu sync.Mutex
	// oldest is the number of the oldest window that is kept.
	oldest  uint64
	windows map[uint64]*window
	entries int
	bytes   int64
	// workspaceEntries counts the entries of each workspace.
	workspaceEntries map[string]int
}

// window holds the requests whose ids were issued in one time window.
type window struct {
	claims map[requestID]*Claim
	// ids counts the claims of each id in all workspaces.
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

// Begin claims a request. The first caller gets first=true, runs the request and
// must end the claim with Finish, Release or Retain. Other callers get the same
// claim and wait for its end.
func (t *Table) Begin(k Key, d Digest, now time.Time) (c *Claim, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if k.window < t.oldest || k.window > WindowAt(now)+maxWindowsAhead {
		return nil, false, merry.Wrap(ErrWindow)
	}
	w := t.windows[k.window]
	if w != nil {
		if c, ok := w.claims[k.requestID()]; ok {
			return t.duplicate(w, k, c, d)
		}
	}
	if t.full(k.workspace) {
		return nil, false, merry.Wrap(ErrFull)
	}
	return t.add(k, d), true, nil
}

// duplicate returns the existing claim c of a request. If the claim was ended by
// Retain, it is replaced by a new one for this caller. t.mu is held.
func (t *Table) duplicate(w *window, k Key, c *Claim, d Digest) (*Claim, bool, error) {
	if c.digest != d {
		return nil, false, merry.Wrap(ErrReused)
	}
	if _, retained := c.outcome.(NotRun); !retained {
		return c, false, nil
	}
	replacement := &Claim{digest: d, done: make(chan struct{}), reclaimed: true}
	w.claims[k.requestID()] = replacement
	return replacement, true, nil
}

// full reports whether the table cannot take another request of a workspace. t.mu
// is held.
func (t *Table) full(workspace string) bool {
	return t.entries >= t.maxEntries() || t.bytes >= t.maxBytes() ||
		t.workspaceEntries[workspace] >= max(1, t.maxEntries()/workspaceDivisor)
}

// add adds a claim for a new request. t.mu is held.
func (t *Table) add(k Key, d Digest) *Claim {
	if t.windows == nil {
		t.windows = map[uint64]*window{}
		t.workspaceEntries = map[string]int{}
	}
	w := t.windows[k.window]
	if w == nil {
		w = &window{claims: map[requestID]*Claim{}, ids: map[string]int{}}
		t.windows[k.window] = w
	}
	c := &Claim{digest: d, done: make(chan struct{})}
	w.claims[k.requestID()] = c
	w.ids[k.id]++
	t.entries++
	t.workspaceEntries[k.workspace]++
	return c
}

func (k Key) requestID() requestID { return requestID{workspace: k.workspace, id: k.id} }

// Seen reports whether a request with an id may have run: the id's window is not
// kept, or a request of any workspace has the id.
func (t *Table) Seen(id string, windowNumber uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if windowNumber < t.oldest || windowNumber > WindowAt(now)+maxWindowsAhead {
		return true
	}
	w := t.windows[windowNumber]
	return w != nil && w.ids[id] > 0
}

// Find returns the key of a request with an id from any window.
func (t *Table) Find(workspace, id string, now time.Time) (Key, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	for number, w := range t.windows {
		if _, ok := w.claims[requestID{workspace: workspace, id: id}]; ok {
			return NewKey(workspace, id, number), true
		}
	}
	return Key{}, false
}

// Finish ends a claim whose request ran or may have run. A Response that does
// not fit into the table is replaced by ResponseNotStored.
func (t *Table) Finish(k Key, c *Claim, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := o.(Response); ok && !t.store(k, c, r) {
		o = ResponseNotStored{}
	}
	c.end(o)
}

// store accounts for a response's memory and reports whether it fits. A response
// whose window was dropped is not counted, since only the callers that already
// wait for it still refer to it. t.mu is held.
func (t *Table) store(k Key, c *Claim, r Response) bool {
	if len(r.body) > MaxResponseBytes {
		return false
	}
	w := t.windows[k.window]
	if w == nil || w.claims[k.requestID()] != c {
		return true
	}
	n := r.size()
	if t.bytes+n > t.maxBytes() {
		return false
	}
	w.bytes += n
	t.bytes += n
	return true
}

// Release ends a claim whose request did not run and removes it. A later request
// with the same id is a first one again.
func (t *Table) Release(k Key, c *Claim, reason error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.windows[k.window]; w != nil && w.claims[k.requestID()] == c {
		delete(w.claims, k.requestID())
		if w.ids[k.id]--; w.ids[k.id] == 0 {
			delete(w.ids, k.id)
		}
		t.removeEntry(k.workspace)
	}
	c.end(NewNotRun(reason))
}

// Retain ends a claim whose request did not run, but keeps its id in the table: a
// later request with the id is a first one, and its claim is Reclaimed.
func (t *Table) Retain(c *Claim, reason error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.end(NewNotRun(reason))
}

// end sets the outcome and wakes the waiting callers.
func (c *Claim) end(o Outcome) {
	c.outcome = o
	close(c.done)
}

// removeEntry reduces the counts by one entry of a workspace. t.mu is held.
func (t *Table) removeEntry(workspace string) {
	t.entries--
	t.workspaceEntries[workspace]--
	if t.workspaceEntries[workspace] == 0 {
		delete(t.workspaceEntries, workspace)
	}
}

// advance drops the windows that are too old. A dropped window is not accepted
// again if the clock is set back. t.mu is held.
func (t *Table) advance(now time.Time) {
	current := WindowAt(now)
	if current < previousWindows {
		return
	}
	t.oldest = max(t.oldest, current-previousWindows)
	for number, w := range t.windows {
		if number >= t.oldest {
			continue
		}
		for id := range w.claims {
			t.removeEntry(id.workspace)
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

// Bytes returns the accounted size of the stored responses.
func (t *Table) Bytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}
