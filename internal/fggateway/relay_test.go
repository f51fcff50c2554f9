package fggateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgrelay"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// fakePeer is a registered gateway that only receives states.
type fakePeer struct {
	spec fgsteer.MemberSpec
	udp  *net.UDPConn
}

// addPeers registers n gateways in each of three regions.
func (env *testEnv) addPeers(n int) map[string]*fakePeer {
	env.t.Helper()
	peers := map[string]*fakePeer{}
	for _, region := range []string{"east", "west", "south"} {
		for i := range n {
			udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				env.t.Fatal(err)
			}
			env.t.Cleanup(func() { _ = udp.Close() })
			p := &fakePeer{udp: udp, spec: fgsteer.MemberSpec{
				VM: fmt.Sprintf("%s-%d", region, i), Region: region, AvailabilityZone: fmt.Sprintf("%s-%d", region, i%2), PeerAddress: udp.LocalAddr().String(),
			}}
			env.put("member/"+p.spec.VM, p.spec)
			peers[p.spec.VM] = p
		}
	}
	return peers
}

// receive returns the states that a peer receives for a while.
func (p *fakePeer) receive(t *testing.T, d time.Duration) []*fgwire.GatewayState {
	t.Helper()
	_ = p.udp.SetReadDeadline(time.Now().Add(d))
	var all []*fgwire.GatewayState
	buffer := make([]byte, 64<<10)
	for {
		n, err := p.udp.Read(buffer)
		if err != nil {
			return all
		}
		s := &fgwire.GatewayState{}
		if err := proto.Unmarshal(buffer[:n], s); err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
	}
}

// Guards against states that are sent to gateways of other regions directly, are not
// passed on in the region, or are passed on twice because two relays have sent them.
func TestStatesTravelThroughRelays(t *testing.T) {
	env := newTestEnv(t)
	peers := env.addPeers(9)
	g := env.gateway("vm-1", 0)
	env.eventually("the gateways are known", func() bool { return len(g.mirror.View().Members()) == 28 })
	g.updatePlan()
	remote := peers["west-3"]
	layout := g.plan.Load().layout
	distributors := layout.Distributors()
	if len(distributors) != 4 || len(layout.Zone()) != 0 {
		t.Fatalf("%d distributors of the two other zones, %d gateways of the own", len(distributors), len(layout.Zone()))
	}
	local := peers[distributors[0].VM]
	if got := len(g.plan.Load().layout.Peers()); got != 9 {
		t.Fatalf("the state goes to %d gateways, want 9", got)
	}
	for _, s := range remote.receive(t, time.Second) {
		if s.GetSequence() > 0 {
			t.Errorf("a gateway of another region got the state of %s directly", s.GetVm())
		}
	}
	state := &fgwire.GatewayState{Vm: "west-5", Incarnation: 7, Sequence: 3, Leaving: true}
	_ = local.receive(t, 50*time.Millisecond)
	for range 2 {
		g.receiveState(&fgwire.GatewayState{Vm: "west-3", Relayed: []*fgwire.GatewayState{proto.Clone(state).(*fgwire.GatewayState)}}, peers["west-3"].spec.PeerAddress)
	}
	passedOn := 0
	for _, s := range local.receive(t, 300*time.Millisecond) {
		for _, r := range s.GetRelayed() {
			if r.GetVm() == "west-5" && r.GetSequence() == 3 && r.GetLeaving() {
				passedOn++
			}
		}
	}
	if passedOn != 1 {
		t.Errorf("the state was passed on %d times, want 1", passedOn)
	}
	if g.isAvailable("west-5") {
		t.Error("a gateway that leaves is available")
	}
	// What a gateway of the own region passes on goes to the own zone only.
	g.receiveState(&fgwire.GatewayState{Vm: "east-2", Relayed: []*fgwire.GatewayState{{Vm: "west-6", Incarnation: 7, Sequence: 3}}}, peers["east-2"].spec.PeerAddress)
	for _, s := range local.receive(t, 300*time.Millisecond) {
		for _, r := range s.GetRelayed() {
			if r.GetVm() == "west-6" {
				t.Error("a state was passed on again in the region")
			}
		}
	}
}

// Guards against withdrawn keys that work again, and rates that are exceeded, at gateways
// whose entries are not in the view: once the store turns a gateway away, its lease ends,
// and it does not see the entries of others that have restarted. A gateway that leaves
// still serves callers.
func TestUnregisteredGatewayGetsStates(t *testing.T) {
	tests := []struct {
		name       string
		registered bool
		state      *fgwire.GatewayState
	}{
		{"its entry has expired", true, &fgwire.GatewayState{}},
		{"it leaves", true, &fgwire.GatewayState{Leaving: true}},
		{"it has restarted since its entry expired", true, &fgwire.GatewayState{Incarnation: 9}},
		{"its entry was never seen", false, &fgwire.GatewayState{Incarnation: 9}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			peer := env.addPeers(1)["west-0"]
			if !tt.registered {
				env.feed.Remove("member/west-0")
			}
			g := env.gateway("vm-1", 0)
			sequence := uint64(0)
			report := func() {
				sequence++
				s := proto.Clone(tt.state).(*fgwire.GatewayState)
				s.Vm, s.Sequence, s.StoreRevision = "west-0", sequence, g.mirror.Revision()
				g.receiveState(s, peer.spec.PeerAddress)
			}
			report()
			env.feed.Remove("member/west-0")
			env.eventually("the entry is gone", func() bool {
				report()
				return len(g.mirror.View().Members()) == 3
			})
			// What was sent before is discarded.
			peer.receive(t, minExchangeInterval)
			received := 0
			for range 10 {
				report()
				received += len(peer.receive(t, minExchangeInterval))
			}
			if received < 5 {
				t.Errorf("a gateway that reports got %d states in ten intervals", received)
			}
			env.eventually("a gateway that no longer reports gets none", func() bool { return len(peer.receive(t, 2*minExchangeInterval)) == 0 })
		})
	}
}

