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
	// slowStartFloor is the part of the limit at which the rise begins, so that
	// a group of cold upstreams is not reduced to one request each.
	slowStartFloor = 0.1
	// idleTime without requests makes an upstream count as cold again.
	idleTime = time.Minute

	// defaultConnections is what an upstream accepts when it declares nothing.
	defaultConnections = 330
	// initialLimit is the adaptive limit of an upstream not yet measured.
	initialLimit = 20
	// decreaseFactor multiplies the adaptive limit at a sign of overload.
	decreaseFactor = 0.7
	// decreaseInterval separates decreases, so that the answers of one moment
	// count as one sign.
	decreaseInterval = 100 * time.Millisecond
	// overloadRatio of latency to baseline is a sign of overload.
	overloadRatio = 2
	// latencyGain weighs a sample in the moving latency average.
	latencyGain = 0.1
	// baselineRise weighs a slower sample in the baseline.
	baselineRise = 0.01
	// latencyLifetime without requests makes a measured latency unknown again, so
	// that an upstream avoided for its latency is tried anew.
	latencyLifetime = 10 * time.Second
	// peakInterval is the time over which the most requests in flight tell
	// whether the limit is pressed. Latency lags the requests that caused it.
	peakInterval = time.Second
	// smallLimit is a limit at which latency is taken for the upstream's own.
	smallLimit = 2

	// Rest times of an upstream after the first failure of each kind. They
	// double with each further failure, up to maxRestTime.
	unreachedRestTime = 500 * time.Millisecond
	shedRestTime      = time.Second
	drainingRestTime  = 5 * time.Second
	maxRestTime       = 20 * time.Second
	maxDoublings      = 6

	// leavingTime is how long a peer's report that an upstream is leaving holds.
	// Peers repeat it every 500 ms.
	leavingTime = 5 * time.Second
	// leavingSheds in a row without an answer make a shedding upstream count as
	// leaving. A single one may come from a full upstream.
	leavingSheds = 2

	// aloneWeight is added to the requests in flight by one that runs alone. It
	// is above every limit.
	aloneWeight = 1 << 32
)

// upstream is the state of one upstream as this VM sees it. It outlives views.
type upstream struct {
	config atomic.Pointer[fgconfig.Upstream]
	group  *group

	inFlight atomic.Int64
	// most bounds the limit: owned slots, or this VM's part of the connections.
	most atomic.Int64
	// limit is the adaptive limit as the bits of a float64.
	limit atomic.Uint64
	// latency is the moving average in nanoseconds, as the bits of a float64.
	latency atomic.Uint64
	// coldSince is when the slow start begins. It may lie ahead.
	coldSince atomic.Int64
	lastUsed  atomic.Int64
	// restUntil is when the next request may be sent after a failure.
	restUntil atomic.Int64
	// failures counts failures since the last answer.
	failures atomic.Int64
	// leavingUntil ends what peers report.
	leavingUntil atomic.Int64
	// clearing keeps requests away until one that must run alone has begun.
	clearing atomic.Bool
	// drained is guarded by the placer's lock.
	drained bool

	// peak is the most requests in flight since peakAt.
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
	u.limit.Store(math.Float64bits(initialLimit))
	return u
}

func (u *upstream) name() string { return u.config.Load().Name() }

func (u *upstream) hasSlots() bool { return u.config.Load().Spec().Slots > 0 }

// is reports whether a declaration means the same server for the same work.
func (u *upstream) is(c *fgconfig.Upstream) bool {
	old, next := u.config.Load().Spec(), c.Spec()
	return old.Address == next.Address && old.Region == next.Region && old.Group == next.Group
}

// limitAt returns how many requests this VM may have in flight.
func (u *upstream) limitAt(now instant) int64 {
	if int64(now) < u.restUntil.Load() || int64(now) < u.leavingUntil.Load() {
		return 0
	}
	most := u.most.Load()
	if u.failures.Load() > 0 {
		return min(most, 1)
	}
	limit := float64(most)
	if !u.hasSlots() {
		limit = min(limit, math.Float64frombits(u.limit.Load()))
	}
	elapsed := int64(now) - u.coldSince.Load()
	if elapsed < int64(slowStartTime) {
		part := max(slowStartFloor, float64(elapsed)/float64(slowStartTime))
		limit = min(limit, max(1, limit*part))
	}
	return int64(limit)
}

// take counts a request in flight if the limit allows it.
func (u *upstream) take(now instant, alone bool) bool {
	limit := u.limitAt(now)
	if limit <= 0 {
		return false
	}
	if alone {
		return u.inFlight.CompareAndSwap(0, aloneWeight)
	}
	if u.clearing.Load() {
		return false
	}
	for {
		n := u.inFlight.Load()
		if n >= limit {
			return false
		}
		if u.inFlight.CompareAndSwap(n, n+1) {
			u.markUsed(now, n)
			if n >= u.peak.Load() {
				u.peak.Store(n + 1)
			}
			return true
		}
	}
}

// markUsed begins a slow start when the upstream is new or has been idle.
func (u *upstream) markUsed(now instant, inFlight int64) {
	last := u.lastUsed.Load()
	if inFlight == 0 && int64(now)-last > int64(idleTime) {
		u.coldSince.Store(int64(now))
	}
	if int64(now)-last > int64(time.Second) {
		u.lastUsed.Store(int64(now))
	}
}

