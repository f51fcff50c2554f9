package fgstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Behavior selects how an Upstream serves requests. The zero value responds at
// once and has no limits.
type Behavior struct {
	// Slots is the maximum number of concurrent requests; more are refused. Zero
	// means no limit.
	Slots int `json:"slots"`
	// ServiceMillis is the time that a request takes, in milliseconds.
	ServiceMillis int64 `json:"serviceMillis"`
	// ColdRequests is the number of further requests that take ten times
	// ServiceMillis.
	ColdRequests int `json:"coldRequests"`
	// Draining refuses new requests.
	Draining bool `json:"draining"`
	// Silent accepts requests and does not respond until it is unset.
	Silent bool `json:"silent"`
	// AnswerBytes is the number of zero bytes appended to each response.
	AnswerBytes int `json:"answerBytes"`
	// CutAnswers closes the connection in the middle of each response.
	CutAnswers bool `json:"cutAnswers"`
	// CutChunked makes the truncated responses chunked. Otherwise they are shorter
	// than their Content-Length.
	CutChunked bool `json:"cutChunked"`
	// CrashPath is a path whose requests crash the upstream after it has read
	// them. Empty means none.
	CrashPath string `json:"crashPath"`
}

// Observed is a request that an upstream has started to run.
type Observed struct {
	Method    string      `json:"method"`
	Path      string      `json:"path"`
	Query     string      `json:"query"`
	Header    http.Header `json:"header"`
	Body      string      `json:"body"`
	Workspace string      `json:"workspace"`
}

const (
	// HeaderNotRun in a response states that the refused request did not run.
	HeaderNotRun = "Request-Not-Run"
	// HeaderSendID is copied from a request to its response.
	HeaderSendID = "Filbertgap-Send-Id"

	// HeaderRequestID carries the id of a non-idempotent request.
	HeaderRequestID = "Filbertgap-Request-Id"

	// missingBytes is how much shorter a truncated response is than its
	// Content-Length.
	missingBytes = 100
	// coldFactor is how many times as long a cold request takes.
	coldFactor = 10
	// maxObservedBytes bounds how much of a request body is read and kept.
	maxObservedBytes = 64 << 10
)

// Upstream is a stand-in HTTP server. The zero value is ready to use.
type Upstream struct {
	mu      sync.Mutex
	onCrash func()
	onShed  func()
	// changed is closed when the behavior changes or a request starts to run.
	changed    chan struct{}
	behavior   Behavior
	observed   []Observed
	running    int
	maxRunning int
	shed       int
}

// SetBehavior replaces the behavior.
func (u *Upstream) SetBehavior(b Behavior) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behavior = b
	u.notify()
}

// OnCrash sets a function that is called when a request crashes the server. It
// must close the listener and the connections of the server, or end the process.
func (u *Upstream) OnCrash(crash func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onCrash = crash
}

// OnShed sets a function that is called for each refused request, before the
// response.
func (u *Upstream) OnShed(shed func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onShed = shed
}

// AwaitRequests waits until at least n requests have started to run.
func (u *Upstream) AwaitRequests(ctx context.Context, n int) error {
	for {
		u.mu.Lock()
		enough, changed := len(u.observed) >= n, u.changeChan()
		u.mu.Unlock()
		if enough {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// CountRuns returns how many times the request with an id has started to run.
func (u *Upstream) CountRuns(id string) int {
	n := 0
	for _, o := range u.Observed() {
		if o.Header.Get(HeaderRequestID) == id {
			n++
		}
	}
	return n
}

// changeChan returns a channel that is closed at the next change. The caller holds
// mu.
func (u *Upstream) changeChan() <-chan struct{} {
	if u.changed == nil {
		u.changed = make(chan struct{})
	}
	return u.changed
}

func (u *Upstream) notify() {
	if u.changed != nil {
		close(u.changed)
		u.changed = nil
	}
}

// Observed returns the requests that have started to run, oldest first.
func (u *Upstream) Observed() []Observed {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Observed(nil), u.observed...)
}

// MaxConcurrent returns the largest number of requests that have run concurrently.
func (u *Upstream) MaxConcurrent() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
}

// Shed returns the number of refused requests.
func (u *Upstream) Shed() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.shed
}

// ServeHTTP runs a request or refuses it. Requests under /control/ set the
// behavior and return the observed requests.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/control/behavior":
		u.handleBehavior(w, r)
	case "/control/observed":
		_ = json.NewEncoder(w).Encode(u.Observed())
	default:
		u.handleRequest(w, r)
	}
}

func (u *Upstream) handleBehavior(w http.ResponseWriter, r *http.Request) {
	var b Behavior
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetBehavior(b)
}

func (u *Upstream) handleRequest(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(HeaderSendID); id != "" {
		w.Header().Set(HeaderSendID, id)
	}
	b, ok := u.acquireSlot()
	if !ok {
		if onShed := u.shedHook(); onShed != nil {
			onShed()
		}
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
		return
	}
	defer u.releaseSlot()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObservedBytes))
	if err != nil {
		http.Error(w, "truncated request", http.StatusBadRequest)
		return
	}
	u.record(r, body)
	if b.CrashPath != "" && r.URL.Path == b.CrashPath {
		u.simulateCrash()
	}
	if !u.waitServiceTime(r, b) {
		return
	}
	if b.CutAnswers {
		if !b.CutChunked {
			w.Header().Set("Content-Length", strconv.Itoa(b.AnswerBytes+missingBytes))
		}
		_, _ = w.Write(make([]byte, b.AnswerBytes))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %s workspace=%s\n", r.Method, r.URL.Path, r.Header.Get("Filbertgap-Workspace"))
	if b.AnswerBytes > 0 {
		_, _ = w.Write(make([]byte, b.AnswerBytes))
	}
}

func (u *Upstream) shedHook() func() {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.onShed
}

// acquireSlot returns the behavior for a request and takes a slot. It reports false
// if the request is refused.
func (u *Upstream) acquireSlot() (Behavior, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := u.behavior
	if b.Draining || b.Slots > 0 && u.running >= b.Slots {
		u.shed++
		return b, false
	}
	if u.behavior.ColdRequests > 0 {
		u.behavior.ColdRequests--
		b.ServiceMillis *= coldFactor
	}
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	return b, true
}

func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *Upstream) record(r *http.Request, body []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observed = append(u.observed, Observed{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header.Clone(),
		Body: string(body), Workspace: r.Header.Get("Filbertgap-Workspace"),
	})
	u.notify()
}

// simulateCrash calls the OnCrash function and closes the connection without a
// response.
func (u *Upstream) simulateCrash() {
	u.mu.Lock()
	crash := u.onCrash
	u.mu.Unlock()
	if crash != nil {
		crash()
	}
	panic(http.ErrAbortHandler)
}

// waitServiceTime waits while the upstream is silent, and then for the service
// time. It reports false if the request was cancelled.
func (u *Upstream) waitServiceTime(r *http.Request, b Behavior) bool {
	for b.Silent {
		u.mu.Lock()
		b = u.behavior
		changed := u.changeChan()
		u.mu.Unlock()
		if !b.Silent {
			break
		}
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
		}
	}
	t := time.NewTimer(time.Duration(b.ServiceMillis) * time.Millisecond)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-t.C:
		return true
	}
}
