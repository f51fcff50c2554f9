package fgquota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// cutFrom and cutUntil bound the partition of each case, in the time of its run.
	cutFrom, cutUntil = 6 * time.Second, 22 * time.Second
	// registrationLoss is how long after the cut the store drops VMs that do not reach it.
	registrationLoss = 5 * time.Second
	defaultMinUse    = 0.6
)

// partitionCase is a partition of a fleet, and what happens meanwhile.
type partitionCase struct {
	name string
	// cut reports whether messages from one VM to another are lost.
	cut func(from, to, n int) bool
	// withoutStore reports whether a VM does not reach the store. The others then see it
	// deregistered after registrationLoss.
	withoutStore func(vm, n int) bool
	// during is called at each step.
	during func(f *fleet, at time.Duration)
	// minUse is the least part of the rate that is used during the partition. Zero means
	// defaultMinUse.
	minUse float64
	// firstServes means that the first VM must get an eighth of its even part at least.
	firstServes bool
	// demandAt is the part of the demand that arrives at a VM, 1 if it is nil.
	demandAt func(vm, n int) float64
}

func region(vm int) int { return vm % 3 }

// groups returns a cut between the VMs for which side differs.
func groups(side func(vm, n int) int) func(from, to, n int) bool {
	return func(from, to, n int) bool { return side(from, n) != side(to, n) }
}

func partitionCases() []partitionCase {
	first := func(count func(n int) int) func(vm, n int) int {
		return func(vm, n int) int {
			if vm < count(n) {
				return 1
			}
			return 0
		}
	}
	one := first(func(int) int { return 1 })
	third := first(func(n int) int { return n / 3 })
	// Two VMs that reach neither each other nor anyone else.
	two := func(vm, _ int) int { return max(0, 2-vm) }
	isolated := func(side func(vm, n int) int) func(vm, n int) bool {
		return func(vm, n int) bool { return side(vm, n) != 0 }
	}
	return []partitionCase{
		{name: "one VM cut off", cut: groups(one), withoutStore: isolated(one)},
		{name: "two VMs cut off from all", cut: groups(two), withoutStore: isolated(two)},
		{name: "a third cut off", cut: groups(third), withoutStore: isolated(third)},
		{name: "a third cut off from the others, not the store", cut: groups(third)},
		{name: "a region cut off", cut: groups(func(vm, _ int) int { return region(vm) / 2 })},
		{name: "regions cut off from each other", cut: groups(func(vm, _ int) int { return region(vm) })},
		{name: "one direction", cut: func(from, to, n int) bool { return third(from, n) == 1 && third(to, n) == 0 }},
		{name: "one direction, then the other too", cut: groups(third), during: func(f *fleet, at time.Duration) {
			if at < cutFrom+4*time.Second {
				f.cut = func(from, to, n int) bool { return third(from, n) == 1 && third(to, n) == 0 }
			}
		}},
		{name: "demand only where it is cut off", cut: groups(third), withoutStore: isolated(third), demandAt: func(vm, n int) float64 { return float64(third(vm, n)) }, minUse: 0.1},
		{name: "one VM is paused and resumes", cut: groups(one), firstServes: true, during: func(f *fleet, at time.Duration) {
			f.cut, f.paused = nil, map[int]bool{0: at >= cutFrom && at < cutFrom+4*time.Second}
		}},
		{name: "one VM restarts while a third is cut off", cut: groups(third), withoutStore: isolated(third), during: func(f *fleet, at time.Duration) {
			if at == cutFrom+3*time.Second || at == cutFrom+7*time.Second {
				f.restart(0)
			}
		}},
		{name: "VMs join and leave while a third is cut off", cut: groups(third), withoutStore: isolated(third), during: func(f *fleet, at time.Duration) {
			n := len(f.limiters)
			if at == cutFrom+2*time.Second {
				f.silent[n-1] = true
				f.absent = map[int]bool{n - 1: true}
			}
			if at == cutFrom+8*time.Second {
				f.silent[n-1], f.absent = false, nil
				f.restart(n - 1)
			}
		}},
	}
}

