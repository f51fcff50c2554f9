package fgaffinity

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// maxCandidates is how many upstreams Choose considers for a request: the highest
	// ranked ones for its affinity key, or the least loaded ones if it has none. More
	// candidates would mean more cold runs, which overload the group under high load.
	maxCandidates = 2
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

// Options name the VM that a Balancer runs on and its region.
type Options struct {
	Region string
	VM     string
}

// coldBounds bound the requests per second from all VMs to a cold upstream: the
// rate that it tolerates times rateFactor, plus slack.
type coldBounds struct {
	rateFactor float64
	slack      int
}

// group is an upstream group in one view.
type group struct {
	spec          fgsteer.GroupSpec
	upstreams     []*Upstream
	meanResponse  *meanResponseTime
	regionWeights *regionWeights
}

// state is the immutable snapshot that Choose reads.
type state struct {
	view   *fgsteer.View
	groups map[string]*group
	// instances holds the upstreams of all groups by the hash of their instanceID, by
	// which other VMs report on them.
	instances map[uint64]*Upstream
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
	// isolated is set by SetIsolated.
	isolated atomic.Bool
	// rtt is the round-trip time to another region in nanoseconds.
	rtt atomic.Int64

	mu        sync.Mutex
	upstreams map[string]*Upstream
	// members are the VMs that were in a view within memberRetention.
	members map[string]member
	// meanResponse and regionWeights are indexed by group and are kept when the view
	// changes.
	meanResponse  map[string]*meanResponseTime
	regionWeights map[string]*regionWeights
}

// New returns a balancer without upstreams.
func New(o Options) *Balancer {
	now := time.Now()
	b := &Balancer{options: o, epoch: now.Add(-time.Hour), started: now, upstreams: map[string]*Upstream{}, members: map[string]member{},
		meanResponse: map[string]*meanResponseTime{}, regionWeights: map[string]*regionWeights{}}
	b.state.Store(&state{})
	b.bounds.Store(&coldBounds{})
	return b
}

// SetColdBounds bounds the requests per second from all VMs to a cold upstream: the
// rate that it tolerates times rateFactor, plus slack.
func (b *Balancer) SetColdBounds(rateFactor float64, slack int) {
	b.bounds.Store(&coldBounds{rateFactor: rateFactor, slack: slack})
}

// Update applies a new view. It keeps the state of upstreams that are in both
// views.
func (b *Balancer) Update(v *fgsteer.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &state{view: v, groups: map[string]*group{}, instances: map[uint64]*Upstream{}}
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
		if b.meanResponse[name] == nil {
			b.meanResponse[name] = &meanResponseTime{}
			b.regionWeights[name] = &regionWeights{}
		}
		g := &group{meanResponse: b.meanResponse[name], regionWeights: b.regionWeights[name]}
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
			u.region.Store(g.regionWeights.addUpstream(spec.Region, spec.Slots))
			g.upstreams = append(g.upstreams, u)
			s.instances[u.instance] = u
		}
		s.groups[name] = g
	}
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
	// MaxLoadPerSlot is the load per slot at which an upstream takes no more
	// requests. It applies if Accept is nil.
	MaxLoadPerSlot float64
	// Accept decides whether the request may go to an upstream, by what the balancer
	// expects there. It is called for the candidates in the order of preference, without
	// a lock held.
	Accept func(*Upstream, Estimate) bool
}

// candidate is an upstream with its score for one request; a higher one is better.
type candidate struct {
	upstream *Upstream
	score    float64
}

// candidates are the upstreams with the highest scores for a request, in
// descending order.
type candidates struct {
	ranked [maxCandidates]candidate
	count  int
	// limited means that an upstream was left out because of the limit that it names.
	limited bool
}

// add inserts an upstream if it is among the best.
func (c *candidates) add(u *Upstream, score float64) {
	i := c.count
	for i > 0 && c.ranked[i-1].score < score {
		i--
	}
	if i == len(c.ranked) {
		return
	}
	c.count = min(c.count+1, len(c.ranked))
	copy(c.ranked[i+1:c.count], c.ranked[i:])
	c.ranked[i] = candidate{upstream: u, score: score}
}

