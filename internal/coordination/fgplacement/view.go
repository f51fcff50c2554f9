package fgplacement

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// view is an immutable snapshot of the configuration and the member set. The
// upstream, group and peer states that it refers to are mutable.
type view struct {
	snapshot *fgconfig.Snapshot
	groups   map[string]*groupView
	drains   drains
	// cappedRegions holds the regions to which this VM's region has a cap.
	cappedRegions map[string]bool
	// regionMembers are the members of this VM's region.
	regionMembers []fgmember.Member
	members       []fgmember.Member
	clientBlocks  *clientBlocks
}

// groupView is one upstream group in a view.
type groupView struct {
	state *group
	// localUpstreams are the group's upstreams in this VM's region that are
	// not drained.
	localUpstreams []*upstream
}

// hasTargets reports whether waiting can lead to capacity.
func (g *groupView) hasTargets() bool {
	peers := g.state.peers.Load()
	return len(g.localUpstreams)+len(peers.sameRegion)+len(peers.otherRegions) > 0
}

// group is the state of an upstream group. It is kept across view changes.
type group struct {
	name string
	// candidates are the local upstreams to which this VM may send requests.
	candidates atomic.Pointer[[]*upstream]
	peers      atomic.Pointer[peerLists]
	// queued mirrors the queue's length for readers that do not hold its lock.
	queued    atomic.Int64
	queue     queue
	reserving atomic.Bool
}

// peerLists holds the peers to which requests of a group may go.
type peerLists struct {
	sameRegion, otherRegions []*peerLoad
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
	next := &peerLists{sameRegion: old.sameRegion, otherRegions: old.otherRegions}
	switch {
	case !v.accepts(*l.owner.member.Load(), l.regionLink):
		return
	case l.regionLink == nil:
		next.sameRegion = append(slices.Clip(old.sameRegion), l)
	default:
		next.otherRegions = append(slices.Clip(old.otherRegions), l)
	}
	g.peers.Store(next)
}

// accepts reports whether requests may be forwarded to a member.
func (v *view) accepts(m fgmember.Member, l *regionLink) bool {
	if m.Leaving || v.drains.coversMember(m) {
		return false
	}
	return l == nil || v.cappedRegions[l.to]
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
		d.coversLocation(m.Region, m.AvailabilityZone)
}

func (d drains) coversUpstream(u *fgconfig.Upstream) bool {
	return d[fgapi.DrainSpec{TargetKind: fgapi.DrainUpstream, Target: u.Name()}] ||
		d.coversLocation(u.Spec().Region, u.Spec().AvailabilityZone)
}

func (d drains) coversLocation(region, zone string) bool {
	return d[fgapi.DrainSpec{TargetKind: fgapi.DrainRegion, Target: region}] ||
		d[fgapi.DrainSpec{TargetKind: fgapi.DrainAvailabilityZone, Target: zone}]
}

// Update applies a configuration and a member set.
func (p *Placer) Update(s *fgconfig.Snapshot, m *fgmember.Set) {
	p.UpdateFrom(func() (*fgconfig.Snapshot, *fgmember.Set) { return s, m })
}

// UpdateFrom applies what a source returns. Calls of the source are
// serialized, so that an older state cannot replace a newer one.
func (p *Placer) UpdateFrom(source func() (*fgconfig.Snapshot, *fgmember.Set)) {
	p.mu.Lock()
	s, m := source()
	v := &view{snapshot: s, groups: map[string]*groupView{}, drains: newDrains(s), cappedRegions: p.cappedRegions(s), members: m.All(), clientBlocks: p.clientBlocksOf(s)}
	for _, member := range m.All() {
		if member.Region == p.options.Region {
			v.regionMembers = append(v.regionMembers, member)
		}
	}
	p.updateUpstreams(v)
	p.updatePeers(v)
	p.updateLimits(v)
	p.view.Store(v)
	p.mu.Unlock()
	for _, g := range v.groups {
		p.wakeGroup(g.state)
	}
}

// Generation returns the generation of the applied configuration.
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

// updateUpstream adds an upstream of this VM's region to a view. An upstream
// that is new, has changed its address, region or group, or is no longer
// drained begins a slow start.
func (p *Placer) updateUpstream(v *view, c *fgconfig.Upstream, known map[string]*upstream) {
	if c.Spec().Region != p.options.Region {
		return
	}
	g := v.groups[c.Spec().Group]
	u := p.upstreams[c.Name()]
	if u == nil || !u.isSameServer(c) {
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
		g.localUpstreams = append(g.localUpstreams, u)
	}
}

// updatePeers drops the state of processes that have ended and assigns the
// remaining peers to the lists of each group.
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
			case !v.accepts(m, l.regionLink):
			case l.regionLink == nil:
				lists[l.group].sameRegion = append(lists[l.group].sameRegion, l)
			default:
				lists[l.group].otherRegions = append(lists[l.group].otherRegions, l)
			}
		}
	}
	p.peers = known
	for g, l := range lists {
		g.peers.Store(l)
	}
}

// updateLimits sets this VM's limit for each upstream and the candidates of
// each group.
func (p *Placer) updateLimits(v *view) {
	for _, g := range v.groups {
		candidates := make([]*upstream, 0, len(g.localUpstreams))
		for _, u := range g.localUpstreams {
			u.maxInFlight.Store(p.ownLimit(v, u))
			if u.maxInFlight.Load() > 0 {
				candidates = append(candidates, u)
			}
		}
		g.state.candidates.Store(&candidates)
	}
}

// ownLimit returns this VM's slots of an upstream, or its share of the
// declared connections.
func (p *Placer) ownLimit(v *view, u *upstream) int64 {
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

// rank returns this VM's position among the VMs of the region, in an order
// that differs for each upstream. If an upstream accepts fewer connections
// than there are VMs, the first VMs use it.
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
