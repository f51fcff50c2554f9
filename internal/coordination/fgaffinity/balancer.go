package fgaffinity

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// sameRegionFactor scales the extra weight of upstreams in the VM's own region:
	// it is multiplied by the round-trip time to another region as a fraction of the
	// latency objective. A key has callers in one region only, so keeping it there
	// causes no extra cold runs, but a small region has no capacity for all of its
	// own keys.
	sameRegionFactor = 14
	// maxSameRegionWeight bounds the weight of upstreams in the VM's own region.
	maxSameRegionWeight = 20
	// Round-trip times are rounded to rttRounding, so that all VMs of a region rank
	// upstreams identically.
	rttRounding = 10 * time.Millisecond
	// coldWindow is the window in which requests to a cold upstream are counted. It
	// is longer than the second of the bound, since network delays vary and may bring
	// requests closer together.
	coldWindow = 1200 * time.Millisecond
	// coldBoundFraction is the fraction of the bound that is used.
	coldBoundFraction = 0.8
	// coldSendDelay is how long after its start a process sends no requests to cold
	// upstreams: the previous process may have just sent some, and the list of VMs
	// may be incomplete.
	coldSendDelay = 1500 * time.Millisecond
	// memberRetention is how long an unregistered VM still counts as one that sends
	// requests, since callers keep using earlier look-up responses for some seconds.
	memberRetention = 10 * time.Second
)

// Sentinel errors of Choose.
var (
	// ErrNoUpstream means that no upstream may take the request.
	ErrNoUpstream = merry.Sentinel("no upstream can take the request")
	// ErrFull means that all candidates for the request are at their load limit, or
	// are cold or name a limit and may get no more requests from this VM.
	ErrFull = merry.Sentinel("the upstreams for the request are at their load limit")
)

// Options name the VM that a Balancer runs on, and where it is.
type Options struct {
	Region           string
	AvailabilityZone string
	VM               string
}

// coldBounds bound the requests per second from all VMs to a cold upstream: the
// rate that it tolerates times rateFactor, plus slack.
type coldBounds struct {
	rateFactor float64
	slack      int
}

// group is an upstream group in one view.
type group struct {
	*groupStats

	spec      fgsteer.GroupSpec
	upstreams []*Upstream
	// classes and nearby hold the upstreams by what ranks them for a key, and by their
	// proximity.
	classes []rankClass
	nearby  [proximities][]*Upstream
	cache   *rankCache
}

// groupStats is what was measured of a group. It is kept when the view changes.
type groupStats struct {
	meanResponse  meanResponseTime
	regionWeights regionWeights
	runs          runTimes
	// slowdownTold is when an upstream last told a slowdown, and meanSlowdown the average
	// of the slowdowns told.
	slowdownTold atomic.Int64
	meanSlowdown average
	hot          hotKeys
	crossings    crossings
	remote       remotePart
}

// state is the immutable snapshot that Choose reads.
type state struct {
	view   *fgsteer.View
	groups map[string]*group
	// instances holds the upstreams of all groups by the hash of their instanceID, by
	// which other VMs report on them.
	instances map[uint64]*Upstream
	// reporters holds them by the lower half of that hash, by which loads are reported.
	// Upstreams that share it are left out.
	reporters map[uint32]*Upstream
	// members are the VMs that may send requests to upstreams.
	members []member
}

// member is a VM that is or was lately registered.
type member struct {
	vm, region string
	// registered is when the VM was last in a view.
	registered time.Time
}

// Balancer chooses upstreams for requests. It is safe for concurrent use.
type Balancer struct {
	options Options
	// epoch is the origin of int64 times, in nanoseconds. It is an hour before the
	// start, so that the time 0 is in the distant past.
	epoch   time.Time
	started time.Time
	state   atomic.Pointer[state]
	bounds  atomic.Pointer[coldBounds]
	// loadAware means that upstreams of all groups are chosen by expected time.
	loadAware atomic.Bool
	// isolated is set by SetIsolated.
	isolated atomic.Bool
	// rtt is the round-trip time to another region in nanoseconds.
	rtt atomic.Int64
	// signals holds the upstreams that leave or pause.
	signals signalTable

	mu        sync.Mutex
	upstreams map[string]*Upstream
	// members are the VMs that were in a view within memberRetention.
	members map[string]member
	stats   map[string]*groupStats
}

// New returns a balancer without upstreams.
func New(o Options) *Balancer {
	now := time.Now()
	b := &Balancer{options: o, epoch: now.Add(-time.Hour), started: now, upstreams: map[string]*Upstream{}, members: map[string]member{}, stats: map[string]*groupStats{}}
	b.state.Store(&state{})
	b.bounds.Store(&coldBounds{})
	return b
}

