package fgplacement

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// placeAll places requests until none fits and returns the targets.
func placeAll(t *testing.T, p *Placer) (out []Target) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for {
		target, err := p.Place(ctx, Request{Group: testGroup})
		if err != nil {
			return out
		}
		out = append(out, target)
	}
}

func finishAll(targets []Target, r Result) {
	for _, t := range targets {
		t.Done(r)
	}
}

// Guards against full load on a cold upstream: one that is new, returns after
// failures, is no longer drained, or was idle.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, oneRegion, upstreams(testRegion, 1, 100)...)
		p := f.nodes[0].placer
		checkRise := func(cause string) {
			t.Helper()
			var counts []int
			for range 3 {
				targets := placeAll(t, p)
				counts = append(counts, len(targets))
				finishAll(targets, Cancelled)
				time.Sleep(slowStartTime / 2)
			}
			t.Logf("%s: %v requests in flight after 0, 5 and 10 s", cause, counts)
			if counts[0] > 10 || counts[1] < 40 || counts[1] > 60 || counts[2] != 100 {
				t.Errorf("%s: the limits after 0, 5 and 10 s are %v", cause, counts)
			}
		}
		checkRise("new")
		finishAll(placeAll(t, p)[:1], Unreached)
		if n := len(placeAll(t, p)); n != 0 {
			t.Errorf("%d requests were sent to an upstream that refused a connection", n)
		}
		p.upstreams[testRegion+"-0"].inFlight.Store(0)
		f.nodes[0].used = map[string]int64{}
		time.Sleep(unreachedBackoff)
		probes := placeAll(t, p)
		if len(probes) != 1 {
			t.Fatalf("%d probes were sent at once", len(probes))
		}
		finishAll(probes, Answered)
		checkRise("returned")
		f.putResources(drain(fgapi.DrainUpstream, testRegion+"-0"))
		if n := len(placeAll(t, p)); n != 0 {
			t.Errorf("%d requests were sent to a drained upstream", n)
		}
		f.apply(fgconfig.Change{Delete: []fgapi.Ref{{Kind: fgapi.KindDrain, Name: "drain-" + testRegion + "-0"}}})
		checkRise("drain ended")
		time.Sleep(2 * idleTime)
		checkRise("idle")
	})
}

// Guards against probing an unreachable upstream at a constant rate.
func TestBackoffGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, oneRegion, upstreams(testRegion, 1, 3)...)
		probes := 0
		for start := time.Now(); time.Since(start) < time.Minute; {
			target, err := f.nodes[0].placer.Place(t.Context(), Request{Group: testGroup})
			if err != nil {
				continue
			}
			probes++
			target.Done(Unreached)
		}
		t.Logf("%d probes in a minute", probes)
		if probes < 4 || probes > 10 {
			t.Errorf("%d probes in a minute, want 4 to 10", probes)
		}
	})
}

// Guards against a limit that ignores latency. An upstream that slows down
// above 10 requests in flight gets not many more than that. One that does not
// slow down gets its full share of the connections, even after its latency has
// become four times as high for good.
func TestAdaptiveLimit(t *testing.T) {
	for _, test := range []struct {
		name            string
		capacity        int
		later           time.Duration
		atLeast, atMost int
	}{
		{"slows down above 10", 10, 50 * time.Millisecond, 8, 16},
		{"never slows down", 1 << 20, 50 * time.Millisecond, 47, 47},
		{"becomes slower", 1 << 20, 200 * time.Millisecond, 47, 47},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 7, oneRegion, upstreams(testRegion, 1, 0)...)
			var highest int
			for round := range 2000 {
				targets := placeAll(t, f.nodes[0].placer)
				if round >= 1500 {
					highest = max(highest, len(targets))
				}
				latency := 50 * time.Millisecond
				if round >= 500 {
					latency = test.later
				}
				if n := len(targets); n > test.capacity {
					latency = latency * time.Duration(n) / time.Duration(test.capacity) * 2
				}
				time.Sleep(latency)
				finishAll(targets, Answered)
			}
			t.Logf("%s: at most %d in flight", test.name, highest)
			if highest < test.atLeast || highest > test.atMost {
				t.Errorf("%s: %d in flight, want %d to %d", test.name, highest, test.atLeast, test.atMost)
			}
		})
	}
}

