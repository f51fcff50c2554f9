package fggateway

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
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

// addPeers registers n gateways in two zones of each of three regions. Every second one
// of region east is in the zone of the gateways under test, which has no name.
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
			if p.spec.AvailabilityZone == "east-0" {
				p.spec.AvailabilityZone = ""
			}
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

// receivedBy returns how often each peer receives, directly or passed on, the states that
// match.
func receivedBy(t *testing.T, peers map[string]*fakePeer, matches func(*fgwire.GatewayState) bool) map[string]int {
	t.Helper()
	got := map[string]int{}
	var mu sync.Mutex
	var wg conc.WaitGroup
	for vm, p := range peers {
		wg.Go(func() {
			all := p.receive(t, 5*fgrelay.Interval)
			mu.Lock()
			defer mu.Unlock()
			for _, s := range all {
				for _, s := range append(s.GetRelayed(), s) {
					if matches(s) {
						got[vm]++
					}
				}
			}
		})
	}
	wg.Wait()
	return got
}

// zonesOf returns how many of the peers are in each zone.
func zonesOf(peers map[string]*fakePeer, got map[string]int) map[string]int {
	zones := map[string]int{}
	for vm := range got {
		zones[peers[vm].spec.AvailabilityZone]++
	}
	return zones
}

// Guards against states that are not passed on in the zone of a root, are passed on twice,
// or travel from zone to zone more often than once, also where gateways of the previous
// version are in the fleet.
func TestStatesTravelThroughTrees(t *testing.T) {
	env := newTestEnv(t)
	peers := env.addPeers(9)
	g := env.gateway("vm-1", 0)
	env.eventually("the gateways are known", func() bool { return len(g.mirror.View().Members()) == 28 })
	// All others are known to be of the previous version.
	for _, p := range peers {
		g.receiveState(&fgwire.GatewayState{Vm: p.spec.VM, Incarnation: 7, Sequence: 1}, p.spec.PeerAddress)
	}
	receivedBy(t, peers, func(*fgwire.GatewayState) bool { return false })
	g.updateLayout()
	if got := len(g.relay.layout.Peers()); got != 5 || !g.relay.layout.IsRoot() {
		t.Fatalf("the state goes to %d gateways of the zone, want 5", got)
	}
	zone := map[string]int{"": 5}
	tests := []struct {
		name string
		sent *fgwire.GatewayState
		want map[string]int
	}{
		{"state of the previous version in the zone", &fgwire.GatewayState{Vm: "east-4", Incarnation: 7, Sequence: 3}, map[string]int{"west-0": 1, "west-1": 1, "south-0": 1, "south-1": 1}},
		{"state of the previous version in a zone without this one", &fgwire.GatewayState{Vm: "east-5", Incarnation: 7, Sequence: 3}, map[string]int{"west-0": 1, "west-1": 1, "south-0": 1, "south-1": 1}},
		{"state of another region", &fgwire.GatewayState{Vm: "west-5", Incarnation: 7, Sequence: 3, Leaving: true, PassesOn: true}, zone},
		{"again", &fgwire.GatewayState{Vm: "west-5", Incarnation: 7, Sequence: 3, Leaving: true, PassesOn: true}, map[string]int{}},
		{"state of another zone of the region", &fgwire.GatewayState{Vm: "east-1", Incarnation: 7, Sequence: 3, PassesOn: true}, zone},
		{
			"passed on by another zone", &fgwire.GatewayState{Vm: "east-1", PassesOn: true, Relayed: []*fgwire.GatewayState{
				{Vm: "west-6", Incarnation: 7, Sequence: 3},
			}}, zone,
		},
		{
			"passed on within the zone by the previous version", &fgwire.GatewayState{Vm: "east-2", Relayed: []*fgwire.GatewayState{
				{Vm: "west-7", Incarnation: 7, Sequence: 3},
			}}, map[string]int{},
		},
		{
			"asked for", &fgwire.GatewayState{Vm: "east-2", PassesOn: true, Relayed: []*fgwire.GatewayState{
				{Vm: "west-4", Incarnation: 7, Sequence: 3},
			}}, zone,
		},
		{
			"passed on within the zone by its tree", &fgwire.GatewayState{Vm: "east-2", PassesOn: true, Tree: 1, Relayed: []*fgwire.GatewayState{
				{Vm: "west-8", Incarnation: 7, Sequence: 3},
			}}, zone,
		},
		{
			"passed on by a relay of the previous version", &fgwire.GatewayState{Vm: "west-0", Relayed: []*fgwire.GatewayState{
				{Vm: "west-1", Incarnation: 7, Sequence: 3},
			}}, map[string]int{"": 5, "east-1": 1},
		},
		{
			"passed on by a relay of the previous version in the region", &fgwire.GatewayState{Vm: "east-3", Relayed: []*fgwire.GatewayState{
				{Vm: "west-2", Incarnation: 7, Sequence: 3},
			}}, zone,
		},
		{"state of the own zone", &fgwire.GatewayState{Vm: "east-2", Incarnation: 7, Sequence: 3, PassesOn: true}, map[string]int{}},
	}
	for _, tt := range tests {
		origin := tt.sent
		if len(tt.sent.GetRelayed()) > 0 {
			origin = tt.sent.GetRelayed()[0]
		}
		vm, sequence := origin.GetVm(), origin.GetSequence()
		g.receiveState(proto.Clone(tt.sent).(*fgwire.GatewayState), peers[tt.sent.GetVm()].spec.PeerAddress)
		got := map[string]int{}
		// On a busy machine, a reader may begin after its deadline.
		for range 8 {
			for to, n := range receivedBy(t, peers, func(s *fgwire.GatewayState) bool { return s.GetVm() == vm && s.GetSequence() == sequence }) {
				got[to] += n
			}
			if maps.Equal(zonesOf(peers, got), tt.want) {
				break
			}
		}
		if zones := zonesOf(peers, got); !maps.Equal(zones, tt.want) {
			t.Errorf("%s: passed on to %v, want %v gateways of zones", tt.name, got, tt.want)
		}
		for to, n := range got {
			if n != 1 {
				t.Errorf("%s: passed on to %s %d times", tt.name, to, n)
			}
		}
	}
	if g.isAvailable("west-5") {
		t.Error("a gateway that leaves is available")
	}
	// Of this gateway's own states, one of each other zone gets each.
	receivedBy(t, peers, func(*fgwire.GatewayState) bool { return false })
	g.sendState(1<<20, time.Second)
	got := receivedBy(t, peers, func(s *fgwire.GatewayState) bool { return s.GetVm() == "vm-1" && s.GetSequence() == 1<<20 })
	want := map[string]int{"": 5, "east-1": 1, "west-0": 1, "west-1": 1, "south-0": 1, "south-1": 1}
	if zones := zonesOf(peers, got); !maps.Equal(zones, want) {
		t.Errorf("the own state went to %v, want %v gateways of zones", got, want)
	}
}

