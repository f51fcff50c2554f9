package fgstandin

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

// Guards against a stand-in that is more lenient than the platform about expired
// leases and rate limits, and against delayed writes that are applied too early
// or never.
func TestPlatformFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Platform{}
		id, err := p.Grant(t.Context(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(900 * time.Millisecond)
		first := p.KeepAlive(t.Context(), id)
		time.Sleep(time.Second)
		if second := p.KeepAlive(t.Context(), id); first != nil || !errors.Is(second, fgstore.ErrNotFound) {
			t.Errorf("keep-alives returned %v and %v", first, second)
		}
		p.SetFaults(Faults{WritesPerSecond: 1, DelayWrites: 1, DelayWriteMillis: 100})
		_, delayed := p.CompareAndSwap(t.Context(), "k", 0, nil)
		_, refused := p.CompareAndSwap(t.Context(), "k", 0, nil)
		_, before := p.Get(t.Context(), "k")
		time.Sleep(time.Second)
		_, after := p.Get(t.Context(), "k")
		if !errors.Is(delayed, fgstore.ErrUnknown) || !errors.Is(refused, fgstore.ErrUnavailable) || !errors.Is(before, fgstore.ErrNotFound) || after != nil {
			t.Errorf("results are %v, %v, %v, %v", delayed, refused, before, after)
		}
	})
}
