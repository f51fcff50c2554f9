package fgquota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	testSlack  = 20
	testWindow = 5 * time.Second
	testExcess = 0.1
	// The gateways of the simulated fleet report every reportInterval. With more than
	// reportIntervalVMs gateways the interval grows, up to maxReportInterval.
	reportInterval    = 200 * time.Millisecond
	reportIntervalVMs = 10
	maxReportInterval = 600 * time.Millisecond
	step              = 10 * time.Millisecond
)

// fleet simulates the limiters of several VMs, which report to each other with a
// delay.
type fleet struct {
	limiters  []*Limiter
	names     []string
	delay     time.Duration
	silent    map[int]bool
	inTransit []message
	// cut reports whether messages between two of n VMs are lost, withoutStore whether a
	// VM does not reach the store. Paused VMs neither send nor receive. Absent ones are
	// not registered. seen holds the members that each VM sees registered.
	cut            func(from, to, n int) bool
	withoutStore   func(vm, n int) bool
	paused, absent map[int]bool
	seen           [][]string
	policy         *fgsteer.Policy
	lastTick       time.Time
	sequence       uint64
	// incarnations are the incarnations of all VMs. It is nil until a VM restarts.
	incarnations []uint64
}

// dropMessages drops the messages from and to a VM that was killed.
func (f *fleet) dropMessages(vm int) {
	var kept []message
	for _, msg := range f.inTransit {
		if msg.from != vm && msg.to != vm {
			kept = append(kept, msg)
		}
	}
	f.inTransit = kept
}

type message struct {
	due      time.Time
	from, to int
	report   Report
}

func newFleet(n int, delay time.Duration, w ...fgsteer.WorkspaceSpec) *fleet {
	f := &fleet{delay: delay, silent: map[int]bool{}, lastTick: time.Now()}
	f.policy = fgsteer.NewPolicy(fgsteer.PolicySpec{Workspaces: w})
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("vm-%d", i))
	}
	f.seen = make([][]string, n)
	for i := range n {
		f.limiters = append(f.limiters, f.newLimiter(i))
	}
	return f
}

func (f *fleet) newLimiter(vm int) *Limiter {
	l := New()
	l.SetSelf(f.names[vm])
	l.SetSlack(testSlack)
	l.SetMembers(f.names)
	l.SetPolicy(f.policy)
	return l
}

// restart gives a VM the state of a new process.
func (f *fleet) restart(vm int) {
	if f.incarnations == nil {
		for i := range f.limiters {
			f.incarnations = append(f.incarnations, uint64(i+1))
		}
	}
	f.limiters[vm], f.seen[vm] = f.newLimiter(vm), nil
	f.incarnations[vm] += uint64(len(f.limiters))
	f.dropMessages(vm)
}

// advance simulates one step of time.
func (f *fleet) advance() {
	time.Sleep(step)
	now := time.Now()
	if now.Sub(f.lastTick) >= min(reportInterval*time.Duration(max(len(f.limiters), reportIntervalVMs))/reportIntervalVMs, maxReportInterval) {
		f.sequence++
		for i, limiter := range f.limiters {
			if f.paused[i] {
				continue
			}
			if f.withoutStore == nil || !f.withoutStore(i, len(f.limiters)) {
				limiter.ObserveStore(0)
			}
			report := Report{VM: f.names[i], Sequence: f.sequence, Uses: limiter.Tick(now.Sub(f.lastTick))}
			report.Complete, report.Unheard, report.Members = limiter.LastComplete(), limiter.Unheard(), limiter.Known()
			for j := range f.limiters {
				if i != j && !f.silent[i] && !f.silent[j] && (f.cut == nil || !f.cut(i, j, len(f.limiters))) {
					f.inTransit = append(f.inTransit, message{now.Add(f.delay), i, j, report})
				}
			}
		}
		f.lastTick = now
	}
	var kept []message
	for len(f.inTransit) > 0 && !now.Before(f.inTransit[0].due) {
		msg := f.inTransit[0]
		f.inTransit = f.inTransit[1:]
		if f.paused[msg.to] {
			kept = append(kept, msg)
			continue
		}
		incarnation := uint64(msg.from) + 1
		if f.incarnations != nil {
			incarnation = f.incarnations[msg.from]
		}
		msg.report.Incarnation = incarnation
		f.limiters[msg.to].ApplyReport(msg.report)
	}
	f.inTransit = append(kept, f.inTransit...)
}

