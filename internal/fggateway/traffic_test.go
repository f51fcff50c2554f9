package fggateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgrelay"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// datagramBytes are the IP and UDP headers of a datagram.
	datagramBytes = 28
	// trafficWorkspaces is the number of workspaces in use.
	trafficWorkspaces = 75
)

// typicalState returns a state of a gateway that uses about a number of workspaces in an
// interval. One in ten names all that it has used so far.
func typicalState(r *rand.Rand, vm string, sequence uint64, used int) *fgwire.GatewayState {
	s := &fgwire.GatewayState{
		Vm: vm, Incarnation: 1 << 60, Sequence: 1000 + sequence, StoreRevision: 100_000 + sequence, StoreEra: 2, StoreAgeMs: 700, PassesOn: true,
	}
	used += r.IntN(2*max(1, used/3)) - used/3
	if sequence%10 == 0 {
		used = min(5*used, trafficWorkspaces)
	}
	for range used {
		s.Workspaces = append(s.Workspaces, &fgwire.WorkspaceUse{Workspace: r.Uint32(), Admitted: int64(100 + r.IntN(5000)), Demand: uint32(r.IntN(200))})
	}
	return s
}

// trafficMembers returns n gateways in two zones of each region.
func trafficMembers(n, regions int) []fgsteer.MemberSpec {
	var members []fgsteer.MemberSpec
	for i := range n {
		m := fgsteer.MemberSpec{VM: fmt.Sprintf("gateway-%04d", i), Region: fmt.Sprintf("r%d", i%regions), Capacity: float64(100 + i/regions/2%3)}
		m.AvailabilityZone = fmt.Sprintf("%s-%d", m.Region, i/regions%2)
		members = append(members, m)
	}
	return members
}

type allKnown struct{}

func (allKnown) IsAvailable(string) bool { return true }
func (allKnown) PassesOn(string) bool    { return true }

// traffic is what a gateway sends and receives, in bytes.
type traffic struct {
	role     string
	sent     map[string]int
	received int
	// datagrams counts those that it sends.
	datagrams int
}

func (t *traffic) total() int {
	sum := t.received
	for _, n := range t.sent {
		sum += n
	}
	return sum
}

// trafficFleet exchanges states between relays over a network of fakes.
type trafficFleet struct {
	members  []fgsteer.MemberSpec
	index    map[string]int
	gateways []*Gateway
	relays   []*fgrelay.Relay[*fgwire.GatewayState]
	traffic  []*traffic
	next     []time.Time
	sequence []uint64
	random   *rand.Rand
	inFlight []flight
	dead     map[int]bool
	// delays holds how long states took, and crossings how often each state travelled
	// from zone to zone.
	delays    []time.Duration
	sent      map[fgrelay.ID]time.Time
	crossings int
	states    int
	bytes     int
	// used is the number of workspaces in a state.
	used int
}

type flight struct {
	due  time.Time
	to   int
	data []byte
}

func newTrafficFleet(n, regions int) *trafficFleet {
	f := &trafficFleet{members: trafficMembers(n, regions), index: map[string]int{}, random: rand.New(rand.NewPCG(1, 1)), sent: map[fgrelay.ID]time.Time{}, dead: map[int]bool{}}
	for i, m := range f.members {
		f.index[m.VM] = i
		f.gateways = append(f.gateways, &Gateway{settings: Settings{Self: m}})
		f.relays = append(f.relays, newRelay(m.VM))
		l := fgrelay.NewLayout(m, f.members, allKnown{})
		f.relays[i].SetLayout(l)
		t := &traffic{role: "ordinary", sent: map[string]int{}}
		for tree := range 8 {
			if len(l.Children(tree)) > 0 {
				t.role = "parent"
			}
		}
		if l.IsRoot() {
			t.role = "root"
		}
		f.traffic = append(f.traffic, t)
		f.next = append(f.next, time.Now().Add(time.Duration(f.random.Int64N(int64(f.interval())))))
		f.sequence = append(f.sequence, 0)
	}
	return f
}

func (f *trafficFleet) interval() time.Duration {
	return min(minExchangeInterval*time.Duration(max(len(f.members), exchangeBaseMembers))/exchangeBaseMembers, maxExchangeInterval)
}

func (f *trafficFleet) send(from int, s *fgwire.GatewayState, to []fgsteer.MemberSpec) {
	data, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	for _, m := range to {
		self, delay, reach := f.members[from], time.Millisecond, reachZone
		switch {
		case m.Region != self.Region:
			delay, reach = 55*time.Millisecond, reachRemote
		case m.AvailabilityZone != self.AvailabilityZone:
			reach = reachRegion
		}
		if reach != reachZone {
			f.crossings += len(s.GetRelayed())
			if s.GetSequence() > 0 {
				f.crossings++
			}
		}
		f.traffic[from].sent[reach] += len(data) + datagramBytes
		f.traffic[from].datagrams++
		f.inFlight = append(f.inFlight, flight{time.Now().Add(delay), f.index[m.VM], data})
	}
}