// Guards against states that a gateway lacks for long, because a gateway that should have
// passed them on is dead.
func TestMissingStatesAreFetched(t *testing.T) {
	env := newTestEnv(t)
	peers := env.addPeers(9)
	g := env.gateway("vm-1", 0)
	env.eventually("the gateways are known", func() bool { return len(g.mirror.View().Members()) == 28 })
	g.updateLayout()
	east1 := peers["east-1"]
	// A root of the other zone names a state. It is asked for it, once.
	state := &fgwire.GatewayState{Vm: "west-5", Incarnation: 7, Sequence: 3, PassesOn: true}
	key := fgrelay.Key(stateID(state))
	for range 2 {
		g.receiveState(&fgwire.GatewayState{Vm: "east-1", PassesOn: true, Held: []uint32{key}, HeldSequences: []uint32{3}}, east1.spec.PeerAddress)
	}
	asked := 0
	for _, s := range east1.receive(t, 50*time.Millisecond) {
		if slices.Equal(s.GetWanted(), []uint32{key}) {
			asked++
		}
	}
	if asked != 1 {
		t.Errorf("asked for the state %d times", asked)
	}
	g.receiveState(&fgwire.GatewayState{Vm: "east-1", PassesOn: true, Relayed: []*fgwire.GatewayState{state}}, east1.spec.PeerAddress)
	// Now it is held here, and given to others that ask.
	g.receiveState(&fgwire.GatewayState{Vm: "east-1", PassesOn: true, Held: []uint32{key}, HeldSequences: []uint32{3}, Wanted: []uint32{key, 1}}, east1.spec.PeerAddress)
	given := 0
	for _, s := range east1.receive(t, 50*time.Millisecond) {
		if len(s.GetWanted()) > 0 {
			t.Error("asked for a state that is held")
		}
		for _, r := range s.GetRelayed() {
			if r.GetVm() == "west-5" && r.GetSequence() == 3 {
				given++
			}
		}
	}
	if given != 1 {
		t.Errorf("the state was given %d times", given)
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