// Guards against a workspace that asks for more than its rate and is admitted
// above the fleet's bound in any window, whether its callers use all VMs evenly or
// move from VM to VM.
func TestWorkspaceAboveItsRateIsLimited(t *testing.T) {
	tests := []struct {
		name        string
		vms         int
		rate, burst float64
		perSecond   float64
		delay       time.Duration
		// pick returns the VM that receives a request.
		pick func(r *rand.Rand, at time.Duration, n int) int
		// silent is the VM whose messages are lost from the eighth second on, or -1.
		silent int
	}{
		{"large, even", 7, 132, 132, 990, 55 * time.Millisecond, func(r *rand.Rand, _ time.Duration, n int) int { return r.IntN(n) }, -1},
		{"large, moving every two seconds", 7, 132, 132, 990, 55 * time.Millisecond, func(_ *rand.Rand, at time.Duration, n int) int { return int(at/(2*time.Second)) % n }, -1},
		{"small, even", 7, 10, 10, 75, 55 * time.Millisecond, func(r *rand.Rand, _ time.Duration, n int) int { return r.IntN(n) }, -1},
		{"many VMs", 28, 20, 20, 300, 35 * time.Millisecond, func(r *rand.Rand, _ time.Duration, n int) int { return r.IntN(n) }, -1},
		{"large on a hundred VMs", 100, 400, 400, 1900, 55 * time.Millisecond, func(r *rand.Rand, _ time.Duration, n int) int { return r.IntN(n) }, -1},
		{"large on many VMs", 28, 132, 132, 990, 55 * time.Millisecond, func(r *rand.Rand, _ time.Duration, n int) int { return r.IntN(n) }, -1},
		{"many VMs, moving every two seconds", 28, 60, 60, 450, 55 * time.Millisecond, func(_ *rand.Rand, at time.Duration, n int) int { return int(at/(2*time.Second)) % n }, -1},
		{"one VM partitioned", 7, 132, 132, 990, 55 * time.Millisecond, func(r *rand.Rand, _ time.Duration, n int) int { return r.IntN(n) }, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seed = 1
				r := rand.New(rand.NewPCG(seed, seed))
				f := newFleet(tt.vms, tt.delay, fgsteer.WorkspaceSpec{Name: "w", Rate: tt.rate, Burst: tt.burst})
				start := time.Now()
				var admitted []time.Time
				for time.Since(start) < 20*time.Second {
					if tt.silent >= 0 && time.Since(start) > 8*time.Second {
						f.silent[tt.silent] = true
					}
					if time.Since(start) > 3*time.Second {
						for range poisson(r, tt.perSecond*step.Seconds()) {
							if f.limiters[tt.pick(r, time.Since(start), tt.vms)].Admit("w").Allowed {
								admitted = append(admitted, time.Now())
							}
						}
					}
					f.advance()
				}
				allowed := (tt.rate*testWindow.Seconds()+tt.burst)*(1+testExcess) + testSlack
				t.Logf("seed %d: %d admitted in a window, allowed %.0f", seed, maxInWindow(admitted, testWindow), allowed)
				if got := maxInWindow(admitted, testWindow); float64(got) > allowed {
					t.Errorf("seed %d: %d admitted in a window, allowed %.0f", seed, got, allowed)
				}
				if minimum := 0.8 * tt.rate * 17; float64(len(admitted)) < minimum {
					t.Errorf("seed %d: %d admitted in 17 s, want at least %.0f of a workspace that asks for more than its rate", seed, len(admitted), minimum)
				}
			})
		})
	}
}

// Guards against refusals within a workspace's rate.
func TestWorkspaceWithinItsRateIsNotRefused(t *testing.T) {
	tests := []struct {
		name        string
		vms         int
		rate, burst float64
	}{
		{"large", 7, 132, 132},
		{"small", 7, 10, 10},
		{"tiny on many VMs", 28, 5, 5},
		{"large on many VMs", 28, 132, 132},
		{"large on a hundred VMs", 100, 400, 400},
		{"large on 300 VMs", 300, 1200, 1200},
		{"small on many VMs", 28, 20, 20},
		{"small on a hundred VMs", 100, 20, 20},
		{"tiny on a hundred VMs", 100, 9, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seed = 2
				r := rand.New(rand.NewPCG(seed, seed))
				f := newFleet(tt.vms, 55*time.Millisecond, fgsteer.WorkspaceSpec{Name: "w", Rate: tt.rate, Burst: tt.burst})
				start, requested, refused := time.Now(), 0, 0
				// Runs of large fleets are shorter, since their rates are higher.
				duration := max(20*time.Second, 60*time.Second*28/time.Duration(max(28, tt.vms)))
				for time.Since(start) < duration {
					// Traffic starts 6 s after the VMs, at five eighths of the rate.
					if time.Since(start) > 6*time.Second {
						for range poisson(r, tt.rate/1.6*step.Seconds()) {
							requested++
							if !f.limiters[r.IntN(tt.vms)].Admit("w").Allowed {
								refused++
							}
						}
					}
					f.advance()
				}
				t.Logf("seed %d: %d of %d refused", seed, refused, requested)
				if refused*100 > requested {
					t.Errorf("seed %d: %d of %d refused, want at most 1 in 100", seed, refused, requested)
				}
			})
		})
	}
}

