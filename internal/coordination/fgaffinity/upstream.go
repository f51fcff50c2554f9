// Package fgaffinity chooses the upstream of a request so that every VM sends
// the same object to the same upstream without asking, and the overflow to the
// same second choice.
package fgaffinity

import (
	"math"
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
	// loadHalf is the time in which an upstream's own account of its load loses
	// half of its weight. An account must outlast the time between two requests of
	// a VM to the upstream, which is seconds in a large fleet.
	loadHalf = time.Second
	// silentLoad is the load for each slot that an upstream is taken to have when
	// no answer came in time. It says nothing then, and most likely has a queue in
	// which each request waits until its time has run out.
	silentLoad = 8
	// failureWeight is the weight of the newest request in the share of failures.
	failureWeight = 0.1
	// failureShare is the share of failed requests above which an upstream is
	// passed over while another one is free.
	failureShare = 0.3
	// slowAfter is the number of overdue answers in a row that make an upstream
	// slow.
	slowAfter = 3
	// failureForget is how long such an upstream is passed over.
	failureForget = time.Second
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
	// Left means that the caller left.
	Left
	// Silent means that no answer came in time.
	Silent
)

// String returns the result's name in metrics.
func (r Result) String() string {
	names := [...]string{Answered: "answered", Failed: "failed", Shed: "shed", Unreached: "unreached", Lost: "lost", Replaced: "replaced", Left: "left", Silent: "silent"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Upstream is what this VM knows about one upstream. It outlives views.
type Upstream struct {
	hash     uint64
	spec     atomic.Pointer[fgsteer.UpstreamSpec]
	region   atomic.Pointer[regionPressure]
	inFlight atomic.Int64
	// others estimates the requests that other VMs have there.
	others   atomic.Int64
	loadTime atomic.Int64

	// avoidUntil is when the upstream may be chosen again while others are left.
	avoidUntil atomic.Int64
	coldUntil  atomic.Int64

	mu       sync.Mutex
	failures float64
	rest     time.Duration
	// overdue counts answers that were overdue since the last one in time, and
	// slowRest is how long the upstream was left alone for that.
	overdue   int
	slowRest  time.Duration
	coldSends []time.Time
}

// Spec returns what the upstream says about itself.
func (u *Upstream) Spec() *fgsteer.UpstreamSpec { return u.spec.Load() }

// InFlight returns the requests that this VM has at the upstream.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// load estimates the requests at the upstream, from all VMs.
func (u *Upstream) load(now int64) float64 {
	age := float64(now-u.loadTime.Load()) / float64(loadHalf)
	return float64(u.inFlight.Load()) + float64(u.others.Load())*math.Exp2(-age)
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
func (u *Upstream) observe(r Result, now int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fault := 1.0
	switch r {
	case Answered:
		u.rest, fault = 0, 0
	case Left:
		return
	case Silent:
		u.observeLoad(silentLoad*u.Spec().Slots, now)
		return
	case Unreached, Replaced:
		u.unreached(now)
	case Failed, Shed, Lost:
	}
	u.failures += failureWeight * (fault - u.failures)
	if u.failures > failureShare {
		u.avoid(now, failureForget)
	}
}

// unreached leaves the upstream alone for a time that doubles until it answers.
func (u *Upstream) unreached(now int64) {
	u.rest = min(max(restFirst, 2*u.rest), restMost)
	u.avoid(now, u.rest)
}

// Unreachable records that no connection to the upstream can be made, apart from
// any request.
func (b *Balancer) Unreachable(u *Upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unreached(int64(time.Since(b.epoch)))
}

// Overdue records that an answer is overdue. After several in a row the upstream
// is slow: it is left alone for a time that doubles until it answers in time
// again. A single one may be a cold run.
func (b *Balancer) Overdue(u *Upstream) (slow bool) {
	now := int64(time.Since(b.epoch))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.overdue++
	if u.overdue < slowAfter {
		return false
	}
	if !u.avoided(now) {
		u.slowRest = min(max(restFirst, 2*u.slowRest), restMost)
		u.avoid(now, u.slowRest)
	}
	return true
}

// InTime records that the upstream answered within the time of Slow.
func (b *Balancer) InTime(u *Upstream, took time.Duration) {
	u.mu.Lock()
	u.overdue, u.slowRest = 0, 0
	u.mu.Unlock()
	if g := b.state.Load().groups[u.Spec().Group]; g != nil {
		g.usual.add(took)
	}
}

// usualTime averages the time of a group's answers.
type usualTime struct{ nanoseconds atomic.Int64 }

// usualWeight is the part of the newest answer in the average, as a divisor.
const usualWeight = 32

func (t *usualTime) add(took time.Duration) {
	old := t.nanoseconds.Load()
	if old == 0 {
		t.nanoseconds.CompareAndSwap(0, int64(took))
		return
	}
	t.nanoseconds.CompareAndSwap(old, old+(int64(took)-old)/usualWeight)
}

// Usual returns the average time of a group's answers.
func (b *Balancer) Usual(group string) time.Duration {
	if g := b.state.Load().groups[group]; g != nil {
		return time.Duration(g.usual.nanoseconds.Load())
	}
	return 0
}

// avoid keeps requests away from the upstream while others are left.
func (u *Upstream) avoid(now int64, d time.Duration) {
	u.avoidUntil.Store(max(u.avoidUntil.Load(), now+int64(d)))
}

// avoided reports whether the upstream is left alone while others remain.
func (u *Upstream) avoided(now int64) bool { return now < u.avoidUntil.Load() }

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
func (u *Upstream) cold(at time.Time, now int64) bool {
	return at.Before(u.Spec().ColdUntil) || now < u.coldUntil.Load()
}
