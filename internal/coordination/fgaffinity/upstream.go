// Package fgaffinity chooses the upstream of a request by its affinity key, so that
// all VMs send requests with the same key to the same upstream without coordination,
// and the overflow to the same second one. An upstream runs requests faster if it
// has recently handled their key; its first run of a key is a cold run. A cold
// upstream is one that has not reached its full speed after its start and tolerates
// few requests.
package fgaffinity

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// minBackoff is how long an upstream is avoided after it could not be reached or
	// its responses were overdue. It doubles with each further failure, up to
	// maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// loadHalfLife is the half-life of the load that an upstream reported. A report
	// must outlast the time between two requests of a VM to the upstream, which is
	// seconds in a large fleet.
	loadHalfLife = time.Second
	// silentLoadPerSlot is the load per slot that an upstream is assumed to have when
	// no response arrived in time. Such an upstream reports no load and most likely
	// has a queue in which each request waits until its deadline.
	silentLoadPerSlot = 8
	// failureWeight is the weight of the latest request in the failure rate.
	failureWeight = 0.1
	// maxFailureRate is the fraction of failed requests above which an upstream is
	// avoided while others are available.
	maxFailureRate = 0.3
	// An upstream counts as slow after slowThreshold overdue responses in a row.
	slowThreshold = 3
	// failureBackoff is how long an upstream above maxFailureRate is avoided.
	failureBackoff = time.Second
)

// Result is the result of sending a request to an upstream.
type Result int

// The results of sending a request.
const (
	// Answered means that the upstream ran the request and responded.
	Answered Result = iota
	// Failed means that the upstream responded with a server error.
	Failed
	// Shed means that the upstream refused the request without running it.
	Shed
	// Unreached means that no connection could be established.
	Unreached
	// Lost means that the connection broke, or that the response is truncated or
	// unsigned.
	Lost
	// Replaced means that another program has the upstream's address.
	Replaced
	// Left means that the caller disconnected or the send was abandoned.
	Left
	// Silent means that no response arrived in time.
	Silent
	// Malformed means that the upstream sent bytes that are not a response.
	Malformed
)

