package fgmirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// announce announces "member/vm-1" until the test ends.
func announce(t *testing.T, m *Mirror, data string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Announce(ctx, "member/vm-1", []byte(data)) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
}

// announced returns the data of "member/vm-1" in a store, or "none".
func announced(f *fgstandin.Feed) string {
	values, _ := f.Values()
	for _, v := range values {
		if v.Key == "member/vm-1" {
			return string(v.Data)
		}
	}
	return "none"
}

// Guards against a write that the store executes seconds after its call failed: it
// replaced the entry of a later call and ended with its own lease.
func TestLateWriteDoesNotReplaceEntry(t *testing.T) {
	tests := []struct {
		name      string
		lateFirst bool
	}{{"before the next attempt", true}, {"after the next attempt", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				m := start(t, f)
				f.HoldWrites(true)
				announce(t, m, "x")
				f.HoldWrites(false)
				if tt.lateFirst {
					f.ReleaseWrites()
				}
				time.Sleep(2 * retryDelay)
				f.ReleaseWrites()
				f.EndOldLeases()
				for range 20 {
					if got := announced(f); got != "x" {
						t.Fatalf("the entry is %q", got)
					}
					time.Sleep(renewInterval / 2)
				}
			})
		})
	}
}

// Guards against a gateway that renews its lease while its entry is gone, or is that of
// another lease.
func TestLostEntryIsRegisteredAgain(t *testing.T) {
	tests := []struct {
		name string
		lose func(f *fgstandin.Feed)
	}{
		{"deleted", func(f *fgstandin.Feed) { f.Remove("member/vm-1") }},
		{"replaced", func(f *fgstandin.Feed) { f.Put("member/vm-1", "old#1") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				m := start(t, f)
				announce(t, m, "x#2")
				time.Sleep(renewInterval)
				tt.lose(f)
				time.Sleep(renewInterval + maxBatchWait)
				if got := announced(f); got != "x#2" {
					t.Errorf("the entry is %q", got)
				}
			})
		})
	}
}

// Guards against a process that ends late and replaces the entry of the next one on its
// VM, and against one whose clock is behind and that never registers.
func TestEntryOfLaterProcessIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("member/vm-1", "first#1")
		m := start(t, f)
		announce(t, m, "second#2")
		if got := announced(f); got != "second#2" {
			t.Errorf("the entry is %q, not that of the second process", got)
		}
		f.Put("member/vm-1", "third#3")
		time.Sleep(4 * renewInterval)
		if got := announced(f); got != "third#3" {
			t.Errorf("the entry is %q, not that of the third process", got)
		}
		f.Remove("member/vm-1")
		time.Sleep(renewInterval)
		if got := announced(f); got != "second#2" {
			t.Errorf("the entry is %q after that of the third process expired", got)
		}
	})
}

// Guards against a gateway that never registers because its copy of the store is too old to
// tell which revision it replaces.
func TestAnnounceWithOldCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("member/vm-1", "first#1")
		m := New(Options{Feed: f, Codec: fakeCodec{}, Logger: logr.Discard()})
		announce(t, m, "second#2")
		if got := announced(f); got != "second#2" {
			t.Errorf("the entry is %q", got)
		}
	})
}
