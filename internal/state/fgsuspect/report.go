package fgsuspect

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reportsPerChange is the number of consecutive reports that contain a change,
	// because reports may be lost. Besides, each fullReportInterval consecutive reports
	// contain all entries, or of a large table maxRepeated in each: 52 of
	// 40 bytes, a tenth of 512, in the states of 300 VMs come to 1 MB/s at each VM.
	reportsPerChange   = 3
	fullReportInterval = 10
	maxRepeated        = 7
	// maxReported bounds the entries of a report. One with three crashes has about 40
	// bytes, and a report must fit into a datagram.
	maxReported = 104
)

// Crash reports the crashes of one request. The zero value of fields that the previous
// version does not send is handled as that version meant it.
type Crash struct {
	// Request is a hash of the request.
	Request uint64
	// Starts and ClearedStarts identify the starts of upstreams that crashed while they
	// ran the request: those that count, and those before the request completed.
	Starts, ClearedStarts []uint32
	// Ages are the times since these crashes, first those of Starts. The previous version
	// sends none.
	Ages []time.Duration
	// Cleared means that no crash counts. The previous version does not identify those
	// that it has cleared.
	Cleared bool
}

// Report returns the entries to send to the other VMs in the next report: changes, those
// of blocked requests first, and a part of all entries in turn.
func (c *Crashes) Report() []Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sweep(now)
	if len(c.entries) == 0 {
		return nil
	}
	var requests, pending []uint64
	for request, e := range c.entries {
		if !now.Before(e.expires()) {
			continue
		}
		requests = append(requests, request)
		if e.pendingReports > 0 {
			pending = append(pending, request)
		}
	}
	if len(requests) == 0 {
		return nil
	}
	slices.SortFunc(pending, func(a, b uint64) int {
		return cmp.Or(-compareBool(c.blocked(a, now), c.blocked(b, now)), cmp.Compare(c.entries[b].pendingReports, c.entries[a].pendingReports), cmp.Compare(a, b))
	})
	repeated := min((len(requests)+fullReportInterval-1)/fullReportInterval, maxRepeated)
	pending = pending[:min(len(pending), maxReported-repeated)]
	all := make([]Crash, 0, min(len(requests), len(pending)+repeated))
	for _, request := range pending {
		e := c.entries[request]
		e.pendingReports--
		all = append(all, e.report(request, now))
	}
	for _, request := range c.inTurn(requests, repeated) {
		if !slices.Contains(pending, request) {
			all = append(all, c.entries[request].report(request, now))
		}
	}
	return all
}

// inTurn returns the next n requests after the cursor and moves it. Each VM begins at
// another one, so that together they report a large table sooner. c.mu is held.
func (c *Crashes) inTurn(requests []uint64, n int) []uint64 {
	if !c.hasCursor {
		c.cursor, c.hasCursor = rand.Uint64(), true
	}
	slices.Sort(requests)
	first, found := slices.BinarySearch(requests, c.cursor)
	if found {
		first++
	}
	turn := make([]uint64, 0, n)
	for i := range n {
		turn = append(turn, requests[(first+i)%len(requests)])
	}
	c.cursor = turn[n-1]
	return turn
}

// blocked reports whether the request of an entry is blocked. c.mu is held.
func (c *Crashes) blocked(request uint64, now time.Time) bool {
	return now.Before(c.entries[request].blockedUntil)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// RepeatReports makes the next reports contain all blocked requests, for a VM that has just
// started and knows none.
func (c *Crashes) RepeatReports() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for request, e := range c.entries {
		if c.blocked(request, now) {
			e.pendingReports = max(e.pendingReports, 1)
		}
	}
}

// ApplyReport applies a report of another VM.
func (c *Crashes) ApplyReport(crashes []Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range crashes {
		known := c.entries[r.Request]
		if r.Cleared && len(r.ClearedStarts) == 0 {
			if known != nil {
				known.clear()
			}
			continue
		}
		reported := r.entry(now, known)
		if len(reported.starts) == 0 || !now.Before(reported.expires()) {
			continue
		}
		if known == nil && len(c.entries) >= maxRequests && reported.evictedBefore(c.entries[c.victim()], now) {
			// What this VM has evicted must not come back and evict others.
			continue
		}
		e := c.entry(r.Request)
		if !now.Before(e.expires()) {
			clear(e.starts)
		}
		for id, k := range reported.starts {
			e.add(id, k)
		}
	}
}

// report returns the report of an entry.
func (e *requestCrashes) report(request uint64, now time.Time) Crash {
	r := Crash{Request: request}
	var ages, clearedAges []time.Duration
	for id, k := range e.starts {
		age := max(0, now.Sub(k.at))
		if k.cleared {
			r.ClearedStarts, clearedAges = append(r.ClearedStarts, id), append(clearedAges, age)
		} else {
			r.Starts, ages = append(r.Starts, id), append(ages, age)
		}
	}
	r.Ages, r.Cleared = append(ages, clearedAges...), len(r.Starts) == 0
	return r
}

// entry returns the crashes of a report. One without an age is taken as new unless it
// belongs to what is known.
func (r Crash) entry(now time.Time, known *requestCrashes) *requestCrashes {
	e := &requestCrashes{starts: map[uint32]crash{}}
	hasAges := len(r.Ages) == len(r.Starts)+len(r.ClearedStarts)
	for i, id := range append(slices.Clone(r.Starts), r.ClearedStarts...) {
		at := now
		if hasAges {
			at = now.Add(-r.Ages[i])
		} else if known != nil {
			if k, ok := known.starts[id]; ok {
				at = k.at
			}
		}
		e.add(id, crash{at: at, cleared: i >= len(r.Starts)})
	}
	return e
}