// String returns the result's label value in metrics.
func (r Result) String() string {
	names := [...]string{Answered: "answered", Failed: "failed", Shed: "shed", Unreached: "unreached", Lost: "lost", Replaced: "replaced", Left: "left", Silent: "silent", Malformed: "malformed"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Upstream is this VM's state of one upstream. It is kept when the view changes.
type Upstream struct {
	// hash is the hash of the ID.
	hash     uint64
	spec     atomic.Pointer[fgsteer.UpstreamSpec]
	region   atomic.Pointer[regionWeight]
	inFlight atomic.Int64
	// otherLoad is the number of requests of other VMs at the time loadObserved.
	otherLoad    atomic.Int64
	loadObserved atomic.Int64
	// reported is when the load was last reported, and not assumed.
	reported     atomic.Int64
	reportedLoad atomic.Int64
	slowdown     toldSlowdown
	failing      failing
	keys         keyMemory
	// sends is a ring of the times of the latest sends, and sendCount their number.
	sends     [recentSends]atomic.Int64
	sendCount atomic.Uint32

	// avoidUntil is the time until which the upstream is chosen only if no other is
	// available.
	avoidUntil atomic.Int64
	limit      namedLimit
	signals    signals
	coldUntil  atomic.Int64
	// warmSince is when the upstream last responded and was not cold.
	warmSince atomic.Int64
	// instance is the hash of the instanceID.
	instance uint64

	mu          sync.Mutex
	failureRate float64
	backoff     time.Duration
	// overdueCount counts the overdue responses since the last one in time.
	// slowBackoff is how long the upstream was last avoided because of them.
	overdueCount int
	slowBackoff  time.Duration
	coldSends    []time.Time
	own          ownReport
}

// vmHash orders VMs for what cannot be divided equally between them. The order differs
// with each upstream.
func (u *Upstream) vmHash(vm string) uint64 { return fmix64(u.hash ^ xxhash.Sum64String(vm)) }

// Spec returns the specification that the upstream registered.
func (u *Upstream) Spec() *fgsteer.UpstreamSpec { return u.spec.Load() }

// InFlight returns the number of requests in flight from this VM to the upstream.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// load estimates the number of requests of all VMs at the upstream.
func (u *Upstream) load(now int64) float64 {
	return float64(u.inFlight.Load()) + float64(u.otherLoad.Load())*u.freshness(now)
}

// freshness returns the weight of the load that was last reported.
func (u *Upstream) freshness(now int64) float64 {
	return math.Exp2(-float64(now-u.loadObserved.Load()) / float64(loadHalfLife))
}

// unknownLoad returns what the decayed report leaves open, if the upstream is loaded as the
// rest of its region.
func (u *Upstream) unknownLoad(now int64) float64 {
	mean := u.region.Load().mean(now) * float64(u.Spec().Slots)
	return (1 - u.freshness(now)) * max(0, mean-float64(u.inFlight.Load()))
}

// pressed reports whether the upstream's region is loaded, so that cold runs there take the
// capacity of other requests.
func (u *Upstream) pressed(now int64) bool { return u.region.Load().mean(now) > pressedLoad }

// loadPerSlot returns the estimated load divided by the upstream's slots.
func (u *Upstream) loadPerSlot(now int64) float64 { return u.load(now) / float64(u.Spec().Slots) }

// recordResult updates the failure rate and the backoff with the result of a
// request. timed means that the upstream is chosen by expected time.
func (u *Upstream) recordResult(r Result, timed bool, now int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	failure := 1.0
	switch r {
	case Answered:
		u.backoff, failure = 0, 0
	case Left:
		return
	case Silent:
		u.otherLoad.Store(max(0, int64(silentLoadPerSlot*u.Spec().Slots)-u.inFlight.Load()))
		u.loadObserved.Store(now)
		return
	case Unreached, Replaced:
		u.backOff(now)
	case Failed, Shed, Lost, Malformed:
	}
	if timed {
		// A full upstream that refuses a request does not fail.
		if r != Shed || u.reportedLoad.Load() < int64(u.Spec().Slots) {
			u.failing.record(failure > 0, now)
		}
		return
	}
	u.failureRate += failureWeight * (failure - u.failureRate)
	if u.failureRate > maxFailureRate {
		u.avoidFor(now, failureBackoff)
	}
}

// backOff avoids the upstream for a duration that doubles until it responds.
func (u *Upstream) backOff(now int64) {
	u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
	u.avoidFor(now, u.backoff)
}

// RecordUnreachable records that a probe could not open a connection to the
// upstream. Done records the results of requests.
func (b *Balancer) RecordUnreachable(u *Upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.backOff(int64(time.Since(b.epoch)))
}

// ForgetFailures forgets what failures showed about the upstreams, because the VM had lost
// its path to them.
func (b *Balancer) ForgetFailures() {
	for _, g := range b.state.Load().groups {
		for _, u := range g.upstreams {
			u.forgetFailures()
		}
	}
}

func (u *Upstream) forgetFailures() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failing.bits.Store(0)
	u.failureRate, u.backoff, u.overdueCount, u.slowBackoff = 0, 0, 0, 0
	u.avoidUntil.Store(0)
	u.otherLoad.Store(0)
}

// RecordOverdue records that a response is overdue. A single one may be a cold run,
// but after slowThreshold in a row the upstream counts as slow: it is avoided for a
// duration that doubles until it responds in time.
func (b *Balancer) RecordOverdue(u *Upstream) (slow bool) {
	now := int64(time.Since(b.epoch))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.overdueCount++
	if u.overdueCount < slowThreshold {
		return false
	}
	if !u.avoided(now) {
		u.slowBackoff = min(max(minBackoff, 2*u.slowBackoff), maxBackoff)
		u.avoidFor(now, u.slowBackoff)
	}
	return true
}

// RecordInTime records that the upstream responded before the response was overdue.
func (b *Balancer) RecordInTime(u *Upstream, elapsed time.Duration) {
	u.mu.Lock()
	u.overdueCount, u.slowBackoff = 0, 0
	u.mu.Unlock()
	if g := b.state.Load().groups[u.Spec().Group]; g != nil {
		g.meanResponse.add(elapsed)
	}
}

// meanResponseTime is the moving average of a group's response times.
type meanResponseTime struct{ nanoseconds atomic.Int64 }

// responseTimeDivisor is the inverse weight of the latest response in the average.
const responseTimeDivisor = 32

func (t *meanResponseTime) add(elapsed time.Duration) {
	old := t.nanoseconds.Load()
	if old == 0 {
		t.nanoseconds.CompareAndSwap(0, int64(elapsed))
		return
	}
	t.nanoseconds.CompareAndSwap(old, old+(int64(elapsed)-old)/responseTimeDivisor)
}

// MeanResponseTime returns the average response time of a group, or zero if none is
// known.
func (b *Balancer) MeanResponseTime(group string) time.Duration {
	if g := b.state.Load().groups[group]; g != nil {
		return time.Duration(g.meanResponse.nanoseconds.Load())
	}
	return 0
}

// avoidFor marks the upstream as avoided for at least a duration from now on.
func (u *Upstream) avoidFor(now int64, d time.Duration) {
	u.avoidUntil.Store(max(u.avoidUntil.Load(), now+int64(d)))
}

// avoided reports whether the upstream is chosen only if no other is available.
func (u *Upstream) avoided(now int64) bool { return now < u.avoidUntil.Load() }

// reserveColdSend counts a request to a cold upstream, unless this VM has already
// sent limit requests to it within coldWindow.
func (u *Upstream) reserveColdSend(now time.Time, limit int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	recent := u.coldSends[:0]
	for _, t := range u.coldSends {
		if now.Sub(t) < coldWindow {
			recent = append(recent, t)
		}
	}
	u.coldSends = recent
	if len(recent) >= limit {
		return false
	}
	u.coldSends = append(u.coldSends, now)
	return true
}

// Restricted reports whether an upstream should get only requests that need it: it is cold,
// draining, leaving or paused, names a limit, or is avoided after failures.
func (b *Balancer) Restricted(u *Upstream) bool {
	wall := time.Now()
	now := int64(wall.Sub(b.epoch))
	return u.isCold(wall, now) || u.Spec().Draining || u.signals.forbid(now) || u.limit.set.Load() || u.avoided(now)
}

// HasReported reports whether the upstream's load was ever reported.
func (u *Upstream) HasReported() bool { return u.reported.Load() != 0 }

// isCold reports whether the upstream is cold and tolerates few requests only.
func (u *Upstream) isCold(wall time.Time, now int64) bool {
	return wall.Before(u.Spec().ColdUntil) || now < u.coldUntil.Load()
}
