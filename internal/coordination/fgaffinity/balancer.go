package fgaffinity

import (
	"cmp"
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
	// choices is how many upstreams an object may lie on before the least
	// loaded one of the group is taken.
	choices = 3
	// coldWindow is the time in which a cold upstream's requests are counted. It
	// is longer than the second that the bound names, since requests are late on
	// the way by different times.
	coldWindow = 1200 * time.Millisecond
	// coldPart is the part of the bound that is used.
	coldPart = 0.8
)

// Sentinel errors of Choose.
var (
	// ErrNoUpstream means that no upstream may take the request.
	ErrNoUpstream = merry.Sentinel("no upstream can take the request")
	// ErrFull means that the upstreams for the request have no room.
	ErrFull = merry.Sentinel("the upstreams for the request are full")
)

// Options are the bounds that a Balancer keeps.
type Options struct {
	Region           string
	AvailabilityZone string
	VM               string
	// ColdOver and ColdSlack bound the requests of a second at a cold upstream:
	// its own rate times ColdOver, plus ColdSlack, over all VMs.
	ColdOver  float64
	ColdSlack int
}

// group is a group's upstreams in one view.
type group struct {
	spec      fgsteer.GroupSpec
	upstreams []*Upstream
}

// state is what requests read. It is immutable.
type state struct {
	view   *fgsteer.View
	groups map[string]*group
	// members are the names of the VMs, in order.
	members []string
}

// Balancer chooses upstreams.
type Balancer struct {
	options Options
	epoch   time.Time
	state   atomic.Pointer[state]

	mu        sync.Mutex
	upstreams map[string]*Upstream
}

// New returns a balancer without upstreams.
func New(o Options) *Balancer {
	b := &Balancer{options: o, epoch: time.Now().Add(-time.Hour), upstreams: map[string]*Upstream{}}
	b.state.Store(&state{})
	return b
}

// Update takes over a view.
func (b *Balancer) Update(v *fgsteer.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &state{view: v, groups: map[string]*group{}}
	for _, m := range v.Members() {
		s.members = append(s.members, m.VM)
	}
	known := make(map[string]*Upstream, len(b.upstreams))
	for name, all := range v.Groups() {
		g := &group{}
		if p := v.Policy(); p != nil {
			if spec, ok := p.Group(name); ok {
				g.spec = *spec
			}
		}
		for _, one := range all {
			spec := one.Spec()
			id := spec.ID + "@" + spec.Address
			u := b.upstreams[id]
			if u == nil {
				u = &Upstream{hash: xxhash.Sum64String(spec.ID)}
			}
			u.spec.Store(spec)
			known[id] = u
			g.upstreams = append(g.upstreams, u)
		}
		s.groups[name] = g
	}
	b.upstreams = known
	b.state.Store(s)
}

// Choice describes a request that needs an upstream.
type Choice struct {
	Group string
	// Object decides which upstreams are asked first. Empty: the least loaded.
	Object string
	// Regions lists where the request may run. Empty means anywhere.
	Regions []string
	// Tried lists the upstreams that already had the request.
	Tried []*Upstream
	// Room is the load per slot above which an upstream is full for the request.
	Room float64
}

// candidate is an upstream with its rank for one request.
type candidate struct {
	upstream *Upstream
	score    float64
}

// Choose returns the upstream for a request and counts the request there; Done
// must be called once with its result.
func (b *Balancer) Choose(c Choice) (*Upstream, error) {
	s := b.state.Load()
	g := s.groups[c.Group]
	if g == nil {
		return nil, ErrNoUpstream
	}
	now := time.Now()
	var buffer [64]candidate
	ranked := b.rank(s, g, c, now, buffer[:0])
	if len(ranked) == 0 {
		return nil, ErrNoUpstream
	}
	for _, one := range order(ranked, c.Object != "", int64(now.Sub(b.epoch))) {
		u := one.upstream
		if u.use(int64(now.Sub(b.epoch))) >= c.Room {
			continue
		}
		if u.cold(now) && !u.takeCold(now, b.coldShare(s, g, u)) {
			continue
		}
		u.inFlight.Add(1)
		return u, nil
	}
	return nil, ErrFull
}

// rank returns the upstreams that may take a request, best first by rendezvous
// hashing: each VM finds the same order, and an upstream that comes or goes
// moves only its own objects. Upstreams that rest or fail are left out while
// others remain.
func (b *Balancer) rank(s *state, g *group, c Choice, now time.Time, ranked []candidate) []candidate {
	object := xxhash.Sum64String(c.Object)
	for _, strict := range []bool{true, false} {
		for _, u := range g.upstreams {
			spec := u.Spec()
			if spec.Draining || s.view.Drained(spec.AvailabilityZone) || slices.Contains(c.Tried, u) {
				continue
			}
			if len(c.Regions) > 0 && !slices.Contains(c.Regions, spec.Region) {
				continue
			}
			if strict && (u.resting(now) || u.failing(now)) {
				continue
			}
			ranked = append(ranked, candidate{upstream: u, score: rendezvous(object, u.hash, spec.Slots)})
		}
		if len(ranked) > 0 {
			break
		}
	}
	slices.SortFunc(ranked, func(x, y candidate) int { return cmp.Compare(y.score, x.score) })
	return ranked
}

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

// order returns the upstreams to try, best first: those that the object may lie
// on, or the least loaded ones.
func order(ranked []candidate, sticky bool, now int64) []candidate {
	if sticky {
		return ranked[:min(choices, len(ranked))]
	}
	slices.SortStableFunc(ranked, func(x, y candidate) int {
		return cmp.Compare(x.upstream.use(now), y.upstream.use(now))
	})
	return ranked
}

// coldShare returns how many requests of a window this VM may send to a cold
// upstream. The bound counts all VMs, so it is divided between them; where it
// is smaller than their number, the VMs with the lowest hashes have one each.
func (b *Balancer) coldShare(s *state, g *group, u *Upstream) int {
	total := int(coldPart * (g.spec.ColdRate*b.options.ColdOver + float64(b.options.ColdSlack)))
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
	u.observe(r, time.Now())
}

// Load takes in an upstream's own account of the requests it has.
func (b *Balancer) Load(u *Upstream, total int) {
	u.observeLoad(total, int64(time.Since(b.epoch)))
}
