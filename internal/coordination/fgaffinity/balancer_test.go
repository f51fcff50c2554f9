package fgaffinity

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const testMaxLoad = 1.5

type viewOption func(*fgsteer.ViewSpec)

func upstreams(n int, change ...func(i int, u *fgsteer.UpstreamSpec)) viewOption {
	return func(s *fgsteer.ViewSpec) {
		for i := range n {
			u := fgsteer.UpstreamSpec{
				ID: fmt.Sprintf("i-%d", i), Group: "g", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 4,
				Region: []string{"east", "west"}[i%2], AvailabilityZone: []string{"east-a", "west-a"}[i%2],
			}
			for _, c := range change {
				c(i, &u)
			}
			s.Upstreams = append(s.Upstreams, u)
		}
	}
}

func members(n int) viewOption {
	return func(s *fgsteer.ViewSpec) {
		for i := range n {
			s.Members = append(s.Members, fgsteer.MemberSpec{VM: fmt.Sprintf("vm-%d", i)})
		}
	}
}

func view(options ...viewOption) *fgsteer.View {
	s := fgsteer.ViewSpec{Policy: fgsteer.NewPolicy(fgsteer.PolicySpec{Groups: []fgsteer.GroupSpec{{Name: "g", ColdRate: 7.4}}})}
	for _, o := range options {
		o(&s)
	}
	return fgsteer.NewView(s)
}

func balancer(vm string, v *fgsteer.View) *Balancer {
	b := New(Options{VM: vm})
	b.SetColdBounds(1.5, 5)
	b.Update(v)
	return b
}

func choose(t *testing.T, b *Balancer, c Criteria) *Upstream {
	t.Helper()
	c.Group = "g"
	if c.MaxLoadPerSlot == 0 {
		c.MaxLoadPerSlot = testMaxLoad
	}
	u, err := b.Choose(c)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// Guards against VMs that send requests with the same key to different upstreams,
// each of which then runs it cold.
func TestVMsChooseTheSameUpstream(t *testing.T) {
	v := view(upstreams(16), members(7))
	a, b := balancer("vm-0", v), balancer("vm-1", v)
	for i := range 200 {
		key := fmt.Sprint(i)
		x, y := choose(t, a, Criteria{AffinityKey: key}), choose(t, b, Criteria{AffinityKey: key})
		if x.Spec().ID != y.Spec().ID {
			t.Errorf("key %s is assigned to %s and %s", key, x.Spec().ID, y.Spec().ID)
		}
		a.Done(x, Answered)
		b.Done(y, Answered)
	}
}

// Guards against a removed upstream that moves the keys of other upstreams.
func TestUpstreamChangeMovesFewKeys(t *testing.T) {
	before, after := balancer("vm-0", view(upstreams(16))), balancer("vm-0", view(upstreams(15)))
	for i := range 500 {
		key := fmt.Sprint(i)
		x, y := choose(t, before, Criteria{AffinityKey: key}), choose(t, after, Criteria{AffinityKey: key})
		if x.Spec().ID != "i-15" && x.Spec().ID != y.Spec().ID {
			t.Errorf("key %s moved from %s to %s", key, x.Spec().ID, y.Spec().ID)
		}
		before.Done(x, Answered)
		after.Done(y, Answered)
	}
}

// Guards against long queues when all upstreams are cold and slow, for example at
// the start of a day of high load. Requests beyond an upstream's load limit must be
// refused: in a queue every request would be late, until none completed in time.
func TestLoadIsBoundedWhenAllUpstreamsAreSlow(t *testing.T) {
	b := balancer("vm-0", view(upstreams(4)))
	placed, refused := 0, 0
	for i := range 100 {
		u, err := b.Choose(Criteria{Group: "g", AffinityKey: fmt.Sprint(i % 10), MaxLoadPerSlot: testMaxLoad})
		switch {
		case err == nil:
			placed++
			if limit := testMaxLoad * float64(u.Spec().Slots); float64(u.InFlight()) > limit {
				t.Errorf("%s has %d requests, want at most %.0f", u.Spec().ID, u.InFlight(), limit)
			}
		case errors.Is(err, ErrFull):
			refused++
		default:
			t.Fatal(err)
		}
	}
	if placed == 0 || refused == 0 {
		t.Errorf("%d placed, %d refused", placed, refused)
	}
}

// Guards against requests for an upstream that other VMs have fully loaded, and
// against an old load report that keeps requests away.
func TestReportedLoadCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(8)))
		first := choose(t, b, Criteria{AffinityKey: "o"})
		b.RecordLoad(first, 7)
		second := choose(t, b, Criteria{AffinityKey: "o"})
		if first == second {
			t.Error("a fully loaded upstream was chosen")
		}
		b.Done(first, Answered)
		time.Sleep(4 * loadHalfLife)
		if again := choose(t, b, Criteria{AffinityKey: "o"}); again != first {
			t.Error("an old load report keeps the key away from its upstream")
		}
	})
}

