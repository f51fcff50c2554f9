package fgsuspect

import (
	"slices"
	"strconv"
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
	// BlockDuration is how long a request is blocked after its third crash. A further
	// crash blocks it again, twice as long each time up to maxBlockDuration: with equal
	// durations a caller that goes on crashes an upstream every 30 s.
	BlockDuration    = 30 * time.Second
	maxBlockDuration = 16 * time.Minute
	// sameIncidentMargin is how long after the crash that began or renewed a block further
	// ones do not double it. A harmless request that is in flight at all upstreams of a zone
	// which fails has a crash at each, found within the time of a probe.
	sameIncidentMargin = 2 * time.Second
	// crashLifetime is how long the crashes of a request are kept after the latest, or
	// after the end of its block.
	crashLifetime = 2 * time.Minute
	// expiredLifetime is how long an expired entry is kept so that reports without ages do
	// not bring it back. A VM of the previous version may learn of the crashes from the
	// last report before that, and reports them for two minutes.
	expiredLifetime = crashLifetime + 10*time.Second
	// sameCrashMargin is how long after a crash of an upstream sends may begin whose loss
	// is attributed to that crash: a kept connection may be used before its end is
	// noticed. An upstream that crashed takes longer than that to start again.
	sameCrashMargin = time.Second
	// maxStarts bounds the crashes that are kept of one request. The latest are kept.
	maxStarts = 16
	// maxStartNumber bounds the numbers of crashes at an address. It is well above
	// maxStarts, so that a number is forgotten long before it is used again.
	maxStartNumber = 4 * maxStarts
	// maxRequests bounds the table. Every request in flight at an upstream that crashes
	// takes an entry of about 0.4 kB, so that 64 entries were too few for the crash of a
	// zone.
	maxRequests = 1024
)

// Crashes detects requests that crash every upstream that runs them, from the
// crashes that all VMs report. The zero value is ready to use.
//
// It counts starts of upstreams, since an upstream may crash again under the same
// address. The n-th crash at an address has the same identifier at each VM that sees it,
// so that the union of what VMs report counts a crash once.
type Crashes struct {
	// size is the number of entries and pending checks. It lets Empty avoid the lock, as
	// the table is almost always empty.
	size atomic.Int64

	mu      sync.Mutex
	entries map[uint64]*requestCrashes
	checks  map[uint64]*pendingChecks
	// cursor is the last request that a report contained because of the regular repetition
	// of all entries.
	cursor    uint64
	hasCursor bool
}

// crash is the crash of one start of an upstream.
type crash struct {
	at time.Time
	// cleared means that the request has completed since.
	cleared bool
}

// requestCrashes holds the crashes of one request by the identifier of the start.
type requestCrashes struct {
	starts map[uint32]crash
	// number is the number of crashes that are not cleared, last is the time of the latest,
	// cleared or not, and blockedUntil is the end of the block, or last if there is none.
	// update sets them, because a full table compares them for each new request.
	number             int
	last, blockedUntil time.Time
	// pendingReports is the number of further reports that must contain the entry.
	pendingReports int
}

// pendingChecks are the checks of one request that have not ended.
type pendingChecks struct{ count, completions int }

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

// startID identifies the n-th counted crash at an address. The first has the hash of the
// address alone, which is what the previous version reports.
func startID(address string, n int) uint32 {
	if n > 1 {
		address += "#" + strconv.Itoa(n)
	}
	return uint32(xxhash.Sum64String(address))
}

// Empty reports whether no crash of any request is known or being checked.
func (c *Crashes) Empty() bool { return c.size.Load() == 0 }

// Check is a check whether an upstream crashed while it ran a request. It must be ended
// by Crashed or Dismiss.
type Check struct {
	crashes     *Crashes
	request     uint64
	address     string
	sent        time.Time
	completions int
}

// BeginCheck begins a check after a connection broke. The send on it began at a time.
func (c *Crashes) BeginCheck(request uint64, address string, sent time.Time) *Check {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checks == nil {
		c.checks = map[uint64]*pendingChecks{}
	}
	p := c.checks[request]
	if p == nil {
		p = &pendingChecks{}
		c.checks[request] = p
	}
	p.count++
	c.updateSize()
	return &Check{crashes: c, request: request, address: address, sent: sent, completions: p.completions}
}

// end ends the check and reports whether the request has completed meanwhile. c.mu is held.
func (k *Check) end() (completed bool) {
	p := k.crashes.checks[k.request]
	if p.count--; p.count == 0 {
		delete(k.crashes.checks, k.request)
	}
	k.crashes.updateSize()
	return p.completions > k.completions
}

// Dismiss ends the check because the upstream did not crash.
func (k *Check) Dismiss() {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	k.end()
}

// Crashed ends the check because the upstream crashed. It returns the number of crashes
// that count against the request. One that completed during the check is cleared.
func (k *Check) Crashed() int {
	c := k.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	completed := k.end()
	e := c.entry(k.request)
	e.record(k.address, k.sent, completed)
	e.pendingReports = reportsPerChange
	return e.count(time.Now())
}

// RecordCompletion records that an upstream completed a request, which clears it.
func (c *Crashes) RecordCompletion(request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.checks[request]; p != nil {
		p.completions++
	}
	if e := c.entries[request]; e != nil && e.count(time.Now()) > 0 {
		e.clear()
		e.pendingReports = reportsPerChange
	}
}

// Blocked returns how many upstreams a request has crashed, and reports whether
// it is blocked.
func (c *Crashes) Blocked(request uint64) (int, bool) {
	n, remaining := c.BlockRemaining(request)
	return n, remaining > 0
}

