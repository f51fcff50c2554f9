package fgplacement

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// open sends requests from nodes in turn at a rate, for a time, and waits for
// their ends. It returns how many succeeded.
func (f *fleet) open(ctx context.Context, rate int, span time.Duration, workspace string, from []*node) int {
	var wg sync.WaitGroup
	var served atomic.Int64
	count := int(span.Seconds() * float64(rate))
	for i := range count {
		n := from[i%len(from)]
		wg.Go(func() {
			if f.send(ctx, n, Request{Group: testGroup, Workspace: workspace}) == nil {
				served.Add(1)
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	return int(served.Load())
}

// Guards against more requests at an upstream than its slots, and against
// capacity that stays unused while requests are refused: 12 upstreams with 3
// slots behind 7 VMs, at 1.5 times their capacity, and then with one VM dead.
func TestSlotsBehindSevenVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, oneRegion, upstreams(testRegion, 12, 3)...)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.exchange(ctx)
		f.warm()
		const capacity = 360
		check := func(name string, served, of int, least float64) {
			t.Logf("%s: served %d of a capacity of %d", name, served, of)
			for u, most := range f.most {
				if most > 3 {
					t.Errorf("%s: %d requests in flight on %s, which has 3 slots", name, most, u)
				}
			}
			if float64(served) < least*float64(of) {
				t.Errorf("%s: served %d, fewer than %v of %d", name, served, least, of)
			}
		}
		check("7 VMs", f.open(ctx, capacity*3/2, 10*time.Second, "w", f.nodes), 10*capacity, 0.9)
		check("callers at one VM", f.open(ctx, capacity, 10*time.Second, "w", f.nodes[:1]), 10*capacity, 0.7)
		f.nodes[6].dead.Store(true)
		var units int64
		for _, n := range f.nodes[:6] {
			for _, u := range n.units {
				units += u
			}
		}
		check("one VM dead", f.open(ctx, capacity*3/2, 10*time.Second, "w", f.nodes[:6]), int(units)*10*10, 0.9)
	})
}

// Guards against a shift between regions above its cap, and against a cap that
// is left unused, while the region of 3 of 6 VMs is drained. Without a declared
// cap nothing may shift.
func TestCapHoldsWhileRegionIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regions := func(i int) string { return []string{testRegion, testOtherRegion}[i%2] }
		f := newFleet(t, 6, regions, append(upstreams(testRegion, 6, 3), upstreams(testOtherRegion, 6, 3)...)...)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.exchange(ctx)
		f.warm()
		home := []*node{f.nodes[0], f.nodes[2], f.nodes[4]}
		f.apply(fgconfig.Change{Put: []fgapi.Resource{drain(fgapi.DrainRegion, testRegion)}})
		const perVM = 30
		for _, n := range home {
			n.rate = perVM
		}
		if served := f.open(ctx, 150, 4*time.Second, "w", home); served != 0 {
			t.Errorf("%d requests shifted without a declared cap", served)
		}
		f.apply(fgconfig.Change{Put: []fgapi.Resource{resource(fgapi.KindRegionalCap, "cap",
			&fgapi.RegionalCapSpec{From: testRegion, To: testOtherRegion, RequestsPerSecond: 3 * perVM, BitsPerSecond: 1})}})
		time.Sleep(time.Second)
		served := f.open(ctx, 150, 10*time.Second, "w", home)
		admitted := 0
		for _, n := range home {
			admitted += n.admitted
		}
		t.Logf("served %d, admitted by the cap %d, at a cap of %d in 10 s", served, admitted, 10*3*perVM)
		if served > admitted {
			t.Errorf("%d requests shifted, the cap admitted %d", served, admitted)
		}
		if served < 8*3*perVM {
			t.Errorf("%d requests shifted, fewer than 80%% of the cap", served)
		}
		for u, most := range f.most {
			if most > 3 || strings.HasPrefix(u, testRegion) {
				t.Errorf("%s had %d requests in flight", u, most)
			}
		}
	})
}

