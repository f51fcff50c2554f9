package fgrelay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgquota"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	testSlack  = 20
	testWindow = 5 * time.Second
	testExcess = 0.1
	step       = 20 * time.Millisecond
	// Gateways send their states every stateInterval. With more than
	// stateIntervalVMs gateways the interval grows, up to maxStateInterval.
	stateInterval    = 200 * time.Millisecond
	stateIntervalVMs = 10
	maxStateInterval = 600 * time.Millisecond
	localDelay       = time.Millisecond
	remoteDelay      = 55 * time.Millisecond
	silentTimeout    = 3600 * time.Millisecond
)

// state is a gateway's report as it travels.
type state struct {
	vm                    int
	incarnation, sequence uint64
	report                fgquota.Report
	sent                  time.Time
}

// datagram carries a state of its sender or another message.
type datagram struct {
	due      time.Time
	from, to int
	own      *state
	message  Message[state]
}

// node is one gateway of the simulated fleet.
type node struct {
	spec        fgsteer.MemberSpec
	limiter     *fgquota.Limiter
	incarnation uint64
	sequence    uint64
	relay       *Relay[state]
	heard       map[string]time.Time
	layout      Layout
	// frozen gateways neither send nor receive; what arrives waits for them.
	frozen bool
	// cut gateways lose all datagrams, in the direction that is set.
	cutIn, cutOut bool
	waiting       []datagram
}

// fleet simulates gateways that exchange states through relays.
type fleet struct {
	nodes    []*node
	members  []fgsteer.MemberSpec
	index    map[string]int
	transit  []datagram
	names    []string
	policy   *fgsteer.Policy
	lastTick time.Time
	nextTick time.Time
	nextPass time.Time
	// observe is called with each new state that a gateway receives.
	observe func(n *node, s state)
	// remote counts datagrams between regions, and all datagrams.
	remote, all int
}

func newFleet(n int, rate float64) *fleet {
	f := &fleet{index: map[string]int{}, lastTick: time.Now(), policy: fgsteer.NewPolicy(fgsteer.PolicySpec{
		Workspaces: []fgsteer.WorkspaceSpec{{Name: "w", Rate: rate, Burst: rate}},
	})}
	for i := range n {
		m := fgsteer.MemberSpec{VM: fmt.Sprintf("vm-%d", i), Region: fmt.Sprintf("r%d", i%3), AvailabilityZone: fmt.Sprintf("r%d-%d", i%3, i/3%3)}
		f.members = append(f.members, m)
		f.names = append(f.names, m.VM)
		f.index[m.VM] = i
	}
	for _, m := range f.members {
		nd := &node{spec: m, incarnation: 1}
		f.nodes = append(f.nodes, nd)
		f.restart(nd)
		nd.incarnation = 1
	}
	return f
}

// restart gives a gateway the state of a new process.
func (f *fleet) restart(n *node) {
	n.limiter = fgquota.New()
	n.limiter.SetSelf(n.spec.VM)
	n.limiter.SetSlack(testSlack)
	n.limiter.SetMembers(f.names)
	n.limiter.SetPolicy(f.policy)
	n.incarnation++
	n.sequence = 0
	n.relay = NewRelay(n.spec.VM, func(s state) ID { return ID{f.names[s.vm], s.incarnation, s.sequence} }, func(state) int { return 100 })
	n.heard, n.waiting = map[string]time.Time{}, nil
	f.updateLayout(n)
}

// updateLayout recomputes a gateway's layout from what it has heard.
func (f *fleet) updateLayout(n *node) {
	n.layout = NewLayout(n.spec, f.members, heardBy{n})
	n.relay.SetLayout(n.layout)
}

// heardBy is what a node knows about others.
type heardBy struct{ *node }

func (n heardBy) IsAvailable(vm string) bool {
	at, ok := n.heard[vm]
	return vm == n.spec.VM || !ok && len(n.heard) == 0 || ok && time.Since(at) < silentTimeout
}

func (heardBy) PassesOn(string) bool { return true }

// relays returns the roots of a region's zones.
func (f *fleet) relays(region string) []*node {
	var all []*node
	for _, n := range f.nodes {
		if n.spec.Region == region && n.layout.IsRoot() {
			all = append(all, n)
		}
	}
	return all
}

func (f *fleet) send(from *node, to fgsteer.MemberSpec, own *state, message Message[state]) {
	f.all++
	delay := localDelay
	if to.Region != from.spec.Region {
		f.remote++
		delay = remoteDelay
	}
	if from.cutOut || f.nodes[f.index[to.VM]].cutIn {
		return
	}
	f.transit = append(f.transit, datagram{time.Now().Add(delay), f.index[from.spec.VM], f.index[to.VM], own, message})
}