func (f *trafficFleet) sendAll(from int, sends []fgrelay.Send[*fgwire.GatewayState]) {
	for _, s := range sends {
		f.send(from, f.gateways[from].encodeMessage(s.Message), s.To)
	}
}

// receive does what Gateway.receiveState does, except that states are not applied.
func (f *trafficFleet) receive(to int, data []byte) {
	f.traffic[to].received += len(data) + datagramBytes
	s := &fgwire.GatewayState{}
	if err := proto.Unmarshal(data, s); err != nil {
		panic(err)
	}
	sender := fgrelay.Sender{VM: s.GetVm(), PassesOn: s.GetPassesOn()}
	accepted, sends := f.relays[to].Receive(sender, decodeMessage(s))
	if s.GetSequence() > 0 {
		isNew, more := f.relays[to].ReceiveOwn(sender, s)
		if isNew {
			accepted = append(accepted, s)
		}
		sends = append(sends, more...)
	}
	for _, a := range accepted {
		f.delays = append(f.delays, time.Since(f.sent[stateID(a)]))
	}
	f.sendAll(to, sends)
}

// run simulates the fleet for a time.
func (f *trafficFleet) run(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		now := time.Now()
		inFlight := f.inFlight
		f.inFlight = nil
		for _, x := range inFlight {
			switch {
			case x.due.After(now):
				f.inFlight = append(f.inFlight, x)
			case !f.dead[x.to]:
				f.receive(x.to, x.data)
			}
		}
		for i, r := range f.relays {
			if f.dead[i] {
				continue
			}
			if !now.Before(f.next[i]) {
				f.next[i] = f.next[i].Add(f.interval())
				f.sequence[i]++
				s := typicalState(f.random, f.members[i].VM, f.sequence[i], f.used)
				f.sent[stateID(s)] = now
				f.states++
				f.bytes += proto.Size(s)
				to, wrapped := r.Own(s)
				f.send(i, s, to)
				f.sendAll(i, wrapped)
			}
			// The rounds of gateways are not synchronised.
			if (now.UnixMilli()/step.Milliseconds()+int64(i))%(fgrelay.Interval.Milliseconds()/step.Milliseconds()) == 0 {
				f.sendAll(i, r.Round())
			}
		}
	}
}

// Guards against gateways that send or receive many times what others do, states that
// travel from zone to zone once for each receiver, and states that arrive late.
func TestTrafficOfEachRole(t *testing.T) {
	tests := []struct {
		vms, used int
		// most bounds the kB/s of the busiest gateway.
		most int
	}{
		{7, 15, 50},
		{28, 15, 100},
		{118, 15, 250},
		// 1,600 requests per second, as at 28 gateways: 3 requests of each in an interval.
		{300, 3, 250},
		// Each gateway receives all states once and passes on as much on average: 500
		// states of some 300 bytes per second are 150 kB/s each way, in any layout.
		{300, 15, 480},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d gateways, %d workspaces", tt.vms, tt.used), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkTraffic(t, tt.vms, tt.used, tt.most) })
		})
	}
}

func checkTraffic(t *testing.T, vms, used, most int) {
	const seconds = 4
	f := newTrafficFleet(vms, 3)
	f.used = used
	f.run(seconds * time.Second)
	var totals []int
	busiestOf := map[string]*traffic{}
	count := map[string]int{}
	for _, g := range f.traffic {
		totals = append(totals, g.total())
		count[g.role]++
		if r := busiestOf[g.role]; r == nil || g.total() > r.total() {
			busiestOf[g.role] = g
		}
	}
	slices.Sort(totals)
	median, busiest := totals[len(totals)/2], totals[len(totals)-1]
	var table strings.Builder
	for _, role := range slices.Sorted(maps.Keys(busiestOf)) {
		r := busiestOf[role]
		fmt.Fprintf(&table, "\n%-8s %3d gateways, the busiest: %4d kB/s received, sent to zone %4d, region %3d, remote %3d, %4d datagrams/s", role, count[role],
			r.received/seconds/1000, r.sent[reachZone]/seconds/1000, r.sent[reachRegion]/seconds/1000, r.sent[reachRemote]/seconds/1000, r.datagrams/seconds)
	}
	perState := float64(f.crossings) / float64(f.states)
	latest := slices.Max(f.delays)
	t.Logf("%d bytes a state, median %d kB/s, busiest %d kB/s, each state crosses zones %.2f times and reaches %.3f of the others, latest after %s%s",
		f.bytes/f.states, median/seconds/1000, busiest/seconds/1000, perState, float64(len(f.delays))/float64(f.states*(vms-1)), latest, table.String())
	if busiest > 4*median {
		t.Errorf("the busiest gateway has %d bytes, the median one %d", busiest, median)
	}
	if busiest > most*1000*seconds {
		t.Errorf("the busiest gateway has %d kB/s, want at most %d", busiest/seconds/1000, most)
	}
	if vms > 20 && perState > 5.05 {
		t.Errorf("each state crosses zones %.2f times, want 5", perState)
	}
	if latest > 200*time.Millisecond {
		t.Errorf("a state arrived after %s", latest)
	}
}
