package fgplacement

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// Guards against more requests at an upstream than its slots, and against
// refusing requests while capacity is unused: 12 upstreams with 3 slots each
// behind 7 VMs, at 1.5 times their capacity, and then with one VM dead.
func TestSlotsSharedBySevenVMs(t *testing.T) {
	runScenario(t, 7, oneRegion, upstreams(testRegion, 12, 3), func(t *testing.T, f *fleet) {
		check := func(name string, entries []*node, rate int, capacity int64, minFraction float64) {
			served := f.offerLoad(entries, rate, 10*time.Second, "w")
			t.Logf("%s: served %d requests of a capacity of %d in 10 s, seed %d", name, served, capacity, offerSeed)
			for u, n := range f.maxRunning {
				if n > 3 {
					t.Errorf("%s: %d requests in flight on %s, which has 3 slots", name, n, u)
				}
			}
			if float64(served) < minFraction*float64(capacity) {
				t.Errorf("%s: served %d requests, fewer than %v of the capacity of %d", name, served, minFraction, capacity)
			}
		}
		check("7 VMs", f.nodes, 540, 3600, 0.9)
		check("callers at one VM", f.nodes[:1], 360, 3600, 0.7)
		f.nodes[6].dead.Store(true)
		var units int64
		for _, n := range f.nodes[:6] {
			for _, u := range n.units {
				units += u
			}
		}
		check("one VM dead", f.nodes[:6], 540, 100*units, 0.9)
	})
}

// Guards against forwarding more requests to another region than the cap
// allows, and against leaving the cap unused, while the region of 3 of 6 VMs
// is drained. Without a declared cap no request may be forwarded.
func TestCapHoldsWhileRegionIsDrained(t *testing.T) {
	resources := append(upstreams(testRegion, 6, 3), upstreams(testOtherRegion, 6, 3)...)
	runScenario(t, 6, twoRegions, resources, func(t *testing.T, f *fleet) {
		const perVM = 30
		home := []*node{f.nodes[0], f.nodes[2], f.nodes[4]}
		for _, n := range home {
			n.rate = perVM
		}
		f.putResources(drain(fgapi.DrainRegion, testRegion))
		if served := f.offerLoad(home, 150, 4*time.Second, "w"); served != 0 {
			t.Errorf("%d requests were forwarded to the other region without a declared cap", served)
		}
		f.putResources(regionalCap(3 * perVM))
		time.Sleep(time.Second)
		served, admitted := f.offerLoad(home, 150, 10*time.Second, "w"), 0
		for _, n := range home {
			admitted += n.admitted
		}
		t.Logf("served %d, admitted by the cap %d, at a cap of %d in 10 s, seed %d", served, admitted, 10*3*perVM, offerSeed)
		if served > admitted || served < 8*3*perVM {
			t.Errorf("%d requests were forwarded to the other region; the cap admitted %d and allows %d", served, admitted, 10*3*perVM)
		}
		for u, n := range f.maxRunning {
			if n > 3 || strings.HasPrefix(u, testRegion) {
				t.Errorf("%s had %d requests in flight", u, n)
			}
		}
	})
}

// Guards against a wait for the cap that ends only with a new request or
// report, and against requests that lose their place in the queue when the
// cap refuses them: 2 tokens are available, and one more every 50 ms.
func TestWaitForCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, twoRegions, append(upstreams(testOtherRegion, 1, 3), regionalCap(20))...)
		n := f.nodes[0]
		n.rate = 20
		n.placer.ApplyReport(Report{VM: "vm-1", Incarnation: "i-1", Loads: []Load{{Group: testGroup, Free: 9}}})
		time.Sleep(time.Second)
		start := time.Now()
		took := make([]time.Duration, 6)
		var wg sync.WaitGroup
		for i := range took {
			wg.Go(func() {
				if _, err := n.placer.Place(t.Context(), Request{Group: testGroup}); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
				took[i] = time.Since(start)
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		t.Logf("placed after %v", took)
		for i, d := range took {
			if want := time.Duration(max(0, i-1)) * 50 * time.Millisecond; d > want+2*capBackoff || d < want-capBackoff {
				t.Errorf("request %d was placed after %v, want about %v", i, d, want)
			}
		}
	})
}