// Guards against a wait for the cap that only a new request or report ends,
// and against requests that lose their place to later ones when the cap refuses
// them: 2 tokens are there, one more comes every 50 ms.
func TestWaitForCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, func(i int) string { return []string{testRegion, testOtherRegion}[i] }, upstreams(testOtherRegion, 1, 3)...)
		f.apply(fgconfig.Change{Put: []fgapi.Resource{resource(fgapi.KindRegionalCap, "cap",
			&fgapi.RegionalCapSpec{From: testRegion, To: testOtherRegion, RequestsPerSecond: 20, BitsPerSecond: 1})}})
		n := f.nodes[0]
		n.rate = 20
		n.placer.Hear(Report{VM: "vm-1", Incarnation: "i-1", Loads: []Load{{Group: testGroup, Free: 9}}})
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
			if want := time.Duration(max(0, i-1)) * 50 * time.Millisecond; d > want+2*capRestTime || d < want-capRestTime {
				t.Errorf("request %d was placed after %v, expected is about %v", i, d, want)
			}
		}
	})
}

// Guards against many VMs that choose the same upstream or peer from the same
// report: 70 requests arrive at 7 VMs between two reports.
func TestNoHerding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, oneRegion, upstreams(testRegion, 12, 0)...)
		f.warm()
		// The baseline sends to the upstream of least load in the last report,
		// which all VMs have alike.
		reported := []int{2, 1, 2, 3, 2, 2, 3, 2, 2, 2, 3, 2}
		naive := make([]int, len(reported))
		counts := map[string]int{}
		var targets []Target
		for i := range 70 {
			naive[slices.Index(reported, slices.Min(reported))]++
			target, err := f.nodes[i%7].placer.Place(t.Context(), Request{Group: testGroup})
			if err != nil {
				t.Fatal(err)
			}
			counts[target.Upstream().Name()]++
			targets = append(targets, target)
		}
		for _, target := range targets {
			target.Done(Answered)
		}
		most := slices.Max(slices.Collect(maps.Values(counts)))
		t.Logf("of 70 requests, the busiest of 12 upstreams got %d; with least reported load %d", most, slices.Max(naive))
		if most > 14 {
			t.Errorf("one upstream got %d of 70 requests", most)
		}
		peers := map[string]int{}
		f = newFleet(t, 7, oneRegion, upstreams(testRegion, 12, 3)...)
		for _, n := range f.nodes[1:] {
			f.nodes[0].placer.Hear(Report{VM: n.member.VM, Incarnation: n.member.Incarnation, Loads: []Load{{Group: testGroup, Free: 4}}})
		}
		f.nodes[0].units = map[string]int64{}
		f.nodes[0].placer.Wake()
		for range 24 {
			target, err := f.nodes[0].placer.Place(t.Context(), Request{Group: testGroup})
			if err != nil {
				t.Fatal(err)
			}
			m, _ := target.Peer()
			peers[m.VM]++
		}
		for vm, n := range peers {
			if n != 4 {
				t.Errorf("%s reported 4 free permits and got %d requests", vm, n)
			}
		}
	})
}

