package fgplacement

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// view is what the configuration and the member set say. It is immutable; the
// states that it points to change on their own.
type view struct {
	snapshot *fgconfig.Snapshot
	groups   map[string]*groupView
	drains   drains
	// capped holds the regions to which this VM's region has a cap.
	capped map[string]bool
	// regionMembers are the members of this VM's region.
	regionMembers []fgmember.Member
	members       []fgmember.Member
	blocks        *blocks
}

// groupView is one upstream group of a view.
type groupView struct {
	state *group
	// locals are the group's upstreams in this VM's region that are not drained.
	locals []*upstream
}

// reachable reports whether waiting can lead to capacity.
func (g *groupView) reachable() bool {
	peers := g.state.peers.Load()
	return len(g.locals)+len(peers.near)+len(peers.far) > 0
}

// group is the state of an upstream group. It outlives views.
type group struct {
	name string
	// candidates are the local upstreams on which this VM may have requests.
	candidates atomic.Pointer[[]*upstream]
	peers      atomic.Pointer[peerLists]
	// queued mirrors the length of the queue for readers without its lock.
	queued   atomic.Int64
	queue    queue
	clearing atomic.Bool
}

// peerLists holds the peers to which requests of a group may go.
type peerLists struct {
	near, far []*peerLoad
}

func newGroup(name string) *group {
	g := &group{name: name}
	g.candidates.Store(&[]*upstream{})
	g.peers.Store(&peerLists{})
	return g
}

// addPeer adds a peer that reported the group for the first time.
func (g *group) addPeer(l *peerLoad, v *view) {
	old := g.peers.Load()
	next := &peerLists{near: old.near, far: old.far}
	switch {
	case !v.accepts(*l.owner.member.Load(), l.link):
		return
	case l.link == nil:
		next.near = append(slices.Clip(old.near), l)
	default:
		next.far = append(slices.Clip(old.far), l)
	}
	g.peers.Store(next)
}

// accepts reports whether requests may go to a member.
func (v *view) accepts(m fgmember.Member, l *link) bool {
	if m.Leaving || v.drains.coversMember(m) {
		return false
	}
	return l == nil || v.capped[l.to]
}

// drains is the set of drained targets.
type drains map[fgapi.DrainSpec]bool

func newDrains(s *fgconfig.Snapshot) drains {
	out := drains{}
	for _, r := range s.Resources(fgapi.KindDrain) {
		if spec, ok := r.Spec.(*fgapi.DrainSpec); ok {
			out[*spec] = true
		}
	}
	return out
}

func (d drains) coversMember(m fgmember.Member) bool {
	return d[fgapi.DrainSpec{TargetKind: fgapi.DrainVM, Target: m.VM}] ||
		d.coversPlace(m.Region, m.AvailabilityZone)
}

func (d drains) coversUpstream(u *fgconfig.Upstream) bool {
	return d[fgapi.DrainSpec{TargetKind: fgapi.DrainUpstream, Target: u.Name()}] ||
		d.coversPlace(u.Spec().Region, u.Spec().AvailabilityZone)
}

func (d drains) coversPlace(region, zone string) bool {
	return d[fgapi.DrainSpec{TargetKind: fgapi.DrainRegion, Target: region}] ||
		d[fgapi.DrainSpec{TargetKind: fgapi.DrainAvailabilityZone, Target: zone}]
}

// Update puts a configuration and a member set in force.
func (p *Placer) Update(s *fgconfig.Snapshot, m *fgmember.Set) {
	p.UpdateFrom(func() (*fgconfig.Snapshot, *fgmember.Set) { return s, m })
}

// UpdateFrom puts in force what a source returns. The source is called one
// caller at a time, so that an older state cannot replace a newer one.
func (p *Placer) UpdateFrom(source func() (*fgconfig.Snapshot, *fgmember.Set)) {
	p.mu.Lock()
	s, m := source()
	v := &view{snapshot: s, groups: map[string]*groupView{}, drains: newDrains(s), capped: p.cappedRegions(s), members: m.All(), blocks: p.blocksOf(s)}
	for _, member := range m.All() {
		if member.Region == p.options.Region {
			v.regionMembers = append(v.regionMembers, member)
		}
	}
	p.updateUpstreams(v)
	p.updatePeers(v)
	p.refresh(v)
	p.view.Store(v)
	p.mu.Unlock()
	for _, g := range v.groups {
		p.wakeGroup(g.state)
	}
}

