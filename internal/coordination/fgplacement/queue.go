package fgplacement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

const (
	// maxWait bounds how long a request waits for capacity.
	maxWait = 500 * time.Millisecond
	// maxForwardedWait bounds how long a request that a peer forwarded waits.
	// It is short because the request may have waited at the peer already.
	maxForwardedWait = 100 * time.Millisecond
	// moveDelay is the time after which a queued request may move to the queue
	// of a peer if its workspace gets less here than others. It leaves time to
	// wait there.
	moveDelay = maxWait / 2
	// moveRatio is how many times longer, relative to its weight, another flow
	// must be than the flow of a request that moves.
	moveRatio = 2
	// maxQueued bounds the queued requests of one group.
	maxQueued = 512
)

// waiter is a queued request.
type waiter struct {
	request Request
	flow    *flow
	// ready receives the target, or the zero Target if the request is refused.
	ready chan Target
}

// isConstrained reports whether other requests may be placeable although this
// one is not.
func (w *waiter) isConstrained() bool {
	return w.request.LocalOnly || w.request.Isolated || len(w.request.Exclude) > 0
}

// flow is the queue of one workspace.
type flow struct {
	weight  float64
	waiters []*waiter
	// startTag is the virtual time at which the flow's next request is due.
	startTag float64
}

// queue divides capacity between workspaces by weight (start-time fair
// queueing). The flow with the lowest start tag is served next, and each
// served request adds 1/weight to its flow's start tag. A flow that was empty
// starts at the current virtual time, so that it cannot accumulate credit.
type queue struct {
	mu          sync.Mutex
	virtualTime float64
	flows       map[string]*flow
	length      int
}

// push adds a waiter. If the queue is full, the flow with the most requests
// relative to its weight loses its newest one, which is returned.
func (q *queue) push(w *waiter, weight float64) (dropped *waiter) {
	if q.flows == nil {
		q.flows = map[string]*flow{}
	}
	f := q.flows[w.request.Workspace]
	if f == nil {
		f = &flow{}
		q.flows[w.request.Workspace] = f
	}
	f.weight = weight
	if len(f.waiters) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	w.flow = f
	f.waiters = append(f.waiters, w)
	q.length++
	if q.length <= maxQueued {
		return nil
	}
	longest := f
	for _, other := range q.flows {
		if float64(len(other.waiters))/other.weight > float64(len(longest.waiters))/longest.weight {
			longest = other
		}
	}
	dropped = longest.waiters[len(longest.waiters)-1]
	q.remove(dropped)
	return dropped
}

// pushBack returns a waiter to the front of its flow after its target could
// not be used.
func (q *queue) pushBack(w *waiter, weight float64) (dropped *waiter) {
	dropped = q.push(w, weight)
	if dropped == w {
		return dropped
	}
	f := w.flow
	f.startTag = max(q.virtualTime, f.startTag-1/f.weight)
	f.waiters = slices.Insert(f.waiters[:len(f.waiters)-1], 0, w)
	return dropped
}

// isShort reports whether another flow is at least moveRatio times longer
// than the given one, relative to their weights. The workspace of the short
// flow then asks for little and still waits.
func (q *queue) isShort(f *flow) bool {
	own := float64(len(f.waiters)) / f.weight
	for _, other := range q.flows {
		if float64(len(other.waiters))/other.weight >= moveRatio*own {
			return true
		}
	}
	return false
}

// remove removes a waiter. It returns false if the waiter is no longer
// queued.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(w.flow.waiters, w)
	if i < 0 {
		return false
	}
	w.flow.waiters = slices.Delete(w.flow.waiters, i, i+1)
	q.length--
	if q.length == 0 {
		clear(q.flows)
		q.virtualTime = 0
	}
	return true
}

// advance updates the virtual time and the start tag of a flow whose request
// has been placed.
func (q *queue) advance(f *flow) {
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += 1 / f.weight
}

// byStartTag returns the flows with waiters, in order of their start tags.
func (q *queue) byStartTag() []*flow {
	out := make([]*flow, 0, len(q.flows))
	for _, f := range q.flows {
		if len(f.waiters) > 0 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *flow) int {
		switch {
		case a.startTag < b.startTag:
			return -1
		case a.startTag > b.startTag:
			return 1
		default:
			return 0
		}
	})
	return out
}