// SetColdBounds bounds the requests per second from all VMs to a cold upstream: the
// rate that it tolerates times rateFactor, plus slack.
func (b *Balancer) SetColdBounds(rateFactor float64, slack int) {
	b.bounds.Store(&coldBounds{rateFactor: rateFactor, slack: slack})
}

// SetLoadAware sets whether upstreams of all groups are chosen by expected time, and not
// only those of groups that tell a slowdown.
func (b *Balancer) SetLoadAware(on bool) { b.loadAware.Store(on) }

// Update applies a new view. It keeps the state of upstreams that are in both
// views.
func (b *Balancer) Update(v *fgsteer.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &state{view: v, groups: map[string]*group{}, instances: map[uint64]*Upstream{}, reporters: map[uint32]*Upstream{}}
	now := time.Now()
	for _, m := range v.Members() {
		b.members[m.VM] = member{vm: m.VM, region: m.Region, registered: now}
	}
	// This VM may send requests before its own entry is in the view.
	b.members[b.options.VM] = member{vm: b.options.VM, region: b.options.Region, registered: now}
	for vm, m := range b.members {
		if now.Sub(m.registered) > memberRetention {
			delete(b.members, vm)
			continue
		}
		s.members = append(s.members, m)
	}
	known := make(map[string]*Upstream, len(b.upstreams))
	for name, snapshots := range v.Groups() {
		if b.stats[name] == nil {
			b.stats[name] = &groupStats{}
		}
		g := &group{groupStats: b.stats[name]}
		g.regionWeights.resetSlots()
		if p := v.Policy(); p != nil {
			if spec, ok := p.Group(name); ok {
				g.spec = *spec
			}
		}
		for _, snapshot := range snapshots {
			spec := snapshot.Spec()
			id := instanceID(spec)
			u := b.upstreams[id]
			if u == nil {
				u = &Upstream{hash: xxhash.Sum64String(spec.ID), instance: xxhash.Sum64String(id)}
			}
			u.spec.Store(spec)
			known[id] = u
			u.region.Store(g.regionWeights.addUpstream(spec.Region, spec.Slots, !spec.Draining && !v.Drained(spec.AvailabilityZone)))
			g.addUpstream(u, b.options)
			s.instances[u.instance] = u
			if _, shared := s.reporters[uint32(u.instance)]; shared {
				s.reporters[uint32(u.instance)] = nil
			} else {
				s.reporters[uint32(u.instance)] = u
			}
		}
		if b.isTimed(g, int64(now.Sub(b.epoch))) {
			g.regionWeights.admitSlots()
		}
		g.cache = newRankCache(g.classes, len(g.upstreams))
		s.groups[name] = g
	}
	b.signals.update(known)
	b.upstreams = known
	b.state.Store(s)
}

// instanceID identifies one start of an upstream program, on all VMs. A restarted
// upstream has none of the failures and requests of the previous process.
func instanceID(s *fgsteer.UpstreamSpec) string {
	return s.ID + "@" + s.Address + "@" + s.Started.UTC().Format(time.RFC3339Nano)
}

// Criteria holds the criteria by which an upstream is chosen for a request.
type Criteria struct {
	Group string
	// AffinityKey is the key that ranks the upstreams. If it is empty, they are
	// ranked by their load.
	AffinityKey string
	// Regions lists the regions where the request may run. Empty means anywhere.
	Regions []string
	// Objective is the latency within which a response is of full use to the caller.
	Objective time.Duration
	// Exclude lists the upstreams that the request was already sent to.
	Exclude []*Upstream
	// Counted means that an earlier Choose or Place has counted the request in the demand of
	// its key and for other regions. A request that waits is tried many times a second.
	Counted bool
	// MaxLoadPerSlot is the load per slot at which an upstream takes no more
	// requests. It applies if Accept is nil.
	MaxLoadPerSlot float64
	// Accept decides whether the request may go to an upstream, by what the balancer
	// expects there. It is called for the candidates in the order of preference, without
	// a lock held.
	Accept func(*Upstream, Estimate) bool
}

// Placement is the upstream for a request and what is expected there.
type Placement struct {
	Upstream *Upstream
	Expected Estimate
	// other means that the upstream is not the first candidate.
	other bool
}

// Preferred reports whether the upstream is the first candidate for the request.
func (p Placement) Preferred() bool { return !p.other }

// Choose returns the upstream for a request and counts the request as in flight
// there. Done must be called once with its result.
func (b *Balancer) Choose(c Criteria) (*Upstream, error) {
	p, err := b.Place(c)
	return p.Upstream, err
}

