package fgplacement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
)

// instant is a monotonic time since the placer's epoch, in nanoseconds.
type instant int64

func (i instant) add(d time.Duration) instant { return i + instant(d) }

const (
	// slowStartTime is how long the limit of a cold upstream rises.
	slowStartTime = 10 * time.Second
	// slowStartMinimum is the fraction of the limit at which the rise starts,
	// so that a group of cold upstreams is not limited to one request each.
	slowStartMinimum = 0.1
	// idleTime is the time without requests after which an upstream counts as
	// cold.
	idleTime = time.Minute

	// defaultConnections is the connection limit of an upstream that declares
	// none.
	defaultConnections = 330
	// initialLimit is the adaptive limit before the first latency sample.
	initialLimit = 20
	// decreaseFactor multiplies the adaptive limit at a sign of overload.
	decreaseFactor = 0.7
	// decreaseInterval is the minimum time between decreases, so that
	// responses that arrive together count as one sign of overload.
	decreaseInterval = 100 * time.Millisecond
	// overloadRatio is the ratio of average latency to baseline that counts as
	// overload.
	overloadRatio = 2
	// latencyGain is the weight of a new sample in the moving average of
	// latency.
	latencyGain = 0.1
	// baselineRiseGain is the weight in the baseline of a sample slower than
	// the baseline.
	baselineRiseGain = 0.01
	// latencyLifetime is the time without requests after which a measured
	// latency is ignored, so that an upstream avoided for its latency is tried
	// again.
	latencyLifetime = 10 * time.Second
	// peakInterval is the time over which the peak of requests in flight
	// decides whether at least half of the limit is used. Latency lags behind
	// the requests that caused it.
	peakInterval = time.Second
	// maxUnloadedLimit is the limit up to which a higher latency is attributed
	// to the upstream itself rather than to this VM's requests.
	maxUnloadedLimit = 2

	// Backoff of an upstream after the first failure of each kind. It doubles
	// with each further failure, up to maxBackoff.
	unreachedBackoff = 500 * time.Millisecond
	shedBackoff      = time.Second
	drainingBackoff  = 5 * time.Second
	maxBackoff       = 20 * time.Second
	maxDoublings     = 6

	// leavingReportLifetime is how long a peer's report that an upstream is
	// leaving is valid. Peers repeat it every 500 ms.
	leavingReportLifetime = 5 * time.Second
	// leavingShedCount is the number of sheds, with no request run in between,
	// after which an upstream counts as leaving. A single shed may come from an
	// upstream at its capacity.
	leavingShedCount = 2

	// isolatedWeight is what an isolated request adds to the requests in
	// flight. It exceeds every limit.
	isolatedWeight = 1 << 32
)

// upstream is the state of one upstream as this VM sees it. It is kept
// across view changes.
type upstream struct {
	config atomic.Pointer[fgconfig.Upstream]
	group  *group

	inFlight atomic.Int64
	// maxInFlight bounds the limit: this VM's slots, or its share of the
	// connections.
	maxInFlight atomic.Int64
	// adaptiveLimit is the latency-based limit, as the bits of a float64.
	adaptiveLimit atomic.Uint64
	// averageLatency is the moving average in nanoseconds, as the bits of a
	// float64.
	averageLatency atomic.Uint64
	// coldSince is when the slow start begins. It may be in the future.
	coldSince atomic.Int64
	lastUsed  atomic.Int64
	// backoffUntil is when the next request may be sent after a failure.
	backoffUntil atomic.Int64
	// failures counts the failures since the upstream last ran a request. A
	// server error is not a failure here, because the request ran.
	failures atomic.Int64
	// leavingUntil is when the peers' reports that the upstream is leaving
	// expire.
	leavingUntil atomic.Int64
	// reserved keeps other requests away until an isolated one has been
	// placed.
	reserved atomic.Bool
	// drained is guarded by the placer's lock.
	drained bool

	// peak is the highest number of requests in flight since peakAt.
	peak atomic.Int64

	mu          sync.Mutex
	peakAt      instant
	lastPeak    int64
	baseline    float64
	decreasedAt instant
	failedAt    instant
	sheds       int
	leaving     bool
}

func newUpstream(c *fgconfig.Upstream, g *group, now instant) *upstream {
	u := &upstream{group: g}
	u.config.Store(c)
	u.coldSince.Store(int64(now))
	u.adaptiveLimit.Store(math.Float64bits(initialLimit))
	return u
}

func (u *upstream) name() string { return u.config.Load().Name() }

func (u *upstream) hasSlots() bool { return u.config.Load().Spec().Slots > 0 }

