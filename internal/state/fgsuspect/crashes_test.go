package fgsuspect

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// exchangeReports applies a report of each table to all other tables.
func exchangeReports(tables ...*Crashes) {
	reports := make([][]Crash, len(tables))
	for i, c := range tables {
		reports[i] = c.Report()
	}
	for i, c := range tables {
		for j, r := range reports {
			if i != j {
				c.ApplyReport(r)
			}
		}
	}
}

// recordCrash records that an upstream crashed during a send that began just now.
func recordCrash(c *Crashes, request uint64, address string) int {
	return c.BeginCheck(request, address, time.Now()).Crashed()
}

// Guards against a request that crashes upstreams without limit because it
// reaches them through different VMs, each of which sees one crash only.
func TestCrashesCountedAcrossVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		request := RequestHash("PUT", "/x", "w", []byte("body"))
		var a, b, c, idle Crashes
		for i, vm := range []*Crashes{&a, &b, &c} {
			if _, ok := idle.Blocked(request); ok {
				t.Fatalf("blocked after %d crashes", i)
			}
			recordCrash(vm, request, fmt.Sprint("10.0.0.", i))
			exchangeReports(&a, &b, &c, &idle)
		}
		if n, ok := idle.Blocked(request); !ok || n != 3 {
			t.Errorf("%d crashes, blocked %v; want 3, true", n, ok)
		}
		if _, ok := idle.Blocked(RequestHash("PUT", "/x", "w", []byte("other"))); ok {
			t.Error("another request is blocked")
		}
		// After BlockDuration a single further crash blocks it again, for twice as long.
		time.Sleep(BlockDuration)
		if _, ok := idle.Blocked(request); ok {
			t.Error("request still blocked after BlockDuration")
		}
		recordCrash(&a, request, "10.0.0.9")
		exchangeReports(&a, &idle)
		if _, ok := idle.Blocked(request); !ok {
			t.Error("request not blocked again after a further crash")
		}
		time.Sleep(2*BlockDuration + crashLifetime + expiredLifetime)
		exchangeReports(&a, &b, &c, &idle)
		if !idle.Empty() || !a.Empty() {
			t.Error("crashes were not deleted after crashLifetime")
		}
	})
}

// Guards against blocking requests whose upstreams crashed for other reasons: the
// request completes on another upstream, or several VMs see the same crash.
func TestUnrelatedCrashesDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		request := RequestHash("GET", "/x", "w", nil)
		var a, b Crashes
		sent := time.Now()
		for range 5 {
			// Sends to an upstream that crashed are found lost over some time, by several
			// VMs, before and after they hear of each other.
			time.Sleep(300 * time.Millisecond)
			a.BeginCheck(request, "10.0.0.1", sent).Crashed()
			b.BeginCheck(request, "10.0.0.1", sent.Add(100*time.Millisecond)).Crashed()
			exchangeReports(&a, &b)
		}
		if n, ok := b.Blocked(request); ok || n != 1 {
			t.Errorf("%d crashes, blocked %v; want 1, false", n, ok)
		}
		recordCrash(&a, request, "10.0.0.2")
		exchangeReports(&a, &b)
		b.RecordCompletion(request)
		exchangeReports(&a, &b)
		recordCrash(&a, request, "10.0.0.3")
		exchangeReports(&a, &b)
		for _, vm := range []*Crashes{&a, &b} {
			if n, ok := vm.Blocked(request); ok || n > 1 {
				t.Errorf("%d crashes, blocked %v; want at most 1, false", n, ok)
			}
		}
	})
}

