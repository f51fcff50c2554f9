package fgmirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Guards against another gateway's copy that takes effect without what has changed since,
// such as a withdrawn key, and against one of which the store can't say what changed.
func TestCopyOfOtherGateway(t *testing.T) {
	tests := []struct {
		name string
		// change is made after the copy.
		change func(f *fgstandin.Feed)
		// reads is the number of reads of all entries.
		reads int
	}{
		{"nothing has changed", func(*fgstandin.Feed) {}, 0},
		{"changed", func(f *fgstandin.Feed) {
			f.Put("policy", "22")
			f.Remove("up/a")
			f.Put("up/b", "ready")
		}, 0},
		{"changes are compacted", func(f *fgstandin.Feed) {
			f.Put("policy", "22")
			f.Compact()
		}, 1},
		{"the store was restored", func(f *fgstandin.Feed) { f.Restore(f.Backup()) }, 1},
		{"there is no copy", nil, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				f.Put("policy", "1")
				f.Put("up/a", "ready")
				values, position, _ := f.RangeValues(t.Context(), "")
				if tt.change != nil {
					tt.change(f)
				}
				reads := f.RangeCalls()
				var views []*fgsteer.View
				m := New(Options{
					Feed: f, Codec: fakeCodec{}, Logger: logr.Discard(), Publish: func(v *fgsteer.View) { views = append(views, v) },
					Copy: func(context.Context) (Copy, bool) { return Copy{Values: values, Position: position}, tt.change != nil },
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- m.Run(ctx) }()
				time.Sleep(2 * changesWait)
				synctest.Wait()
				want, at, _ := f.RangeValues(t.Context(), "")
				if got, gotAt := m.Values(); !sameValues(got, want) || gotAt != at {
					t.Errorf("copy %v at %v, want %v at %v", got, gotAt, want, at)
				}
				// Nothing older than the store was ever in force.
				for _, v := range views {
					if v.Policy().Version() != m.View().Policy().Version() || len(v.Upstreams("g")) != len(m.View().Upstreams("g")) {
						t.Errorf("version %d was in force before %d", v.Policy().Version(), m.View().Policy().Version())
					}
				}
				if got := f.RangeCalls() - reads - 1; got != tt.reads {
					t.Errorf("%d reads of all entries, want %d", got, tt.reads)
				}
				cancel()
				<-done
			})
		})
	}
}

func sameValues(a, b []fgstore.Value) bool {
	revisions := map[string]uint64{}
	for _, v := range a {
		revisions[v.Key] = v.Revision
	}
	for _, v := range b {
		if revisions[v.Key] != v.Revision {
			return false
		}
	}
	return len(a) == len(b)
}