// Guards against more connections than an upstream accepts if the region has
// more VMs than that. Some VMs then do not use the upstream.
func TestFewConnections(t *testing.T) {
	f := newFleet(t, 7, oneRegion, resource(fgapi.KindUpstream, "small", &fgapi.UpstreamSpec{
		Address: "127.0.0.1:80", Group: testGroup, Region: testRegion, AvailabilityZone: "a", Connections: 3}))
	total := 0
	for _, n := range f.nodes {
		total += len(placeAll(t, n.placer))
	}
	if total != 3 {
		t.Errorf("%d requests in flight on an upstream that accepts 3 connections", total)
	}
}

// Guards against waits beyond the bounds (half of the deadline, 500 ms,
// maxQueued requests) and against requests that stay queued after they timed
// out or their caller cancelled.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, oneRegion, upstreams(testRegion, 1, 1)...)
		p := f.nodes[0].placer
		held := placeAll(t, p)
		for _, test := range []struct{ deadline, cancelAfter, want time.Duration }{
			{time.Hour, time.Hour, maxWait},
			{300 * time.Millisecond, time.Hour, 150 * time.Millisecond},
			{time.Hour, 20 * time.Millisecond, 20 * time.Millisecond},
		} {
			ctx, cancel := context.WithTimeout(t.Context(), test.deadline)
			time.AfterFunc(test.cancelAfter, cancel)
			start := time.Now()
			_, err := p.Place(ctx, Request{Group: testGroup})
			if took := time.Since(start); took != test.want || err == nil {
				t.Errorf("deadline %v, cancelled after %v: got %v after %v", test.deadline, test.cancelAfter, err, took)
			}
			if n := p.Capacities()[0].Queued; n != 0 {
				t.Errorf("%d requests are still queued", n)
			}
			cancel()
		}
		refused := make(chan error, maxQueued+10)
		for range maxQueued + 10 {
			go func() {
				if _, err := p.Place(t.Context(), Request{Group: testGroup}); errors.Is(err, ErrNoCapacity) {
					refused <- err
				}
			}()
		}
		synctest.Wait()
		if n := p.Capacities()[0].Queued; n != maxQueued || len(refused) != 10 {
			t.Errorf("%d requests are queued and %d were refused at once", n, len(refused))
		}
		// A workspace with one request displaces one of the workspace with
		// many.
		small := make(chan error, 1)
		go func() {
			_, err := p.Place(t.Context(), Request{Group: testGroup, Workspace: "small"})
			small <- err
		}()
		synctest.Wait()
		if len(refused) != 11 || len(small) != 0 {
			t.Errorf("a full queue refused %d requests of the long flow and %d of the short one", len(refused), len(small))
		}
		start := time.Now()
		finishAll(held, Answered)
		synctest.Wait()
		if n := p.Capacities()[0].Queued; n != maxQueued-1 || time.Since(start) != 0 {
			t.Errorf("%d requests are queued after a permit was released", n)
		}
		time.Sleep(time.Second)
	})
}

// Guards against sending new requests from any VM to a leaving upstream while
// the platform is down: the VM that got its draining response reports it to
// the others.
func TestLeavingUpstreamIsReportedToPeers(t *testing.T) {
	runScenario(t, 7, oneRegion, upstreams(testRegion, 2, 21), func(t *testing.T, f *fleet) {
		ctx := t.Context()
		users := func(name string) (n int) {
			for _, to := range f.nodes[1:] {
				targets := placeAll(t, to.placer)
				if slices.ContainsFunc(targets, func(t Target) bool { return t.Upstream() != nil && t.Upstream().Name() == name }) {
					n++
				}
				finishAll(targets, Cancelled)
			}
			return n
		}
		refuse := func(r Result, exclude string) string {
			target, err := f.nodes[0].placer.Place(ctx, Request{Group: testGroup, Exclude: map[string]bool{exclude: true}})
			if err != nil {
				t.Fatal(err)
			}
			target.Done(r)
			time.Sleep(exchangePeriod + shedBackoff)
			return target.Upstream().Name()
		}
		first := refuse(Shed, "")
		if n := users(first); n != 6 {
			t.Errorf("after one shed, which may come from a full upstream, %d of 6 VMs use it", n)
		}
		inFlight, err := f.nodes[0].placer.Place(ctx, Request{Group: testGroup, Exclude: map[string]bool{first: true}})
		if err != nil {
			t.Fatal(err)
		}
		second := refuse(Draining, first)
		// The response to an earlier request does not show that the upstream is
		// back.
		inFlight.Done(Answered)
		if _, leaving := f.nodes[0].placer.Report(); !slices.Contains(leaving, second) {
			t.Errorf("the response to an earlier request ended the report of %s", second)
		}
		if n := users(second); n != 0 {
			t.Errorf("%d VMs send requests to a draining upstream", n)
		}
		refuse(Shed, second)
		if n := users(first); n != 0 {
			t.Errorf("%d VMs send requests to an upstream that shed two requests in a row", n)
		}
		// The VM that found the upstream leaving sends it no request that could
		// show that it is back. Its finding expires instead.
		time.Sleep(maxBackoff)
		if n := users(first); n != 6 {
			t.Errorf("%d of 6 VMs use the upstream after its report expired", n)
		}
	})
}