// Guards against requests for upstreams that are draining, in drained availability
// zones, outside of the allowed regions, or have already received the request.
func TestUnusableUpstreams(t *testing.T) {
	draining := func(i int, u *fgsteer.UpstreamSpec) { u.Draining = i%4 == 0 }
	drained := func(s *fgsteer.ViewSpec) { s.Drained = []string{"west-a"} }
	tests := []struct {
		name     string
		view     *fgsteer.View
		criteria Criteria
		usable   func(*fgsteer.UpstreamSpec) bool
	}{
		{"draining", view(upstreams(8, draining)), Criteria{}, func(u *fgsteer.UpstreamSpec) bool { return !u.Draining }},
		{"drained", view(upstreams(8), drained), Criteria{}, func(u *fgsteer.UpstreamSpec) bool { return u.AvailabilityZone != "west-a" }},
		{"regions", view(upstreams(8)), Criteria{Regions: []string{"west"}}, func(u *fgsteer.UpstreamSpec) bool { return u.Region == "west" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := balancer("vm-0", tt.view)
			for i := range 100 {
				c := tt.criteria
				if i%2 == 0 {
					c.AffinityKey = fmt.Sprint(i)
				}
				u := choose(t, b, c)
				if !tt.usable(u.Spec()) {
					t.Errorf("%+v was chosen", *u.Spec())
				}
				b.Done(u, Answered)
			}
		})
	}
	b := balancer("vm-0", view(upstreams(1)))
	u := choose(t, b, Criteria{})
	if _, err := b.Choose(Criteria{Group: "g", Exclude: []*Upstream{u}, MaxLoadPerSlot: testMaxLoad}); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("got %v, want ErrNoUpstream", err)
	}
	if _, err := b.Choose(Criteria{Group: "none"}); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("got %v, want ErrNoUpstream", err)
	}
}

// Guards against a cold upstream that receives more requests from all VMs together
// within any second than its bound allows.
func TestColdUpstreamsGetFewRequests(t *testing.T) {
	tests := []struct {
		name string
		vms  int
	}{{"7 VMs", 7}, {"28 VMs", 28}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cold := func(_ int, u *fgsteer.UpstreamSpec) { u.ColdUntil = time.Now().Add(6 * time.Second) }
				v := view(upstreams(1, cold), members(tt.vms))
				var fleet []*Balancer
				for i := range tt.vms {
					fleet = append(fleet, balancer(fmt.Sprintf("vm-%d", i), v))
				}
				time.Sleep(coldSendDelay)
				var sent []time.Time
				for start := time.Now(); time.Since(start) < 2900*time.Millisecond; time.Sleep(7 * time.Millisecond) {
					for _, b := range fleet {
						if u, err := b.Choose(Criteria{Group: "g", AffinityKey: "o", MaxLoadPerSlot: 100}); err == nil {
							sent = append(sent, time.Now())
							b.Done(u, Answered)
						}
					}
				}
				if len(sent) == 0 {
					t.Fatal("nothing was sent")
				}
				const bound = 7.4*1.5 + 5
				for i := range sent {
					n := 0
					for _, s := range sent[i:] {
						if s.Sub(sent[i]) <= time.Second {
							n++
						}
					}
					if float64(n) > bound {
						t.Fatalf("%d requests in a second, want at most %.1f", n, bound)
					}
				}
			})
		})
	}
}

