package fggateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgrelay"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// How far a message travels, for the metrics.
const (
	reachZone    = "zone"
	reachRegion  = "region"
	reachRemote  = "remote"
	reachUnknown = "unknown"
)

// relay passes states of other gateways on.
type relay struct {
	mu    sync.Mutex
	relay *fgrelay.Relay[*fgwire.GatewayState]
	// layout is the layout in force, for tests and log lines.
	layout fgrelay.Layout
}

// newRelay returns the relay of a gateway.
func newRelay(vm string) *fgrelay.Relay[*fgwire.GatewayState] {
	return fgrelay.NewRelay(vm, stateID, func(s *fgwire.GatewayState) int { return proto.Size(s) })
}

func stateID(s *fgwire.GatewayState) fgrelay.ID {
	return fgrelay.ID{VM: s.GetVm(), Incarnation: s.GetIncarnation(), Sequence: s.GetSequence()}
}

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

// peerStatus is what the layout is computed from.
type peerStatus struct{ gateway *Gateway }

// IsAvailable implements fgrelay.Status.
func (s peerStatus) IsAvailable(vm string) bool { return s.gateway.isAvailable(vm) }

// PassesOn implements fgrelay.Status. While this gateway is starting, those that it has
// not heard count as of its version.
func (s peerStatus) PassesOn(vm string) bool {
	starting := s.gateway.isStarting()
	p := &s.gateway.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	state, heard := p.states[vm]
	return vm == s.gateway.settings.Self.VM || state.passesOn || starting && !heard
}

// updateLayout recomputes the receivers of states from the current view.
func (g *Gateway) updateLayout() {
	layout := fgrelay.NewLayout(g.settings.Self, g.reachableMembers(), peerStatus{g})
	g.relay.mu.Lock()
	defer g.relay.mu.Unlock()
	if layout.IsRoot() != g.relay.layout.IsRoot() {
		g.logger.Info("role in the exchange of states changed", "isRoot", layout.IsRoot(), "members", layout.Len())
	}
	g.relay.layout = layout
	g.relay.relay.SetLayout(layout)
}

// sendToPeers sends a state and counts its bytes.
func (g *Gateway) sendToPeers(kind string, state *fgwire.GatewayState, members []fgsteer.MemberSpec) {
	to := g.newReceivers(members)
	n, err := g.sockets.peers.Send(state, to.addresses)
	if err != nil {
		g.logger.V(1).Info("sending a state to a gateway failed", "kind", kind, "error", err.Error())
	}
	for reach, count := range to.reach {
		g.metrics.PeerBytes(kind, reach, n*count)
	}
}

// sendAll sends messages of the relay.
func (g *Gateway) sendAll(sends []fgrelay.Send[*fgwire.GatewayState]) {
	for _, s := range sends {
		g.sendToPeers(string(s.Kind), g.encodeMessage(s.Message), s.To)
	}
}

// encodeMessage returns a message of the relay as it is sent. It has no state of this
// gateway: its sequence is 0.
func (g *Gateway) encodeMessage(m fgrelay.Message[*fgwire.GatewayState]) *fgwire.GatewayState {
	s := &fgwire.GatewayState{
		Vm: g.settings.Self.VM, Incarnation: g.settings.Self.Incarnation, PassesOn: true,
		Relayed: m.States, Tree: uint32(m.Tree), Wanted: m.Wanted,
	}
	for _, h := range m.Held {
		s.Held = append(s.Held, h.Key)
		s.HeldSequences = append(s.HeldSequences, h.Sequence)
	}
	return s
}

// decodeMessage is the reverse of encodeMessage. It returns only states that hold no
// further ones, and no loads or waiting requests, which stay in their zone.
func decodeMessage(s *fgwire.GatewayState) fgrelay.Message[*fgwire.GatewayState] {
	m := fgrelay.Message[*fgwire.GatewayState]{States: s.GetRelayed(), Tree: int(s.GetTree()), Wanted: s.GetWanted()}
	for _, r := range m.States {
		r.Relayed, r.Held, r.HeldSequences, r.Wanted, r.Loads, r.Waiting = nil, nil, nil, nil, nil, nil
	}
	for i, key := range s.GetHeld()[:min(len(s.GetHeld()), len(s.GetHeldSequences()))] {
		m.Held = append(m.Held, fgrelay.Held{Key: key, Sequence: s.GetHeldSequences()[i]})
	}
	return m
}

// passOnStates passes on states of other gateways, until the context ends.
func (g *Gateway) passOnStates(ctx context.Context) error {
	ticker := time.NewTicker(fgrelay.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		g.relay.mu.Lock()
		sends := g.relay.relay.Round()
		g.relay.mu.Unlock()
		g.sendAll(sends)
	}
}

// receiveState applies a state and those that it passes on, and passes on what other
// gateways lack. from is the peer address of the gateway that sent it.
func (g *Gateway) receiveState(s *fgwire.GatewayState, from string) {
	sender := fgrelay.Sender{VM: s.GetVm(), PassesOn: s.GetPassesOn()}
	message := decodeMessage(s)
	s.Relayed, s.Tree, s.Held, s.HeldSequences, s.Wanted = nil, 0, nil, nil, nil
	// The relay keeps the state without its loads and waiting requests: it may send it to
	// other zones, also while the state is applied here.
	applied := s
	if len(s.GetLoads()) > 0 || len(s.GetWaiting()) > 0 {
		applied = proto.CloneOf(s)
		s.Loads, s.Waiting = nil, nil
	}
	g.relay.mu.Lock()
	isNew := false
	var sends []fgrelay.Send[*fgwire.GatewayState]
	if s.GetSequence() > 0 {
		isNew, sends = g.relay.relay.ReceiveOwn(sender, s)
	}
	accepted, more := g.relay.relay.Receive(sender, message)
	g.relay.mu.Unlock()
	// What others wait for is sent before it is applied here.
	g.sendAll(append(sends, more...))
	if isNew {
		g.applyState(applied, from)
	}
	for _, r := range accepted {
		g.applyState(r, "")
	}
}
