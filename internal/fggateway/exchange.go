package fggateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgquota"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
)

const (
	// exchangeEvery is how often a gateway tells the others its state. Rates are
	// exceeded by at most what is asked for in this time.
	exchangeEvery = 200 * time.Millisecond
	// exchangeMembers is the number of gateways up to which this interval holds;
	// with more it grows, so that the work of each stays the same, up to
	// exchangeMost. A workspace's excess over its rate is known no sooner.
	exchangeMembers = 10
	exchangeMost    = 600 * time.Millisecond
	// lostAfter is how long a gateway may be silent before look-ups leave it out.
	lostAfter = 1200 * time.Millisecond
	// behindAfter is how long this gateway may lack a revision that a peer has,
	// beyond its own pause between two watches, before it fetches the peer's copy.
	behindAfter = 400 * time.Millisecond
)

// peers is what this gateway heard from the others.
type peers struct {
	mu    sync.Mutex
	heard map[string]peerState
	first time.Time
	// behind is since when source has had a revision that this gateway lacks.
	behind         time.Time
	behindRevision uint64
	source         string
}

type peerState struct {
	incarnation uint64
	at          time.Time
	leaving     bool
}

// exchange tells the other gateways this one's state until the context ends.
func (g *Gateway) exchange(ctx context.Context, s *fggossip.Socket) error {
	last := time.Now()
	var regions regionLines
	for sequence := uint64(1); ; sequence++ {
		wait := time.NewTimer(g.exchangeInterval())
		select {
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		case <-wait.C:
		}
		g.tell(s, sequence, time.Since(last))
		last = time.Now()
		g.catchUp(ctx)
		g.logRegions(&regions)
	}
}

func (g *Gateway) exchangeInterval() time.Duration {
	n := 1
	if v := g.mirror.View(); v != nil {
		n = len(v.Members())
	}
	return min(exchangeEvery*time.Duration(max(n, exchangeMembers))/exchangeMembers, exchangeMost)
}

// tell sends this gateway's state to the others.
func (g *Gateway) tell(s *fggossip.Socket, sequence uint64, elapsed time.Duration) {
	state := &fgwire.GatewayState{
		Vm: g.settings.Self.VM, Incarnation: g.settings.Self.Incarnation, Sequence: sequence,
		StoreRevision: g.mirror.Revision(), StoreAgeMs: g.mirror.Age().Milliseconds(), Leaving: g.leaving.Load(),
	}
	for _, u := range g.meter.Tick(elapsed) {
		state.Workspaces = append(state.Workspaces, &fgwire.WorkspaceUse{
			Workspace: u.Workspace, Admitted: u.Admitted, Demand: uint32(10 * u.Demand),
		})
	}
	state.Crashes = g.tellCrashes()
	if err := s.Send(state, g.peerAddresses()); err != nil {
		g.logger.V(1).Info("state not sent to every gateway", "error", err.Error())
	}
}

// peerAddresses returns the addresses of the other registered gateways.
func (g *Gateway) peerAddresses() []*net.UDPAddr {
	v := g.mirror.View()
	if v == nil {
		return nil
	}
	var all []*net.UDPAddr
	for _, m := range v.Members() {
		if m.VM == g.settings.Self.VM {
			continue
		}
		if a, err := net.ResolveUDPAddr("udp4", m.PeerAddress); err == nil {
			all = append(all, a)
		}
	}
	return all
}