// advance simulates one step of time.
func (f *fleet) advance() {
	time.Sleep(step)
	now := time.Now()
	if !now.Before(f.nextTick) {
		elapsed := now.Sub(f.lastTick)
		f.lastTick, f.nextTick = now, now.Add(min(stateInterval*time.Duration(max(len(f.nodes), stateIntervalVMs))/stateIntervalVMs, maxStateInterval))
		for i, n := range f.nodes {
			if n.frozen {
				continue
			}
			n.sequence++
			s := state{vm: i, incarnation: n.incarnation, sequence: n.sequence, sent: now}
			n.limiter.ObserveStore(0)
			s.report = fgquota.Report{VM: n.spec.VM, Incarnation: n.incarnation, Sequence: n.sequence, Uses: n.limiter.Tick(elapsed)}
			s.report.Complete, s.report.Unheard, s.report.Members = n.limiter.LastComplete(), n.limiter.Unheard(), n.limiter.Known()
			f.updateLayout(n)
			to, wrapped := n.relay.Own(s)
			for _, m := range to {
				f.send(n, m, &s, Message[state]{})
			}
			f.sendAll(n, wrapped)
		}
	}
	if !now.Before(f.nextPass) {
		f.nextPass = now.Add(Interval)
		for _, n := range f.nodes {
			if !n.frozen {
				f.sendAll(n, n.relay.Round())
			}
		}
	}
	f.deliver(now)
}

func (f *fleet) sendAll(n *node, sends []Send[state]) {
	for _, s := range sends {
		for _, m := range s.To {
			f.send(n, m, nil, s.Message)
		}
	}
}

// deliver hands over the datagrams that are due, and those that waited for a gateway
// that was frozen.
func (f *fleet) deliver(now time.Time) {
	for again := true; again; {
		again = false
		transit := f.transit
		f.transit = nil
		for _, d := range transit {
			if now.Before(d.due) {
				f.transit = append(f.transit, d)
				continue
			}
			again = true
			if n := f.nodes[d.to]; n.frozen {
				n.waiting = append(n.waiting, d)
			} else {
				f.receive(n, d)
			}
		}
		for _, n := range f.nodes {
			if n.frozen || len(n.waiting) == 0 {
				continue
			}
			waiting := n.waiting
			n.waiting = nil
			for _, d := range waiting {
				f.receive(n, d)
			}
		}
	}
}

func (f *fleet) apply(n *node, s state) {
	vm := f.names[s.vm]
	n.heard[vm] = time.Now()
	if f.observe != nil {
		f.observe(n, s)
	}
	n.limiter.ApplyReport(s.report)
}

func (f *fleet) receive(n *node, d datagram) {
	from := Sender{VM: f.names[d.from], PassesOn: true}
	if d.own != nil {
		ok, sends := n.relay.ReceiveOwn(from, *d.own)
		if ok {
			f.apply(n, *d.own)
		}
		f.sendAll(n, sends)
	}
	accepted, sends := n.relay.Receive(from, d.message)
	for _, s := range accepted {
		f.apply(n, s)
	}
	f.sendAll(n, sends)
}

// Guards against a workspace that is admitted above its rate, or far below it, because
// states travel through relays of which some are lost, frozen, cut off in one
// direction or restarted: no use may be counted twice or never.
func TestRateHoldsThroughRelays(t *testing.T) {
	const rate = 132.0
	tests := []struct {
		name    string
		vms     int
		seconds int
		fault   func(f *fleet, at time.Duration)
	}{
		{"7 gateways", 7, 20, nil},
		{"28 gateways", 28, 20, nil},
		{"118 gateways", 118, 12, nil},
		{"a relay of each region lost", 28, 20, func(f *fleet, at time.Duration) {
			if at == 8*time.Second {
				for _, r := range []string{"r0", "r1", "r2"} {
					n := f.relays(r)[0]
					n.cutIn, n.cutOut = true, true
				}
			}
		}},
		{"a relay frozen for 3 s, again and again", 28, 20, func(f *fleet, at time.Duration) {
			if n := f.relays("r0"); at%(4*time.Second) == 0 && len(n) > 0 {
				n[0].frozen = true
			} else if at%(4*time.Second) == 3*time.Second {
				for _, n := range f.nodes {
					n.frozen = false
				}
			}
		}},
		{"a relay that receives but cannot send", 28, 20, func(f *fleet, at time.Duration) {
			if at == 8*time.Second {
				f.relays("r1")[0].cutOut = true
			}
		}},
		{"a relay that sends but cannot receive", 28, 20, func(f *fleet, at time.Duration) {
			if at == 8*time.Second {
				f.relays("r1")[1].cutIn = true
			}
		}},
		{"relays restarted in turn", 28, 20, func(f *fleet, at time.Duration) {
			if at > 6*time.Second && at%(2*time.Second) == 0 {
				if all := f.relays(fmt.Sprintf("r%d", int(at.Seconds())/2%3)); len(all) > 0 {
					f.restart(all[0])
				}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seed = 1
				r := rand.New(rand.NewPCG(seed, seed))
				f := newFleet(tt.vms, rate)
				var admitted []time.Time
				for at := time.Duration(0); at < time.Duration(tt.seconds)*time.Second; at += step {
					if tt.fault != nil {
						tt.fault(f, at)
					}
					if at > 3*time.Second {
						// A workspace that asks for 7.5 times its rate.
						for range int(7.5 * rate * step.Seconds()) {
							n := f.nodes[r.IntN(len(f.nodes))]
							if !n.frozen && n.limiter.Admit("w").Allowed {
								admitted = append(admitted, time.Now())
							}
						}
					}
					f.advance()
				}
				allowed := (rate*testWindow.Seconds()+rate)*(1+testExcess) + testSlack
				most := maxInWindow(admitted, testWindow)
				t.Logf("seed %d: %d admitted in a window, allowed %.0f; %d of %d datagrams between regions", seed, most, allowed, f.remote, f.all)
				if float64(most) > allowed {
					t.Errorf("seed %d: %d admitted in a window, allowed %.0f", seed, most, allowed)
				}
				if minimum := 0.7 * rate * float64(tt.seconds-3); float64(len(admitted)) < minimum {
					t.Errorf("seed %d: %d admitted, want at least %.0f of a workspace that asks for more than its rate", seed, len(admitted), minimum)
				}
			})
		})
	}
}

