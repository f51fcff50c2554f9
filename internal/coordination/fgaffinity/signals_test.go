package fgaffinity

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Guards against requests to an upstream that leaves, for whatever instance the view knows
// it by, and against one that stays unused after its restart.
func TestLeaving(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(started time.Time) viewOption {
		return upstreams(1, func(_ int, u *fgsteer.UpstreamSpec) { u.Started = started })
	}
	empty := func(*fgsteer.ViewSpec) {}
	for _, tc := range []struct {
		name          string
		before, after viewOption
		leaves        bool
	}{
		{"same view", at(start), at(start), true},
		{"restart", at(start), at(start.Add(time.Second)), false},
		{"start known late", at(time.Time{}), at(time.Now().Add(-time.Minute)), true},
		{"start unknown for a while", at(start), at(time.Time{}), true},
		{"restart after an unknown start", at(time.Time{}), at(time.Now().Add(time.Hour)), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := balancer("vm-0", view(tc.before)), balancer("vm-1", view(tc.before))
			if !a.RecordLeaving(choose(t, a, Criteria{})) {
				t.Error("leaving is not new")
			}
			if got := b.ApplyLeavingReports(a.LeavingReports()); len(got) != 1 {
				t.Errorf("%d upstreams were reported to leave", len(got))
			}
			if got := len(b.LeavingReports()); got != 0 {
				t.Errorf("%d reports are repeated by a VM that heard them from another", got)
			}
			for _, vm := range []*Balancer{a, b} {
				// The entry may be missing for a while.
				vm.Update(view(empty))
				vm.Update(view(tc.after))
				_, err := vm.Choose(Criteria{Group: "g", MaxLoadPerSlot: testMaxLoad})
				var unavailable *UnavailableError
				if got := errors.As(err, &unavailable); got != tc.leaves || vm.Forbids("i-0", "10.0.0.0:80") != tc.leaves {
					t.Errorf("error %v, want leaving %v", err, tc.leaves)
				}
			}
		})
	}
}

// Guards against requests to an upstream that pauses, and against a wrong time after which
// callers may retry when all do.
func TestPause(t *testing.T) {
	for _, key := range []string{"", "k"} {
		synctest.Test(t, func(t *testing.T) {
			b := balancer("vm-0", view(upstreams(2)))
			c := Criteria{Group: "g", AffinityKey: key, MaxLoadPerSlot: testMaxLoad}
			u := choose(t, b, c)
			if !b.RecordPause(u, 2*time.Second) || b.RecordPause(u, time.Second) {
				t.Error("the pause is not new, or a shorter one is")
			}
			if spec := u.Spec(); !b.Forbids(spec.ID, spec.Address) || !b.Restricted(u) {
				t.Error("requests that were chosen before the pause may be sent")
			}
			for range 4 {
				other := choose(t, b, c)
				if other == u {
					t.Fatal("a pausing upstream was chosen")
				}
				b.Done(other, Answered)
			}
			other := choose(t, b, c)
			b.RecordPause(other, 5*time.Second)
			time.Sleep(500 * time.Millisecond)
			c.Exclude = []*Upstream{u}
			_, err := b.Choose(c)
			var unavailable *UnavailableError
			if !errors.As(err, &unavailable) || !errors.Is(err, ErrNoUpstream) || unavailable.RetryAfter != 1500*time.Millisecond {
				t.Errorf("error %v, want the end in 1.5 s", err)
			}
			c.Exclude = nil
			time.Sleep(1500 * time.Millisecond)
			if spec := u.Spec(); b.Forbids(spec.ID, spec.Address) {
				t.Error("requests may not be sent after the pause")
			}
			if got := choose(t, b, c); got != u {
				t.Error("the upstream is not used after its pause")
			}
		})
	}
}