// waitForCapacity queues a request until it is placed, refused, timed out or
// cancelled.
func (p *Placer) waitForCapacity(ctx context.Context, g *group, r Request) (Target, error) {
	timeout := maxWait
	if r.LocalOnly {
		timeout = maxForwardedWait
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	if r.Isolated {
		defer p.reserveUpstream(g)()
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	moveTimer := time.NewTimer(min(moveDelay, timeout/2))
	defer moveTimer.Stop()
	w := &waiter{request: r, ready: make(chan Target, 1)}
	p.enqueue(g, w, (*queue).push)
	for {
		select {
		case t := <-w.ready:
			if t.placer == nil {
				return Target{}, ErrNoCapacity
			}
			if !t.isCrossRegion() || p.admitCap(ctx, t) {
				return t, nil
			}
			p.enqueue(g, w, (*queue).pushBack)
		case <-moveTimer.C:
			if t, ok := p.moveToPeer(g, w); ok {
				return t, nil
			}
		case <-timer.C:
			p.abandon(g, w)
			return Target{}, ErrNoCapacity
		case <-ctx.Done():
			p.abandon(g, w)
			return Target{}, ErrCancelled
		}
	}
}

func (p *Placer) enqueue(g *group, w *waiter, push func(*queue, *waiter, float64) *waiter) {
	weight := p.workspaceWeight(w.request.Workspace)
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if dropped := push(&g.queue, w, weight); dropped != nil {
		dropped.ready <- Target{}
	}
	g.queued.Store(int64(g.queue.length))
	p.dispatch(g)
}

// workspaceWeight returns the declared weight of a workspace, or 1.
func (p *Placer) workspaceWeight(workspace string) float64 {
	r, ok := p.view.Load().snapshot.Resource(fgapi.Ref{Kind: fgapi.KindWorkspace, Name: workspace})
	if !ok {
		return 1
	}
	spec, ok := r.Spec.(*fgapi.WorkspaceSpec)
	if !ok || spec.Weight == 0 {
		return 1
	}
	return float64(spec.Weight)
}

// abandon removes a waiter from the queue. If it has received a target
// meanwhile, the target's capacity is released.
func (p *Placer) abandon(g *group, w *waiter) {
	g.queue.mu.Lock()
	removed := g.queue.remove(w)
	g.queued.Store(int64(g.queue.length))
	g.queue.mu.Unlock()
	if removed {
		return
	}
	select {
	case t := <-w.ready:
		t.cancelUnused()
	default:
	}
}

// moveToPeer takes a waiter out of the queue and returns a peer of the region
// as its target, because its workspace may have no other requests there.
// Without this, a small workspace whose callers all use one VM would get only
// a fraction of that VM's capacity.
func (p *Placer) moveToPeer(g *group, w *waiter) (Target, bool) {
	if w.request.LocalOnly || w.request.Isolated {
		return Target{}, false
	}
	now := p.now()
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if len(w.flow.waiters) == 0 || !g.queue.isShort(w.flow) {
		return Target{}, false
	}
	l := p.anyPeer(g.peers.Load().sameRegion, &w.request, now)
	if l == nil || !g.queue.remove(w) {
		return Target{}, false
	}
	g.queued.Store(int64(g.queue.length))
	return Target{placer: p, peer: l, generation: l.generation.Load(), started: now}, true
}

// wakeGroup places queued requests after capacity may have become free.
func (p *Placer) wakeGroup(g *group) {
	if g.queued.Load() == 0 {
		return
	}
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	p.dispatch(g)
}

// dispatch places queued requests in fair order while there is capacity. The
// caller must hold the queue's lock.
func (p *Placer) dispatch(g *group) {
	v := p.view.Load()
	gv := v.groups[g.name]
	if gv == nil {
		return
	}
	now := p.now()
	for g.queue.length > 0 && p.dispatchOne(v, gv, now) {
	}
	g.queued.Store(int64(g.queue.length))
}

// dispatchOne places the first request in fair order that can be placed. If
// an unconstrained request cannot be placed, no other unconstrained one can;
// only an isolated request that waits for its reserved upstream still may.
func (p *Placer) dispatchOne(v *view, gv *groupView, now instant) bool {
	g := gv.state
	noCapacity := false
	for _, f := range g.queue.byStartTag() {
		for _, w := range f.waiters {
			if noCapacity && !w.request.Isolated {
				continue
			}
			t, ok := p.choose(v, gv, &w.request, now)
			if ok {
				g.queue.advance(f)
				g.queue.remove(w)
				w.ready <- t
				return true
			}
			noCapacity = noCapacity || !w.isConstrained()
			if noCapacity && !g.reserving.Load() {
				return false
			}
		}
	}
	return false
}

// reserveUpstream excludes the least used upstream of a group from new
// requests until it is idle, so that a request can run there in isolation. The
// returned function ends the reservation. At most one upstream of a group is
// reserved at a time.
func (p *Placer) reserveUpstream(g *group) (release func()) {
	list := *g.candidates.Load()
	if len(list) == 0 || !g.reserving.CompareAndSwap(false, true) {
		return func() {}
	}
	now := p.now()
	u := slices.MinFunc(list, func(a, b *upstream) int {
		usageA, _ := a.cost(now)
		usageB, _ := b.cost(now)
		if usageA < usageB {
			return -1
		}
		return 1
	})
	u.reserved.Store(true)
	return func() {
		u.reserved.Store(false)
		g.reserving.Store(false)
		p.wakeGroup(g)
	}
}
