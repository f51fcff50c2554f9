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
	// crashesToConvict is how many upstreams a request may crash. Fewer would
	// convict requests that were at two upstreams which failed for other reasons.
	crashesToConvict = 3
	// ConvictionLifetime is how long a convicted request is refused. Its next crash
	// convicts it again.
	ConvictionLifetime = 30 * time.Second
	// crashLifetime is how long a crash is remembered.
	crashLifetime = 2 * time.Minute
	// clearedFor is how long reports of crashes are ignored after the request ran
	// to its end, since some are still on the way.
	clearedFor = 2 * time.Second
	// crashReports is in how many reports a change is told, as one may be lost, and
	// crashRepeatEvery the number of reports after which all is told again.
	crashReports     = 3
	crashRepeatEvery = 10
	// maxCrashes bounds the table and with it the reports.
	maxCrashes = 64
)

// Crash tells that upstreams crashed while they ran a request.
type Crash struct {
	// Request is the hash of the request, Upstreams are those of the addresses.
	Request   uint64
	Upstreams []uint32
	// Cleared means that the request has run to its end.
	Cleared bool
}

// Crashes recognises requests that crash each upstream that runs them, from what
// all VMs see. The zero value is ready to use.
type Crashes struct {
	// known is the size of the table, which is empty nearly always.
	known atomic.Int64

	mu      sync.Mutex
	entries map[uint64]*crash
	reports int
}

type crash struct {
	upstreams map[uint32]struct{}
	last      time.Time
	// cleared is when the request ran to its end.
	cleared time.Time
	// untold is in how many more reports the entry is told.
	untold int
}

// RequestHash identifies equal requests of one workspace.
func RequestHash(method, uri, workspace string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, uri, workspace} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Empty reports whether nothing is known against any request.
func (c *Crashes) Empty() bool { return c.known.Load() == 0 }

// Crashed records that an upstream crashed while it ran a request. It returns
// the number of upstreams that did so.
func (c *Crashes) Crashed(request uint64, address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(request)
	e.add(uint32(xxhash.Sum64String(address)))
	e.untold = crashReports
	return len(e.upstreams)
}

// Ran records that an upstream ran a request to its end.
func (c *Crashes) Ran(request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[request]; e != nil && e.cleared.IsZero() {
		e.clear()
		e.untold = crashReports
	}
}

// Convicted reports whether a request is refused, and how many upstreams it
// has crashed.
func (c *Crashes) Convicted(request uint64) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[request]
	if e == nil {
		return 0, false
	}
	n := len(e.upstreams)
	return n, n >= crashesToConvict && time.Since(e.last) < ConvictionLifetime
}

// Report returns what to tell the other VMs.
func (c *Crashes) Report() []Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep()
	c.reports++
	var all []Crash
	for request, e := range c.entries {
		if e.untold == 0 && c.reports%crashRepeatEvery != 0 {
			continue
		}
		e.untold = max(0, e.untold-1)
		all = append(all, Crash{Request: request, Upstreams: slices.Sorted(maps.Keys(e.upstreams)), Cleared: !e.cleared.IsZero()})
	}
	return all
}

// Hear takes in another VM's report.
func (c *Crashes) Hear(all []Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range all {
		if one.Cleared {
			if e := c.entries[one.Request]; e != nil && e.cleared.IsZero() {
				e.clear()
			}
			continue
		}
		e := c.entry(one.Request)
		if time.Since(e.cleared) < clearedFor {
			continue
		}
		for _, u := range one.Upstreams {
			e.add(u)
		}
	}
}

// entry returns the entry of a request. c.mu is held.
func (c *Crashes) entry(request uint64) *crash {
	if c.entries == nil {
		c.entries = map[uint64]*crash{}
	}
	e := c.entries[request]
	if e == nil {
		if len(c.entries) >= maxCrashes {
			c.dropOldest()
		}
		e = &crash{upstreams: map[uint32]struct{}{}, last: time.Now()}
		c.entries[request] = e
		c.known.Store(int64(len(c.entries)))
	}
	return e
}

// add records an upstream. A repeated report changes nothing.
func (e *crash) add(upstream uint32) {
	if _, ok := e.upstreams[upstream]; ok {
		return
	}
	e.upstreams[upstream] = struct{}{}
	e.last, e.cleared = time.Now(), time.Time{}
}

func (e *crash) clear() {
	clear(e.upstreams)
	e.last, e.cleared = time.Now(), time.Now()
}

// sweep forgets what is too old, and lets a convicted request try once more
// after its time.
func (c *Crashes) sweep() {
	for request, e := range c.entries {
		age := time.Since(e.last)
		if age > crashLifetime || !e.cleared.IsZero() && age > clearedFor {
			delete(c.entries, request)
		}
	}
	c.known.Store(int64(len(c.entries)))
}

func (c *Crashes) dropOldest() {
	var oldest uint64
	var at time.Time
	for request, e := range c.entries {
		if at.IsZero() || e.last.Before(at) {
			oldest, at = request, e.last
		}
	}
	delete(c.entries, oldest)
}