// Guards against a VM that never learns of a crash because it missed a report, and
// against a table that grows without bound.
func TestReportsRepeatedAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, late Crashes
		for i := range 2 * maxRequests {
			recordCrash(&a, uint64(i), "10.0.0.1")
			time.Sleep(time.Millisecond)
		}
		if n := len(a.entries); n != maxRequests {
			t.Errorf("%d requests kept, want %d", n, maxRequests)
		}
		if n := len(a.Report()); n < maxReported-maxRepeated || n > maxReported {
			t.Errorf("%d requests reported, want %d to %d", n, maxReported-maxRepeated, maxReported)
		}
		a = Crashes{}
		const requests = maxRepeated * fullReportInterval
		for i := range crashesToBlock {
			for request := range uint64(requests) {
				recordCrash(&a, request, fmt.Sprint("10.0.0.", i))
			}
		}
		for range 2 * reportsPerChange {
			a.Report()
		}
		for range fullReportInterval {
			late.ApplyReport(a.Report())
		}
		for request := range uint64(requests) {
			if n, _ := late.Blocked(request); n != crashesToBlock {
				t.Fatalf("a VM that missed the first reports has %d crashes of request %d, want %d", n, request, crashesToBlock)
			}
		}
		// A VM that has just started learns of all that are blocked from the next report.
		var started Crashes
		a.RepeatReports()
		started.ApplyReport(a.Report())
		if n := len(started.entries); n != requests {
			t.Errorf("a VM that has just started knows %d requests, want %d", n, requests)
		}
	})
}

// Guards against a hash that depends on how a body was read, or differs from that of other
// versions, which count crashes of the same request.
func TestRequestHashIgnoresParts(t *testing.T) {
	const want = uint64(0x44cdaf83daa2b3c1)
	for _, parts := range [][][]byte{
		{[]byte("body")}, {[]byte("b"), []byte("ody")}, {nil, []byte("body"), {}}, {[]byte("b"), []byte("o"), []byte("d"), []byte("y")},
	} {
		if got := RequestHash("PUT", "/x", "w", parts...); got != want {
			t.Errorf("%q: hash %#x, want %#x", parts, got, want)
		}
	}
}

// Guards against a request that is never blocked where fewer upstreams than
// crashesToBlock may run it, and against one that crashes the same upstreams after its
// block without being blocked again.
func TestStartsAreCounted(t *testing.T) {
	for _, upstreams := range []int{1, 2} {
		t.Run(fmt.Sprint(upstreams, " upstreams"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var a, b, idle Crashes
				vms := []*Crashes{&a, &b}
				for i := range 3 {
					recordCrash(vms[i%2], 1, fmt.Sprint("10.0.0.", i%upstreams))
					exchangeReports(&a, &b, &idle)
					time.Sleep(3 * time.Second)
				}
				for i := range 4 {
					n, remaining := idle.BlockRemaining(1)
					if n != 3+i || remaining != BlockDuration<<i-3*time.Second {
						t.Fatalf("%d crashes, blocked for %v; want %d, %v", n, remaining, 3+i, BlockDuration<<i-3*time.Second)
					}
					if i%2 == 0 {
						// A retry that another VM let through renews the block as well.
						time.Sleep(remaining + time.Second)
					}
					recordCrash(vms[i%2], 1, "10.0.0.0")
					exchangeReports(&a, &b, &idle)
					time.Sleep(3 * time.Second)
				}
			})
		})
	}
}

// Guards against counting one crash again for each send on a kept connection whose end was
// not yet noticed, and against missing the next crash of the same upstream.
func TestSendSoonAfterCrashHasSeenIt(t *testing.T) {
	tests := []struct {
		after time.Duration
		want  int
	}{{-time.Second, 1}, {0, 1}, {900 * time.Millisecond, 1}, {1100 * time.Millisecond, 2}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var a, b Crashes
				recordCrash(&a, 1, "10.0.0.1")
				crashed := time.Now()
				exchangeReports(&a, &b)
				time.Sleep(3 * time.Second)
				for _, c := range []*Crashes{&a, &b} {
					if n := c.BeginCheck(1, "10.0.0.1", crashed.Add(tt.after)).Crashed(); n != tt.want {
						t.Errorf("%d crashes, want %d", n, tt.want)
					}
				}
			})
		})
	}
}

// Guards against a table that fills with crashes which no longer count where they arrive.
func TestExpiredReportIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Crashes
		for request := range uint64(10) {
			c.ApplyReport([]Crash{{Request: request, Starts: []uint32{1}, Ages: []time.Duration{crashLifetime}}})
		}
		if !c.Empty() {
			t.Error("expired crashes were taken into the table")
		}
	})
}

