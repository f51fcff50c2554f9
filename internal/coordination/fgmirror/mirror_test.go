package fgmirror

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

var errAway = errors.New("the store is away")

// fakeCodec reads keys such as "up/i-1", "member/vm-1", "drain/az" and "policy".
type fakeCodec struct{}

func (fakeCodec) Policy(key string, data []byte) (*fgsteer.Policy, bool, error) {
	if key != "policy" {
		return nil, false, nil
	}
	if string(data) == "bad" {
		return nil, true, errors.New("unreadable")
	}
	return fgsteer.NewPolicy(fgsteer.PolicySpec{Version: int64(len(data))}), true, nil
}

func (fakeCodec) Drained(key string) (string, bool) { return strings.CutPrefix(key, "drain/") }

func (fakeCodec) Upstream(key string, data []byte, _ time.Time) (fgsteer.UpstreamSpec, bool, error) {
	id, ok := strings.CutPrefix(key, "up/")
	if ok && string(data) == "bad" {
		return fgsteer.UpstreamSpec{}, true, errors.New("unreadable")
	}
	return fgsteer.UpstreamSpec{ID: id, Group: "g", Draining: string(data) == "draining"}, ok, nil
}

func (fakeCodec) Member(key string, _ []byte) (fgsteer.MemberSpec, bool, error) {
	vm, ok := strings.CutPrefix(key, "member/")
	return fgsteer.MemberSpec{VM: vm}, ok, nil
}

// start runs a mirror of a feed within a bubble.
func start(t *testing.T, f *fgstandin.Feed) *Mirror {
	t.Helper()
	m := New(Options{Feed: f, Codec: fakeCodec{}, Logger: logr.Discard()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
	return m
}

// settle lets the mirror take in what has changed.
func settle() {
	time.Sleep(2 * batchLeast)
	synctest.Wait()
}

func ids(m *Mirror) []string {
	var all []string
	for _, u := range m.View().Upstreams("g") {
		all = append(all, u.Spec().ID)
	}
	return all
}

func expect(t *testing.T, m *Mirror, want ...string) {
	t.Helper()
	if got := ids(m); !slices.Equal(got, want) {
		t.Errorf("upstreams %v, want %v", got, want)
	}
}

// Guards against changes that are missed or not passed on.
func TestFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		m := start(t, f)
		expect(t, m, "a")
		f.Put("up/b", "draining")
		f.Put("policy", "xxx")
		f.Put("drain/az", "")
		f.Remove("up/a")
		settle()
		expect(t, m, "b")
		v := m.View()
		if !v.Upstreams("g")[0].Spec().Draining || !v.Drained("az") || v.Policy().Version() != 3 {
			t.Errorf("view %+v", v)
		}
		f.Remove("drain/az")
		settle()
		if m.View().Drained("az") {
			t.Error("the drain did not end")
		}
	})
}

// Guards against one unusable entry that stops the others, and an unusable
// policy that replaces the one in force.
func TestUnusableEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("policy", "xxx")
		m := start(t, f)
		f.Put("up/a", "bad")
		f.Put("up/b", "")
		f.Put("policy", "bad")
		settle()
		expect(t, m, "b")
		if v := m.View().Policy().Version(); v != 3 {
			t.Errorf("policy version %d, want the usable one", v)
		}
	})
}

// Guards against a history that the store dropped, after which changes would be
// missed for good.
func TestDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		f.Put("up/b", "")
		m := start(t, f)
		f.Fail(errAway)
		settle()
		f.Remove("up/a")
		f.Put("up/c", "")
		f.Compact()
		f.Fail(nil)
		time.Sleep(lapseHold + 2*time.Second)
		synctest.Wait()
		expect(t, m, "b", "c")
	})
}