// Guards against forwarding requests to a drained, leaving or stopping VM,
// against look-up responses that name a drained or leaving VM, and against a
// stopping VM that names itself.
func TestDrainedVMsGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, oneRegion, upstreams(testRegion, 3, 3)...)
		f.nodes[3].placer.Stop()
		leaving := f.nodes[1].member
		leaving.Leaving = true
		f.members = membersOf(t, f.nodes[0].member, leaving, f.nodes[2].member, f.nodes[3].member)
		f.putResources(drain(fgapi.DrainVM, "vm-2"))
		p := f.nodes[0].placer
		for _, n := range f.nodes[1:] {
			loads, _ := n.placer.Report()
			p.ApplyReport(Report{VM: n.member.VM, Incarnation: n.member.Incarnation, Loads: loads})
		}
		if list := f.nodes[3].placer.Lookup(Lookup{Alive: func(string) bool { return true }}); len(list) != 1 {
			t.Errorf("the look-up at a stopping VM returned %v", list)
		}
		for _, target := range placeAll(t, p) {
			if m, ok := target.Peer(); ok {
				t.Errorf("a request was forwarded to %s", m.VM)
			}
		}
		list := p.Lookup(Lookup{Alive: func(string) bool { return true }})
		if len(list) != 2 || list[0].VM != "vm-0" && list[1].VM != "vm-0" {
			t.Errorf("the look-up returned %v", list)
		}
	})
}

// Guards against forwarding requests to peers whose last report is too old.
func TestOldReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, oneRegion, upstreams(testRegion, 1, 1)...)
		n := f.nodes[1]
		for _, test := range []struct {
			age  time.Duration
			want int
		}{{0, 1}, {reportLifetime, 1}, {reportLifetime + time.Millisecond, 0}} {
			n.placer.ApplyReport(Report{VM: "vm-0", Incarnation: "i-0", Loads: []Load{{Group: testGroup, Free: 1}}})
			time.Sleep(test.age)
			targets := placeAll(t, n.placer)
			if len(targets) != test.want {
				t.Errorf("%d requests were forwarded on a report of age %v", len(targets), test.age)
			}
			finishAll(targets, Cancelled)
		}
	})
}

// Guards against a choice that ignores latency, and against an upstream that
// is avoided for good after it was slow once.
func TestLatencyGuidesTheChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, oneRegion, upstreams(testRegion, 2, 0)...)
		slow := 0
		for range 200 {
			target, err := f.nodes[0].placer.Place(t.Context(), Request{Group: testGroup})
			if err != nil {
				t.Fatal(err)
			}
			if target.Upstream().Name() == testRegion+"-0" {
				slow++
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			target.Done(Answered)
		}
		if slow < 2 || slow > 20 {
			t.Errorf("seed %d: the slow upstream got %d of 200 requests, want 2 to 20", offerSeed, slow)
		}
	})
}

// Guards against a choice of peers that ignores their free capacity, and
// against queued requests that a report of free capacity does not wake.
func TestReportsWeightPeersAndWakeWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, oneRegion, upstreams(testRegion, 1, 1)...)
		p := f.nodes[2].placer
		applyReport := func(vm int, free int64) {
			m := f.nodes[vm].member
			p.ApplyReport(Report{VM: m.VM, Incarnation: m.Incarnation, Loads: []Load{{Group: testGroup, Free: free}}})
		}
		counts := map[string]int{}
		for range 1000 {
			applyReport(0, 90)
			applyReport(1, 10)
			target, err := p.Place(t.Context(), Request{Group: testGroup})
			if err != nil {
				t.Fatal(err)
			}
			m, _ := target.Peer()
			counts[m.VM]++
			target.Done(Answered)
		}
		if n := counts["vm-0"]; n < 850 || n > 950 {
			t.Errorf("seed %d: the peer with 90 of 100 free permits got %d of 1,000 requests, want 850 to 950", offerSeed, n)
		}
		applyReport(0, 0)
		applyReport(1, 0)
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { applyReport(0, 1) })
		if _, err := p.Place(t.Context(), Request{Group: testGroup}); err != nil || time.Since(start) != 100*time.Millisecond {
			t.Errorf("the request was placed after %v (%v), want 100ms, when the report arrives", time.Since(start), err)
		}
	})
}

