// Package fgaffinity chooses the upstream of a request so that every VM sends
// the same object to the same upstream without asking, and the overflow to the
// same second choice.
package fgaffinity

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// restFirst is how long an upstream is left alone after it could not be
	// reached or broke a connection; it doubles up to restMost.
	restFirst = 500 * time.Millisecond
	restMost  = 4 * time.Second
	// loadFresh is how long an upstream's own account of its load counts.
	loadFresh = time.Second
	// failureWeight is the weight of the newest request in the share of failures.
	failureWeight = 0.1
	// failureShare is the share of failed requests above which an upstream is
	// passed over while another one is free.
	failureShare = 0.3
	// failureForget is how long a share of failures counts without new requests.
	failureForget = 3 * time.Second
)

// Result is how a request ended at an upstream.
type Result int

// The results of a request.
const (
	// Answered means that the upstream ran the request and answered.
	Answered Result = iota
	// Failed means that the upstream answered with a fault of its own.
	Failed
	// Shed means that the upstream vouches that it did not run the request.
	Shed
	// Unreached means that no connection could be made.
	Unreached
	// Lost means that the connection broke or the answer was no answer.
	Lost
	// Replaced means that another program has the upstream's address.
	Replaced
	// Left means that the caller left or its time ran out.
	Left
)

// Upstream is what this VM knows about one upstream. It outlives views.
type Upstream struct {
	hash     uint64
	spec     atomic.Pointer[fgsteer.UpstreamSpec]
	inFlight atomic.Int64
	// others estimates the requests that other VMs have there.
	others   atomic.Int64
	loadTime atomic.Int64

	mu        sync.Mutex
	failures  float64
	failureAt time.Time
	rest      time.Duration
	restUntil time.Time
	latency   float64
	coldSends []time.Time
	coldUntil time.Time
}

// Spec returns what the upstream says about itself.
func (u *Upstream) Spec() *fgsteer.UpstreamSpec { return u.spec.Load() }

// InFlight returns the requests that this VM has at the upstream.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// load estimates the requests at the upstream, from all VMs.
func (u *Upstream) load(now int64) float64 {
	n := float64(u.inFlight.Load())
	if now-u.loadTime.Load() < int64(loadFresh) {
		n += float64(u.others.Load())
	}
	return n
}

// use returns the upstream's estimated load for each of its slots.
func (u *Upstream) use(now int64) float64 { return u.load(now) / float64(u.Spec().Slots) }

// observeLoad takes in the upstream's own account of its load, which counts
// this VM's requests as well.
func (u *Upstream) observeLoad(total int, now int64) {
	u.others.Store(max(0, int64(total)-u.inFlight.Load()))
	u.loadTime.Store(now)
}

// observe takes in how a request ended.
func (u *Upstream) observe(r Result, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fault := 0.0
	switch r {
	case Unreached, Lost, Replaced:
		u.rest = min(max(restFirst, 2*u.rest), restMost)
		if r == Lost {
			// One broken answer says little about an upstream that serves others.
			u.rest = min(u.rest, restFirst)
		}
		if r != Lost || u.failures > failureShare {
			u.restUntil = now.Add(u.rest)
		}
		fault = 1
	case Failed, Shed:
		fault = 1
	case Answered:
		u.rest = 0
	case Left:
		return
	}
	u.failures += failureWeight * (fault - u.failures)
	u.failureAt = now
}

// resting reports whether the upstream is left alone.
func (u *Upstream) resting(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.restUntil)
}

// failing reports whether the upstream fails a large part of its requests.
func (u *Upstream) failing(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failures > failureShare && now.Sub(u.failureAt) < failureForget
}

// Chill records that the upstream says that it is cold.
func (u *Upstream) Chill(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// takeCold spends one of the requests that a cold upstream may get from this
// VM in a second.
func (u *Upstream) takeCold(now time.Time, perSecond int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := u.coldSends[:0]
	for _, t := range u.coldSends {
		if now.Sub(t) < coldWindow {
			kept = append(kept, t)
		}
	}
	u.coldSends = kept
	if len(kept) >= perSecond {
		return false
	}
	u.coldSends = append(u.coldSends, now)
	return true
}

// cold reports whether the upstream tolerates few requests only.
func (u *Upstream) cold(now time.Time) bool {
	if now.Before(u.Spec().ColdUntil) {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.coldUntil)
}
