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
	// maxHopWait bounds how long a request that a peer placed here waits. It is
	// short, because the request may have waited there already.
	maxHopWait = 100 * time.Millisecond
	// moveAfter is when a request of a workspace that gets less than others here
	// moves to the queue of a peer. It leaves time for the wait there.
	moveAfter = maxWait / 2
	// moveRatio is how many times longer the longest flow must be, for its
	// weight, than the flow of a request that moves.
	moveRatio = 2
	// maxQueued bounds the requests that wait for one group.
	maxQueued = 512
)

// waiter is a request that waits for capacity.
type waiter struct {
	request Request
	flow    *flow
	// ready receives the target, or the zero target when the request is refused.
	ready chan Target
}

// special reports whether others may be placed while this one cannot.
func (w *waiter) special() bool {
	return w.request.LocalOnly || w.request.Alone || len(w.request.Exclude) > 0
}

// flow is a workspace's part of a queue.
type flow struct {
	weight  float64
	waiters []*waiter
	// turn is the virtual time of the flow's next request.
	turn float64
}

// queue shares capacity between workspaces by weight: the flow with the lowest
// turn is next, and each request moves its flow's turn by 1/weight. A flow that
// has been away begins at the present virtual time, so it cannot save up turns.
type queue struct {
	mu      sync.Mutex
	virtual float64
	flows   map[string]*flow
	length  int
}

// push adds a waiter. When the queue is full, the flow with the most requests
// for its weight loses its newest one, which is returned.
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
		f.turn = max(f.turn, q.virtual)
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

// pushBack returns a waiter whose turn came to nothing to the front of its
// flow.
func (q *queue) pushBack(w *waiter, weight float64) (dropped *waiter) {
	dropped = q.push(w, weight)
	if dropped == w {
		return dropped
	}
	f := w.flow
	f.turn = max(q.virtual, f.turn-1/f.weight)
	f.waiters = slices.Insert(f.waiters[:len(f.waiters)-1], 0, w)
	return dropped
}

// disadvantaged reports whether a flow is much shorter than the longest one.
// Its workspace then asks for little and still waits.
func (q *queue) disadvantaged(f *flow) bool {
	own := float64(len(f.waiters)) / f.weight
	for _, other := range q.flows {
		if float64(len(other.waiters))/other.weight >= moveRatio*own {
			return true
		}
	}
	return false
}

// remove takes a waiter out. It reports false when it does not wait any more.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(w.flow.waiters, w)
	if i < 0 {
		return false
	}
	w.flow.waiters = slices.Delete(w.flow.waiters, i, i+1)
	q.length--
	if q.length == 0 {
		clear(q.flows)
		q.virtual = 0
	}
	return true
}

// served moves the turn of a flow whose request has been placed.
func (q *queue) served(f *flow) {
	q.virtual = max(q.virtual, f.turn)
	f.turn += 1 / f.weight
}

// order returns the flows that wait, by turn.
func (q *queue) order() []*flow {
	out := make([]*flow, 0, len(q.flows))
	for _, f := range q.flows {
		if len(f.waiters) > 0 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *flow) int {
		switch {
		case a.turn < b.turn:
			return -1
		case a.turn > b.turn:
			return 1
		default:
			return 0
		}
	})
	return out
}

// wait queues a request until it is placed, refused or abandoned.
func (p *Placer) wait(ctx context.Context, g *group, r Request) (Target, error) {
	limit := maxWait
	if r.LocalOnly {
		limit = maxHopWait
	}
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline)/2)
	}
	if r.Alone {
		defer p.clear(g)()
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	move := time.NewTimer(min(moveAfter, limit/2))
	defer move.Stop()
	w := &waiter{request: r, ready: make(chan Target, 1)}
	p.enqueue(g, w, (*queue).push)
	for {
		select {
		case t := <-w.ready:
			if t.placer == nil {
				return Target{}, ErrNoCapacity
			}
			if !t.crosses() || p.admitCap(ctx, t) {
				return t, nil
			}
			p.enqueue(g, w, (*queue).pushBack)
		case <-move.C:
			if t, ok := p.move(g, w); ok {
				return t, nil
			}
		case <-timer.C:
			p.abandon(g, w)
			return Target{}, ErrNoCapacity
		case <-ctx.Done():
			p.abandon(g, w)
			return Target{}, ErrLeft
		}
	}
}

func (p *Placer) enqueue(g *group, w *waiter, push func(*queue, *waiter, float64) *waiter) {
	weight := p.weight(w.request.Workspace)
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if dropped := push(&g.queue, w, weight); dropped != nil {
		dropped.ready <- Target{}
	}
	g.queued.Store(int64(g.queue.length))
	p.dispatch(g)
}

// weight returns the declared weight of a workspace.
func (p *Placer) weight(workspace string) float64 {
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

// abandon takes a waiter out of the queue. A target that it has received
// meanwhile is given back.
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
		t.cancel()
	default:
	}
}

// move takes a waiter out of the queue and sends it to the queue of a peer of
// the region, where its workspace may have no others. Without this, a small
// workspace whose callers all use one VM would get a part of that VM only.
func (p *Placer) move(g *group, w *waiter) (Target, bool) {
	if w.request.LocalOnly || w.request.Alone {
		return Target{}, false
	}
	now := p.now()
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if len(w.flow.waiters) == 0 || !g.queue.disadvantaged(w.flow) {
		return Target{}, false
	}
	l := p.anyPeer(g.peers.Load().near, &w.request, now)
	if l == nil || !g.queue.remove(w) {
		return Target{}, false
	}
	g.queued.Store(int64(g.queue.length))
	return Target{placer: p, peer: l, generation: l.generation.Load(), started: now}, true
}

// wakeGroup places waiting requests after capacity may have become free.
func (p *Placer) wakeGroup(g *group) {
	if g.queued.Load() == 0 {
		return
	}
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	p.dispatch(g)
}

// dispatch places waiting requests, fairest first, while there is capacity.
// The queue's lock must be held.
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

// dispatchOne places the fairest request that can be placed. When an ordinary
// one cannot, no other ordinary one can; one that waits for a cleared upstream
// may still.
func (p *Placer) dispatchOne(v *view, gv *groupView, now instant) bool {
	g := gv.state
	full := false
	for _, f := range g.queue.order() {
		for _, w := range f.waiters {
			if full && !w.request.Alone {
				continue
			}
			t, ok := p.choose(v, gv, &w.request, now)
			if ok {
				g.queue.served(f)
				g.queue.remove(w)
				w.ready <- t
				return true
			}
			full = full || !w.special()
			if full && !g.clearing.Load() {
				return false
			}
		}
	}
	return false
}

// clear keeps new requests away from the least used upstream of a group, so
// that it becomes idle for a request that must run alone. The returned
// function ends this. At most one upstream of a group is cleared at a time.
func (p *Placer) clear(g *group) (end func()) {
	list := *g.candidates.Load()
	if len(list) == 0 || !g.clearing.CompareAndSwap(false, true) {
		return func() {}
	}
	now := p.now()
	u := slices.MinFunc(list, func(a, b *upstream) int {
		useA, _ := a.cost(now)
		useB, _ := b.cost(now)
		if useA < useB {
			return -1
		}
		return 1
	})
	u.clearing.Store(true)
	return func() {
		u.clearing.Store(false)
		g.clearing.Store(false)
		p.wakeGroup(g)
	}
}
