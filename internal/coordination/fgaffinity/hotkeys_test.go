package fgaffinity

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// tellSlowdowns makes a balancer choose by expected time.
func tellSlowdowns(b *Balancer) {
	for _, u := range b.state.Load().groups["g"].upstreams {
		b.RecordReport(u, Report{Slowdown: 1})
	}
}

// Guards against a key with most requests that changes region at once when the weights of
// two regions pass each other.
func TestHotKeyChangesRegionGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(16)))
		tellSlowdowns(b)
		w := &b.state.Load().groups["g"].regionWeights
		const step = 100 * time.Millisecond
		var home string
		share := 0.0
		for i := range 400 {
			if home != "" {
				weight := math.Exp(-timedSpill.maxRate * step.Seconds() * float64(i))
				w.regions[home].weightBits.Store(math.Float64bits(max(minRegionWeight, weight)))
			}
			counts := map[string]float64{}
			// Many where the share is compared, so that chance changes it by little.
			requests := 20
			if i%20 == 0 {
				requests = 3000
			}
			for range requests {
				u := choose(t, b, Criteria{AffinityKey: "o", Accept: func(*Upstream, Estimate) bool { return true }})
				counts[u.Spec().Region]++
				b.Done(u, Answered)
			}
			time.Sleep(step)
			if home == "" {
				home = "east"
				if counts["west"] > counts["east"] {
					home = "west"
				}
			}
			if i%20 == 0 {
				next := counts[home] / float64(requests)
				if i > 0 && math.Abs(next-share) > 0.25 {
					t.Errorf("%.2f of the key's requests changed region in 2 s, at %s", share-next, time.Duration(i)*step)
				}
				share = next
			}
		}
		if share > 0.5 {
			t.Errorf("%.2f of the requests are still in the region with the lowest weight", share)
		}
	})
}

// Guards against a hot key that overloads one upstream, and against keys with few requests
// that run at many.
func TestOnlyHotKeysAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(40)))
		tellSlowdowns(b)
		used := map[string]map[*Upstream]bool{}
		for i := range 4000 {
			time.Sleep(5 * time.Millisecond)
			key := fmt.Sprint("key-", i%200)
			if i%2 == 0 {
				key = "hot"
			}
			u := choose(t, b, Criteria{AffinityKey: key})
			if used[key] == nil {
				used[key] = map[*Upstream]bool{}
			}
			used[key][u] = true
			b.Done(u, Answered)
		}
		for key, upstreams := range used {
			if n := len(upstreams); key == "hot" && n < 4 || key != "hot" && n > 1 {
				t.Errorf("key %s ran at %d upstreams", key, n)
			}
		}
	})
}

// Guards against refusals although an upstream of the region is free: when a key's first
// upstream is full and few requests may leave the region at once, another one of the region
// must get the request.
func TestFullUpstreamHasAnotherOneInItsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(40, func(i int, u *fgsteer.UpstreamSpec) {
			u.Slots, u.Region = 1, "large"
			if i < 2 {
				u.Region = "small"
			}
		})))
		tellSlowdowns(b)
		tried := 0
		for i := range 4000 {
			key := fmt.Sprint(i)
			r := ranking{balancer: b, state: b.state.Load(), group: b.state.Load().groups["g"], criteria: Criteria{AffinityKey: key}, wall: time.Now(), key: keyHash(key)}
			r.byKey(maxTimedCandidates)
			if r.best.ranked[0].upstream.Spec().Region != "small" || r.best.ranked[1].upstream.Spec().Region == "small" || r.best.ranked[2].upstream.Spec().Region == "small" {
				continue
			}
			tried++
			b.state.Load().groups["g"].crossings.tokens = 0
			first := r.best.ranked[0].upstream
			first.inFlight.Add(2)
			u := choose(t, b, Criteria{AffinityKey: key})
			if u.Spec().Region != "small" || u == first {
				t.Errorf("key %s ran at %+v", key, *u.Spec())
			}
			b.Done(u, Answered)
			first.inFlight.Add(-2)
		}
		if tried == 0 {
			t.Error("no key has its first candidate only in the small region")
		}
	})
}

// Guards against a request that is tried many times while it waits, and makes its key hot or
// lets more requests without a key run in other regions than the bound allows.
func TestTriesCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer("vm-0", view(upstreams(16)))
		tellSlowdowns(b)
		g := b.state.Load().groups["g"]
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			b.Done(choose(t, b, Criteria{Accept: func(*Upstream, Estimate) bool { return true }}), Answered)
		}
		g.remote.spent = 1
		if _, err := b.Place(Criteria{Group: "g", AffinityKey: "k", Accept: func(*Upstream, Estimate) bool { return false }}); err == nil {
			t.Fatal("got an upstream that was not accepted")
		}
		for range 200 {
			time.Sleep(2 * time.Millisecond)
			for _, key := range []string{"k", ""} {
				c := Criteria{Group: "g", AffinityKey: key, Counted: true, Accept: func(*Upstream, Estimate) bool { return false }}
				if _, err := b.Place(c); err == nil {
					t.Fatal("got an upstream that was not accepted")
				}
			}
		}
		if got := g.hot.total; got != 1 {
			t.Errorf("got %d requests counted, want 1", got)
		}
		if got := g.hot.partsOf(keyHash("k"), 16); got != 1 {
			t.Errorf("got the key divided into %d parts", got)
		}
		if mayLeave, _ := g.remote.limits(); mayLeave {
			t.Error("refused tries allow a request to leave its region")
		}
	})
}

// Guards against requests without a key that are refused because they have to run in other
// regions, which are full, while their own region has free slots.
func TestFullRegionsAreNotRequired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{VM: "vm-0", Region: "east", AvailabilityZone: "east-a"})
		b.Update(view(upstreams(16)))
		g := b.state.Load().groups["g"]
		for _, u := range g.upstreams {
			load := 0
			if u.Spec().Region != b.options.Region {
				load = 4 * u.Spec().Slots
			}
			b.RecordReport(u, Report{Load: load, Slowdown: 1})
		}
		g.remote.level, g.remote.demand, g.remote.owed = 0.5, 0.5, 1
		for range 20 {
			u := choose(t, b, Criteria{MaxLoadPerSlot: testMaxLoad})
			if u.Spec().Region != b.options.Region {
				t.Errorf("got the full upstream %s", u.Spec().ID)
			}
			b.Done(u, Answered)
		}
	})
}
