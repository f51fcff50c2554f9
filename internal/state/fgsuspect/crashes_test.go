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
			vm.RecordCrash(request, fmt.Sprint("10.0.0.", i))
			exchangeReports(&a, &b, &c, &idle)
		}
		if n, ok := idle.Blocked(request); !ok || n != 3 {
			t.Errorf("%d crashes, blocked %v; want 3, true", n, ok)
		}
		if _, ok := idle.Blocked(RequestHash("PUT", "/x", "w", []byte("other"))); ok {
			t.Error("another request is blocked")
		}
		// After BlockDuration a single further crash blocks it again.
		time.Sleep(BlockDuration)
		if _, ok := idle.Blocked(request); ok {
			t.Error("request still blocked after BlockDuration")
		}
		a.RecordCrash(request, "10.0.0.9")
		exchangeReports(&a, &idle)
		if _, ok := idle.Blocked(request); !ok {
			t.Error("request not blocked again after a further crash")
		}
		time.Sleep(crashLifetime + time.Second)
		exchangeReports(&a, &b, &c, &idle)
		if !idle.Empty() || !a.Empty() {
			t.Error("crashes were not deleted after crashLifetime")
		}
	})
}

// Guards against blocking requests whose upstreams crashed for other reasons: the
// request completes on another upstream, or the same upstream crashes each time.
func TestUnrelatedCrashesDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		request := RequestHash("GET", "/x", "w", nil)
		var a, b Crashes
		for range 5 {
			a.RecordCrash(request, "10.0.0.1")
			exchangeReports(&a, &b)
		}
		if n, ok := b.Blocked(request); ok || n != 1 {
			t.Errorf("%d crashes, blocked %v; want 1, false", n, ok)
		}
		a.RecordCrash(request, "10.0.0.2")
		exchangeReports(&a, &b)
		b.RecordCompletion(request)
		exchangeReports(&a, &b)
		a.RecordCrash(request, "10.0.0.3")
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
		for i := range 3 * maxRequests {
			a.RecordCrash(uint64(i), "10.0.0.1")
			time.Sleep(time.Millisecond)
		}
		if n := len(a.Report()); n != maxRequests {
			t.Errorf("%d crashes reported, want %d", n, maxRequests)
		}
		for range reportsPerChange {
			a.Report()
		}
		for range fullReportInterval {
			late.ApplyReport(a.Report())
		}
		if n, _ := late.Blocked(3*maxRequests - 1); n != 1 {
			t.Errorf("a VM that missed the first reports has %d crashes, want 1", n)
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
