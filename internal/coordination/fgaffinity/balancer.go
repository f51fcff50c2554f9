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
	// choices is how many upstreams a request may go to: the first ones of its
	// object, or the least loaded ones if it has none. On a further one an object
	// runs cold, which fills the group under high load.
	choices = 2
	// nearWeight says how much more an upstream of the VM's own region weighs for
	// an object, for each objective's worth of time that the way to another region
	// and back costs. An object has callers in one region only, so that keeping it
	// there costs no warmth; but a small region has no room for all of its own.
	nearWeight = 14
	// nearMost bounds that weight.
	nearMost = 20
	// distanceStep rounds distances, so that all VMs of a region rank alike.
	distanceStep = 10 * time.Millisecond
	// coldWindow is the time in which a cold upstream's requests are counted. It
	// is longer than the second that the bound names, since requests are late on
	// the way by different times.
	coldWindow = 1200 * time.Millisecond
	// coldPart is the part of the bound that is used.
	coldPart = 0.8
	// coldStart is how long a new process sends nothing to cold upstreams: the one
	// before it may just have done so, and the list of VMs may not be whole.
	coldStart = 1500 * time.Millisecond
	// memberMemory is how long a VM that is not registered any more counts as one
	// that may still send: its look-up answers are used for some seconds.
	memberMemory = 10 * time.Second
)

// Sentinel errors of Choose.
var (
	// ErrNoUpstream means that no upstream may take the request.
	ErrNoUpstream = merry.Sentinel("no upstream can take the request")
	// ErrFull means that the upstreams for the request have no room.
	ErrFull = merry.Sentinel("the upstreams for the request are full")
)

// Options tell a Balancer where it runs.
type Options struct {
	Region string
	VM     string
}

// coldBounds bound the requests of a second at a cold upstream: its own rate
// times over, plus slack, from all VMs together.
type coldBounds struct {
	over  float64
	slack int
}

// group is a group's upstreams in one view.
type group struct {
	spec      fgsteer.GroupSpec
	upstreams []*Upstream
	usual     *usualTime
	pressure  *pressure
}

// state is what requests read. It is immutable.
type state struct {
	view   *fgsteer.View
	groups map[string]*group
	// members are the VMs that may send requests.
	members []string
}

// Balancer chooses upstreams.
type Balancer struct {
	options Options
	// epoch lies an hour before the start, so that the time 0 is long past.
	epoch   time.Time
	started time.Time
	state   atomic.Pointer[state]
	bounds  atomic.Pointer[coldBounds]
	// distance is the time to another region and back.
	distance atomic.Int64

	mu        sync.Mutex
	upstreams map[string]*Upstream
	// seen is when each VM was last registered.
	seen map[string]time.Time
	// usual and pressures outlive views; they are by group.
	usual     map[string]*usualTime
	pressures map[string]*pressure
}

// New returns a balancer without upstreams.
func New(o Options) *Balancer {
	now := time.Now()
	b := &Balancer{options: o, epoch: now.Add(-time.Hour), started: now, upstreams: map[string]*Upstream{}, seen: map[string]time.Time{},
		usual: map[string]*usualTime{}, pressures: map[string]*pressure{}}
	b.state.Store(&state{})
	b.bounds.Store(&coldBounds{})
	return b
}

// SetColdBounds sets what a cold upstream may get in a second from all VMs: its
// own rate times over, plus slack.
func (b *Balancer) SetColdBounds(over float64, slack int) {
	b.bounds.Store(&coldBounds{over: over, slack: slack})
}

// Update takes over a view.
func (b *Balancer) Update(v *fgsteer.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &state{view: v, groups: map[string]*group{}}
	now := time.Now()
	// This VM sends requests before its own entry is in the view.
	b.seen[b.options.VM] = now
	for _, m := range v.Members() {
		b.seen[m.VM] = now
	}
	for vm, at := range b.seen {
		if now.Sub(at) > memberMemory {
			delete(b.seen, vm)
			continue
		}
		s.members = append(s.members, vm)
	}
	known := make(map[string]*Upstream, len(b.upstreams))
	for name, all := range v.Groups() {
		if b.usual[name] == nil {
			b.usual[name] = &usualTime{}
			b.pressures[name] = &pressure{}
		}
		g := &group{usual: b.usual[name], pressure: b.pressures[name]}
		g.pressure.reset()
		if p := v.Policy(); p != nil {
			if spec, ok := p.Group(name); ok {
				g.spec = *spec
			}
		}
		for _, one := range all {
			spec := one.Spec()
			id := identity(spec)
			u := b.upstreams[id]
			if u == nil {
				u = &Upstream{hash: xxhash.Sum64String(spec.ID)}
			}
			u.spec.Store(spec)
			known[id] = u
			u.region.Store(g.pressure.region(spec.Region, spec.Slots))
			g.upstreams = append(g.upstreams, u)
		}
		s.groups[name] = g
	}
	b.upstreams = known
	b.state.Store(s)
}

// identity tells the starts of an upstream apart: one that starts again has none
// of the faults and requests of before.
func identity(s *fgsteer.UpstreamSpec) string {
	return s.ID + "@" + s.Address + "@" + s.Started.Format(time.RFC3339Nano)
}

