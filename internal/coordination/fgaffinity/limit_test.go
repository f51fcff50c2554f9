package fgaffinity

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// limitNamed is when the simulated upstream first names its limit, and limitLifted
	// when it no longer does.
	limitNamed  = 3 * time.Second
	limitLifted = 23 * time.Second
	limitEnd    = 38 * time.Second
	// From limitDelay after it first named a limit, an upstream may get limitExcess
	// times its rate and limitSlack more requests in each boundWindow, from VMs that it
	// told at least toldDelay earlier.
	limitDelay  = 4 * time.Second
	boundWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	toldDelay   = 500 * time.Millisecond
	// limitReportInterval is how often the VMs of a large fleet report.
	limitReportInterval = 600 * time.Millisecond
)

// limitFleet simulates a fleet that sends requests to a group in which one upstream
// names a limit.
type limitFleet struct {
	vms     []*Balancer
	limited string
	rate    float64
	start   time.Time

	mu   sync.Mutex
	told []time.Time
	// arrived are the times of all requests to the limited upstream, counted those of
	// them that count towards its limit.
	arrived, counted []time.Duration
	refused          int
}

func newLimitFleet(vms int, rate float64) *limitFleet {
	f := &limitFleet{told: make([]time.Time, vms), limited: "i-0", rate: rate, start: time.Now()}
	regions := []string{"east", "west"}
	v := view(upstreams(20), func(s *fgsteer.ViewSpec) {
		for i := range vms {
			s.Members = append(s.Members, fgsteer.MemberSpec{VM: fmt.Sprint("vm-", i), Region: regions[i%2]})
		}
	})
	for i := range vms {
		b := New(Options{VM: fmt.Sprint("vm-", i), Region: regions[i%2]})
		b.SetRegionRTT(simRTT)
		b.Update(v)
		f.vms = append(f.vms, b)
	}
	return f
}

// send sends a request through one VM, and its response some time later.
func (f *limitFleet) send(vm int, key string, took time.Duration) {
	b := f.vms[vm]
	u, err := b.Choose(Criteria{Group: "g", AffinityKey: key, Objective: simObjective, MaxLoadPerSlot: testMaxLoad})
	if err != nil {
		f.refused++
		return
	}
	elapsed := time.Since(f.start)
	named := u.Spec().ID == f.limited && elapsed >= limitNamed && elapsed < limitLifted
	if u.Spec().ID == f.limited {
		f.arrived = append(f.arrived, elapsed)
		if f.wasTold(vm) {
			f.counted = append(f.counted, elapsed)
		}
	}
	time.AfterFunc(took, func() {
		if named {
			f.tell(vm)
		}
		b.RecordLimit(u, f.rate, named)
		b.RecordLoad(u, 1)
		b.Done(u, Answered)
	})
}

// report passes what each VM has heard of limits on to the others.
func (f *limitFleet) report() {
	for i, from := range f.vms {
		reports := from.LimitReports()
		if len(reports) == 0 {
			continue
		}
		for j, to := range f.vms {
			if i != j {
				to.ApplyLimitReports(reports)
			}
		}
	}
}

// tell records that a VM has received a response that names the limit.
func (f *limitFleet) tell(vm int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.told[vm].IsZero() {
		f.told[vm] = time.Now()
	}
}

// wasTold reports whether requests of a VM count towards the limit.
func (f *limitFleet) wasTold(vm int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.told[vm].IsZero() && time.Since(f.told[vm]) >= toldDelay
}