// Guards against a cold upstream that receives too many requests while VMs stop and
// start: an unregistered VM may still serve callers, and a new process has
// no record of what the previous one sent.
func TestColdUpstreamsWhileVMsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 7
		cold := func(_ int, u *fgsteer.UpstreamSpec) { u.ColdUntil = time.Now().Add(time.Minute) }
		all := upstreams(1, cold)
		registered := map[int]bool{}
		current := func() *fgsteer.View {
			return view(all, func(s *fgsteer.ViewSpec) {
				for i := range vms {
					if registered[i] {
						s.Members = append(s.Members, fgsteer.MemberSpec{VM: fmt.Sprintf("vm-%d", i)})
					}
				}
			})
		}
		for i := range vms {
			registered[i] = true
		}
		var fleet []*Balancer
		for i := range vms {
			fleet = append(fleet, balancer(fmt.Sprintf("vm-%d", i), current()))
		}
		time.Sleep(5 * time.Second)
		var sent []time.Time
		start := time.Now()
		for step := 0; time.Since(start) < 8*time.Second; step++ {
			// Every two seconds three VMs are unregistered, serve for another second, and
			// are then replaced by new processes.
			if step%200 == 0 {
				for i := range 3 {
					registered[(step/200+i)%vms] = false
				}
			}
			if step%200 == 100 {
				for i := range 3 {
					n := (step/200 + i) % vms
					registered[n] = true
					fleet[n] = balancer(fmt.Sprintf("vm-%d", n), current())
				}
			}
			if step%100 == 0 {
				for _, b := range fleet {
					b.Update(current())
				}
			}
			for _, b := range fleet {
				if u, err := b.Choose(Criteria{Group: "g", AffinityKey: "o", MaxLoadPerSlot: 100}); err == nil {
					sent = append(sent, time.Now())
					b.Done(u, Answered)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		const bound = 7.4*1.5 + 5
		for i := range sent {
			n := 0
			for _, s := range sent[i:] {
				if s.Sub(sent[i]) <= time.Second {
					n++
				}
			}
			if float64(n) > bound {
				t.Fatalf("%d requests in a second, want at most %.1f", n, bound)
			}
		}
	})
}

// Guards against an unreachable upstream that is still chosen for every request
// with one of its keys.
func TestUnreachableUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(4)))
		first := choose(t, b, Criteria{AffinityKey: "o"})
		b.Done(first, Unreached)
		second := choose(t, b, Criteria{AffinityKey: "o"})
		if second == first {
			t.Error("an unreachable upstream was chosen again")
		}
		b.Done(second, Answered)
		time.Sleep(maxBackoff)
		if again := choose(t, b, Criteria{AffinityKey: "o"}); again != first {
			t.Error("the upstream is not chosen again for its key after the backoff")
		}
	})
}

// Guards against a restarted upstream that is avoided because of failures of its
// previous process, which had the same ID.
func TestRestartedUpstreamHasNoBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		withStart := func(_ int, u *fgsteer.UpstreamSpec) { u.Started = start }
		b := balancer("vm-0", view(upstreams(4, withStart)))
		first := choose(t, b, Criteria{AffinityKey: "o"})
		for range 4 {
			b.Done(first, Unreached)
		}
		if u := choose(t, b, Criteria{AffinityKey: "o"}); u == first {
			t.Error("an unreachable upstream was chosen again")
		}
		restarted := func(_ int, u *fgsteer.UpstreamSpec) {
			if u.ID == first.Spec().ID {
				u.Started = start.Add(time.Second)
			}
		}
		b.Update(view(upstreams(4, withStart, restarted)))
		if u := choose(t, b, Criteria{AffinityKey: "o"}); u.Spec().ID != first.Spec().ID {
			t.Error("the restarted upstream is not chosen for its key")
		}
	})
}

// Guards against an upstream that keeps its keys although it is many times slower
// than the others, and against a healthy upstream that loses its keys after a
// single cold run.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(4)))
		first := choose(t, b, Criteria{AffinityKey: "o"})
		b.Done(first, Answered)
		b.RecordOverdue(first)
		b.RecordInTime(first, time.Second)
		for i := range slowThreshold {
			u := choose(t, b, Criteria{AffinityKey: "o"})
			if u != first {
				t.Fatalf("the key moved after %d overdue responses", i)
			}
			b.RecordOverdue(u)
			b.Done(u, Answered)
		}
		if u := choose(t, b, Criteria{AffinityKey: "o"}); u == first {
			t.Error("a slow upstream was chosen")
		}
		time.Sleep(maxBackoff)
		if u := choose(t, b, Criteria{AffinityKey: "o"}); u != first {
			t.Error("the upstream is not chosen again for its key after the backoff")
		}
	})
}