// Guards against refusals within a workspace's rate long after a large fleet has
// lost an availability zone or was restarted as a whole. Service must recover
// within seconds, also for workspaces with few tokens for each VM.
func TestLargeFleetServesAfterLosses(t *testing.T) {
	tests := []struct {
		name        string
		rate, burst float64
		silentVMs   int
		restarted   bool
	}{
		{"availability zone lost, small", 20, 20, 17, false},
		{"availability zone lost, large", 400, 400, 17, false},
		{"all restarted, small", 20, 20, 0, true},
		{"all restarted, large", 400, 400, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seed, vms, settleTime = 8, 100, 4 * time.Second
				r := rand.New(rand.NewPCG(seed, seed))
				f := newFleet(vms, 55*time.Millisecond, fgsteer.WorkspaceSpec{Name: "w", Rate: tt.rate, Burst: tt.burst})
				requested, refused := 0, 0
				send := func(duration time.Duration) {
					requested, refused = 0, 0
					for start := time.Now(); time.Since(start) < duration; f.advance() {
						for range poisson(r, tt.rate/1.6*step.Seconds()) {
							requested++
							if !f.limiters[tt.silentVMs+r.IntN(vms-tt.silentVMs)].Admit("w").Allowed {
								refused++
							}
						}
					}
				}
				if !tt.restarted {
					send(8 * time.Second)
					for i := range tt.silentVMs {
						f.silent[i] = true
					}
				}
				send(settleTime)
				refusedEarly := refused
				send(8 * time.Second)
				t.Logf("seed %d: refused %d in the first %v, then %d of %d", seed, refusedEarly, settleTime, refused, requested)
				if refused*50 > requested {
					t.Errorf("seed %d: %d of %d refused, want at most 1 in 50", seed, refused, requested)
				}
			})
		})
	}
}

// Guards against a workspace on many VMs that asks for more than its rate and is
// admitted well below it, because fractions of tokens that a VM has accumulated
// are lost.
func TestRateIsUsedInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			seed, vms       = 4, 30
			rate, perSecond = 54, 90
		)
		r := rand.New(rand.NewPCG(seed, seed))
		f := newFleet(vms, 55*time.Millisecond, fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: rate})
		var admitted []time.Time
		start := time.Now()
		for time.Since(start) < 40*time.Second {
			for range poisson(r, perSecond*step.Seconds()) {
				if f.limiters[r.IntN(vms)].Admit("w").Allowed && time.Since(start) > 10*time.Second {
					admitted = append(admitted, time.Now())
				}
			}
			f.advance()
		}
		allowed := (rate*testWindow.Seconds()+rate)*(1+testExcess) + testSlack
		t.Logf("seed %d: %d admitted in 30 s of %d, %d in a window, allowed %.0f", seed, len(admitted), rate*30, maxInWindow(admitted, testWindow), allowed)
		if got := maxInWindow(admitted, testWindow); float64(got) > allowed {
			t.Errorf("seed %d: %d admitted in a window, allowed %.0f", seed, got, allowed)
		}
		if minimum := 0.95 * rate * 30; float64(len(admitted)) < minimum {
			t.Errorf("seed %d: %d admitted in 30 s, want at least %.0f", seed, len(admitted), minimum)
		}
	})
}

// Guards against a restarted VM that spends a workspace's burst a second time.
func TestNewLimiterHasNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 0, fgsteer.WorkspaceSpec{Name: "w", Rate: 10, Burst: 100})
		if f.limiters[0].Admit("w").Allowed {
			t.Error("a limiter that has just started admits a request")
		}
		time.Sleep(time.Second)
		f.limiters[0].Tick(time.Second)
		if !f.limiters[0].Admit("w").Allowed {
			t.Error("no request is admitted after a second")
		}
	})
}

// Guards against a workspace that exceeds its rate while VMs are killed and
// restarted, since a restarted VM has no record of the tokens spent.
func TestRestartsDoNotAddRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed, vms, rate, burst = 3, 3, 20, 20
		r := rand.New(rand.NewPCG(seed, seed))
		w := fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: burst}
		f := newFleet(vms, 55*time.Millisecond, w)
		incarnation := [vms]uint64{1, 2, 3}
		var admitted []time.Time
		for start, step := time.Now(), 0; time.Since(start) < 20*time.Second; step++ {
			if step%150 == 149 {
				// One VM restarts every 1.5 s.
				n := step / 150 % vms
				f.limiters[n] = newFleet(vms, 0, w).limiters[0]
				incarnation[n] += vms
				f.incarnations = incarnation[:]
				f.dropMessages(n)
			}
			for range poisson(r, 80*0.01) {
				if f.limiters[r.IntN(vms)].Admit("w").Allowed {
					admitted = append(admitted, time.Now())
				}
			}
			f.advance()
		}
		allowed := (rate*testWindow.Seconds()+burst)*(1+testExcess) + testSlack
		if got := maxInWindow(admitted, testWindow); float64(got) > allowed {
			t.Errorf("seed %d: %d admitted in a window, allowed %.0f", seed, got, allowed)
		}
	})
}