// cost orders upstreams: use of the limit, times latency where both are known.
func (u *upstream) cost(now instant) (use, latency float64) {
	limit := u.limitAt(now)
	if limit <= 0 {
		return math.Inf(1), 0
	}
	use = float64(u.inFlight.Load()+1) / float64(limit)
	if int64(now)-u.lastUsed.Load() > int64(latencyLifetime) {
		return use, 0
	}
	return use, math.Float64frombits(u.latency.Load())
}

// cheaper returns the upstream of lower cost first.
func cheaper(a, b *upstream, now instant) (*upstream, *upstream) {
	useA, latencyA := a.cost(now)
	useB, latencyB := b.cost(now)
	if latencyA > 0 && latencyB > 0 {
		useA *= latencyA
		useB *= latencyB
	}
	if useB < useA {
		return b, a
	}
	return a, b
}

// record learns from the end of a request. It returns how long the upstream
// rests, when this begins a rest.
func (u *upstream) record(r Result, started, now instant) (rest time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch r {
	case Answered:
		u.recover(started, now)
		u.measure(now, float64(now-started))
	case Failed:
		u.recover(started, now)
	case Shed:
		u.decrease(now)
		rest = u.restFor(shedRestTime, now)
		if rest > 0 {
			u.sheds++
		}
		u.leaving = u.leaving || u.sheds >= leavingSheds
	case Draining:
		u.leaving = true
		rest = u.restFor(drainingRestTime, now)
	case Unreached:
		rest = u.restFor(unreachedRestTime, now)
	case Lost:
		u.decrease(now)
	case Cancelled:
	default:
	}
	return rest
}

// recover ends a series of failures. Requests that were sent before the last
// failure prove nothing: a leaving upstream still answers them. The upstream
// counts as cold.
func (u *upstream) recover(started, now instant) {
	if u.failures.Load() == 0 || started <= u.failedAt {
		return
	}
	u.sheds = 0
	u.leaving = false
	u.failures.Store(0)
	u.coldSince.Store(int64(now))
}

// restFor keeps requests away. Requests that were in flight together at the
// failure count once.
func (u *upstream) restFor(base time.Duration, now instant) time.Duration {
	u.failedAt = now
	if int64(now) < u.restUntil.Load() {
		return 0
	}
	n := min(u.failures.Add(1)-1, maxDoublings)
	d := min(base<<n, maxRestTime)
	u.restUntil.Store(int64(now.add(d)))
	u.coldSince.Store(int64(now.add(d)))
	return d
}

// measure moves the latency average and the adaptive limit.
func (u *upstream) measure(now instant, sample float64) {
	average := math.Float64frombits(u.latency.Load())
	if average == 0 {
		average, u.baseline = sample, sample
	}
	average += latencyGain * (sample - average)
	u.latency.Store(math.Float64bits(average))
	limit := math.Float64frombits(u.limit.Load())
	pressed := 2*float64(u.recentPeak(now)) >= limit
	u.moveBaseline(sample, pressed && limit > smallLimit)
	switch {
	case average > overloadRatio*u.baseline:
		u.decrease(now)
	case pressed:
		// Adds about one per round trip.
		u.limit.Store(math.Float64bits(min(limit+1/limit, max(1, float64(u.most.Load())))))
	}
}

// recentPeak returns the most requests in flight in the last one or two peak
// intervals.
func (u *upstream) recentPeak(now instant) int64 {
	if now >= u.peakAt.add(peakInterval) {
		u.peakAt = now
		u.lastPeak = u.peak.Swap(u.inFlight.Load())
	}
	return max(u.lastPeak, u.peak.Load())
}

// moveBaseline follows faster samples at once. Slower ones count only while
// the limit is not pressed: under pressure they may come from the pressure, and
// a baseline that followed them would let the limit and the latency drift up.
func (u *upstream) moveBaseline(sample float64, pressed bool) {
	switch {
	case sample < u.baseline:
		u.baseline += latencyGain * (sample - u.baseline)
	case !pressed:
		u.baseline += baselineRise * (sample - u.baseline)
	}
}

func (u *upstream) decrease(now instant) {
	if now < u.decreasedAt.add(decreaseInterval) {
		return
	}
	u.decreasedAt = now
	limit := math.Float64frombits(u.limit.Load())
	u.limit.Store(math.Float64bits(max(1, limit*decreaseFactor)))
}

// hearLeaving keeps requests away while peers report the upstream as leaving.
// A single request finds out afterwards whether it is back.
func (u *upstream) hearLeaving(now instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	until := now.add(leavingTime)
	u.leavingUntil.Store(int64(until))
	u.coldSince.Store(int64(until))
	u.failures.CompareAndSwap(0, 1)
	u.failedAt = now
}

// isLeaving reports whether this VM found the upstream leaving. The finding
// ends with the rest, because without requests nothing would disprove it.
func (u *upstream) isLeaving(now instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving && int64(now) < u.restUntil.Load()
}

// chooseUpstream takes the better of two random upstreams, or any other that
// has capacity.
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
	first, second := cheaper(list[i], list[j], now)
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
	if len(r.Exclude) > 0 && r.Exclude[u.name()] || !u.take(now, r.Alone) {
		return Target{}, false
	}
	t := Target{placer: p, upstream: u, started: now, weight: 1}
	if r.Alone {
		t.weight = aloneWeight
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