// within returns how many times lie in a span.
func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Guards against an upstream that gets more requests than the limit that it named, that
// gets none, or that still gets few after it has lifted the limit.
func TestNamedLimitHoldsOverTheFleet(t *testing.T) {
	tests := []struct {
		vms int
		// rate is the upstream's limit and demand what its keys bring without one, in
		// requests per second.
		rate, demand float64
	}{{1, 2.5, 6}, {7, 7.8, 27}, {7, 4.9, 27}, {7, 0.4, 27}, {37, 5, 40}, {118, 5, 60}, {118, 40, 120}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d VMs, %v of %v", tt.vms, tt.rate, tt.demand), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(tt.vms, tt.rate)
				random := rand.New(rand.NewPCG(1, 2))
				gap, reported := time.Duration(float64(time.Second)/(20*tt.demand)), time.Duration(0)
				for elapsed := time.Duration(0); elapsed < limitEnd; elapsed = time.Since(f.start) {
					if elapsed-reported >= limitReportInterval {
						reported = elapsed
						f.report()
					}
					f.send(random.IntN(tt.vms), fmt.Sprint(random.IntN(600)), time.Duration(50+random.IntN(200))*time.Millisecond)
					time.Sleep(gap)
				}
				allowed := int(limitExcess*tt.rate*boundWindow.Seconds() + limitSlack)
				for _, at := range f.counted {
					if n := within(f.counted, at-boundWindow, at); at >= limitNamed+limitDelay && at < limitLifted && n > allowed {
						t.Fatalf("%d requests in the %v before %v, allowed %d", n, boundWindow, at, allowed)
					}
				}
				n := within(f.arrived, limitNamed+limitDelay, limitLifted)
				t.Logf("%.2f requests per second while the limit was named", float64(n)/(limitLifted-limitNamed-limitDelay).Seconds())
				if n == 0 {
					t.Error("the upstream got no requests while it named a limit")
				}
				before, after := within(f.arrived, 0, limitNamed), within(f.arrived, limitEnd-limitNamed, limitEnd)
				if after < before/2 {
					t.Errorf("%d requests in the last %v, %d in the first", after, limitNamed, before)
				}
				if f.refused > 0 {
					t.Errorf("%d requests were refused while other upstreams had capacity", f.refused)
				}
			})
		})
	}
}

// Guards against requests that are refused as if no upstream were left, or sent all the
// same, when all upstreams are at the limits that they named.
func TestAllUpstreamsAtTheirLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(2), members(1)))
		for range 2 {
			b.RecordLimit(choose(t, b, Criteria{}), 0.25, true)
		}
		sent := 0
		for range 5 {
			u, err := b.Choose(Criteria{Group: "g", MaxLoadPerSlot: testMaxLoad})
			if err == nil {
				sent++
				b.Done(u, Answered)
			} else if !errors.Is(err, ErrFull) {
				t.Errorf("error %v, want %v", err, ErrFull)
			}
		}
		if sent != 2 {
			t.Errorf("%d requests were sent, want one to each upstream", sent)
		}
	})
}

// Guards against VMs whose parts of a limit add up to more than the limit, or to much
// less.
func TestLimitQuotas(t *testing.T) {
	tests := []struct{ east, west, other, total int }{
		{1, 0, 0, 20}, {2, 5, 0, 20}, {3, 2, 2, 32}, {0, 7, 0, 20}, {39, 79, 0, 20}, {39, 79, 0, 200}, {4, 4, 4, 1}, {4, 4, 4, 0}, {5, 3, 1, 12},
	}
	for _, tt := range tests {
		var all []fgsteer.MemberSpec
		for _, r := range []struct {
			region string
			vms    int
		}{{"east", tt.east}, {"west", tt.west}, {"other", tt.other}} {
			for i := range r.vms {
				all = append(all, fgsteer.MemberSpec{VM: fmt.Sprint(r.region, i), Region: r.region})
			}
		}
		v := view(upstreams(1), func(s *fgsteer.ViewSpec) { s.Members = all })
		sum := 0
		for _, m := range all {
			b := New(Options{VM: m.VM, Region: m.Region})
			b.Update(v)
			s := b.state.Load()
			sum += b.limitQuota(s, s.groups["g"].upstreams[0], tt.total)
		}
		if sum != tt.total {
			t.Errorf("%+v: the VMs may send %d requests", tt, sum)
		}
	}
}

// Guards against a limit that a report brings back after its upstream has lifted it, and
// against one that a VM does not hear of.
func TestLimitReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view(upstreams(1), members(2))
		a, b := balancer("vm-0", v), balancer("vm-1", v)
		u := choose(t, a, Criteria{})
		a.RecordLimit(u, 5, true)
		time.Sleep(time.Second)
		reports := a.LimitReports()
		b.ApplyLimitReports(reports)
		if b.LimitedUpstreams() != 1 {
			t.Fatalf("reports %+v were not applied", reports)
		}
		b.RecordLimit(choose(t, b, Criteria{}), 0, false)
		b.ApplyLimitReports(reports)
		if b.LimitedUpstreams() != 0 {
			t.Error("a report that is older than the last response was applied")
		}
		c := balancer("vm-1", v)
		c.RecordLimit(choose(t, c, Criteria{}), 0, false)
		if c.ApplyLimitReports(reports); c.LimitedUpstreams() != 0 {
			t.Error("a report that is older than the first response was applied")
		}
		time.Sleep(limitReportTime)
		if reports := a.LimitReports(); len(reports) > 0 {
			t.Errorf("%+v is still reported", reports)
		}
	})
}