// Guards against a VM that was paused and, when it resumes, spends the tokens that
// the other VMs have spent in the meantime.
func TestPausedLimiterDoesNotCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, pause = 20, 4 * time.Second
		f := newFleet(2, 0, fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: rate})
		for start := time.Now(); time.Since(start) < 3*time.Second; {
			for _, limiter := range f.limiters {
				limiter.Admit("w")
				limiter.Admit("w")
			}
			f.advance()
		}
		time.Sleep(pause)
		admitted := 0
		for range 10 * rate {
			if f.limiters[0].Admit("w").Allowed {
				admitted++
			}
		}
		if admitted > 0 {
			t.Errorf("%d admitted after a pause before a report of another VM arrived", admitted)
		}
	})
}

// Guards against a token that stays spent although its request did not run.
func TestRefund(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 0, fgsteer.WorkspaceSpec{Name: "w", Rate: 1, Burst: 1})
		limiter := f.limiters[0]
		for range 6 {
			time.Sleep(reportInterval)
			limiter.Tick(reportInterval)
		}
		if !limiter.Admit("w").Allowed || limiter.Admit("w").Allowed {
			t.Fatal("want exactly one request admitted")
		}
		limiter.Refund("w")
		if !limiter.Admit("w").Allowed {
			t.Error("the token was not refunded")
		}
	})
}

// Guards against refused requests of a workspace without a rate.
func TestNoRate(t *testing.T) {
	limiter := New()
	limiter.SetPolicy(fgsteer.NewPolicy(fgsteer.PolicySpec{Workspaces: []fgsteer.WorkspaceSpec{{Name: "w"}}}))
	for range 1000 {
		if !limiter.Admit("w").Allowed {
			t.Fatal("refused")
		}
	}
}

// poisson returns a Poisson-distributed number. It is meant for small means.
func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for sum := r.ExpFloat64(); sum < mean; sum += r.ExpFloat64() {
		n++
	}
	return n
}

// maxInWindow returns the largest number of times within one window.
func maxInWindow(times []time.Time, window time.Duration) int {
	maximum, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		maximum = max(maximum, last-first+1)
	}
	return maximum
}

// Guards against reports whose size grows with the number of workspaces instead
// of the number of workspaces in use.
func TestReportsContainChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w []fgsteer.WorkspaceSpec
		for i := range 80 {
			w = append(w, fgsteer.WorkspaceSpec{Name: fmt.Sprint("w", i), Rate: 100, Burst: 100})
		}
		f := newFleet(1, 0, w...)
		limiter := f.limiters[0]
		for range 2 * fullReportTicks {
			time.Sleep(reportInterval)
			limiter.Tick(reportInterval)
		}
		for i := range w {
			limiter.Admit(w[i].Name)
		}
		time.Sleep(reportInterval)
		if n := len(limiter.Tick(reportInterval)); n != len(w) {
			t.Fatalf("%d of %d changes reported", n, len(w))
		}
		total := 0
		for range 10 * fullReportTicks {
			limiter.Admit("w1")
			time.Sleep(reportInterval)
			total += len(limiter.Tick(reportInterval))
		}
		// All uses in one of fullReportTicks reports, one use in each of the others,
		// and three changes of the demand of each workspace, which falls from one
		// request per second below minDemand in steps of minDemandChange.
		if maximum := 10*len(w) + 10*(fullReportTicks-1) + 3*len(w); total > maximum {
			t.Errorf("%d uses in %d reports, want at most %d", total, 10*fullReportTicks, maximum)
		}
	})
}

// Guards against a VM that spends all tokens of a workspace while other VMs, whose
// reports it does not receive, spend them too (soak seed 681337).
func TestSilentPeersKeepTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, vms = 20, 3
		f := newFleet(vms, 0, fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: rate})
		for i := range vms {
			f.silent[i] = true
		}
		for start := time.Now(); time.Since(start) < 5*time.Second; {
			f.advance()
		}
		limiter := f.limiters[0]
		tokens, admitted := limiter.buckets["w"].burst, 0
		for range 10 * rate {
			if limiter.Admit("w").Allowed {
				admitted++
			}
		}
		if maximum := tokens/vms + 1; float64(admitted) > maximum {
			t.Errorf("%d of %.0f tokens spent at once by one of %d VMs, want at most %.0f", admitted, tokens, vms, maximum)
		}
	})
}