// Guards against an overloaded upstream that keeps its keys. A missing response
// means that requests probably wait in its queue until their deadlines.
func TestSilentUpstreamIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(4)))
		first := choose(t, b, Criteria{AffinityKey: "o"})
		b.Done(first, Silent)
		second := choose(t, b, Criteria{AffinityKey: "o"})
		if second == first {
			t.Error("an upstream that did not respond in time was chosen again")
		}
		b.Done(second, Answered)
		time.Sleep(4 * loadHalfLife)
		if again := choose(t, b, Criteria{AffinityKey: "o"}); again != first {
			t.Error("the upstream is not chosen again for its key after its load estimate has decayed")
		}
	})
}

// Guards against refusals while every upstream is avoided: one must be chosen
// nevertheless.
func TestAllUpstreamsAvoided(t *testing.T) {
	b := balancer("vm-0", view(upstreams(2)))
	for range 4 {
		b.Done(choose(t, b, Criteria{AffinityKey: "o"}), Unreached)
	}
	choose(t, b, Criteria{AffinityKey: "o"})
}

// Guards against more retries of all VMs together than the budget allows in any
// window.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			vms, extra = 7, 64
			ratio      = 0.2
			window     = 10 * time.Second
		)
		var fleet []*RetryBudget
		for range vms {
			r := &RetryBudget{}
			r.SetBounds(ratio, extra, window)
			r.SetMembers(vms)
			fleet = append(fleet, r)
		}
		var requested, retried []time.Time
		for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(10 * time.Millisecond) {
			for _, r := range fleet {
				requested = append(requested, time.Now())
				r.CountRequest("g")
				for r.TakeRetry("g") {
					retried = append(retried, time.Now())
				}
			}
		}
		count := func(times []time.Time, from time.Time) (n int) {
			for _, at := range times {
				if !at.Before(from) && at.Sub(from) <= window {
					n++
				}
			}
			return n
		}
		for from := requested[0]; time.Since(from) > window; from = from.Add(time.Second) {
			if got, bound := count(retried, from), ratio*float64(count(requested, from))+extra; float64(got) > bound {
				t.Errorf("%d retries in a window, want at most %.0f", got, bound)
			}
		}
		if len(retried) == 0 {
			t.Error("no retry is ever allowed")
		}
	})
}

// Guards against a wrong balance between locality and load with equal traffic from
// regions of unequal size. If the round-trip time to another region is a large fraction
// of the latency objective, most keys must stay in their region, but no region may
// receive much more than its upstreams can serve.
func TestSameRegionUpstreamsArePreferred(t *testing.T) {
	sizes := []struct {
		region string
		count  int
	}{{"small", 2}, {"middle", 8}, {"large", 10}}
	fleet := func(s *fgsteer.ViewSpec) {
		for _, r := range sizes {
			for i := range r.count {
				s.Upstreams = append(s.Upstreams, fgsteer.UpstreamSpec{
					ID: fmt.Sprint(r.region, i), Group: "g", Address: "10.0.0.1:80", Slots: 6, Region: r.region, AvailabilityZone: r.region,
				})
			}
		}
	}
	tests := []struct {
		name      string
		rtt       time.Duration
		objective time.Duration
		// minSameRegion is the smallest allowed fraction of keys that stay in their
		// region. maxLoad is the highest allowed load per slot of a region, relative to
		// an even distribution.
		minSameRegion, maxLoad float64
	}{
		{"far", 110 * time.Millisecond, 300 * time.Millisecond, 0.65, 2.2},
		{"near", 70 * time.Millisecond, 500 * time.Millisecond, 0.5, 1.6},
		{"no round trip", 0, 300 * time.Millisecond, 0.3, 1.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const keys = 3000
			load, stayed := map[string]float64{}, 0
			for _, r := range sizes {
				b := New(Options{VM: "vm", Region: r.region})
				b.Update(view(fleet))
				b.SetRegionRTT(tt.rtt)
				for i := range keys {
					u := choose(t, b, Criteria{AffinityKey: fmt.Sprint(r.region, i), Objective: tt.objective})
					load[u.Spec().Region]++
					if u.Spec().Region == r.region {
						stayed++
					}
					b.Done(u, Answered)
				}
			}
			if fraction := float64(stayed) / (3 * keys); fraction < tt.minSameRegion {
				t.Errorf("%.2f of the keys stayed in their region, want at least %.2f", fraction, tt.minSameRegion)
			}
			for _, r := range sizes {
				if relativeLoad := load[r.region] / (3 * keys) / (float64(r.count) / 20); relativeLoad > tt.maxLoad {
					t.Errorf("region %s has %.2f times an even load, want at most %.2f", r.region, relativeLoad, tt.maxLoad)
				}
			}
		})
	}
}