// Guards against running a suspect beside other requests on an upstream, even
// if all upstreams are busy when it arrives.
func TestIsolatedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, oneRegion, upstreams(testRegion, 2, 0)...)
		f.endSlowStart()
		p := f.nodes[0].placer
		for _, target := range placeAll(t, p) {
			time.AfterFunc(50*time.Millisecond, func() { target.Done(Answered) })
		}
		others := make(chan Target, 100)
		for range 60 {
			go func() {
				target, err := p.Place(t.Context(), Request{Group: testGroup, Workspace: "w"})
				if err == nil {
					others <- target
				}
			}()
		}
		start := time.Now()
		suspect, err := p.Place(t.Context(), Request{Group: testGroup, Workspace: "w", Isolated: true})
		if err != nil {
			t.Fatalf("the suspect found no idle upstream: %v", err)
		}
		if time.Since(start) < 50*time.Millisecond {
			t.Error("the suspect was placed beside earlier requests")
		}
		synctest.Wait()
		for n := len(others); n > 0; n-- {
			if target := <-others; target.Upstream() == suspect.Upstream() {
				t.Error("another request was placed beside the suspect")
			}
		}
		time.Sleep(time.Second)
	})
}

// Guards against retries that multiply the load: they are limited to 10% of
// recent requests, with a minimum for a VM with few requests, and unused ones
// are not saved.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet(t, 1, oneRegion).nodes[0].placer
		retries := func() (n int) {
			for p.AllowRetry() {
				n++
			}
			return n
		}
		for _, test := range []struct {
			requests, want int
		}{{0, minRetries}, {200, 20}, {0, minRetries}} {
			for range test.requests {
				_, _ = p.Place(t.Context(), Request{Group: "none"})
			}
			if n := retries(); n != test.want {
				t.Errorf("%d retries after %d requests, want %d", n, test.requests, test.want)
			}
			time.Sleep((budgetWindowSeconds + 1) * time.Second)
		}
	})
}

// Guards against look-ups that send all callers to one VM, differ between the
// VMs of the fleet, return neighbours in the same availability zone, or
// ignore the caller's region.
func TestLookup(t *testing.T) {
	regions := func(i int) string { return []string{testRegion, testOtherRegion}[i/4] }
	f := newFleet(t, 7, regions,
		resource(fgapi.KindRegion, testRegion, &fgapi.RegionSpec{AvailabilityZones: []string{"a"}}),
		resource(fgapi.KindRegion, testOtherRegion, &fgapi.RegionSpec{AvailabilityZones: []string{"a"}, ClientBlocks: []string{"10.9.0.0/16"}}))
	alive := func(string) bool { return true }
	firsts := map[string]int{}
	for i := range 1000 {
		l := Lookup{Caller: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), Region: testRegion, Alive: alive}
		list := f.nodes[0].placer.Lookup(l)
		if len(list) != 7 || list[0].Region != testRegion || list[1].AvailabilityZone == list[0].AvailabilityZone {
			t.Fatalf("the look-up returned %v", list)
		}
		if other := f.nodes[6].placer.Lookup(l); other[0] != list[0] {
			t.Fatalf("two VMs returned %v and %v first", list[0], other[0])
		}
		firsts[list[0].VM]++
	}
	t.Logf("first VM of 1,000 callers: %v", firsts)
	for vm, n := range firsts {
		if len(firsts) != 4 || n < 200 || n > 300 {
			t.Errorf("%s is the first VM of %d of 1,000 callers, want 200 to 300", vm, n)
		}
	}
	for caller, want := range map[string]string{"10.9.3.4": testOtherRegion, "192.0.2.1": testRegion} {
		list := f.nodes[0].placer.Lookup(Lookup{Caller: netip.MustParseAddr(caller), Alive: alive})
		if list[0].Region != want {
			t.Errorf("caller %s is sent to %s", caller, list[0].Region)
		}
	}
}