// Guards against an excess that begins everywhere at once, after a time in which the
// workspace was not used: the gateways learn of it from each other only.
func TestSuddenExcess(t *testing.T) {
	for _, vms := range []int{7, 28, 118} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seed, rate = 1, 20.0
				r := rand.New(rand.NewPCG(seed, seed))
				f := newFleet(vms, rate)
				var admitted []time.Time
				for at := time.Duration(0); at < 14*time.Second; at += step {
					if at > 8*time.Second {
						for range int(25 * rate * step.Seconds()) {
							if f.nodes[r.IntN(vms)].limiter.Admit("w").Allowed {
								admitted = append(admitted, time.Now())
							}
						}
					}
					f.advance()
				}
				allowed := (rate*testWindow.Seconds()+rate)*(1+testExcess) + testSlack
				most := maxInWindow(admitted, testWindow)
				t.Logf("seed %d: %d admitted in a window, allowed %.0f", seed, most, allowed)
				if float64(most) > allowed {
					t.Errorf("seed %d: %d admitted in a window, allowed %.0f", seed, most, allowed)
				}
			})
		})
	}
}

func maxInWindow(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against traffic between regions that grows with the square of the fleet.
func TestTrafficBetweenRegionsIsBounded(t *testing.T) {
	count := func(vms int) float64 {
		var perVM float64
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(vms, 100)
			for range int(12 * time.Second / step) {
				f.advance()
			}
			perVM = float64(f.remote) / float64(vms)
		})
		return perVM
	}
	direct, small, large := count(20), count(60), count(180)
	t.Logf("datagrams between regions per gateway in 12 s: %.0f of 20 (direct), %.0f of 60, %.0f of 180", direct, small, large)
	if large > 1.3*small {
		t.Errorf("a gateway of 180 sends %.0f datagrams to other regions, one of 60 %.0f", large, small)
	}
}

// Guards against states that are applied again, or after later ones, because they came
// through several relays or from one that was frozen.
func TestSequences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tests := []struct {
			name                  string
			wait                  time.Duration
			incarnation, sequence uint64
			want                  bool
		}{
			{"first", 0, 5, 3, true},
			{"again", 0, 5, 3, false},
			{"earlier", 0, 5, 2, false},
			{"next", 0, 5, 4, true},
			{"later process", 0, 6, 1, true},
			{"state of the process before", 0, 5, 9, false},
			{"next of the later process", 4 * time.Second, 6, 2, true},
			{"process whose clock was set back", positionLifetime + time.Second, 4, 1, true},
			{"again, long after", positionLifetime + time.Second, 4, 1, false},
		}
		var s Sequences
		for _, tt := range tests {
			time.Sleep(tt.wait)
			if got := s.Accept("vm", tt.incarnation, tt.sequence); got != tt.want {
				t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
			}
		}
	})
}

// Guards against batches above the size of a datagram, and against states that a relay
// kept while it was frozen.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var q Queue[int]
		q.Add(0, 100)
		time.Sleep(maxQueueAge + time.Millisecond)
		for i := range 5 {
			q.Add(i+1, 500)
		}
		batches := q.Take(1200)
		if fmt.Sprint(batches) != "[[1 2] [3 4] [5]]" {
			t.Errorf("batches %v", batches)
		}
		if again := q.Take(1200); len(again) != 0 {
			t.Errorf("taken twice: %v", again)
		}
	})
}
