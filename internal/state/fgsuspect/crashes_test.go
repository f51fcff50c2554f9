package fgsuspect

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// tell exchanges the reports of all tables.
func tell(tables ...*Crashes) {
	reports := make([][]Crash, len(tables))
	for i, c := range tables {
		reports[i] = c.Report()
	}
	for i, c := range tables {
		for j, r := range reports {
			if i != j {
				c.Hear(r)
			}
		}
	}
}

// Guards against a request that crashes upstreams through one VM after another,
// none of which sees more than one crash.
func TestCrashesAreCountedOverAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		request := RequestHash("PUT", "/x", "w", []byte("body"))
		var a, b, c, idle Crashes
		for i, vm := range []*Crashes{&a, &b, &c} {
			if _, ok := idle.Convicted(request); ok {
				t.Fatalf("convicted after %d crashes", i)
			}
			vm.Crashed(request, fmt.Sprint("10.0.0.", i))
			tell(&a, &b, &c, &idle)
		}
		if n, ok := idle.Convicted(request); !ok || n != 3 {
			t.Errorf("%d crashes known, convicted %v", n, ok)
		}
		if _, ok := idle.Convicted(RequestHash("PUT", "/x", "w", []byte("other"))); ok {
			t.Error("another request is convicted")
		}
		// After its time one more crash convicts it again.
		time.Sleep(ConvictionLifetime)
		if _, ok := idle.Convicted(request); ok {
			t.Error("still convicted")
		}
		a.Crashed(request, "10.0.0.9")
		tell(&a, &idle)
		if _, ok := idle.Convicted(request); !ok {
			t.Error("not convicted again")
		}
		time.Sleep(crashLifetime + time.Second)
		tell(&a, &b, &c, &idle)
		if !idle.Empty() || !a.Empty() {
			t.Error("crashes are remembered for ever")
		}
	})
}

// Guards against requests that are refused because their upstreams failed for
// other reasons: they run elsewhere, or always meet the same upstream.
func TestInnocentRequestsAreNotConvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		request := RequestHash("GET", "/x", "w", nil)
		var a, b Crashes
		for range 5 {
			a.Crashed(request, "10.0.0.1")
			tell(&a, &b)
		}
		if n, ok := b.Convicted(request); ok || n != 1 {
			t.Errorf("%d crashes known, convicted %v", n, ok)
		}
		a.Crashed(request, "10.0.0.2")
		tell(&a, &b)
		b.Ran(request)
		tell(&a, &b)
		a.Crashed(request, "10.0.0.3")
		tell(&a, &b)
		for _, vm := range []*Crashes{&a, &b} {
			if n, ok := vm.Convicted(request); ok || n > 1 {
				t.Errorf("%d crashes known, convicted %v", n, ok)
			}
		}
	})
}

// Guards against a VM that missed a report, and against a table that grows.
func TestCrashReportsAreRepeatedAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, late Crashes
		for i := range 3 * maxCrashes {
			a.Crashed(uint64(i), "10.0.0.1")
			time.Sleep(time.Millisecond)
		}
		if n := len(a.Report()); n != maxCrashes {
			t.Errorf("%d crashes reported, want %d", n, maxCrashes)
		}
		for range crashReports {
			a.Report()
		}
		for range crashRepeatEvery {
			late.Hear(a.Report())
		}
		if n, _ := late.Convicted(3*maxCrashes - 1); n != 1 {
			t.Errorf("a VM that missed the first reports knows %d crashes", n)
		}
	})
}