// Choice describes a request that needs an upstream.
type Choice struct {
	Group string
	// Object decides which upstreams are asked first. Empty: the least loaded.
	Object string
	// Regions lists where the request may run. Empty means anywhere.
	Regions []string
	// Objective is the latency within which an answer is of full use.
	Objective time.Duration
	// Tried lists the upstreams that already had the request.
	Tried []*Upstream
	// Room is the load per slot above which an upstream is full for the request.
	Room float64
}

// candidate is an upstream with its rank for one request; more is better.
type candidate struct {
	upstream *Upstream
	score    float64
}

// candidates are the best upstreams for a request, best first.
type candidates struct {
	all [choices]candidate
	n   int
}

// add keeps an upstream if it is among the best.
func (c *candidates) add(u *Upstream, score float64) {
	at := c.n
	for at > 0 && c.all[at-1].score < score {
		at--
	}
	if at == len(c.all) {
		return
	}
	c.n = min(c.n+1, len(c.all))
	copy(c.all[at+1:c.n], c.all[at:])
	c.all[at] = candidate{upstream: u, score: score}
}

// Choose returns the upstream for a request and counts the request there; Done
// must be called once with its result.
func (b *Balancer) Choose(c Choice) (*Upstream, error) {
	s := b.state.Load()
	g := s.groups[c.Group]
	if g == nil {
		return nil, ErrNoUpstream
	}
	at := time.Now()
	now := int64(at.Sub(b.epoch))
	// Upstreams that fail or cannot be reached are left out while others remain.
	best := b.rank(s, g, c, now, true)
	if best.n == 0 {
		best = b.rank(s, g, c, now, false)
	}
	if best.n == 0 {
		return nil, ErrNoUpstream
	}
	for _, one := range best.all[:best.n] {
		u := one.upstream
		if u.use(now) >= c.Room || u.cold(at, now) && (at.Sub(b.started) < coldStart || !u.takeCold(at, b.coldShare(s, g, u))) {
			continue
		}
		u.inFlight.Add(1)
		return u, nil
	}
	return nil, ErrFull
}

// rank returns the upstreams that a request may go to. Those for an object are
// found by rendezvous hashing: each VM finds the same ones, and an upstream that
// comes or goes moves only its own objects. Others are ranked by their load.
func (b *Balancer) rank(s *state, g *group, c Choice, now int64, avoid bool) candidates {
	var best candidates
	object, near := xxhash.Sum64String(c.Object), b.near(c.Objective)
	for _, u := range g.upstreams {
		spec := u.Spec()
		if spec.Draining || s.view.Drained(spec.AvailabilityZone) || avoid && u.avoided(now) ||
			len(c.Regions) > 0 && !slices.Contains(c.Regions, spec.Region) || slices.Contains(c.Tried, u) {
			continue
		}
		if c.Object == "" {
			best.add(u, -u.use(now))
			continue
		}
		score := rendezvous(object, u.hash, spec.Slots)
		if len(c.Regions) == 0 {
			score *= u.region.Load().weight()
		}
		if spec.Region == b.options.Region {
			score *= near
		}
		best.add(u, score)
	}
	return best
}

// near returns the weight of an upstream of the VM's own region.
func (b *Balancer) near(objective time.Duration) float64 {
	if objective <= 0 {
		return 1
	}
	return min(1+nearWeight*float64(b.distance.Load())/float64(objective), nearMost)
}

// SetDistance tells how long the way to another region and back takes.
func (b *Balancer) SetDistance(d time.Duration) { b.distance.Store(int64(d.Round(distanceStep))) }

// rendezvous returns an upstream's weighted score for an object.
func rendezvous(object, upstream uint64, slots int) float64 {
	h := mix(object ^ upstream)
	// 53 bits make a number between 0 and 1, both excluded.
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(slots) / math.Log(unit)
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// coldShare returns how many requests of a window this VM may send to a cold
// upstream. The bound counts all VMs, so it is divided between them; where it
// is smaller than their number, the VMs with the lowest hashes have one each.
func (b *Balancer) coldShare(s *state, g *group, u *Upstream) int {
	bounds := b.bounds.Load()
	total := int(coldPart * (g.spec.ColdRate*bounds.over + float64(bounds.slack)))
	n := max(1, len(s.members))
	if total >= n {
		return total / n
	}
	own := mix(u.hash ^ xxhash.Sum64String(b.options.VM))
	lower := 0
	for _, name := range s.members {
		if name != b.options.VM && mix(u.hash^xxhash.Sum64String(name)) < own {
			lower++
		}
	}
	if lower < total {
		return 1
	}
	return 0
}

// Done ends a request at an upstream.
func (b *Balancer) Done(u *Upstream, r Result) {
	u.inFlight.Add(-1)
	u.observe(r, int64(time.Since(b.epoch)))
}

// Chill records that an upstream says that it is cold for a while.
func (b *Balancer) Chill(u *Upstream, d time.Duration) {
	u.coldUntil.Store(int64(time.Since(b.epoch) + d))
}

// Load takes in an upstream's own account of the requests it has. Only such
// accounts count for the load of its region: an answer that does not come may have
// been lost.
func (b *Balancer) Load(u *Upstream, total int) {
	now := int64(time.Since(b.epoch))
	u.observeLoad(total, now)
	if g := b.state.Load().groups[u.Spec().Group]; g != nil {
		g.pressure.add(u.region.Load(), float64(total)/float64(u.Spec().Slots), now)
	}
}