// isSameServer reports whether a declaration has the same address, region and
// group.
func (u *upstream) isSameServer(c *fgconfig.Upstream) bool {
	old, next := u.config.Load().Spec(), c.Spec()
	return old.Address == next.Address && old.Region == next.Region && old.Group == next.Group
}

// limitAt returns how many requests this VM may have in flight now.
func (u *upstream) limitAt(now instant) int64 {
	if int64(now) < u.backoffUntil.Load() || int64(now) < u.leavingUntil.Load() {
		return 0
	}
	maxInFlight := u.maxInFlight.Load()
	if u.failures.Load() > 0 {
		return min(maxInFlight, 1)
	}
	limit := float64(maxInFlight)
	if !u.hasSlots() {
		limit = min(limit, math.Float64frombits(u.adaptiveLimit.Load()))
	}
	elapsed := int64(now) - u.coldSince.Load()
	if elapsed < int64(slowStartTime) {
		fraction := max(slowStartMinimum, float64(elapsed)/float64(slowStartTime))
		limit = min(limit, max(1, limit*fraction))
	}
	return int64(limit)
}

// take counts a request as in flight if the limit allows it.
func (u *upstream) take(now instant, isolated bool) bool {
	limit := u.limitAt(now)
	if limit <= 0 {
		return false
	}
	if isolated {
		return u.inFlight.CompareAndSwap(0, isolatedWeight)
	}
	if u.reserved.Load() {
		return false
	}
	for {
		n := u.inFlight.Load()
		if n >= limit {
			return false
		}
		if u.inFlight.CompareAndSwap(n, n+1) {
			u.recordUse(now, n)
			if n >= u.peak.Load() {
				u.peak.Store(n + 1)
			}
			return true
		}
	}
}

// recordUse starts a slow start if the upstream is new or was idle.
func (u *upstream) recordUse(now instant, inFlight int64) {
	last := u.lastUsed.Load()
	if inFlight == 0 && int64(now)-last > int64(idleTime) {
		u.coldSince.Store(int64(now))
	}
	if int64(now)-last > int64(time.Second) {
		u.lastUsed.Store(int64(now))
	}
}

// cost returns the factors by which upstreams are compared: used fraction of
// the limit, and latency or 0 if it is unknown.
func (u *upstream) cost(now instant) (usage, latency float64) {
	limit := u.limitAt(now)
	if limit <= 0 {
		return math.Inf(1), 0
	}
	usage = float64(u.inFlight.Load()+1) / float64(limit)
	if int64(now)-u.lastUsed.Load() > int64(latencyLifetime) {
		return usage, 0
	}
	return usage, math.Float64frombits(u.averageLatency.Load())
}

// orderByCost returns the upstream of lower cost first. The cost is usage
// times latency, or usage alone unless both latencies are known.
func orderByCost(a, b *upstream, now instant) (*upstream, *upstream) {
	usageA, latencyA := a.cost(now)
	usageB, latencyB := b.cost(now)
	if latencyA > 0 && latencyB > 0 {
		usageA *= latencyA
		usageB *= latencyB
	}
	if usageB < usageA {
		return b, a
	}
	return a, b
}

// recordResult updates the upstream's state after a request. It returns the
// length of the backoff that the result started, or 0.
func (u *upstream) recordResult(r Result, started, now instant) (backoff time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch r {
	case Answered:
		u.recover(started, now)
		u.recordLatency(now, float64(now-started))
	case Failed:
		u.recover(started, now)
	case Shed:
		u.decreaseLimit(now)
		backoff = u.backOff(shedBackoff, now)
		if backoff > 0 {
			u.sheds++
		}
		u.leaving = u.leaving || u.sheds >= leavingShedCount
	case Draining:
		u.leaving = true
		backoff = u.backOff(drainingBackoff, now)
	case Unreached:
		backoff = u.backOff(unreachedBackoff, now)
	case OutcomeUnknown:
		u.decreaseLimit(now)
	case Cancelled:
	default:
	}
	return backoff
}

// recover ends a series of failures and marks the upstream as cold. Requests
// that were sent before the last failure do not end it, because a leaving
// upstream still responds to them.
func (u *upstream) recover(started, now instant) {
	if u.failures.Load() == 0 || started <= u.failedAt {
		return
	}
	u.sheds = 0
	u.leaving = false
	u.failures.Store(0)
	u.coldSince.Store(int64(now))
}

