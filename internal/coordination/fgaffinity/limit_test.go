package fgaffinity

import (
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
	// times its rate and limitSlack more requests in each limitWindow, from VMs that it
	// told at least toldDelay earlier.
	limitDelay  = 4 * time.Second
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	toldDelay   = 500 * time.Millisecond
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
	}{{1, 5, 30}, {7, 7.8, 27}, {7, 4.9, 27}, {7, 0.4, 27}, {37, 5, 40}, {118, 5, 60}, {118, 40, 120}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d VMs, %v of %v", tt.vms, tt.rate, tt.demand), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(tt.vms, tt.rate)
				random := rand.New(rand.NewPCG(1, 2))
				gap := time.Duration(float64(time.Second) / (20 * tt.demand))
				for elapsed := time.Duration(0); elapsed < limitEnd; elapsed = time.Since(f.start) {
					f.send(random.IntN(tt.vms), fmt.Sprint(random.IntN(600)), time.Duration(50+random.IntN(200))*time.Millisecond)
					time.Sleep(gap)
				}
				allowed := int(limitExcess*tt.rate*limitWindow.Seconds() + limitSlack)
				for _, at := range f.counted {
					if n := within(f.counted, at-limitWindow, at); at >= limitNamed+limitDelay && at < limitLifted && n > allowed {
						t.Fatalf("%d requests in the %v before %v, allowed %d", n, limitWindow, at, allowed)
					}
				}
				if n := within(f.arrived, limitNamed+limitDelay, limitLifted); n == 0 {
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