// Guards against many VMs that choose the same upstream or peer from the same
// report: 70 requests arrive at 7 VMs between two reports.
func TestNoHerding(t *testing.T) {
	runScenario(t, 7, oneRegion, upstreams(testRegion, 12, 0), func(t *testing.T, f *fleet) {
		// The baseline sends each request to the upstream with the least load
		// in the last report, which is the same for all VMs.
		reported := []int{2, 1, 2, 3, 2, 2, 3, 2, 2, 2, 3, 2}
		naive := make([]int, len(reported))
		counts := map[string]int{}
		for i := range 70 {
			naive[slices.Index(reported, slices.Min(reported))]++
			target, err := f.nodes[i%7].placer.Place(t.Context(), Request{Group: testGroup})
			if err != nil {
				t.Fatal(err)
			}
			counts[target.Upstream().Name()]++
		}
		busiest := slices.Max(slices.Collect(maps.Values(counts)))
		t.Logf("of 70 requests, the busiest of 12 upstreams got %d; choosing the least reported load would give %d", busiest, slices.Max(naive))
		if busiest > 14 {
			t.Errorf("one upstream got %d of 70 requests", busiest)
		}
		f = newFleet(t, 7, oneRegion, upstreams(testRegion, 12, 3)...)
		p := f.nodes[0].placer
		for _, n := range f.nodes[1:] {
			p.ApplyReport(Report{VM: n.member.VM, Incarnation: n.member.Incarnation, Loads: []Load{{Group: testGroup, Free: 4}}})
		}
		f.nodes[0].units = nil
		p.Wake()
		peers := map[string]int{}
		for _, target := range placeAll(t, p) {
			m, _ := target.Peer()
			peers[m.VM]++
		}
		for _, n := range f.nodes[1:] {
			if peers[n.member.VM] != 4 {
				t.Errorf("%s reported 4 free permits and got %d requests", n.member.VM, peers[n.member.VM])
			}
		}
	})
}

// Guards against a large workspace that takes capacity from a small one under
// overload. The small workspace stays within its fair share. The baseline is
// a plain FIFO queue with the same length and wait.
func TestFairQueueUnderOverload(t *testing.T) {
	const capacity, span = 100, 20 * time.Second
	runScenario(t, 1, oneRegion, upstreams(testRegion, 10, 1), func(t *testing.T, f *fleet) {
		fair := func(workspace string, rate int) int { return f.offerLoad(f.nodes, rate, span, workspace) }
		queue := fifo{slots: make(chan struct{}, 10)}
		run := func(name string, offer func(workspace string, rate int) int) (small, large int) {
			result := make(chan int)
			go func() { result <- offer("large", 5*capacity) }()
			small, large = offer("small", 40), <-result
			t.Logf("%s: small %d of 800, large %d of 10,000, seed %d", name, small, large, offerSeed)
			return small, large
		}
		run("FIFO baseline", func(_ string, rate int) int {
			return offerLoad(rate, span, func() func() bool { return queue.run })
		})
		small, large := run("fair queue", fair)
		if small < 792 || small+large < capacity*int(span.Seconds())*9/10 {
			t.Errorf("%d of 800 requests of the small workspace were served, %d of both workspaces", small, small+large)
		}
		f.putResources(resource(fgapi.KindWorkspace, "small", &fgapi.WorkspaceSpec{RequestsPerSecond: 1, Burst: 1, Weight: 1}),
			resource(fgapi.KindWorkspace, "large", &fgapi.WorkspaceSpec{RequestsPerSecond: 1, Burst: 1, Weight: 4}))
		small, large = run("weights 1 and 4", fair)
		if fraction := float64(small) / float64(small+large); fraction < 0.17 || fraction > 0.23 {
			t.Errorf("the workspace of weight 1 got a fraction of %.2f beside one of weight 4", fraction)
		}
	})
}

// fifo is the baseline of TestFairQueueUnderOverload: slots with a FIFO
// queue.
type fifo struct {
	slots   chan struct{}
	waiting atomic.Int64
}

func (q *fifo) run() bool {
	defer q.waiting.Add(-1)
	if q.waiting.Add(1) > maxQueued {
		return false
	}
	select {
	case q.slots <- struct{}{}:
	case <-time.After(maxWait):
		return false
	}
	time.Sleep(testServiceTime)
	<-q.slots
	return true
}

// Guards against a small workspace that gets only a fraction of the capacity of the
// one VM that its callers use while a large workspace fills the queues of all 7
// VMs, and against forwarding the excess of the large workspace.
func TestFairnessWhereverCallersConnect(t *testing.T) {
	runScenario(t, 7, oneRegion, upstreams(testRegion, 12, 3), func(t *testing.T, f *fleet) {
		for _, entries := range [][]*node{f.nodes, f.nodes[:1]} {
			result := make(chan int)
			go func() { result <- f.offerLoad(f.nodes, 1800, 10*time.Second, "large") }()
			small, large := f.offerLoad(entries, 40, 10*time.Second, "small"), <-result
			t.Logf("served: small workspace at %d VMs %d of 400, large %d of 18,000; forwarded so far %v, seed %d", len(entries), small, large, f.forwarded, offerSeed)
			if small < 396 || f.forwarded["large"] > 1800 {
				t.Errorf("%d of 400 requests of the small workspace were served; forwarded %v", small, f.forwarded)
			}
		}
	})
}