// Guards against choices that differ from those of the previous version where no slowdown is
// told: the two upstreams with the highest scores of all, the second if the first is full.
func TestCandidatesHaveTheHighestScores(t *testing.T) {
	uneven := func(i int, u *fgsteer.UpstreamSpec) { u.Slots, u.Draining = 1+i%3, i%7 == 0 }
	b := New(Options{VM: "vm-0", Region: "east"})
	b.Update(view(upstreams(60, uneven)))
	b.SetRegionRTT(110 * time.Millisecond)
	g := b.state.Load().groups["g"]
	g.regionWeights.regions["east"].weightBits.Store(math.Float64bits(0.4))
	for i := range 2000 {
		key := fmt.Sprint(i)
		var want [2]*Upstream
		var scores [2]float64
		for _, u := range g.upstreams {
			if u.Spec().Draining {
				continue
			}
			unit := (float64(fmix64(keyHash(key)^u.hash)>>11) + 0.5) / (1 << 53)
			score := -float64(u.Spec().Slots) / math.Log(unit)
			if u.Spec().Region == "east" {
				score *= 0.4 * (1 + sameRegionFactor*0.11/0.4)
			}
			switch {
			case score > scores[0]:
				want, scores = [2]*Upstream{u, want[0]}, [2]float64{score, scores[0]}
			case score > scores[1]:
				want[1], scores[1] = u, score
			}
		}
		var got []*Upstream
		_, err := b.Choose(Criteria{Group: "g", AffinityKey: key, Objective: 400 * time.Millisecond, Accept: func(u *Upstream, _ Estimate) bool {
			got = append(got, u)
			return false
		}})
		if !errors.Is(err, ErrFull) || !slices.Equal(got, want[:]) {
			t.Fatalf("key %s: got %d candidates, %v, want the two with the highest scores", key, len(got), err)
		}
	}
}

// Guards against kept rankings that differ from computed ones, so that gateways choose
// different upstreams for a key, also while upstreams are draining or avoided.
func TestKeptRankingsAreTheComputedOnes(t *testing.T) {
	// Avoided upstreams are avoided for the same time on both.
	synctest.Test(t, func(t *testing.T) {
		draining := func(i int, u *fgsteer.UpstreamSpec) { u.Draining = i%3 == 0 }
		cached, computed := balancer("vm-0", view(upstreams(minCachedGroup, draining))), balancer("vm-0", view(upstreams(minCachedGroup, draining)))
		if cached.state.Load().groups["g"].cache == nil {
			t.Fatal("no rankings are kept")
		}
		computed.state.Load().groups["g"].cache = nil
		for i := range 3000 {
			key := fmt.Sprint(i % 700)
			x, y := choose(t, cached, Criteria{AffinityKey: key}), choose(t, computed, Criteria{AffinityKey: key})
			if x.Spec().ID != y.Spec().ID {
				t.Errorf("key %s is assigned to %s and %s", key, x.Spec().ID, y.Spec().ID)
			}
			result := []Result{Answered, Unreached}[i%2]
			cached.Done(x, result)
			computed.Done(y, result)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 200, 1200} {
		for _, tt := range []struct {
			name  string
			timed bool
			keys  int
		}{{"one key", false, 1}, {"many keys", false, 4096}, {"hot key by time", true, 1}, {"many keys by time", true, 4096}, {"no key by time", true, 0}} {
			b.Run(fmt.Sprintf("%d/%s", n, tt.name), func(b *testing.B) {
				l := balancer("vm-0", view(upstreams(n), members(7)))
				if tt.timed {
					for _, u := range l.state.Load().groups["g"].upstreams {
						l.RecordReport(u, Report{Slowdown: 1})
					}
				}
				keys := []string{""}
				for i := range tt.keys {
					keys = append(keys, fmt.Sprint("key-", i))
				}
				if tt.keys > 0 {
					keys = keys[1:]
				}
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					i++
					u, err := l.Choose(Criteria{Group: "g", AffinityKey: keys[i%len(keys)], MaxLoadPerSlot: testMaxLoad})
					if err != nil {
						b.Fatal(err)
					}
					l.Done(u, Answered)
				}
			})
		}
	}
}
