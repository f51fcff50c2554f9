package fgaffinity

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// find returns the upstream of a balancer with an ID.
func find(t *testing.T, b *Balancer, id string) *Upstream {
	t.Helper()
	for _, u := range b.state.Load().groups["g"].upstreams {
		if u.Spec().ID == id {
			return u
		}
	}
	t.Fatalf("no upstream %s", id)
	return nil
}

// Guards against VMs that send to an upstream which others of their zone know to be full,
// against old reports that replace newer ones, and against sends that are counted twice or
// not at all: those before the report are part of it, and later ones are added.
func TestLoadsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view(upstreams(8), members(2))
		a, b := balancer("vm-0", v), balancer("vm-1", v)
		at, bt := find(t, a, "i-3"), find(t, b, "i-3")
		now := func() int64 { return int64(time.Since(b.epoch)) }
		if e := b.estimate(b.state.Load().groups["g"], bt, warmRun, time.Now()); e.Known {
			t.Error("a load that nobody has reported is known")
		}
		// A send before the report, which the report includes.
		time.Sleep(time.Second)
		bt.inFlight.Add(1)
		bt.recordSend(now())
		time.Sleep(time.Second)
		a.RecordReport(at, Report{Load: 7, Slowdown: 1})
		time.Sleep(200 * time.Millisecond)
		// A send after it.
		bt.inFlight.Add(1)
		bt.recordSend(now())
		reports := a.LoadReports()
		if len(reports) != 1 || reports[0].Load != 6 || reports[0].Age != 200*time.Millisecond {
			t.Fatalf("got %+v", reports)
		}
		if n := b.ApplyLoadReports(reports); n != 1 {
			t.Errorf("%d reports applied", n)
		}
		if got, want := bt.load(now()), 2+5*math.Exp2(-0.2); math.Abs(got-want) > 0.01 {
			t.Errorf("the load is %.2f, want %.2f", got, want)
		}
		if e := b.estimate(b.state.Load().groups["g"], bt, warmRun, time.Now()); !e.Known {
			t.Error("a reported load is not known")
		}
		if again := a.LoadReports(); len(again) != 0 {
			t.Errorf("reported again: %+v", again)
		}
		old := LoadReport{Upstream: reports[0].Upstream, Load: 40, Slowdown: 1, Age: 300 * time.Millisecond}
		if n := b.ApplyLoadReports([]LoadReport{old, {Upstream: 1}}); n != 0 || bt.load(now()) > 10 {
			t.Errorf("%d old reports applied, load %.2f", n, bt.load(now()))
		}
		time.Sleep(10 * time.Second)
		if e := b.estimate(b.state.Load().groups["g"], bt, warmRun, time.Now()); e.Known || e.LoadPerSlot > 0.51 {
			t.Errorf("after 10 s: %+v", e)
		}
	})
}

// Guards against loads that keep requests away for long after the reports have stopped.
func TestLoadsAgeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(8)))
		g := b.state.Load().groups["g"]
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, u := range g.upstreams {
				b.RecordReport(u, Report{Load: 12, Slowdown: 1})
			}
		}
		u := g.upstreams[0]
		time.Sleep(3 * loadHalfLife)
		if e := b.estimate(g, u, keylessRun, time.Now()); e.LoadPerSlot < 1.5 || !u.pressed(int64(time.Since(b.epoch))) {
			t.Errorf("after 3 s, the load of the region is not expected: %+v", e)
		}
		time.Sleep(40 * time.Second)
		if e := b.estimate(g, u, keylessRun, time.Now()); e.LoadPerSlot > 0.1 || u.pressed(int64(time.Since(b.epoch))) {
			t.Errorf("after 40 s: %+v", e)
		}
	})
}