// Guards against a request that is no longer blocked once it has crashed the same upstream
// more often than identifiers of starts are kept.
func TestBlockOfPersistentRequestIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b Crashes
		for i := range 200 {
			recordCrash(&a, 1, "10.0.0.1")
			exchangeReports(&a, &b)
			time.Sleep(3 * time.Second)
			_, remaining := b.BlockRemaining(1)
			if i >= crashesToBlock-1 && remaining == 0 {
				t.Fatalf("not blocked after crash %d", i+1)
			}
			time.Sleep(remaining)
		}
	})
}

// Guards against a harmless request that is blocked for many minutes because it was in
// flight at all upstreams of a zone that failed.
func TestCrashesOfOneIncidentDoNotDoubleTheBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b Crashes
		for i := range 12 {
			// Probes of a zone that is gone take up to their timeout.
			time.Sleep(100 * time.Millisecond)
			recordCrash([]*Crashes{&a, &b}[i%2], 1, fmt.Sprint("10.0.0.", i))
		}
		exchangeReports(&a, &b)
		for _, c := range []*Crashes{&a, &b} {
			if n, remaining := c.BlockRemaining(1); n != 12 || remaining != BlockDuration {
				t.Errorf("%d crashes, blocked for %v; want 12, %v", n, remaining, BlockDuration)
			}
		}
		// The next incident doubles it once.
		time.Sleep(BlockDuration)
		for i := range 4 {
			recordCrash(&a, 1, fmt.Sprint("10.0.1.", i))
		}
		if n, remaining := a.BlockRemaining(1); n != 16 || remaining != 2*BlockDuration {
			t.Errorf("%d crashes, blocked for %v; want 16, %v", n, remaining, 2*BlockDuration)
		}
	})
}

// Guards against harmless requests that completed while their VM still checked whether
// the upstream of an earlier send had crashed.
func TestCompletionDuringCheck(t *testing.T) {
	var c Crashes
	for i := range crashesToBlock {
		check := c.BeginCheck(1, fmt.Sprint("10.0.0.", i), time.Now())
		if c.Empty() {
			t.Fatal("empty during a check")
		}
		c.RecordCompletion(1)
		check.Crashed()
	}
	if n, ok := c.Blocked(1); ok || n != 0 {
		t.Errorf("%d crashes, blocked %v; want 0, false", n, ok)
	}
	var d Crashes
	d.BeginCheck(1, "10.0.0.1", time.Now()).Dismiss()
	if !d.Empty() {
		t.Error("not empty after the check was dismissed")
	}
}

// Guards against reports from before a request completed, which arrive late or come from
// a VM that missed the completion, and bring its crashes back.
func TestOutdatedReportsDoNotUndoCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b Crashes
		for i := range crashesToBlock {
			recordCrash(&b, 1, fmt.Sprint("10.0.0.", i))
		}
		outdated := b.Report()
		a.ApplyReport(outdated)
		a.RecordCompletion(1)
		for range 30 {
			time.Sleep(time.Second)
			a.ApplyReport(outdated)
			a.ApplyReport([]Crash{{Request: 1, Starts: outdated[0].Starts}})
			if n, ok := a.Blocked(1); ok || n != 0 {
				t.Fatalf("%d crashes, blocked %v; want 0, false", n, ok)
			}
		}
		b.ApplyReport(a.Report())
		if n, ok := b.Blocked(1); ok || n != 0 {
			t.Errorf("%d crashes at the VM that missed the completion, blocked %v; want 0, false", n, ok)
		}
	})
}

