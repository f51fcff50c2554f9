package fggateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// IsAvailable and PassesOn implement fgrelay.Status: all gateways notice a dead or frozen
// one after noticeAfter.
func (f *trafficFleet) IsAvailable(vm string) bool { return !f.noticed[f.index[vm]] }
func (f *trafficFleet) PassesOn(vm string) bool    { return !f.old[f.index[vm]] }

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
	layouts  []fgrelay.Layout
	// dead gateways neither send nor receive, frozen ones neither until they go on, and
	// deaf and mute ones lose what they receive or send. old are of the previous version.
	dead, frozen, deaf, mute, old, noticed map[int]bool
	// delays holds how long states took, arrivals how long each took to each gateway, if it
	// is set, and crossings how often each state travelled from zone to zone.
	delays    []time.Duration
	arrivals  map[fgrelay.ID]map[int]time.Duration
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
	f := &trafficFleet{members: trafficMembers(n, regions), index: map[string]int{}, random: rand.New(rand.NewPCG(1, 1)), sent: map[fgrelay.ID]time.Time{}}
	for _, set := range []*map[int]bool{&f.dead, &f.frozen, &f.deaf, &f.mute, &f.old, &f.noticed} {
		*set = map[int]bool{}
	}
	for i, m := range f.members {
		f.index[m.VM] = i
	}
	f.layouts = make([]fgrelay.Layout, n)
	for i, m := range f.members {
		f.gateways = append(f.gateways, &Gateway{settings: Settings{Self: m}})
		f.relays = append(f.relays, newRelay(m.VM))
		f.setLayout(i)
		l := f.layouts[i]
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
		f.sequence = append(f.sequence, f.random.Uint64N(10))
	}
	return f
}

// setLayout recomputes a gateway's layout.
func (f *trafficFleet) setLayout(i int) {
	f.layouts[i] = fgrelay.NewLayout(f.members[i], f.members, f)
	f.relays[i].SetLayout(f.layouts[i])
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
		if f.mute[from] || f.deaf[f.index[m.VM]] {
			continue
		}
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
	passedOn := accepted
	if s.GetSequence() > 0 {
		isNew, more := f.relays[to].ReceiveOwn(sender, s)
		if isNew {
			accepted = append(accepted, s)
		}
		sends = append(sends, more...)
	}
	for _, a := range accepted {
		id := stateID(a)
		f.delays = append(f.delays, time.Since(f.sent[id]))
		if f.arrivals != nil {
			if f.arrivals[id] == nil {
				f.arrivals[id] = map[int]time.Duration{}
			}
			f.arrivals[id][to] = time.Since(f.sent[id])
		}
	}
	if f.old[to] {
		f.passOnAsBefore(to, s.GetVm(), passedOn)
		return
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
			case f.frozen[x.to]:
				f.inFlight = append(f.inFlight, x)
			case !f.dead[x.to]:
				f.receive(x.to, x.data)
			}
		}
		for i, r := range f.relays {
			if f.dead[i] || f.frozen[i] {
				continue
			}
			if !now.Before(f.next[i]) {
				f.next[i] = f.next[i].Add(f.interval())
				f.sequence[i]++
				f.setLayout(i)
				s := typicalState(f.random, f.members[i].VM, f.sequence[i], f.used)
				f.sent[stateID(s)] = now
				f.states++
				f.bytes += proto.Size(s)
				if f.old[i] {
					s.PassesOn = false
					f.send(i, s, f.inRegion(i))
					continue
				}
				to, wrapped := r.Own(s)
				f.send(i, s, to)
				f.sendAll(i, wrapped)
			}
			if f.old[i] {
				continue
			}
			// The rounds of gateways are not synchronised.
			if (now.UnixMilli()/step.Milliseconds()+int64(i))%(fgrelay.Interval.Milliseconds()/step.Milliseconds()) == 0 {
				f.sendAll(i, r.Round())
			}
		}
	}
}

// inRegion returns the other gateways of a gateway's region.
func (f *trafficFleet) inRegion(i int) []fgsteer.MemberSpec {
	return slices.DeleteFunc(slices.Clone(f.members), func(m fgsteer.MemberSpec) bool { return m.Region != f.members[i].Region || m.VM == f.members[i].VM })
}

// passOnAsBefore does what the previous version does with states that were passed on to
// it: those from another region go to its zone and to two gateways of each other zone,
// those from another zone to its zone.
func (f *trafficFleet) passOnAsBefore(i int, sender string, states []*fgwire.GatewayState) {
	from, self := f.members[f.index[sender]], f.members[i]
	if len(states) == 0 || from.AvailabilityZone == self.AvailabilityZone {
		return
	}
	others := 0
	for _, m := range f.inRegion(i) {
		inZone := m.AvailabilityZone == self.AvailabilityZone
		if !inZone {
			others++
		}
		if inZone || from.Region != self.Region && others <= 2 {
			f.send(i, &fgwire.GatewayState{Vm: self.VM, Relayed: states}, []fgsteer.MemberSpec{m})
		}
	}
}
