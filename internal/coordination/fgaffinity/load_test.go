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

// The replayed deployment: a region with few upstreams and as many callers as
// the others. Only warm upstreams carry the load.
const (
	replayVMs       = 24
	replayPerSecond = 1200
	replayObjects   = 900
	replaySlots     = 6
	replayQueue     = 18
	replayWarm      = 29
	replayColdRun   = 800 * time.Millisecond
	replayWarmRun   = 240 * time.Millisecond
	replayWay       = 110 * time.Millisecond
	replayObjective = 600 * time.Millisecond
	replayTimeout   = 1500 * time.Millisecond
)

var replayRegions = []struct {
	name      string
	upstreams int
}{{"small", 10}, {"middle", 44}, {"large", 50}}

// replayUpstream runs an object that it ran lately in a third of the time.
type replayUpstream struct {
	slots chan struct{}

	mu      sync.Mutex
	present int
	warm    []string
}

// serve runs a request, unless its time ends first. It returns the load that
// the answer tells, and how the request ended.
func (u *replayUpstream) serve(object string, slow float64, limit time.Duration) (load int, r Result) {
	u.mu.Lock()
	if u.present >= replaySlots+replayQueue {
		u.mu.Unlock()
		return replaySlots + replayQueue, Shed
	}
	u.present++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		load = u.present
		u.present--
		u.mu.Unlock()
	}()
	begin, timer := time.Now(), time.NewTimer(limit)
	defer timer.Stop()
	select {
	case u.slots <- struct{}{}:
	case <-timer.C:
		return 0, Silent
	}
	defer func() { <-u.slots }()
	took := u.touch(object, false)
	took = time.Duration(slow * float64(took))
	if left := limit - time.Since(begin); took > left {
		time.Sleep(left)
		return 0, Silent
	}
	time.Sleep(took)
	u.touch(object, true)
	return 0, Answered
}

// touch returns how long an object runs, and keeps it as the newest one if it ran.
func (u *replayUpstream) touch(object string, ran bool) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	took := replayColdRun
	at := slices.Index(u.warm, object)
	if at >= 0 {
		took = replayWarmRun
	}
	if ran {
		if at >= 0 {
			u.warm = slices.Delete(u.warm, at, at+1)
		}
		u.warm = append(u.warm, object)
		u.warm = u.warm[max(0, len(u.warm)-replayWarm):]
	}
	return took
}

// replayResult counts how requests ended.
type replayResult struct{ sent, inTime, late, silent, refused int }

func (r replayResult) part(n int) float64 { return float64(n) / float64(max(1, r.sent)) }

// replay sends requests through the balancers of a fleet, and returns what came
// of those that were sent after a time. A part is bound to the small region.
// Upstreams run slow times longer.
func replay(lasts, from time.Duration, bound float64, slow func(time.Duration) float64) replayResult {
	var spec fgsteer.ViewSpec
	models := map[string]*replayUpstream{}
	for _, region := range replayRegions {
		for i := range region.upstreams {
			id := fmt.Sprintf("%s-%d", region.name, i)
			models[id] = &replayUpstream{slots: make(chan struct{}, replaySlots)}
			spec.Upstreams = append(spec.Upstreams, fgsteer.UpstreamSpec{ID: id, Group: "g", Address: id, Slots: replaySlots, Region: region.name, AvailabilityZone: region.name + "-a"})
		}
	}
	v := fgsteer.NewView(spec)
	fleet := make([]*Balancer, replayVMs)
	for i := range fleet {
		fleet[i] = New(Options{VM: fmt.Sprint("vm-", i), Region: replayRegions[i%len(replayRegions)].name})
		fleet[i].SetDistance(replayWay)
		fleet[i].Update(v)
	}
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var wg sync.WaitGroup
	var result replayResult
	count := func(after time.Duration, n *int) {
		if after >= from {
			mu.Lock()
			defer mu.Unlock()
			result.sent++
			*n++
		}
	}
	begin := time.Now()
	for i := range int(lasts.Seconds() * replayPerSecond) {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / replayPerSecond)))
		vm, n := random.IntN(replayVMs), random.IntN(replayObjects/len(replayRegions))
		// Each region's callers have objects of their own.
		object := fmt.Sprint(n*len(replayRegions) + vm%len(replayRegions))
		var regions []string
		if random.Float64() < bound {
			regions = []string{replayRegions[0].name}
		}
		after, spread := time.Since(begin), 0.85+0.3*random.Float64()
		wg.Go(func() {
			b, sent := fleet[vm], time.Now()
			u, err := b.Choose(Choice{Group: "g", Object: object, Regions: regions, Objective: replayObjective, Room: testRoom})
			if err != nil {
				count(after, &result.refused)
				return
			}
			way := time.Duration(0)
			if u.Spec().Region != b.options.Region {
				way = replayWay
			}
			time.Sleep(way / 2)
			load, r := models[u.Spec().ID].serve(object, spread*slow(after), replayTimeout-way)
			time.Sleep(way / 2)
			if r != Silent {
				b.Load(u, load)
			}
			b.Done(u, r)
			switch {
			case r == Silent:
				count(after, &result.silent)
			case r == Shed:
				count(after, &result.refused)
			case time.Since(sent) > replayObjective:
				count(after, &result.late)
			default:
				count(after, &result.inTime)
			}
		})
	}
	wg.Wait()
	return result
}

