package fgplacement

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
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
		warm()
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
		f.nodes[6].dead = true
		var units int64
		for _, n := range f.nodes[:6] {
			for _, u := range n.units {
				units += u
			}
		}
		check("one VM dead", f.open(ctx, capacity*3/2, 10*time.Second, "w", f.nodes[:6]), int(units)*10*10, 0.9)
	})
}