// Guards against a rate that is exceeded, or hardly usable, while VMs cannot reach each
// other and demand rises eightfold on all sides.
func TestPartitions(t *testing.T) {
	for _, vms := range []int{7, 28, 118} {
		rates := []float64{20, 400}
		if vms == 118 {
			rates = []float64{132}
		}
		for _, c := range partitionCases() {
			for _, rate := range rates {
				t.Run(fmt.Sprintf("%d/%s/%.0f", vms, c.name, rate), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playPartition(t, c, vms, rate) })
				})
			}
		}
	}
}

func playPartition(t *testing.T, c partitionCase, vms int, rate float64) {
	const seed, before, rise = 1, 0.5, 8
	r := rand.New(rand.NewPCG(seed, seed))
	f := newFleet(vms, 55*time.Millisecond, fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: rate})
	weights := make([]float64, vms)
	total := 0.0
	for i := range weights {
		weights[i] = 1
		if c.demandAt != nil {
			weights[i] = c.demandAt(i, vms)
		}
		total += weights[i]
	}
	var admitted []time.Time
	during, atFirst := 0, 0
	for at := time.Duration(0); at < cutUntil+8*time.Second; at += step {
		f.cut, f.withoutStore = nil, nil
		demand := before * rate
		if at >= cutFrom && at < cutUntil {
			f.cut, f.withoutStore = c.cut, c.withoutStore
			if at > cutFrom+500*time.Millisecond {
				demand *= rise
			}
		}
		if c.during != nil {
			c.during(f, at)
		}
		f.updateMembers(at > cutFrom+registrationLoss)
		if at > 2*time.Second {
			for i, w := range weights {
				if f.paused[i] || f.absent[i] {
					continue
				}
				for range poisson(r, demand*w/total*step.Seconds()) {
					if f.limiters[i].Admit("w").Allowed {
						admitted = append(admitted, time.Now())
						if at >= cutFrom && at < cutUntil {
							during++
							if i == 0 {
								atFirst++
							}
						}
					}
				}
			}
		}
		f.advance()
	}
	allowed := (rate*testWindow.Seconds()+rate)*(1+testExcess) + testSlack
	most := maxInWindow(admitted, testWindow)
	supply := rate * (cutUntil - cutFrom).Seconds()
	use := float64(during) / supply
	t.Logf("seed %d: %d admitted in a window, allowed %.0f; %.2f of the rate used during the partition, %.3f by the first VM", seed, most, allowed, use, float64(atFirst)/supply)
	minimum := c.minUse
	if minimum == 0 {
		minimum = defaultMinUse
	}
	if use < minimum {
		t.Errorf("seed %d: %.2f of the rate used during the partition, want at least %.2f", seed, use, minimum)
	}
	if float64(most) > allowed {
		t.Errorf("seed %d: %d admitted in a window, allowed %.0f", seed, most, allowed)
	}
	if c.firstServes && float64(atFirst) < supply/float64(8*vms) {
		t.Errorf("seed %d: %d admitted by the first VM, want an eighth of an even part at least", seed, atFirst)
	}
}

// updateMembers gives each limiter the members that it sees registered.
func (f *fleet) updateMembers(dropped bool) {
	for i, limiter := range f.limiters {
		if f.withoutStore != nil && f.withoutStore(i, len(f.limiters)) {
			continue
		}
		var names []string
		for j, name := range f.names {
			if !f.absent[j] && !(dropped && f.withoutStore != nil && f.withoutStore(j, len(f.limiters))) {
				names = append(names, name)
			}
		}
		if !slices.Equal(names, f.seen[i]) {
			f.seen[i] = names
			limiter.SetMembers(names)
		}
	}
}

// Guards against a rate that is exceeded by a sequence of faults that no case above
// lists: cuts in any direction that change every second or two, pauses and restarts,
// while demand comes and goes at each VM.
func TestRandomPartitions(t *testing.T) {
	for _, vms := range []int{3, 7, 28} {
		for seed := uint64(1); seed <= 12; seed++ {
			t.Run(fmt.Sprintf("%d/seed=%d", vms, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playRandomly(t, vms, seed) })
			})
		}
	}
}