// Guards against a large workspace that takes a small one's part in a
// shortage. The small one stays within its fair part; a plain FIFO queue of
// the same length and wait is the baseline.
func TestFairInShortage(t *testing.T) {
	const capacity, small, span = 100, 40, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, oneRegion, upstreams(testRegion, 10, 1)...)
		f.warm()
		fifo := newFIFO(10)
		run := func(send func(workspace string) bool) (got, want, large int) {
			var wg sync.WaitGroup
			wg.Go(func() {
				large = offer(5*capacity, span, func() bool { return send("large") })
			})
			got = offer(small, span, func() bool { return send("small") })
			wg.Wait()
			return got, int(small * span.Seconds()), large
		}
		got, want, large := run(func(workspace string) bool {
			return f.send(t.Context(), f.nodes[0], Request{Group: testGroup, Workspace: workspace}) == nil
		})
		t.Logf("seed %d", fairSeed)
		t.Logf("fair queue: small %d of %d, large %d", got, want, large)
		baseline, _, baselineLarge := run(func(string) bool { return fifo.run(f.service) })
		t.Logf("FIFO baseline: small %d of %d, large %d", baseline, want, baselineLarge)
		if got < want*99/100 {
			t.Errorf("the small workspace got %d of %d requests", got, want)
		}
		if total := got + large; total < capacity*int(span.Seconds())*9/10 {
			t.Errorf("%d requests served in all: the queue wastes capacity", total)
		}
		f.apply(fgconfig.Change{Put: []fgapi.Resource{
			resource(fgapi.KindWorkspace, "small", &fgapi.WorkspaceSpec{RequestsPerSecond: 1, Burst: 1, Weight: 1}),
			resource(fgapi.KindWorkspace, "large", &fgapi.WorkspaceSpec{RequestsPerSecond: 1, Burst: 1, Weight: 4}),
		}})
		got, want, large = run(func(workspace string) bool {
			return f.send(t.Context(), f.nodes[0], Request{Group: testGroup, Workspace: workspace}) == nil
		})
		t.Logf("weights 1 and 4: small %d of %d, large %d", got, want, large)
		if part := float64(got) / float64(got+large); part < 0.17 || part > 0.23 {
			t.Errorf("the workspace of weight 1 beside one of weight 4 got a part of %.2f", part)
		}
	})
}

// fairSeed seeds the random gaps between requests.
const fairSeed = 1

// Guards against a small workspace that gets only a part of the one VM that its
// callers use, while a large one fills the queues of all 7.
func TestFairWhereverCallersEnter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, oneRegion, upstreams(testRegion, 12, 3)...)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.exchange(ctx)
		f.warm()
		for _, entries := range [][]*node{f.nodes, f.nodes[:1]} {
			large := make(chan int)
			go func() { large <- f.offerAt(ctx, f.nodes, 1800, "large") }()
			small := f.offerAt(ctx, entries, 40, "small")
			t.Logf("seed %d: small at %d VMs %d of 400, large %d of 18,000", fairSeed, len(entries), small, <-large)
			if small < 396 {
				t.Errorf("the small workspace got %d of 400 requests at %d VMs", small, len(entries))
			}
		}
	})
}

// offerAt offers requests of a workspace for 10 s at nodes in turn.
func (f *fleet) offerAt(ctx context.Context, entries []*node, rate int, workspace string) int {
	var next atomic.Int64
	return offer(rate, 10*time.Second, func() bool {
		n := entries[int(next.Add(1))%len(entries)]
		return f.send(ctx, n, Request{Group: testGroup, Workspace: workspace}) == nil
	})
}

// offer sends requests at a mean rate with random gaps and counts the served ones.
func offer(rate int, span time.Duration, send func() bool) int {
	var wg sync.WaitGroup
	var served atomic.Int64
	random := rand.New(rand.NewPCG(fairSeed, uint64(rate)))
	for range int(span.Seconds() * float64(rate)) {
		wg.Go(func() {
			if send() {
				served.Add(1)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
	}
	wg.Wait()
	return int(served.Load())
}

// fifo is the baseline of TestFairInShortage: slots with a plain queue.
type fifo struct {
	slots   chan struct{}
	waiting atomic.Int64
}

func newFIFO(slots int) *fifo { return &fifo{slots: make(chan struct{}, slots)} }

func (q *fifo) run(service time.Duration) bool {
	defer q.waiting.Add(-1)
	if q.waiting.Add(1) > maxQueued {
		return false
	}
	select {
	case q.slots <- struct{}{}:
	case <-time.After(maxWait):
		return false
	}
	time.Sleep(service)
	<-q.slots
	return true
}