// checkReplay fails when less than a part of the requests is answered in time.
func checkReplay(t *testing.T, least float64, lasts, from time.Duration, bound float64, slow func(time.Duration) float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := replay(lasts, from, bound, slow)
		t.Logf("%+v: in time %.3f, late %.3f, silent %.3f, refused %.3f", r, r.part(r.inTime), r.part(r.late), r.part(r.silent), r.part(r.refused))
		if r.part(r.inTime) < least {
			t.Errorf("%.3f of the requests from %v on were answered in time, want %.2f", r.part(r.inTime), from, least)
		}
	})
}

// Replays a region with few upstreams that are cold at first. Its upstreams get
// more than they can run cold, and must not stay so: what they have no time for
// belongs to the upstreams of other regions, which have room.
func TestSmallRegionRecoversFromAColdStart(t *testing.T) {
	checkReplay(t, 0.95, 20*time.Second, 10*time.Second, 0, coldStartRuns)
}

// Replays workspaces that may run in the small region only and fill it. Requests
// that may run elsewhere leave the room to them.
func TestRegionKeepsItsRoomForBoundRequests(t *testing.T) {
	checkReplay(t, 0.9, 20*time.Second, 10*time.Second, 0.06, coldStartRuns)
}

// Replays upstreams that all slow down for a while. The load is carried again
// when that is over.
func TestLoadIsCarriedAgainAfterASlowTime(t *testing.T) {
	checkReplay(t, 0.95, 25*time.Second, 15*time.Second, 0, func(after time.Duration) float64 {
		if after > 5*time.Second && after < 10*time.Second {
			return 3
		}
		return 1
	})
}

// coldStartRuns doubles the time of all runs while the upstreams have just
// started.
func coldStartRuns(after time.Duration) float64 {
	if after < 3*time.Second {
		return 2
	}
	return 1
}

// Guards against a burst that moves more of a region's requests to other regions
// within two seconds than operators declare: 0.15 of them.
func TestWeightsOfRegionsChangeSlowly(t *testing.T) {
	var p pressure
	regions := []*regionPressure{p.region("a", 100), p.region("b", 100)}
	// share is the part of the requests that run in the first region.
	share := func() float64 { return regions[0].weight() / (regions[0].weight() + regions[1].weight()) }
	const step = 50 * time.Millisecond
	var shares []float64
	for i := range int(time.Minute / step) {
		now := int64(time.Hour) + int64(i)*int64(step)
		load := 0.3
		if i*int(step) > int(5*time.Second) && i*int(step) < int(25*time.Second) {
			load = 8
		}
		p.add(regions[0], load, now)
		p.add(regions[1], 0.3, now)
		shares = append(shares, share())
	}
	window := int(2 * time.Second / step)
	for i := window; i < len(shares); i++ {
		if moved := math.Abs(shares[i] - shares[i-window]); moved > 0.15 {
			t.Fatalf("%.3f of the requests moved in the 2 s before %v", moved, time.Duration(i)*step)
		}
	}
	if least := slices.Min(shares); least > 0.1 {
		t.Errorf("the full region keeps %.3f of the requests", least)
	}
	if last := shares[len(shares)-1]; last < 0.45 {
		t.Errorf("the region has %.3f of the requests again", last)
	}
}

// Replays upstreams of a region that lose answers, as in a recorded incident.
// The region is not full, and keeps its objects.
func TestLostAnswersDoNotFillARegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(8)))
		lost := 0
		for i := range 4000 {
			time.Sleep(5 * time.Millisecond)
			u, err := b.Choose(Choice{Group: "g", Object: fmt.Sprint(i % 64), Room: testRoom})
			if err != nil {
				continue
			}
			if u.Spec().Region == "east" && i%2 == 0 {
				lost++
				b.Done(u, Silent)
				continue
			}
			b.Load(u, 1)
			b.Done(u, Answered)
		}
		if lost < 20 {
			t.Errorf("%d answers were lost", lost)
		}
		for _, r := range b.RegionLoads() {
			if r.Weight < 1 {
				t.Errorf("region %s weighs %.2f at a load of %.2f", r.Region, r.Weight, r.Load)
			}
		}
	})
}