func playRandomly(t *testing.T, vms int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, seed))
	rate := []float64{20, 60, 400}[seed%3]
	f := newFleet(vms, 55*time.Millisecond, fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: rate})
	f.paused = map[int]bool{}
	demand := make([]float64, vms)
	var admitted []time.Time
	var change time.Time
	for start := time.Now(); time.Since(start) < 60*time.Second; f.advance() {
		if !time.Now().Before(change) {
			change = time.Now().Add(time.Second + time.Duration(r.IntN(1500))*time.Millisecond)
			side, oneWay := make([]int, vms), r.IntN(3) == 0
			for i := range vms {
				side[i] = r.IntN(3) * r.IntN(2)
				demand[i] = []float64{0, 0.2, 1, 8}[r.IntN(4)] * rate / float64(vms)
				f.paused[i] = r.IntN(10) == 0
				if r.IntN(20) == 0 {
					f.restart(i)
				}
			}
			f.cut = func(from, to, _ int) bool { return side[from] != side[to] && (!oneWay || side[from] > side[to]) }
		}
		for i := range vms {
			for range poisson(r, demand[i]*step.Seconds()) {
				if !f.paused[i] && f.limiters[i].Admit("w").Allowed {
					admitted = append(admitted, time.Now())
				}
			}
		}
	}
	allowed := (rate*testWindow.Seconds()+rate)*(1+testExcess) + testSlack
	most := maxInWindow(admitted, testWindow)
	t.Logf("seed %d: rate %.0f, %d admitted in a window, allowed %.0f", seed, rate, most, allowed)
	if float64(most) > allowed {
		t.Errorf("seed %d: %d admitted in a window, allowed %.0f", seed, most, allowed)
	}
}

// Guards against a VM that has just started and refuses for seconds what is within the
// rate, because it counts what its peers spent long before as spent now.
func TestNewVMServesWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed, vms, rate = 5, 7, 60
		r := rand.New(rand.NewPCG(seed, seed))
		f := newFleet(vms, 55*time.Millisecond, fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: rate})
		requested, refused := 0, 0
		for at := time.Duration(0); at < 20*time.Second; at += step {
			if at == 11*time.Second {
				f.restart(0)
			}
			// The workspace is idle from before the start until a second after it.
			if at > 2*time.Second && at < 9*time.Second || at > 12*time.Second {
				for range poisson(r, rate/1.6*step.Seconds()) {
					vm := r.IntN(vms)
					allowed := f.limiters[vm].Admit("w").Allowed
					if vm == 0 && at > 12*time.Second {
						requested++
						if !allowed {
							refused++
						}
					}
				}
			}
			f.advance()
		}
		t.Logf("seed %d: %d of %d refused", seed, refused, requested)
		if refused*100 > requested {
			t.Errorf("seed %d: %d of %d refused by a new VM, want at most 1 in 100", seed, refused, requested)
		}
	})
}

// Guards against a sudden excess at the moment at which VMs are cut off from each other,
// which each side notices only after a while, in a workspace that is idle or in use.
func TestExcessAsCutBegins(t *testing.T) {
	for _, vms := range []int{7, 28, 118} {
		for _, sides := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("idle-%d-%d", vms, sides), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playExcess(t, vms, sides, 0) })
			})
			t.Run(fmt.Sprintf("%d-%d", vms, sides), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playExcess(t, vms, sides, 0.9) })
			})
		}
	}
}

