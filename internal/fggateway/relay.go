package fggateway

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgrelay"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
)

const (
	// relayInterval is how often a relay sends the states that it has received. It
	// bounds the delay of a state at a relay, for which gateways of other regions
	// admit requests above a rate.
	relayInterval = 50 * time.Millisecond
	// maxBatchBytes keeps a datagram with the states of several gateways below the
	// usual MTU.
	maxBatchBytes = 1200
)

// How far a message travels, for the metrics.
const (
	reachZone    = "zone"
	reachRegion  = "region"
	reachRemote  = "remote"
	reachUnknown = "unknown"
)

// receivers are the addresses of gateways, with their number for each reach.
type receivers struct {
	addresses []*net.UDPAddr
	reach     map[string]int
}

// newReceivers resolves the addresses of members.
func (g *Gateway) newReceivers(members []fgsteer.MemberSpec) receivers {
	self := g.settings.Self
	r := receivers{reach: map[string]int{}}
	for _, m := range members {
		a, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil {
			continue
		}
		r.addresses = append(r.addresses, net.UDPAddrFromAddrPort(a))
		switch {
		case m.Region != self.Region:
			r.reach[reachRemote]++
		case m.AvailabilityZone != self.AvailabilityZone:
			r.reach[reachRegion]++
		default:
			r.reach[reachZone]++
		}
	}
	return r
}

// exchangePlan is a layout with the addresses that it names.
type exchangePlan struct {
	layout fgrelay.Layout
	// peers get the own state; ownZone and otherZones are its parts. zone and region get
	// what is passed on: region has the own zone and the distributors of the other ones.
	peers, ownZone, otherZones, zone, region receivers
}

// updatePlan recomputes the receivers of states from the current view.
func (g *Gateway) updatePlan() *exchangePlan {
	g.peers.mu.Lock()
	g.peers.sequences.Prune()
	g.peers.mu.Unlock()
	p := g.newPlan(fgrelay.NewLayout(g.settings.Self, g.reachableMembers(), g.isAvailable))
	g.plan.Store(p)
	return p
}

func (g *Gateway) newPlan(l fgrelay.Layout) *exchangePlan {
	var ownZone, otherZones []fgsteer.MemberSpec
	for _, m := range l.Peers() {
		if m.Region == g.settings.Self.Region && m.AvailabilityZone == g.settings.Self.AvailabilityZone {
			ownZone = append(ownZone, m)
		} else {
			otherZones = append(otherZones, m)
		}
	}
	return &exchangePlan{
		layout: l, peers: g.newReceivers(l.Peers()), ownZone: g.newReceivers(ownZone), otherZones: g.newReceivers(otherZones), zone: g.newReceivers(l.Zone()),
		region: g.newReceivers(slices.Concat(l.Zone(), l.Distributors())),
	}
}

// sendToPeers sends a state and counts its bytes.
func (g *Gateway) sendToPeers(kind string, s *fggossip.Socket, state *fgwire.GatewayState, to receivers) {
	n, err := s.Send(state, to.addresses)
	if err != nil {
		g.logger.V(1).Info("sending a state to a gateway failed", "kind", kind, "error", err.Error())
	}
	for reach, count := range to.reach {
		g.metrics.PeerBytes(kind, reach, n*count)
	}
}

// envelope returns a state that only passes on those of others: its sequence is 0.
func (g *Gateway) envelope(states []*fgwire.GatewayState) *fgwire.GatewayState {
	return &fgwire.GatewayState{Vm: g.settings.Self.VM, Incarnation: g.settings.Self.Incarnation, Relayed: states}
}

// queueForRelay keeps a state of this region for the next round, if this gateway is a
// relay.
func (g *Gateway) queueForRelay(s *fgwire.GatewayState) {
	if p := g.plan.Load(); p == nil || !p.layout.IsRelay() {
		return
	}
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	g.peers.queue.Add(s, proto.Size(s))
}

// relay sends the states of this region to other regions while this gateway is a
// relay, until the context ends.
func (g *Gateway) relay(ctx context.Context) error {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		g.peers.mu.Lock()
		batches := g.peers.queue.Take(maxBatchBytes)
		g.peers.mu.Unlock()
		p := g.plan.Load()
		if p == nil || len(batches) == 0 {
			continue
		}
		targets := g.newReceivers(p.layout.Targets(round))
		for _, batch := range batches {
			g.sendToPeers("relay", g.sockets.peers, g.envelope(batch), targets)
		}
	}
}

// receiveState applies a state and those that it passes on, and passes on what came
// from another region or zone. from is the peer address of the gateway that sent it.
func (g *Gateway) receiveState(s *fgwire.GatewayState, from string) {
	p := g.plan.Load()
	relayed := s.GetRelayed()
	s.Relayed = nil
	if s.GetSequence() > 0 && g.acceptState(s) {
		g.applyState(s, from)
		s.Waiting = nil
		if p != nil && p.layout.InRegion(s.GetVm()) {
			g.queueForRelay(s)
		}
	}
	var passedOn []*fgwire.GatewayState
	for _, r := range relayed {
		r.Relayed = nil
		if r.GetVm() != g.settings.Self.VM && g.acceptState(r) {
			g.applyState(r, "")
			passedOn = append(passedOn, r)
		}
	}
	if p == nil || len(passedOn) == 0 {
		return
	}
	switch p.layout.DistributionFrom(s.GetVm()) {
	case fgrelay.ToRegion:
		g.sendToPeers("distribution", g.sockets.peers, g.envelope(passedOn), p.region)
	case fgrelay.ToZone:
		g.sendToPeers("distribution", g.sockets.peers, g.envelope(passedOn), p.zone)
	case fgrelay.NoDistribution:
	}
}

// acceptState reports whether a state is newer than those before of its gateway.
func (g *Gateway) acceptState(s *fgwire.GatewayState) bool {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	return g.peers.sequences.Accept(s.GetVm(), s.GetIncarnation(), s.GetSequence())
}
