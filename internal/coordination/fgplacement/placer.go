// Package fgplacement decides where a request runs: on an upstream in this
// VM's region or at a peer. It also queues requests that wait for capacity
// and limits retries.
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

// Errors of Placer.Place. In each case the request was not run.
var (
	// ErrNoUpstream means that no declared upstream serves the group.
	ErrNoUpstream = merry.Sentinel("no upstream serves the group")
	// ErrNoCapacity means that no capacity became free in time.
	ErrNoCapacity = merry.Sentinel("no capacity")
	// ErrCancelled means that the context ended while the request waited.
	ErrCancelled = merry.Sentinel("the request was cancelled while it waited for capacity")
)

// Permits gives access to this VM's slots of the upstreams in its region. Its
// methods must not call the placer.
type Permits interface {
	// Acquire takes a slot. The returned function releases it.
	Acquire(u *fgconfig.Upstream) (release func(), ok bool)
	// Units returns how many slots this VM owns, free or in use.
	Units(u *fgconfig.Upstream) int64
}

// Caps limits the traffic from one region to another.
type Caps interface {
	// Admit spends one request of a cap. It may block until the context ends.
	Admit(ctx context.Context, from, to string) error
}

// Options configures a Placer.
type Options struct {
	VM      string
	Region  string
	Permits Permits
	Caps    Caps
	// Random returns a number in [0, n) and must be safe for concurrent use.
	// If nil, rand.IntN of math/rand/v2 is used.
	Random func(n int) int
}

// Request describes a request to place.
type Request struct {
	Group     string
	Workspace string
	// LocalOnly restricts the request to upstreams in this VM's region and to
	// a short wait. It is set for requests that a peer has forwarded.
	LocalOnly bool
	// Isolated requires an upstream on which this VM has no other request in
	// flight.
	Isolated bool
	// Exclude names the upstreams and VMs that already failed the request.
	Exclude map[string]bool
}

// Placer places requests. Its methods are safe for concurrent use.
type Placer struct {
	options Options
	// epoch is one hour before the start, so that the zero instant is long
	// past.
	epoch  time.Time
	view   atomic.Pointer[view]
	budget retryBudget
	// stopping is set while this VM shuts down.
	stopping atomic.Bool

	// mu guards changes of the view and the state that is kept across view changes.
	mu        sync.Mutex
	upstreams map[string]*upstream
	groups    map[string]*group
	peers     map[string]*peer
	links     map[string]*regionLink
}

// New returns a placer without upstreams and peers.
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
		links:     map[string]*regionLink{},
	}
	p.Update(fgconfig.Empty(), fgmember.EmptySet())
	return p
}

func (p *Placer) now() instant { return instant(time.Since(p.epoch)) }

// Place chooses a target. It waits for capacity for at most half of the time
// that remains until the deadline. The caller must call the target's Done
// once.
func (p *Placer) Place(ctx context.Context, r Request) (Target, error) {
	now := p.now()
	if len(r.Exclude) == 0 {
		p.budget.countRequest(now)
	}
	v := p.view.Load()
	g := v.groups[r.Group]
	if g == nil || r.LocalOnly && len(g.localUpstreams) == 0 {
		return Target{}, ErrNoUpstream
	}
	if g.state.queued.Load() == 0 {
		t, ok := p.choose(v, g, &r, now)
		if ok && !t.isCrossRegion() {
			return t, nil
		}
		if ok && p.admitCap(ctx, t) {
			return t, nil
		}
	}
	if !g.hasTargets() {
		return Target{}, ErrNoCapacity
	}
	return p.waitForCapacity(ctx, g.state, r)
}

// choose returns the best target that has capacity now: an upstream of this
// VM's region, then a peer in the region, then a peer in another region.
func (p *Placer) choose(v *view, g *groupView, r *Request, now instant) (Target, bool) {
	if u, ok := p.chooseUpstream(g, r, now); ok {
		return u, true
	}
	if r.LocalOnly || r.Isolated {
		return Target{}, false
	}
	peers := g.state.peers.Load()
	l := p.choosePeer(peers.sameRegion, r, now)
	if l == nil {
		l = p.choosePeer(peers.otherRegions, r, now)
	}
	if l == nil {
		return Target{}, false
	}
	return Target{placer: p, peer: l, generation: l.generation.Load(), started: now, weight: 1}, true
}

// admitCap spends one request of the cap for a target in another region. If
// the cap refuses, it releases the target's capacity and starts a backoff.
func (p *Placer) admitCap(ctx context.Context, t Target) bool {
	l := t.peer.regionLink
	err := p.options.Caps.Admit(ctx, p.options.Region, l.to)
	if err == nil {
		l.recordAdmitted(t.peer.group.queued.Load() > 0)
		p.wakeGroup(t.peer.group)
		return true
	}
	t.peer.returnFree()
	if l.recordRefused(p.now()) {
		time.AfterFunc(capBackoff, func() { p.wakeGroup(t.peer.group) })
	}
	return false
}

// AllowRetry spends one retry of the budget. It returns false if the budget
// is used up.
func (p *Placer) AllowRetry() bool { return p.budget.take(p.now()) }

// Wake places queued requests after capacity has grown other than through
// Done, for example because this VM received more slots.
func (p *Placer) Wake() {
	p.mu.Lock()
	v := p.view.Load()
	p.updateLimits(v)
	p.mu.Unlock()
	for _, g := range v.groups {
		p.wakeGroup(g.state)
	}
}