// backOff starts a backoff and returns its length. It returns 0 during a
// backoff, so that requests that were in flight together at a failure count
// once.
func (u *upstream) backOff(base time.Duration, now instant) time.Duration {
	u.failedAt = now
	if int64(now) < u.backoffUntil.Load() {
		return 0
	}
	n := min(u.failures.Add(1)-1, maxDoublings)
	d := min(base<<n, maxBackoff)
	u.backoffUntil.Store(int64(now.add(d)))
	u.coldSince.Store(int64(now.add(d)))
	return d
}

// recordLatency updates the average latency and the adaptive limit.
func (u *upstream) recordLatency(now instant, sample float64) {
	average := math.Float64frombits(u.averageLatency.Load())
	if average == 0 {
		average, u.baseline = sample, sample
	}
	average += latencyGain * (sample - average)
	u.averageLatency.Store(math.Float64bits(average))
	limit := math.Float64frombits(u.adaptiveLimit.Load())
	halfUsed := 2*float64(u.recentPeak(now)) >= limit
	u.updateBaseline(sample, halfUsed && limit > maxUnloadedLimit)
	switch {
	case average > overloadRatio*u.baseline:
		u.decreaseLimit(now)
	case halfUsed:
		// Adds about one per round trip.
		u.adaptiveLimit.Store(math.Float64bits(min(limit+1/limit, max(1, float64(u.maxInFlight.Load())))))
	}
}

// recentPeak returns the peak of requests in flight over the last one to two
// peak intervals.
func (u *upstream) recentPeak(now instant) int64 {
	if now >= u.peakAt.add(peakInterval) {
		u.peakAt = now
		u.lastPeak = u.peak.Swap(u.inFlight.Load())
	}
	return max(u.lastPeak, u.peak.Load())
}

// updateBaseline follows faster samples quickly. Slower samples count only if
// this VM's requests do not load the upstream: under load the requests may
// have caused them, and a baseline that followed them would let the limit and
// the latency drift up.
func (u *upstream) updateBaseline(sample float64, underLoad bool) {
	switch {
	case sample < u.baseline:
		u.baseline += latencyGain * (sample - u.baseline)
	case !underLoad:
		u.baseline += baselineRiseGain * (sample - u.baseline)
	}
}

func (u *upstream) decreaseLimit(now instant) {
	if now < u.decreasedAt.add(decreaseInterval) {
		return
	}
	u.decreasedAt = now
	limit := math.Float64frombits(u.adaptiveLimit.Load())
	u.adaptiveLimit.Store(math.Float64bits(max(1, limit*decreaseFactor)))
}

// applyLeavingReport keeps requests away while peers report the upstream as
// leaving. When the reports expire, a single request probes whether it is
// back.
func (u *upstream) applyLeavingReport(now instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	until := now.add(leavingReportLifetime)
	u.leavingUntil.Store(int64(until))
	u.coldSince.Store(int64(until))
	u.failures.CompareAndSwap(0, 1)
	u.failedAt = now
}

// isLeaving reports whether this VM itself found the upstream to be leaving.
// The finding expires with the backoff, because without requests nothing
// would disprove it.
func (u *upstream) isLeaving(now instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving && int64(now) < u.backoffUntil.Load()
}

// chooseUpstream takes capacity of the cheaper of two random upstreams, or
// else of any other that has some.
func (p *Placer) chooseUpstream(g *groupView, r *Request, now instant) (Target, bool) {
	list := *g.state.candidates.Load()
	n := len(list)
	if n == 0 {
		return Target{}, false
	}
	i := p.options.Random(n)
	j := i
	if n > 1 {
		j = (i + 1 + p.options.Random(n-1)) % n
	}
	first, second := orderByCost(list[i], list[j], now)
	if t, ok := p.takeUpstream(first, r, now); ok {
		return t, true
	}
	if t, ok := p.takeUpstream(second, r, now); ok {
		return t, true
	}
	for k := 1; k < n; k++ {
		if t, ok := p.takeUpstream(list[(i+k)%n], r, now); ok {
			return t, true
		}
	}
	return Target{}, false
}

func (p *Placer) takeUpstream(u *upstream, r *Request, now instant) (Target, bool) {
	if len(r.Exclude) > 0 && r.Exclude[u.name()] || !u.take(now, r.Isolated) {
		return Target{}, false
	}
	t := Target{placer: p, upstream: u, started: now, weight: 1}
	if r.Isolated {
		t.weight = isolatedWeight
	}
	if !u.hasSlots() {
		return t, true
	}
	release, ok := p.options.Permits.Acquire(u.config.Load())
	if !ok {
		u.inFlight.Add(-t.weight)
		return Target{}, false
	}
	t.release = release
	return t, true
}