// Guards against states that exceed a datagram, or that leave out the newest loads, and
// against loads in the states of deployments whose upstreams tell no slowdown.
func TestLoadReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(3*maxLoadReports)))
		for i := range 3 * maxLoadReports {
			b.RecordReport(find(t, b, fmt.Sprint("i-", i)), Report{Load: 1})
		}
		if reports := b.LoadReports(); len(reports) != 0 {
			t.Errorf("%d reports although no slowdown was told", len(reports))
		}
		for i := range 3 * maxLoadReports {
			time.Sleep(time.Millisecond)
			b.RecordReport(find(t, b, fmt.Sprint("i-", i)), Report{Load: 1, Slowdown: 1})
		}
		reports := b.LoadReports()
		if len(reports) != maxLoadReports || reports[0].Age != 0 || reports[maxLoadReports-1].Age != (maxLoadReports-1)*time.Millisecond {
			t.Errorf("%d reports: %+v", len(reports), reports)
		}
		b.RecordReport(find(t, b, "i-1"), Report{Load: 1, Slowdown: 1})
		time.Sleep(maxLoadReportAge)
		if reports := b.LoadReports(); len(reports) != 0 {
			t.Errorf("an old load is reported: %+v", reports)
		}
	})
}

// Guards against a slowdown that is taken as lasting, although it changes several times a
// second, and against an upstream that stays slow and is taken for a fast one.
func TestSlowdownIsFiltered(t *testing.T) {
	var flickering, slow toldSlowdown
	now := int64(time.Hour)
	for i := range 200 {
		now += int64(200 * time.Millisecond)
		flickering.record([]float64{1, 1, 1, 1, 2.5}[i%5], 1.3, now)
		slow.record(2.5, 1.3, now)
	}
	if got := flickering.at(now); got < 2.4 {
		t.Errorf("%.2f at once, want about 2.5", got)
	}
	if got := flickering.at(now + int64(2*time.Second)); got > 1.5 {
		t.Errorf("%.2f after 2 s, want about 1.3", got)
	}
	if got := slow.at(now + int64(2*time.Second)); got < 2.3 {
		t.Errorf("%.2f at an upstream that is always slow, want about 2.5", got)
	}
}

// Guards against a run time that includes the wait, the network or a slow machine, and
// against warm and cold runs that are expected to take the same time.
func TestRunTimesAreMeasuredByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{VM: "vm-0", Region: "east", AvailabilityZone: "east-a"})
		b.SetRegionRTT(110 * time.Millisecond)
		b.Update(view(upstreams(4)))
		near, far := find(t, b, "i-0"), find(t, b, "i-1")
		g := b.state.Load().groups["g"]
		for range 40 {
			e := b.estimate(g, near, warmRun, time.Now())
			b.RecordRun(near, e, 100*time.Millisecond, 1)
			e = b.estimate(g, far, coldRun, time.Now())
			b.RecordRun(far, e, 110*time.Millisecond+2*330*time.Millisecond, 2)
			// Mostly a wait.
			e.Wait = time.Second
			b.RecordRun(far, e, 1200*time.Millisecond, 1)
		}
		warm, cold := b.estimate(g, near, warmRun, time.Now()), b.estimate(g, far, coldRun, time.Now())
		if warm.Run.Round(time.Millisecond) != 100*time.Millisecond || cold.Run.Round(time.Millisecond) != 330*time.Millisecond || cold.Network != 110*time.Millisecond {
			t.Errorf("warm %+v, cold %+v", warm, cold)
		}
		b.RecordCold(near, time.Second)
		if e := b.estimate(g, near, warmRun, time.Now()); e.Run != justStartedFactor*warm.Run {
			t.Errorf("%s at an upstream that has just started, want twice %s", e.Run, warm.Run)
		}
		// 6 requests for 4 slots: three must end before the next one runs.
		b.RecordReport(near, Report{Load: 6, Slowdown: 1})
		want := time.Duration(3.0 / 4 * g.runs.mean(0))
		if e := b.estimate(g, near, warmRun, time.Now()); (e.Wait - want).Abs() > time.Millisecond {
			t.Errorf("the wait is %s, want %s", e.Wait, want)
		}
	})
}

