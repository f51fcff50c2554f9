package fgmirror

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// Guards against reports of an upstream that the store executes late or in another order,
// which make a leaving upstream ready again, and against a restarted upstream whose reports
// are taken for such ones.
func TestOutdatedReportsOfUpstreams(t *testing.T) {
	tests := []struct {
		name string
		// puts are written one after the other; "" deletes the entry.
		puts []string
		want string
	}{
		{"in order", []string{"ready#1", "draining#2"}, "draining"},
		{"late", []string{"ready#1", "draining#3", "ready#2"}, "draining"},
		{"late, twice", []string{"draining#4", "ready#2", "ready#3"}, "draining"},
		{"late, of the same process", []string{"draining#3@7", "ready#2@7"}, "draining"},
		{"late, of the process before", []string{"draining#3@7", "ready#9@6"}, "draining"},
		{"of the next process", []string{"draining#3@7", "ready#1@8"}, "ready"},
		{"the start is learnt late", []string{"draining#3", "ready#4@8"}, "ready"},
		{"without a sequence", []string{"draining", "ready"}, "ready"},
		{"with the same sequence", []string{"draining#1", "ready#1"}, "ready"},
		{"late, after the end", []string{"draining#3", "", "ready#2"}, "none"},
		{"late, twice after the end", []string{"draining#4", "", "ready#2", "ready#3"}, "none"},
		{"of the next process, after the end", []string{"draining#3@7", "", "ready#1@8"}, "ready"},
		{"registered again", []string{"ready#3", "", "ready#4"}, "ready"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				m := start(t, f)
				for _, data := range tt.puts {
					if data == "" {
						f.Remove("up/a")
					} else {
						f.Put("up/a", data)
					}
					waitForBatch()
				}
				if got := stateOf(m); got != tt.want {
					t.Errorf("the upstream is %s, want %s", got, tt.want)
				}
			})
		})
	}
}

// stateOf returns the state of the only upstream of group "g" in the view.
func stateOf(m *Mirror) string {
	switch all := m.View().Upstreams("g"); {
	case len(all) == 0:
		return "none"
	case all[0].Spec().Draining:
		return "draining"
	default:
		return "ready"
	}
}

// Guards against an upstream that restarts under its ID with lower numbers, and whose
// reports are ignored for good.
func TestRestartWithLowerNumbers(t *testing.T) {
	for _, first := range []string{"draining#50", "draining#50@9"} {
		t.Run(first, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				f.Put("up/a", first)
				m := start(t, f)
				for _, data := range []string{"ready#1@5", "ready#2@5", "ready#3@5", "ready#4@5", "ready#5@5", "ready#6@5"} {
					f.Put("up/a", data)
					time.Sleep(1500 * time.Millisecond)
				}
				synctest.Wait()
				if got := stateOf(m); got != "ready" {
					t.Errorf("the upstream is %s %v after its restart", got, expiryTime)
				}
			})
		})
	}
}