// hear takes in another gateway's state.
func (g *Gateway) hear(s *fgwire.GatewayState) {
	uses := make([]fgquota.Use, len(s.GetWorkspaces()))
	for i, u := range s.GetWorkspaces() {
		uses[i] = fgquota.Use{Workspace: u.GetWorkspace(), Admitted: u.GetAdmitted(), Demand: float64(u.GetDemand()) / 10}
	}
	g.meter.Hear(s.GetVm(), s.GetIncarnation(), s.GetSequence(), uses)
	g.hearCrashes(s.GetCrashes())
	now := time.Now()
	p := &g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard == nil {
		p.heard = map[string]peerState{}
		p.first = now
	}
	if old, ok := p.heard[s.GetVm()]; !ok || old.incarnation != s.GetIncarnation() || old.leaving != s.GetLeaving() {
		g.logger.Info("gateway heard", "vm", s.GetVm(), "incarnation", s.GetIncarnation(), "leaving", s.GetLeaving())
	}
	p.heard[s.GetVm()] = peerState{incarnation: s.GetIncarnation(), at: now, leaving: s.GetLeaving()}
	own := g.mirror.Revision()
	if own >= p.behindRevision {
		p.behind = time.Time{}
	}
	if s.GetStoreRevision() > own && p.behind.IsZero() {
		p.behind, p.behindRevision, p.source = now, s.GetStoreRevision(), s.GetVm()
	}
}

// present reports whether look-ups may name a gateway: it was heard of lately
// and is not leaving. While nobody is heard, this gateway is the one cut off,
// and names all that are registered.
func (g *Gateway) present(vm string) bool {
	if vm == g.settings.Self.VM {
		return !g.leaving.Load()
	}
	p := &g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := lostAfter * time.Duration(max(1, g.exchangeInterval()/exchangeEvery))
	anyone := false
	for _, s := range p.heard {
		anyone = anyone || time.Since(s.at) < lost
	}
	s, ok := p.heard[vm]
	if !anyone {
		return !s.leaving
	}
	if !ok {
		return time.Since(p.first) < lost
	}
	return !s.leaving && time.Since(s.at) < lost
}

// behindPeer returns a peer that has had a newer copy of the store for a while.
func (g *Gateway) behindPeer() (vm string, behind bool) {
	own, wait := g.mirror.Revision(), behindAfter+g.mirror.BatchWait()
	p := &g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.source, !p.behind.IsZero() && own < p.behindRevision && time.Since(p.behind) > wait
}

// catchUp fetches a peer's copy of the store when the store turns this gateway
// away while others follow it.
func (g *Gateway) catchUp(ctx context.Context) {
	source, behind := g.behindPeer()
	v := g.mirror.View()
	if !behind || v == nil {
		return
	}
	g.peers.forgetBehind()
	for _, m := range v.Members() {
		if m.VM == source {
			g.fetch(ctx, m.PeerAddress, source)
		}
	}
}

// forgetBehind waits again before the next fetch.
func (p *peers) forgetBehind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behind = time.Time{}
}

func (g *Gateway) fetch(ctx context.Context, address, source string) {
	before := g.mirror.Revision()
	a, err := fggossip.FetchStore(ctx, address, before)
	if err != nil {
		g.logger.Info("copy of the store not fetched", "from", source, "error", err.Error())
		return
	}
	if a.GetRevision() <= before {
		return
	}
	values := make([]fgstore.Value, len(a.GetEntries()))
	for i, e := range a.GetEntries() {
		values[i] = fgstore.Value{Key: e.GetKey(), Data: e.GetValue(), Revision: e.GetRevision()}
	}
	g.mirror.Replace(values, a.GetRevision(), a.GetRecovering())
	g.logger.Info("copy of the store fetched", "from", source, "revision", a.GetRevision(), "was", before, "storeAgeMs", g.mirror.Age().Milliseconds())
}

// storeService answers the calls of other gateways.
type storeService struct{ gateway *Gateway }

// FetchStore returns this gateway's copy of the store.
func (s storeService) FetchStore(_ context.Context, r *fgwire.StoreRequest) (*fgwire.StoreAnswer, error) {
	values, revision := s.gateway.mirror.Values()
	a := &fgwire.StoreAnswer{Revision: revision, Recovering: s.gateway.mirror.Recovering()}
	if revision <= r.GetRevision() {
		return a, nil
	}
	for _, v := range values {
		a.Entries = append(a.Entries, &fgwire.StoreEntry{Key: v.Key, Value: v.Data, Revision: v.Revision})
	}
	return a, nil
}