// Guards against a key that leaves its preferred upstream because of a short queue of warm
// runs, although a cold run elsewhere takes three times a slot, and against one that stays
// in a queue that makes its caller late.
func TestKeysMoveOnlyWhenItPays(t *testing.T) {
	tests := []struct {
		name      string
		load      int
		objective time.Duration
		moves     bool
	}{
		{"idle", 0, 400 * time.Millisecond, false},
		{"short queue", 8, 500 * time.Millisecond, false},
		{"late", 18, 500 * time.Millisecond, true},
		{"late after a short queue", 12, 340 * time.Millisecond, true},
		{"late everywhere", 12, 200 * time.Millisecond, false},
		{"long queue", 40, 200 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := balancer("vm-0", view(upstreams(8, func(_ int, u *fgsteer.UpstreamSpec) { u.Region = "" })))
				g := b.state.Load().groups["g"]
				first := choose(t, b, Criteria{AffinityKey: "o"})
				b.Done(first, Answered)
				for range 20 {
					b.RecordRun(first, Estimate{class: warmRun, measured: true}, 100*time.Millisecond, 1)
				}
				for range minRunSamples {
					b.RecordRun(first, Estimate{class: coldRun, measured: true}, 330*time.Millisecond, 1)
				}
				for _, u := range g.upstreams {
					b.RecordReport(u, Report{Slowdown: 1})
				}
				b.RecordReport(first, Report{Load: tt.load, Slowdown: 1})
				u := choose(t, b, Criteria{AffinityKey: "o", Objective: tt.objective, Accept: func(*Upstream, Estimate) bool { return true }})
				if moved := u != first; moved != tt.moves {
					t.Errorf("moved is %t; expected %+v at the first, runs %.0f ms", moved, b.estimate(g, first, warmRun, time.Now()), g.runs.mean(0)/1e6)
				}
			})
		})
	}
}

// Guards against keys that spread over ever more upstreams, and against refusals while only
// two of a key's upstreams are full.
func TestThirdCandidateIsForFullUpstreams(t *testing.T) {
	b := balancer("vm-0", view(upstreams(8, func(_ int, u *fgsteer.UpstreamSpec) { u.Slots, u.Region = 1, "" })))
	for _, u := range b.state.Load().groups["g"].upstreams {
		b.RecordReport(u, Report{Slowdown: 1})
	}
	used := map[*Upstream]int{}
	for {
		u, err := b.Choose(Criteria{Group: "g", AffinityKey: "o", MaxLoadPerSlot: testMaxLoad})
		if err != nil {
			break
		}
		used[u]++
	}
	if len(used) != 3 {
		t.Errorf("the key used %d upstreams, want 3", len(used))
	}
	// While a candidate has a free slot, none but the first two is asked.
	asked := map[*Upstream]bool{}
	refuse := func(u *Upstream, _ Estimate) bool { asked[u] = true; return false }
	if _, err := b.Choose(Criteria{Group: "g", AffinityKey: "p", Accept: refuse}); err == nil || len(asked) != 2 {
		t.Errorf("%d candidates asked, %v", len(asked), err)
	}
}

// Guards against requests without a key that go to other zones although the own one is
// about as fast, or stay in a zone that is much slower.
func TestOwnZoneComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zones := func(i int, u *fgsteer.UpstreamSpec) {
			u.Region, u.AvailabilityZone, u.Slots = "east", []string{"east-a", "east-b"}[i%2], 12
		}
		b := New(Options{VM: "vm-0", Region: "east", AvailabilityZone: "east-a"})
		b.Update(view(upstreams(12, zones)))
		g := b.state.Load().groups["g"]
		for range 20 {
			b.RecordRun(g.upstreams[0], Estimate{class: keylessRun, measured: true}, 100*time.Millisecond, 1)
		}
		own := func(load int) (n int) {
			for range 100 {
				for _, u := range g.upstreams {
					r := Report{Slowdown: 1, Load: 11}
					if u.Spec().AvailabilityZone == "east-a" {
						r.Load = load
					}
					b.RecordReport(u, r)
				}
				u := choose(t, b, Criteria{MaxLoadPerSlot: 10})
				if u.Spec().AvailabilityZone == "east-a" {
					n++
				}
				b.Done(u, Answered)
			}
			return n
		}
		if n := own(12); n != 100 {
			t.Errorf("%d of 100 requests stayed in a zone that is about as fast", n)
		}
		if n := own(24); n != 0 {
			t.Errorf("%d of 100 requests stayed in a full zone", n)
		}
	})
}
