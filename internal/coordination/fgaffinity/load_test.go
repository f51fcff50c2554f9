package fgaffinity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// The simulated deployment has a region with few upstreams and as many callers as
// the others. It can serve the load only while most keys are cached.
const (
	simVMs       = 24
	simRate      = 1200
	simKeys      = 900
	simSlots     = 6
	simQueue     = 18
	simCacheSize = 29
	simColdTime  = 800 * time.Millisecond
	simWarmTime  = 240 * time.Millisecond
	simRTT       = 110 * time.Millisecond
	simObjective = 600 * time.Millisecond
	simTimeout   = 1500 * time.Millisecond
)

var simRegions = []struct {
	name      string
	upstreams int
}{{"small", 10}, {"middle", 44}, {"large", 50}}

// simUpstream simulates an upstream with an LRU cache of keys. A cached key runs in
// less than a third of the time.
type simUpstream struct {
	slots chan struct{}

	mu       sync.Mutex
	inFlight int
	cached   []string
}

// serve runs a request unless it times out first. It returns the load that the
// upstream reports and the result.
func (u *simUpstream) serve(key string, slowdown float64, timeout time.Duration) (load int, r Result) {
	u.mu.Lock()
	if u.inFlight >= simSlots+simQueue {
		u.mu.Unlock()
		return simSlots + simQueue, Shed
	}
	u.inFlight++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		load = u.inFlight
		u.inFlight--
		u.mu.Unlock()
	}()
	start, timer := time.Now(), time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case u.slots <- struct{}{}:
	case <-timer.C:
		return 0, Silent
	}
	defer func() { <-u.slots }()
	runTime := u.touch(key, false)
	runTime = time.Duration(slowdown * float64(runTime))
	if remaining := timeout - time.Since(start); runTime > remaining {
		time.Sleep(remaining)
		return 0, Silent
	}
	time.Sleep(runTime)
	u.touch(key, true)
	return 0, Answered
}

// touch returns the run time of a key. If it ran, touch makes it the most recently
// used one of the cache.
func (u *simUpstream) touch(key string, ran bool) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	runTime := simColdTime
	index := slices.Index(u.cached, key)
	if index >= 0 {
		runTime = simWarmTime
	}
	if ran {
		if index >= 0 {
			u.cached = slices.Delete(u.cached, index, index+1)
		}
		u.cached = append(u.cached, key)
		u.cached = u.cached[max(0, len(u.cached)-simCacheSize):]
	}
	return runTime
}

// simResult counts requests by their results.
type simResult struct{ sent, inTime, late, silent, refused int }

func (r simResult) fraction(n int) float64 { return float64(n) / float64(max(1, r.sent)) }

// simulate sends requests through the balancers of a fleet and returns the results
// of those that were sent after warmUp. boundFraction of the requests may run in the
// small region only. The run times of upstreams are multiplied by slowdown.
func simulate(duration, warmUp time.Duration, boundFraction float64, slowdown func(time.Duration) float64) simResult {
	var spec fgsteer.ViewSpec
	sims := map[string]*simUpstream{}
	for _, region := range simRegions {
		for i := range region.upstreams {
			id := fmt.Sprintf("%s-%d", region.name, i)
			sims[id] = &simUpstream{slots: make(chan struct{}, simSlots)}
			spec.Upstreams = append(spec.Upstreams, fgsteer.UpstreamSpec{ID: id, Group: "g", Address: id, Slots: simSlots, Region: region.name, AvailabilityZone: region.name + "-a"})
		}
	}
	v := fgsteer.NewView(spec)
	fleet := make([]*Balancer, simVMs)
	for i := range fleet {
		fleet[i] = New(Options{VM: fmt.Sprint("vm-", i), Region: simRegions[i%len(simRegions)].name})
		fleet[i].SetRegionRTT(simRTT)
		fleet[i].Update(v)
	}
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var wg sync.WaitGroup
	var result simResult
	count := func(elapsed time.Duration, n *int) {
		if elapsed >= warmUp {
			mu.Lock()
			defer mu.Unlock()
			result.sent++
			*n++
		}
	}
	start := time.Now()
	for i := range int(duration.Seconds() * simRate) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / simRate)))
		vm, n := random.IntN(simVMs), random.IntN(simKeys/len(simRegions))
		// Each region's callers have keys of their own.
		key := fmt.Sprint(n*len(simRegions) + vm%len(simRegions))
		var regions []string
		if random.Float64() < boundFraction {
			regions = []string{simRegions[0].name}
		}
		elapsed, jitter := time.Since(start), 0.85+0.3*random.Float64()
		wg.Go(func() {
			b, sent := fleet[vm], time.Now()
			u, err := b.Choose(Criteria{Group: "g", AffinityKey: key, Regions: regions, Objective: simObjective, MaxLoadPerSlot: testMaxLoad})
			if err != nil {
				count(elapsed, &result.refused)
				return
			}
			rtt := time.Duration(0)
			if u.Spec().Region != b.options.Region {
				rtt = simRTT
			}
			time.Sleep(rtt / 2)
			load, r := sims[u.Spec().ID].serve(key, jitter*slowdown(elapsed), simTimeout-rtt)
			time.Sleep(rtt / 2)
			if r != Silent {
				b.RecordLoad(u, load)
			}
			b.Done(u, r)
			switch {
			case r == Silent:
				count(elapsed, &result.silent)
			case r == Shed:
				count(elapsed, &result.refused)
			case time.Since(sent) > simObjective:
				count(elapsed, &result.late)
			default:
				count(elapsed, &result.inTime)
			}
		})
	}
	wg.Wait()
	return result
}