// BlockRemaining returns how many upstreams a request has crashed, and how long it
// remains blocked. Zero means that it is not blocked.
func (c *Crashes) BlockRemaining(request uint64) (int, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[request]
	if e == nil {
		return 0, 0
	}
	now := time.Now()
	return e.count(now), max(0, e.blockedUntil.Sub(now))
}

// entry returns the entry of a request and creates it if necessary. c.mu is held.
func (c *Crashes) entry(request uint64) *requestCrashes {
	if c.entries == nil {
		c.entries = map[uint64]*requestCrashes{}
	}
	e := c.entries[request]
	if e == nil {
		if len(c.entries) >= maxRequests {
			delete(c.entries, c.victim())
		}
		e = &requestCrashes{starts: map[uint32]crash{}}
		c.entries[request] = e
		c.updateSize()
	}
	return e
}

// updateSize sets size. c.mu is held.
func (c *Crashes) updateSize() { c.size.Store(int64(len(c.entries) + len(c.checks))) }

// sweep deletes expired entries. c.mu is held.
func (c *Crashes) sweep(now time.Time) {
	for request, e := range c.entries {
		if now.Sub(e.expires()) >= expiredLifetime {
			delete(c.entries, request)
		}
	}
	c.updateSize()
}

// victim returns the request whose entry is the first to be evicted. c.mu is held.
func (c *Crashes) victim() uint64 {
	now := time.Now()
	var first uint64
	var firstEntry *requestCrashes
	for request, e := range c.entries {
		if firstEntry == nil || e.evictedBefore(firstEntry, now) {
			first, firstEntry = request, e
		}
	}
	return first
}

// evictedBefore orders entries for eviction: unblocked ones by their latest crash, and then
// blocked ones by the end of the block.
func (e *requestCrashes) evictedBefore(o *requestCrashes, now time.Time) bool {
	end, otherEnd := e.blockedUntil, o.blockedUntil
	blocked, otherBlocked := now.Before(end), now.Before(otherEnd)
	switch {
	case blocked != otherBlocked:
		return otherBlocked
	case blocked:
		return end.Before(otherEnd)
	default:
		return e.last.Before(o.last)
	}
}

// record records a crash at an address that a send which began at a time has seen. If the
// send began before the latest crash there, it has seen that one.
func (e *requestCrashes) record(address string, sent time.Time, cleared bool) {
	now := time.Now()
	if !now.Before(e.expires()) {
		clear(e.starts)
	}
	// last and id are the latest known crash at the address. Its number isn't the highest
	// after maxStartNumber, when the numbers begin again.
	last, id := 0, uint32(0)
	for n := 1; n <= maxStartNumber; n++ {
		i := startID(address, n)
		if c, ok := e.starts[i]; ok && (last == 0 || c.at.After(e.starts[id].at)) {
			last, id = n, i
		}
	}
	if last == 0 || sent.Sub(e.starts[id].at) > sameCrashMargin {
		e.add(startID(address, last%maxStartNumber+1), crash{at: now, cleared: cleared})
		return
	}
	if cleared {
		e.add(id, crash{at: e.starts[id].at, cleared: true})
	}
}

// add adds a crash, or merges it with what is known of it. VMs learn of a crash at
// different times, of which the earliest counts: otherwise each report would extend the
// block by its delay. It drops the oldest crash above maxStarts.
func (e *requestCrashes) add(id uint32, c crash) {
	if known, ok := e.starts[id]; ok {
		if known.at.Before(c.at) {
			c.at = known.at
		}
		c.cleared = c.cleared || known.cleared
		e.starts[id] = c
		e.update()
		return
	}
	if len(e.starts) >= maxStarts {
		oldest, at := uint32(0), c.at
		for known, k := range e.starts {
			if k.at.Before(at) {
				oldest, at = known, k.at
			}
		}
		if at.Equal(c.at) {
			return
		}
		delete(e.starts, oldest)
	}
	e.starts[id] = c
	e.update()
}

// clear clears the request of all known crashes because it has completed.
func (e *requestCrashes) clear() {
	for id, c := range e.starts {
		c.cleared = true
		e.starts[id] = c
	}
	e.update()
}

// count returns the number of crashes that count at a time.
func (e *requestCrashes) count(now time.Time) int {
	if !now.Before(e.expires()) {
		return 0
	}
	return e.number
}

// update sets what follows from starts.
func (e *requestCrashes) update() {
	times := make([]time.Time, 0, maxStarts)
	e.last = time.Time{}
	for _, c := range e.starts {
		if !c.cleared {
			times = append(times, c.at)
		}
		if c.at.After(e.last) {
			e.last = c.at
		}
	}
	e.number, e.blockedUntil = len(times), e.last
	if e.number >= crashesToBlock {
		slices.SortFunc(times, time.Time.Compare)
		e.blockedUntil = times[e.number-1].Add(min(BlockDuration<<renewals(times), maxBlockDuration))
	}
}

// renewals returns how often a crash that belongs to a later incident has renewed the block,
// from the times of the crashes in order.
func renewals(times []time.Time) int {
	n, incident := 0, times[crashesToBlock-1]
	for _, at := range times[crashesToBlock:] {
		if at.Sub(incident) > sameIncidentMargin {
			n, incident = n+1, at
		}
	}
	return n
}

// expires returns the time after which the crashes no longer count.
func (e *requestCrashes) expires() time.Time { return e.blockedUntil.Add(crashLifetime) }