// Place is Choose, and also returns what is expected at the upstream.
func (b *Balancer) Place(c Criteria) (Placement, error) {
	s := b.state.Load()
	g := s.groups[c.Group]
	if g == nil {
		return Placement{}, ErrNoUpstream
	}
	wall := time.Now()
	now := int64(wall.Sub(b.epoch))
	key, timed := keyHash(c.AffinityKey), b.isTimed(g, now)
	best := b.rank(s, g, c, key, timed, wall)
	if best.count == 0 && !best.limited {
		if err := b.Available(c); err != nil {
			return Placement{}, err
		}
		return Placement{}, ErrNoUpstream
	}
	var expected [maxTimedCandidates]Estimate
	for i, ranked := range best.ranked[:best.count] {
		expected[i] = b.estimate(g, ranked.upstream, b.classOf(c, ranked.upstream, key, i == 0, wall), wall)
	}
	preferred := best.ranked[0].upstream
	if timed && c.AffinityKey != "" {
		preferFaster(&best, &expected, c.Objective, now)
	}
	hasFree := false
	for i, ranked := range best.ranked[:best.count] {
		u := ranked.upstream
		crosses := timed && c.AffinityKey != "" && len(c.Regions) == 0 && u.Spec().Region != preferred.Spec().Region
		if crosses && !g.crossings.allowed() {
			continue
		}
		if i == maxCandidates && (hasFree || u.pressed(now) && expected[i].class == coldRun) {
			break
		}
		hasFree = hasFree || expected[i].LoadPerSlot < 1
		if !c.accepts(u, expected[i]) || !b.reserveColdSend(s, g, u, wall, now) ||
			u.limit.set.Load() && !b.reserveLimitedSend(s, u, wall) {
			continue
		}
		if timed && len(c.Regions) == 0 {
			g.recordRegion(c, crosses, u.Spec().Region != b.options.Region, now)
		}
		u.inFlight.Add(1)
		u.recordSend(now)
		if c.AffinityKey != "" {
			u.keys.add(key, now)
		}
		return Placement{Upstream: u, Expected: expected[i], other: u != preferred}, nil
	}
	if timed && len(c.Regions) == 0 && c.AffinityKey == "" && !c.Counted {
		g.remote.record(false, true, now)
	}
	return Placement{}, ErrFull
}

// recordRegion records where a request that may run anywhere does.
func (g *group) recordRegion(c Criteria, crosses, remote bool, now int64) {
	if c.AffinityKey == "" {
		g.remote.record(remote, false, now)
	} else {
		g.crossings.record(crosses)
	}
}

// preferFaster puts the second candidate of a key first if its expected time is better by
// more than the margin.
func preferFaster(c *candidates, expected *[maxTimedCandidates]Estimate, objective time.Duration, now int64) {
	if c.count < 2 || !expected[1].worthMoving(expected[0], objective, c.ranked[1].upstream.pressed(now)) {
		return
	}
	c.ranked[0], c.ranked[1] = c.ranked[1], c.ranked[0]
	expected[0], expected[1] = expected[1], expected[0]
}

// sameRegionWeight returns the weight of upstreams in the VM's own region.
func (b *Balancer) sameRegionWeight(objective time.Duration) float64 {
	if objective <= 0 {
		return 1
	}
	return min(1+sameRegionFactor*float64(b.rtt.Load())/float64(objective), maxSameRegionWeight)
}

// SetRegionRTT sets the round-trip time to another region.
func (b *Balancer) SetRegionRTT(d time.Duration) { b.rtt.Store(int64(d.Round(rttRounding))) }

// coldQuota returns how many requests this VM may send to a cold upstream in
// coldWindow. The bound covers all VMs, so it is divided between them. If it is
// smaller than their number, the VMs with the lowest hashes may send one each.
func (b *Balancer) coldQuota(s *state, g *group, u *Upstream) int {
	bounds := b.bounds.Load()
	limit := int(coldBoundFraction * (g.spec.ColdRate*bounds.rateFactor + float64(bounds.slack)))
	vms := max(1, len(s.members))
	if limit >= vms {
		return limit / vms
	}
	ownHash := u.vmHash(b.options.VM)
	lower := 0
	for _, m := range s.members {
		if m.vm != b.options.VM && u.vmHash(m.vm) < ownHash {
			lower++
		}
	}
	if lower < limit {
		return 1
	}
	return 0
}

// Done records the result of a request that Choose assigned to an upstream.
func (b *Balancer) Done(u *Upstream, r Result) {
	u.inFlight.Add(-1)
	now := int64(time.Since(b.epoch))
	g := b.state.Load().groups[u.Spec().Group]
	u.recordResult(r, g != nil && b.isTimed(g, now), now)
}

// RecordCold records that an upstream has reported to be cold for a duration.
func (b *Balancer) RecordCold(u *Upstream, d time.Duration) {
	u.coldUntil.Store(int64(time.Since(b.epoch) + d))
	u.warmSince.Store(0)
}