// Guards against a block that ends because all VMs restart one after the other, and
// against one that each restart prolongs.
func TestBlockOutlastsRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := []*Crashes{{}, {}, {}}
		for i := range crashesToBlock {
			recordCrash(vms[0], 1, fmt.Sprint("10.0.0.", i))
		}
		for range 3 {
			exchangeReports(vms...)
			vms[0].Report()
			time.Sleep(50 * time.Millisecond)
		}
		start := time.Now()
		for i := range 18 {
			vms[i%3] = &Crashes{}
			vms[(i+1)%3].RepeatReports()
			time.Sleep(200 * time.Millisecond)
			for sender, c := range vms {
				report := c.Report()
				// A report is under way for up to 0.7 s.
				time.Sleep(100 * time.Millisecond)
				for j, c := range vms {
					if j != sender {
						c.ApplyReport(report)
					}
				}
			}
			if _, ok := vms[i%3].Blocked(1); !ok {
				t.Fatalf("not blocked at a VM after restart %d", i)
			}
			time.Sleep(time.Second)
		}
		time.Sleep(BlockDuration + time.Second - time.Since(start))
		for i, vm := range vms {
			if _, ok := vm.Blocked(1); ok {
				t.Errorf("still blocked at VM %d, 1 s after the end of the block", i)
			}
		}
	})
}

// Guards against many requests that crash upstreams and, with the harmless ones that ran
// beside them, evict each other.
func TestManyCrashingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b Crashes
		const crashing = 200
		harmless := uint64(crashing)
		for i := range crashesToBlock {
			for request := range uint64(crashing) {
				recordCrash(&a, request, fmt.Sprint("10.0.0.", i))
				for range 3 {
					harmless++
					recordCrash(&a, harmless, fmt.Sprint("10.0.0.", i))
				}
				if request%50 == 49 {
					time.Sleep(200 * time.Millisecond)
					exchangeReports(&a, &b)
				}
			}
		}
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			exchangeReports(&a, &b)
		}
		for request := range uint64(crashing) {
			for _, vm := range []*Crashes{&a, &b} {
				if n, ok := vm.Blocked(request); !ok {
					t.Fatalf("request %d has %d crashes and is not blocked", request, n)
				}
			}
		}
	})
}

// Guards against reports of requests that this VM has evicted, which evict newer ones.
func TestReportDoesNotEvictNewerRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a Crashes
		for request := range uint64(maxRequests) {
			recordCrash(&a, request, "10.0.0.1")
		}
		a.ApplyReport([]Crash{{Request: maxRequests, Starts: []uint32{1}, Ages: []time.Duration{time.Second}}})
		if n, _ := a.Blocked(maxRequests); n != 0 {
			t.Error("an older request evicted a newer one")
		}
		a.ApplyReport([]Crash{{Request: maxRequests, Starts: []uint32{1, 2, 3}, Ages: make([]time.Duration, 3)}})
		if _, ok := a.Blocked(maxRequests); !ok {
			t.Error("a request that is to be blocked was not taken into a full table")
		}
	})
}

// Guards against reports of a VM of the previous version, which have no ages, that bring
// an expired block back: that VM keeps what it is told for crashLifetime, and is told
// until the entry expires here.
func TestPreviousVersionDoesNotBringBlocksBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Crashes
		const interval = 500 * time.Millisecond
		full := Crash{Request: 1, Starts: []uint32{1, 2, 3}}
		c.ApplyReport([]Crash{full})
		start := time.Now()
		// What the other VM knows expires at a time.
		expires := start.Add(crashLifetime)
		for time.Since(start) < 10*time.Minute {
			time.Sleep(interval)
			if len(c.Report()) > 0 && !time.Now().Before(expires) {
				expires = time.Now().Add(crashLifetime)
			}
			if time.Now().Before(expires) {
				c.ApplyReport([]Crash{full})
			}
			if _, ok := c.Blocked(1); ok && time.Since(start) >= BlockDuration {
				t.Fatalf("blocked %v after the crashes", time.Since(start))
			}
		}
		if !c.Empty() {
			t.Error("the crashes are still known after 10 minutes")
		}
	})
}

// BenchmarkApplyReportToFullTable applies reports of 97 requests that are blocked and not
// known, each of which evicts another one.
func BenchmarkApplyReportToFullTable(b *testing.B) {
	var c Crashes
	request := uint64(0)
	report := func(n int) []Crash {
		crashes := make([]Crash, n)
		for i := range crashes {
			request++
			crashes[i] = Crash{Request: request, Starts: []uint32{1, 2, 3}, Ages: make([]time.Duration, 3)}
		}
		return crashes
	}
	c.ApplyReport(report(maxRequests))
	for b.Loop() {
		c.ApplyReport(report(maxReported - maxRepeated))
	}
}
