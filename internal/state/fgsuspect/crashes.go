package fgsuspect

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToBlock is the number of crashed upstreams at which a request is
	// blocked. With 2, requests would be blocked that were in flight at two
	// upstreams which failed for other reasons.
	crashesToBlock = 3
	// BlockDuration is how long a request is blocked after its latest crash. The
	// crash of a further upstream blocks it again.
	BlockDuration = 30 * time.Second
	// crashLifetime is how long the crashes of a request are kept after the latest.
	crashLifetime = 2 * time.Minute
	// clearedLifetime is how long crash reports of a request are ignored after it
	// has completed, since outdated reports may still arrive.
	clearedLifetime = 2 * time.Second
	// reportsPerChange is the number of consecutive reports that contain a change,
	// because reports may be lost. Every fullReportInterval-th report contains all
	// entries.
	reportsPerChange   = 3
	fullReportInterval = 10
	// maxRequests bounds the table and thereby the size of reports.
	maxRequests = 64
)

// Crash reports the upstreams that crashed while they ran a request.
type Crash struct {
	// Request is a hash of the request; Upstreams are hashes of their addresses.
	Request   uint64
	Upstreams []uint32
	// Cleared means that the request has completed since.
	Cleared bool
}

// Crashes detects requests that crash every upstream that runs them, from the
// crashes that all VMs report. The zero value is ready to use.
type Crashes struct {
	// size is the number of entries. It lets Empty avoid the lock, as the table is
	// almost always empty.
	size atomic.Int64

	mu          sync.Mutex
	entries     map[uint64]*requestCrashes
	reportCount int
}

// requestCrashes holds the upstreams that one request has crashed.
type requestCrashes struct {
	upstreams map[uint32]struct{}
	// lastChange is when the latest crashed upstream was added or the request
	// completed.
	lastChange time.Time
	// cleared is when the request completed. It is zero after a later crash.
	cleared time.Time
	// pendingReports is the number of further reports that must contain the entry.
	pendingReports int
}

// RequestHash returns a hash that is the same for equal requests of a workspace.
// The division of the body into parts does not matter.
func RequestHash(method, uri, workspace string, body ...[]byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, uri, workspace} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	for _, part := range body {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// Empty reports whether no crash of any request is known.
func (c *Crashes) Empty() bool { return c.size.Load() == 0 }

// RecordCrash records that an upstream crashed while it ran a request. It returns
// the number of upstreams that the request has crashed.
func (c *Crashes) RecordCrash(request uint64, address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(request)
	e.add(uint32(xxhash.Sum64String(address)))
	e.pendingReports = reportsPerChange
	return len(e.upstreams)
}

// RecordCompletion records that an upstream completed a request, which clears it.
func (c *Crashes) RecordCompletion(request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[request]; e != nil && e.cleared.IsZero() {
		e.clear()
		e.pendingReports = reportsPerChange
	}
}

// Blocked returns how many upstreams a request has crashed, and reports whether
// it is blocked.
func (c *Crashes) Blocked(request uint64) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[request]
	if e == nil {
		return 0, false
	}
	n := len(e.upstreams)
	return n, n >= crashesToBlock && time.Since(e.lastChange) < BlockDuration
}

// Report returns the entries to send to the other VMs in the next report.
func (c *Crashes) Report() []Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep()
	c.reportCount++
	var all []Crash
	for request, e := range c.entries {
		if e.pendingReports == 0 && c.reportCount%fullReportInterval != 0 {
			continue
		}
		e.pendingReports = max(0, e.pendingReports-1)
		all = append(all, Crash{Request: request, Upstreams: slices.Sorted(maps.Keys(e.upstreams)), Cleared: !e.cleared.IsZero()})
	}
	return all
}

// ApplyReport applies a report of another VM.
func (c *Crashes) ApplyReport(crashes []Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range crashes {
		if crash.Cleared {
			if e := c.entries[crash.Request]; e != nil && e.cleared.IsZero() {
				e.clear()
			}
			continue
		}
		e := c.entry(crash.Request)
		if time.Since(e.cleared) < clearedLifetime {
			continue
		}
		for _, u := range crash.Upstreams {
			e.add(u)
		}
	}
}

// entry returns the entry of a request and creates it if necessary. c.mu is held.
func (c *Crashes) entry(request uint64) *requestCrashes {
	if c.entries == nil {
		c.entries = map[uint64]*requestCrashes{}
	}
	e := c.entries[request]
	if e == nil {
		if len(c.entries) >= maxRequests {
			c.evictOldest()
		}
		e = &requestCrashes{upstreams: map[uint32]struct{}{}, lastChange: time.Now()}
		c.entries[request] = e
		c.size.Store(int64(len(c.entries)))
	}
	return e
}

// add records that the request crashed an upstream. An upstream that is already
// recorded changes nothing.
func (e *requestCrashes) add(upstream uint32) {
	if _, ok := e.upstreams[upstream]; ok {
		return
	}
	e.upstreams[upstream] = struct{}{}
	e.lastChange, e.cleared = time.Now(), time.Time{}
}

// clear forgets the crashed upstreams because the request has completed.
func (e *requestCrashes) clear() {
	clear(e.upstreams)
	e.lastChange, e.cleared = time.Now(), time.Now()
}

// sweep deletes expired entries. c.mu is held.
func (c *Crashes) sweep() {
	for request, e := range c.entries {
		age := time.Since(e.lastChange)
		if age > crashLifetime || !e.cleared.IsZero() && age > clearedLifetime {
			delete(c.entries, request)
		}
	}
	c.size.Store(int64(len(c.entries)))
}

// evictOldest deletes the entry that has not changed for the longest time. c.mu is
// held.
func (c *Crashes) evictOldest() {
	var oldest uint64
	var oldestChange time.Time
	for request, e := range c.entries {
		if oldestChange.IsZero() || e.lastChange.Before(oldestChange) {
			oldest, oldestChange = request, e.lastChange
		}
	}
	delete(c.entries, oldest)
}