// checkSimulation fails if less than minInTime of the requests were completed
// within the latency objective.
func checkSimulation(t *testing.T, minInTime float64, duration, warmUp time.Duration, boundFraction float64, slowdown func(time.Duration) float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := simulate(duration, warmUp, boundFraction, slowdown)
		t.Logf("%+v: in time %.3f, late %.3f, silent %.3f, refused %.3f", r, r.fraction(r.inTime), r.fraction(r.late), r.fraction(r.silent), r.fraction(r.refused))
		if r.fraction(r.inTime) < minInTime {
			t.Errorf("%.3f of the requests from %v on completed in time, want %.2f", r.fraction(r.inTime), warmUp, minInTime)
		}
	})
}

// Guards against a small region that stays overloaded after a cold start. Its
// upstreams receive more requests than they can run cold; the excess must go to
// other regions, which have capacity.
func TestSmallRegionRecoversFromAColdStart(t *testing.T) {
	checkSimulation(t, 0.95, 20*time.Second, 10*time.Second, 0, slowStart)
}

// Guards against refusals of requests that may run in the small region only and use
// its whole capacity. Requests that may run elsewhere must leave that region.
func TestRegionKeepsCapacityForBoundRequests(t *testing.T) {
	checkSimulation(t, 0.9, 20*time.Second, 10*time.Second, 0.06, slowStart)
}

// Guards against lasting overload after a period in which all upstreams are slow.
func TestThroughputRecoversAfterASlowdown(t *testing.T) {
	checkSimulation(t, 0.95, 25*time.Second, 15*time.Second, 0, func(elapsed time.Duration) float64 {
		if elapsed > 5*time.Second && elapsed < 10*time.Second {
			return 3
		}
		return 1
	})
}

// slowStart doubles the run times in the first three seconds, while the upstreams
// have just started.
func slowStart(elapsed time.Duration) float64 {
	if elapsed < 3*time.Second {
		return 2
	}
	return 1
}

// Guards against a load peak that moves more than a fraction of 0.15 of the
// requests, the bound that operators declare, to other regions within two seconds.
func TestRegionWeightsChangeSlowly(t *testing.T) {
	var w regionWeights
	regions := []*regionWeight{w.addUpstream("a", 100), w.addUpstream("b", 100)}
	// share returns the fraction of the requests that run in the first region.
	share := func() float64 { return regions[0].weight() / (regions[0].weight() + regions[1].weight()) }
	const step = 50 * time.Millisecond
	var shares []float64
	for i := range int(time.Minute / step) {
		now := int64(time.Hour) + int64(i)*int64(step)
		load := 0.3
		if i*int(step) > int(5*time.Second) && i*int(step) < int(25*time.Second) {
			load = 8
		}
		w.add(regions[0], load, now)
		w.add(regions[1], 0.3, now)
		shares = append(shares, share())
	}
	window := int(2 * time.Second / step)
	for i := window; i < len(shares); i++ {
		if moved := math.Abs(shares[i] - shares[i-window]); moved > 0.15 {
			t.Fatalf("%.3f of the requests moved in the 2 s before %v", moved, time.Duration(i)*step)
		}
	}
	if lowest := slices.Min(shares); lowest > 0.1 {
		t.Errorf("the overloaded region keeps %.3f of the requests", lowest)
	}
	if last := shares[len(shares)-1]; last < 0.45 {
		t.Errorf("the region has %.3f of the requests after it has recovered", last)
	}
}

// Guards against a region that loses its keys although it is not overloaded, because
// responses of its upstreams are lost, as in a recorded incident.
func TestLostResponsesDoNotOverloadARegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(8)))
		lost := 0
		for i := range 4000 {
			time.Sleep(5 * time.Millisecond)
			u, err := b.Choose(Criteria{Group: "g", AffinityKey: fmt.Sprint(i % 64), MaxLoadPerSlot: testMaxLoad})
			if err != nil {
				continue
			}
			if u.Spec().Region == "east" && i%2 == 0 {
				lost++
				b.Done(u, Silent)
				continue
			}
			b.RecordLoad(u, 1)
			b.Done(u, Answered)
		}
		if lost < 20 {
			t.Errorf("%d responses were lost", lost)
		}
		for _, r := range b.RegionLoads() {
			if r.Weight < 1 {
				t.Errorf("region %s has weight %.2f at a load of %.2f", r.Region, r.Weight, r.Load)
			}
		}
	})
}