// Choose returns the upstream for a request and counts the request as in flight
// there. Done must be called once with its result.
func (b *Balancer) Choose(c Criteria) (*Upstream, error) {
	s := b.state.Load()
	g := s.groups[c.Group]
	if g == nil {
		return nil, ErrNoUpstream
	}
	wall := time.Now()
	now := int64(wall.Sub(b.epoch))
	// Failing and unreachable upstreams are candidates only if there is no other.
	best := b.rank(s, g, c, wall, true)
	if best.count == 0 {
		best = b.rank(s, g, c, wall, false)
	}
	if best.count == 0 && !best.limited {
		return nil, ErrNoUpstream
	}
	for _, ranked := range best.ranked[:best.count] {
		u := ranked.upstream
		if !c.accepts(u, g, now) || !b.reserveColdSend(s, g, u, wall, now) ||
			u.limit.set.Load() && !b.reserveLimitedSend(s, u, wall) {
			continue
		}
		u.inFlight.Add(1)
		return u, nil
	}
	return nil, ErrFull
}

// rank returns the upstreams that a request may be sent to. With an affinity key
// they are ranked by rendezvous hashing: all VMs of a region compute the same
// ranking, and adding or removing an upstream moves only that upstream's keys.
// Without a key they are ranked by load.
func (b *Balancer) rank(s *state, g *group, c Criteria, wall time.Time, skipAvoided bool) candidates {
	var best candidates
	now := int64(wall.Sub(b.epoch))
	keyHash, sameRegionWeight := xxhash.Sum64String(c.AffinityKey), b.sameRegionWeight(c.Objective)
	for _, u := range g.upstreams {
		spec := u.Spec()
		if spec.Draining || s.view.Drained(spec.AvailabilityZone) || skipAvoided && u.avoided(now) ||
			len(c.Regions) > 0 && !slices.Contains(c.Regions, spec.Region) || slices.Contains(c.Exclude, u) {
			continue
		}
		if u.limit.set.Load() && !b.withinLimit(s, u, wall) {
			best.limited = true
			continue
		}
		if c.AffinityKey == "" {
			best.add(u, -u.loadPerSlot(now))
			continue
		}
		score := rendezvousScore(keyHash, u.hash, spec.Slots)
		if len(c.Regions) == 0 {
			score *= u.region.Load().weight()
		}
		if spec.Region == b.options.Region {
			score *= sameRegionWeight
		}
		best.add(u, score)
	}
	return best
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

// rendezvousScore returns an upstream's score for a key in weighted rendezvous
// hashing, with slots as the weight.
func rendezvousScore(key, upstream uint64, slots int) float64 {
	h := fmix64(key ^ upstream)
	// 53 bits of the hash as a number between 0 and 1, both excluded.
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(slots) / math.Log(unit)
}

// fmix64 is the finalizer of MurmurHash3, which mixes the bits of a hash.
func fmix64(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

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
	u.recordResult(r, int64(time.Since(b.epoch)))
}

// RecordCold records that an upstream has reported to be cold for a duration.
func (b *Balancer) RecordCold(u *Upstream, d time.Duration) {
	u.coldUntil.Store(int64(time.Since(b.epoch) + d))
	u.warmSince.Store(0)
}

// RecordLoad records the number of requests that an upstream has reported to have.
// Only such reports count towards the load of its region: a missing response may
// have been lost and does not show that the upstream is overloaded.
func (b *Balancer) RecordLoad(u *Upstream, total int) {
	now := int64(time.Since(b.epoch))
	u.recordLoad(total, now)
	if g := b.state.Load().groups[u.Spec().Group]; g != nil {
		g.regionWeights.add(u.region.Load(), float64(total)/float64(u.Spec().Slots), now)
	}
}
