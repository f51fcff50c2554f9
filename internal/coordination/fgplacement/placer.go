// Package fgplacement decides where a request runs: on which upstream of this
// VM's region, or at which peer. It also holds requests that wait for capacity
// and bounds retries.
package fgplacement

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
)

// Sentinel errors of a placement. In each case the request did not run.
var (
	// ErrNoUpstream means that no declared upstream serves the group.
	ErrNoUpstream = merry.Sentinel("no upstream serves the group")
	// ErrNoCapacity means that no capacity became free in time.
	ErrNoCapacity = merry.Sentinel("no capacity")
	// ErrLeft means that the caller left while its request waited.
	ErrLeft = merry.Sentinel("the caller left while the request waited")
)

// Permits are this VM's slots of the upstreams of its region. Its methods must
// not call the placer.
type Permits interface {
	// Acquire takes a slot. The returned function gives it back.
	Acquire(u *fgconfig.Upstream) (release func(), ok bool)
	// Units returns how many slots this VM owns, in use or not.
	Units(u *fgconfig.Upstream) int64
}

// Caps are the limits of traffic from one region to another.
type Caps interface {
	// Admit spends one request of a cap. It may wait within the context.
	Admit(ctx context.Context, from, to string) error
}

// Options configures a Placer.
type Options struct {
	VM      string
	Region  string
	Permits Permits
	Caps    Caps
	// Random returns a number in [0, n). Nil means the runtime's generator.
	// It must be safe for concurrent use.
	Random func(n int) int
}

// Request describes what is to be placed.
type Request struct {
	Group     string
	Workspace string
	// LocalOnly accepts only upstreams that this VM sends to, and waits only for
	// a short time. It is for requests that a peer has placed here.
	LocalOnly bool
	// Alone asks for an upstream on which this VM has nothing else in flight.
	Alone bool
	// Exclude names upstreams and VMs that already failed the request.
	Exclude map[string]bool
}

// Placer places requests. Its methods are safe for concurrent use.
type Placer struct {
	options Options
	// epoch lies an hour before the start, so that the time 0 is long past.
	epoch  time.Time
	view   atomic.Pointer[view]
	budget retryBudget
	// stopping is set while this VM stops.
	stopping atomic.Bool

	// mu guards changes of the view and the states that outlive it.
	mu        sync.Mutex
	upstreams map[string]*upstream
	groups    map[string]*group
	peers     map[string]*peer
	links     map[string]*link
}

// New returns a placer that knows no upstreams.
func New(o Options) *Placer {
	if o.Random == nil {
		o.Random = rand.IntN
	}
	p := &Placer{
		options:   o,
		epoch:     time.Now().Add(-time.Hour),
		upstreams: map[string]*upstream{},
		groups:    map[string]*group{},
		peers:     map[string]*peer{},
		links:     map[string]*link{},
	}
	p.Update(fgconfig.Empty(), fgmember.EmptySet())
	return p
}

func (p *Placer) now() instant { return instant(time.Since(p.epoch)) }

// Place chooses a target. It waits for capacity within half of the remaining
// deadline. The target's Done must be called once.
func (p *Placer) Place(ctx context.Context, r Request) (Target, error) {
	now := p.now()
	if len(r.Exclude) == 0 {
		p.budget.addRequest(now)
	}
	v := p.view.Load()
	g := v.groups[r.Group]
	if g == nil || r.LocalOnly && len(g.locals) == 0 {
		return Target{}, ErrNoUpstream
	}
	if g.state.queued.Load() == 0 {
		t, ok := p.choose(v, g, &r, now)
		if ok && !t.crosses() {
			return t, nil
		}
		if ok && p.admitCap(ctx, t) {
			return t, nil
		}
	}
	if !g.reachable() {
		return Target{}, ErrNoCapacity
	}
	return p.wait(ctx, g.state, r)
}

// choose takes the best target that has capacity now: an upstream of this VM,
// then a peer of the region, then a peer of another region.
func (p *Placer) choose(v *view, g *groupView, r *Request, now instant) (Target, bool) {
	if u, ok := p.chooseUpstream(g, r, now); ok {
		return u, true
	}
	if r.LocalOnly || r.Alone {
		return Target{}, false
	}
	peers := g.state.peers.Load()
	l := p.choosePeer(peers.near, r, now)
	if l == nil {
		l = p.choosePeer(peers.far, r, now)
	}
	if l == nil {
		return Target{}, false
	}
	return Target{placer: p, peer: l, generation: l.generation.Load(), started: now, weight: 1}, true
}

// admitCap spends the cap of a target in another region. When the cap refuses,
// the target's capacity is given back and the link rests.
func (p *Placer) admitCap(ctx context.Context, t Target) bool {
	l := t.peer.link
	err := p.options.Caps.Admit(ctx, p.options.Region, l.to)
	if err == nil {
		l.admitted(t.peer.group.queued.Load() > 0)
		p.wakeGroup(t.peer.group)
		return true
	}
	t.peer.giveBack()
	if l.refused(p.now()) {
		time.AfterFunc(capRestTime, func() { p.wakeGroup(t.peer.group) })
	}
	return false
}

// AllowRetry spends one retry of the budget. It reports false when retries
// have reached their part of the recent requests.
func (p *Placer) AllowRetry() bool { return p.budget.spend(p.now()) }

// Wake places waiting requests after capacity has grown by other means than
// Done, for example after the share ledger raised this VM's slots.
func (p *Placer) Wake() {
	p.mu.Lock()
	v := p.view.Load()
	p.refresh(v)
	p.mu.Unlock()
	for _, g := range v.groups {
		p.wakeGroup(g.state)
	}
}
