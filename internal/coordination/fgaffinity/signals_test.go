package fgaffinity

import (
	"errors"
	"testing"
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