// Guards against a copy of the store that stands still, because the gateways with a newer
// one have restarted and their entries are not in the view.
func TestCopyIsFetchedFromUnregisteredGateway(t *testing.T) {
	env := newTestEnv(t)
	g := env.gateway("vm-1", 0)
	const address = "127.0.0.1:9"
	g.receiveState(&fgwire.GatewayState{Vm: "vm-2", Incarnation: 7, Sequence: 1, StoreRevision: g.mirror.Revision() + 1}, address)
	if m, ok := g.nearestAhead(g.reachableMembers()); !ok || m.PeerAddress != address {
		t.Errorf("the copy of %+v would be fetched, want that of the gateway at %s", m, address)
	}
	g.receiveState(&fgwire.GatewayState{Vm: "vm-3", Sequence: 0, Relayed: []*fgwire.GatewayState{
		{Vm: "vm-4", Incarnation: 7, Sequence: 1, StoreRevision: g.mirror.Revision() + 2},
	}}, "127.0.0.1:10")
	for _, m := range g.reachableMembers() {
		if m.VM == "vm-4" {
			t.Error("a gateway whose address is not known counts as reachable")
		}
	}
}

// Guards against a relay that does not send the states of its region to each other
// one.
func TestRelaySendsStatesOfItsRegion(t *testing.T) {
	env := newTestEnv(t)
	peers := env.addPeers(9)
	g := env.gateway("vm-1", 0)
	env.eventually("the gateways are known", func() bool { return len(g.mirror.View().Members()) == 28 })
	// Only this gateway of the region is available, so that it is a relay.
	layout := fgrelay.NewLayout(g.settings.Self, g.mirror.View().Members(), func(vm string) bool {
		return vm == "vm-1" || peers[vm] != nil && peers[vm].spec.Region != "east"
	})
	if !layout.IsRelay() {
		t.Fatal("the only available gateway of the region is no relay")
	}
	plan := g.newPlan(layout)
	var regions []string
	env.eventually("a gateway of each other region gets the state", func() bool {
		g.plan.Store(plan)
		g.receiveState(&fgwire.GatewayState{Vm: "east-4", Incarnation: 7, Sequence: uint64(time.Now().UnixNano())}, peers["east-4"].spec.PeerAddress)
		time.Sleep(2 * relayInterval)
		for round := range 2 {
			for _, m := range layout.Targets(round) {
				for _, s := range peers[m.VM].receive(t, 20*time.Millisecond) {
					if len(s.GetRelayed()) > 0 && s.GetSequence() == 0 && !slices.Contains(regions, m.Region) {
						regions = append(regions, m.Region)
					}
				}
			}
		}
		return len(regions) == 2
	})
}

// Guards against changes that do not reach gateways which follow a contact, and
// against followers that lose the store with their contacts.
func TestGatewaysFollowContacts(t *testing.T) {
	env := newTestEnv(t)
	env.upstream("u1", respond)
	const count = 6
	var all []*testGateway
	for i := range count {
		all = append(all, env.gateway(fmt.Sprintf("vm-%d", i), 1))
	}
	following := func(g *testGateway) string {
		g.contacts.mu.Lock()
		defer g.contacts.mu.Unlock()
		return g.contacts.source
	}
	contacts := func() map[string]bool {
		named := map[string]bool{}
		for _, g := range all {
			if vm := following(g); vm != "" {
				named[vm] = true
			}
		}
		return named
	}
	env.eventually("four gateways follow two contacts", func() bool {
		n := 0
		for _, g := range all {
			if following(g) != "" {
				n++
			}
		}
		// A long poll of the store ends with a change only.
		env.put("drain/other", "")
		return n == count-2
	})
	withdraw := func(key string) {
		env.policy.Version++
		env.policy.Workspaces[0].Keys = []string{key}
		start := time.Now()
		env.putPolicy()
		for _, g := range all {
			env.eventually("the key is withdrawn", func() bool {
				res, err := g.call(t, http.MethodGet, "/read/x", "T-Key", key)
				return err == nil && res.status == http.StatusOK
			})
		}
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("the change was in force after %s, want at most 4s", took)
		}
	}
	withdraw("k2")
	// The contacts end without notice, as if they were killed.
	killed := contacts()
	for _, g := range slices.Clone(all) {
		if killed[g.settings.Self.VM] {
			_ = g.sockets.peers.Close()
			all = slices.DeleteFunc(all, func(o *testGateway) bool { return o == g })
		}
	}
	withdraw("k3")
}