// Generation returns the generation of the configuration in force.
func (p *Placer) Generation() uint64 { return p.view.Load().snapshot.Generation() }

func (p *Placer) cappedRegions(s *fgconfig.Snapshot) map[string]bool {
	out := map[string]bool{}
	for _, r := range s.Resources(fgapi.KindRegionalCap) {
		spec, ok := r.Spec.(*fgapi.RegionalCapSpec)
		if ok && spec.From == p.options.Region && spec.RequestsPerSecond > 0 {
			out[spec.To] = true
		}
	}
	return out
}

func (p *Placer) updateUpstreams(v *view) {
	known := map[string]*upstream{}
	for _, r := range v.snapshot.Resources(fgapi.KindUpstream) {
		spec, ok := r.Spec.(*fgapi.UpstreamSpec)
		if !ok || v.groups[spec.Group] != nil {
			continue
		}
		v.groups[spec.Group] = &groupView{state: p.groupState(spec.Group)}
		for _, u := range v.snapshot.Upstreams(spec.Group) {
			p.updateUpstream(v, u, known)
		}
	}
	p.upstreams = known
}

func (p *Placer) groupState(name string) *group {
	g := p.groups[name]
	if g == nil {
		g = newGroup(name)
		p.groups[name] = g
	}
	return g
}

// updateUpstream adds an upstream of this VM's region to a view. One that is
// new, has moved or was drained begins a slow start.
func (p *Placer) updateUpstream(v *view, c *fgconfig.Upstream, known map[string]*upstream) {
	if c.Spec().Region != p.options.Region {
		return
	}
	g := v.groups[c.Spec().Group]
	u := p.upstreams[c.Name()]
	if u == nil || !u.is(c) {
		u = newUpstream(c, g.state, p.now())
	}
	u.config.Store(c)
	known[c.Name()] = u
	drained := v.drains.coversUpstream(c)
	if u.drained && !drained {
		u.coldSince.Store(int64(p.now()))
	}
	u.drained = drained
	if !drained {
		g.locals = append(g.locals, u)
	}
}

// updatePeers drops the states of processes that are gone and sorts the others
// into the lists of each group.
func (p *Placer) updatePeers(v *view) {
	known := map[string]*peer{}
	lists := map[*group]*peerLists{}
	for _, g := range p.groups {
		lists[g] = &peerLists{}
	}
	for _, m := range v.members {
		o := p.peers[m.VM]
		if o == nil || o.member.Load().Incarnation != m.Incarnation {
			o = &peer{loads: map[string]*peerLoad{}}
		}
		o.member.Store(&m)
		known[m.VM] = o
		for _, l := range o.loads {
			switch {
			case !v.accepts(m, l.link):
			case l.link == nil:
				lists[l.group].near = append(lists[l.group].near, l)
			default:
				lists[l.group].far = append(lists[l.group].far, l)
			}
		}
	}
	p.peers = known
	for g, l := range lists {
		g.peers.Store(l)
	}
}

// refresh applies this VM's part of each upstream.
func (p *Placer) refresh(v *view) {
	for _, g := range v.groups {
		candidates := make([]*upstream, 0, len(g.locals))
		for _, u := range g.locals {
			u.most.Store(p.partOf(v, u))
			if u.most.Load() > 0 {
				candidates = append(candidates, u)
			}
		}
		g.state.candidates.Store(&candidates)
	}
}

// partOf returns this VM's slots of an upstream, or its part of the declared
// connections.
func (p *Placer) partOf(v *view, u *upstream) int64 {
	if u.hasSlots() {
		return p.options.Permits.Units(u.config.Load())
	}
	connections := u.config.Load().Spec().Connections
	if connections == 0 {
		connections = defaultConnections
	}
	vms := int64(max(1, len(v.regionMembers)))
	if connections >= vms {
		return connections / vms
	}
	if p.rank(v, u) < connections {
		return 1
	}
	return 0
}

// rank orders the VMs of the region differently for each upstream. Where an
// upstream accepts fewer connections than there are VMs, the first VMs use it.
func (p *Placer) rank(v *view, u *upstream) int64 {
	own := xxhash.Sum64String(u.name() + "/" + p.options.VM)
	var before int64
	for _, m := range v.regionMembers {
		if xxhash.Sum64String(u.name()+"/"+m.VM) < own {
			before++
		}
	}
	return before
}