// playExcess cuts a fleet into sides and raises the demand from a part of the rate to
// many times of it.
func playExcess(t *testing.T, vms, sides int, before float64) {
	const seed, rate, rise, start = 1, 132.0, 8, 8 * time.Second
	r := rand.New(rand.NewPCG(seed, seed))
	f := newFleet(vms, 55*time.Millisecond, fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: rate})
	var admitted []time.Time
	for at := time.Duration(0); at < 16*time.Second; at += step {
		demand := before * rate
		if at >= start {
			demand = rise * rate
			f.cut = func(from, to, _ int) bool { return from%sides != to%sides }
		}
		for range poisson(r, demand*step.Seconds()) {
			if f.limiters[r.IntN(vms)].Admit("w").Allowed && at > 3*time.Second {
				admitted = append(admitted, time.Now())
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
}

// Guards against VMs that are missing from the set of unheard ones, in any form of it,
// and against many that are in it by mistake.
func TestUnheard(t *testing.T) {
	for _, members := range []int{3, 28, 118, 300} {
		for _, unheard := range []int{0, 1, 2, members / 3, members} {
			var hashes []uint32
			for i := range unheard {
				hashes = append(hashes, hashName(fmt.Sprint("vm-", i)))
			}
			u := newUnheard(hashes, members)
			mistaken := 0
			for i := range members {
				if got := u.contains(hashName(fmt.Sprint("vm-", i))); i < unheard && !got {
					t.Errorf("%d of %d: vm-%d is missing", unheard, members, i)
				} else if i >= unheard && got {
					mistaken++
				}
			}
			if size := 4*len(u.Hashes) + len(u.Bitmap); mistaken*10 > members || size > max(minBitmapBytes, members+1) {
				t.Errorf("%d of %d: %d mistaken, %d bytes", unheard, members, mistaken, size)
			}
		}
	}
}

// Guards against a VM that is in touch with few others and not with the store, and goes
// on to spend its floor when the others have forgotten it, and against others that never
// reuse it.
func TestLongPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed, vms, cutOff, rate, last = 1, 7, 3, 400.0, 45 * time.Second
		r := rand.New(rand.NewPCG(seed, seed))
		f := newFleet(vms, 55*time.Millisecond, fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: rate})
		var admitted []time.Time
		lately := [2]int{}
		for at := time.Duration(0); at < last; at += step {
			if at == cutFrom {
				f.withoutStore = func(vm, _ int) bool { return vm < cutOff }
				f.cut = func(from, to, _ int) bool { return (from < cutOff) != (to < cutOff) }
			}
			f.updateMembers(at > cutFrom+registrationLoss)
			for range poisson(r, 2*rate*step.Seconds()) {
				if vm := r.IntN(vms); f.limiters[vm].Admit("w").Allowed {
					admitted = append(admitted, time.Now())
					if at > last-testWindow {
						lately[min(1, vm/cutOff)]++
					}
				}
			}
			f.advance()
		}
		allowed := (rate*testWindow.Seconds()+rate)*(1+testExcess) + testSlack
		most := maxInWindow(admitted, testWindow)
		t.Logf("seed %d: %d admitted in a window, allowed %.0f; lately %d and %d", seed, most, allowed, lately[0], lately[1])
		if float64(most) > allowed || lately[0] > 0 || float64(lately[1]) < 0.9*rate*testWindow.Seconds() {
			t.Errorf("seed %d: %d admitted in a window, allowed %.0f; lately %d by those cut off, want none, and %d by the others", seed, most, allowed, lately[0], lately[1])
		}
	})
}

// Guards against a VM that hears the others, but is not heard by them, and spends the
// whole burst, of which the others spend their part as well.
func TestUnheardVMSpendsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed, vms, rate = 1, 28, 400.0
		r := rand.New(rand.NewPCG(seed, seed))
		f := newFleet(vms, 55*time.Millisecond, fgsteer.WorkspaceSpec{Name: "w", Rate: rate, Burst: rate})
		var admitted []time.Time
		for at := time.Duration(0); at < 16*time.Second; at += step {
			if at == cutFrom {
				f.cut = func(from, _, _ int) bool { return from == 0 }
			}
			if at > cutFrom+3*time.Second {
				for range poisson(r, 4*rate*step.Seconds()) {
					vm := 0
					if at > cutFrom+7500*time.Millisecond {
						vm = r.IntN(vms)
					}
					if f.limiters[vm].Admit("w").Allowed {
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
}