// Guards against living upstreams that lose their requests because the store
// was away and their entries lapsed meanwhile.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		f.Put("up/b", "")
		m := start(t, f)
		f.Fail(errAway)
		time.Sleep(5 * time.Second)
		expect(t, m, "a", "b")
		f.Remove("up/a")
		f.Remove("up/b")
		f.Fail(nil)
		time.Sleep(time.Second)
		synctest.Wait()
		expect(t, m, "a", "b")
		f.Put("up/a", "")
		time.Sleep(lapseHold)
		synctest.Wait()
		expect(t, m, "a")
	})
}

// Guards against an upstream that leaves shortly after an outage and goes on
// getting requests, because each removal started a waiting time of its own.
func TestRemovalsAfterAnOutageEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		f.Put("up/b", "")
		m := start(t, f)
		f.Fail(errAway)
		time.Sleep(5 * time.Second)
		f.Fail(nil)
		time.Sleep(1500 * time.Millisecond)
		f.Remove("up/a")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		expect(t, m, "b")
	})
}

// Guards against a peer's older copy that undoes what is known, and checks that
// a newer one is taken over while the store turns this VM away.
func TestReplaceByAPeersCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		m := start(t, f)
		values, revision := m.Values()
		f.Put("up/b", "")
		settle()
		m.Replace(values, revision, false)
		expect(t, m, "a", "b")
		f.Fail(errAway)
		settle()
		m.Replace([]fgstore.Value{{Key: "up/c", Revision: 9}}, 9, false)
		time.Sleep(lapseHold)
		synctest.Wait()
		if got := ids(m); !slices.Contains(got, "c") {
			t.Errorf("upstreams %v lack the newer one", got)
		}
	})
}

// Guards against a store that is called more often than needed: each call is
// counted and priced.
func TestFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		start(t, f)
		time.Sleep(time.Minute)
		if f.RangeCalls() != 1 {
			t.Errorf("all entries were read %d times, want once", f.RangeCalls())
		}
	})
}

// Guards against calls that grow with fleet and changes together, and against a
// single change that is held up for it.
func TestLargeFleetsGatherChanges(t *testing.T) {
	tests := []struct {
		members int
		most    time.Duration
	}{{7, 150 * time.Millisecond}, {30, 450 * time.Millisecond}, {400, 500 * time.Millisecond}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := fgstandin.NewFeed()
			for i := range tt.members {
				f.Put(fmt.Sprint("member/vm-", i), "")
			}
			m := start(t, f)
			before := f.WatchCalls()
			const lasts, gap = 9 * time.Second, 10 * time.Millisecond
			for range int(lasts / gap) {
				f.Put("up/a", "")
				time.Sleep(gap)
			}
			if got, most := f.WatchCalls()-before, int(lasts/tt.most)+1; got > most {
				t.Errorf("%d members: %d watches in %v of changes, want at most %d", tt.members, got, lasts, most)
			}
			time.Sleep(tt.most)
			synctest.Wait()
			f.Put("up/b", "")
			synctest.Wait()
			expect(t, m, "a", "b")
			time.Sleep(time.Second)
			f.Put("up/c", "")
			f.Put("up/d", "")
			time.Sleep(tt.most)
			synctest.Wait()
			expect(t, m, "a", "b", "c", "d")
		})
	}
}

// Guards against a VM that stays unlisted after its lease ended, or listed after
// it stopped.
func TestAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		m := start(t, f)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Announce(ctx, "member/vm-1", []byte("x")) }()
		listed := func() bool { return len(m.View().Members()) == 1 }
		settle()
		if !listed() {
			t.Fatal("not listed")
		}
		f.ExpireLeases()
		settle()
		if listed() {
			t.Fatal("listed although the lease ended")
		}
		time.Sleep(2 * renewEvery)
		settle()
		if !listed() {
			t.Error("not listed again after the lease ended")
		}
		f.Fail(errAway)
		time.Sleep(2 * renewEvery)
		f.Fail(nil)
		time.Sleep(2 * renewEvery)
		if !listed() {
			t.Error("not listed after an outage")
		}
		cancel()
		<-done
		time.Sleep(lapseHold + time.Second)
		synctest.Wait()
		if listed() {
			t.Error("still listed after the end")
		}
	})
}
