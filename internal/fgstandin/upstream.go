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

// Behavior selects how a stand-in upstream serves. The zero value answers at
// once without limits.
type Behavior struct {
	// Slots is the number of requests run at once; further ones are shed. Zero
	// means no limit.
	Slots int `json:"slots"`
	// ServiceMillis is the time that a request takes, in milliseconds.
	ServiceMillis int64 `json:"serviceMillis"`
	// ColdRequests is the number of coming requests that take ten times as long.
	ColdRequests int `json:"coldRequests"`
	// Draining refuses new requests.
	Draining bool `json:"draining"`
	// Silent accepts requests and never answers them.
	Silent bool `json:"silent"`
	// AnswerBytes is the size of an answer's filler.
	AnswerBytes int `json:"answerBytes"`
	// CutAnswers breaks the connection within each answer.
	CutAnswers bool `json:"cutAnswers"`
	// CutChunked makes the cut answers chunked, instead of shorter than the
	// length that they declare.
	CutChunked bool `json:"cutChunked"`
	// CrashPath is a path whose requests crash the upstream after it has read
	// them.
	CrashPath string `json:"crashPath"`
}

// Observed is what an upstream saw of one request.
type Observed struct {
	Method    string      `json:"method"`
	Path      string      `json:"path"`
	Query     string      `json:"query"`
	Header    http.Header `json:"header"`
	Body      string      `json:"body"`
	Workspace string      `json:"workspace"`
}

const (
	// HeaderNotRun vouches that a refused request did not run.
	HeaderNotRun = "Request-Not-Run"

	// HeaderRequestID carries the id of a non-idempotent request.
	HeaderRequestID = "Filbertgap-Request-Id"

	// cutBytes are declared but not sent when an answer is cut.
	cutBytes        = 100
	coldFactor      = 10
	maxObservedBody = 64 << 10
)

// Upstream is a stand-in server. The zero value is ready to use.
type Upstream struct {
	mu       sync.Mutex
	crash    func()
	onShed   func()
	changed  chan struct{}
	behavior Behavior
	observed []Observed
	running  int
	most     int
	shed     int
}

// SetBehavior replaces the behavior in force.
func (u *Upstream) SetBehavior(b Behavior) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behavior = b
	u.notify()
}

// OnCrash sets what ends the server when a request crashes it: it must close
// the server's listener and connections, or end the process.
func (u *Upstream) OnCrash(crash func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crash = crash
}

// OnShed sets what is called after each refused request.
func (u *Upstream) OnShed(shed func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onShed = shed
}

// Await waits until at least n requests ran.
func (u *Upstream) Await(ctx context.Context, n int) error {
	for {
		u.mu.Lock()
		enough, changed := len(u.observed) >= n, u.wait()
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

// Count returns how often a request with an id ran.
func (u *Upstream) Count(id string) int {
	n := 0
	for _, o := range u.Observed() {
		if o.Header.Get(HeaderRequestID) == id {
			n++
		}
	}
	return n
}

func (u *Upstream) wait() <-chan struct{} {
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

// Observed returns the requests that ran, oldest first.
func (u *Upstream) Observed() []Observed {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Observed(nil), u.observed...)
}

// Most returns the largest number of requests that ran at once.
func (u *Upstream) Most() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.most
}

// Shed returns the number of refused requests.
func (u *Upstream) Shed() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.shed
}

// ServeHTTP runs a request or refuses it. Requests under /control/ set the
// behavior and return what was observed.
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
	b, ok := u.begin()
	if !ok {
		if b := u.shedHook(); b != nil {
			b()
		}
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
		return
	}
	defer u.end()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObservedBody))
	if err != nil {
		http.Error(w, "cut request", http.StatusBadRequest)
		return
	}
	u.record(r, body)
	if b.CrashPath != "" && r.URL.Path == b.CrashPath {
		u.fail()
	}
	if !u.serve(r, b) {
		return
	}
	if b.CutAnswers {
		if !b.CutChunked {
			w.Header().Set("Content-Length", strconv.Itoa(b.AnswerBytes+cutBytes))
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

// begin takes a slot.
func (u *Upstream) begin() (Behavior, bool) {
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
	u.most = max(u.most, u.running)
	return b, true
}

func (u *Upstream) end() {
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

// fail ends the server without an answer.
func (u *Upstream) fail() {
	u.mu.Lock()
	crash := u.crash
	u.mu.Unlock()
	if crash != nil {
		crash()
	}
	panic(http.ErrAbortHandler)
}

// serve spends the service time. It reports false when the request was
// cancelled. A silent upstream answers after its behavior has changed.
func (u *Upstream) serve(r *http.Request, b Behavior) bool {
	for b.Silent {
		u.mu.Lock()
		b = u.behavior
		changed := u.wait()
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
