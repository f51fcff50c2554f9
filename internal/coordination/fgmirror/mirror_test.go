package fgmirror

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

var errUnreachable = errors.New("the store is unreachable")

// fakeCodec decodes the keys "up/ID", "member/VM", "drain/ZONE" and "policy". The
// version of a policy is the length of its data; the data "bad" is invalid. The data of an
// upstream may end in "#" and the sequence of its report, and then "@" and when it started,
// that of a member in "#" and its incarnation.
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

func (fakeCodec) DrainedZone(key string) (string, bool) { return strings.CutPrefix(key, "drain/") }

func (fakeCodec) Upstream(key string, data []byte, _ time.Time) (fgsteer.UpstreamSpec, bool, error) {
	id, ok := strings.CutPrefix(key, "up/")
	if ok && string(data) == "bad" {
		return fgsteer.UpstreamSpec{}, true, errors.New("unreadable")
	}
	state, number, _ := strings.Cut(string(data), "#")
	number, start, _ := strings.Cut(number, "@")
	sequence, _ := strconv.ParseUint(number, 10, 64)
	spec := fgsteer.UpstreamSpec{ID: id, Group: "g", Draining: state == "draining", Sequence: sequence}
	if seconds, err := strconv.ParseInt(start, 10, 64); err == nil {
		spec.Started = time.Unix(seconds, 0)
	}
	return spec, ok, nil
}

func (fakeCodec) Member(key string, data []byte) (fgsteer.MemberSpec, bool, error) {
	vm, ok := strings.CutPrefix(key, "member/")
	_, number, _ := strings.Cut(string(data), "#")
	incarnation, _ := strconv.ParseUint(number, 10, 64)
	return fgsteer.MemberSpec{VM: vm, Incarnation: incarnation}, ok, nil
}

// start runs a mirror of a feed until the test ends and waits for its first read.
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

// waitForBatch waits until the mirror has applied all changes.
func waitForBatch() {
	time.Sleep(2 * minBatchWait)
	synctest.Wait()
}

// upstreamIDs returns the ids of the upstreams of group "g" in the view.
func upstreamIDs(m *Mirror) []string {
	var all []string
	for _, u := range m.View().Upstreams("g") {
		all = append(all, u.Spec().ID)
	}
	return all
}

// expectUpstreams checks the ids of the upstreams of group "g" in the view.
func expectUpstreams(t *testing.T, m *Mirror, want ...string) {
	t.Helper()
	if got := upstreamIDs(m); !slices.Equal(got, want) {
		t.Errorf("upstreams %v, want %v", got, want)
	}
}

// Guards against changes of the store that do not reach the view.
func TestMirrorFollowsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		m := start(t, f)
		expectUpstreams(t, m, "a")
		f.Put("up/b", "draining")
		f.Put("policy", "xxx")
		f.Put("drain/az", "")
		f.Remove("up/a")
		waitForBatch()
		expectUpstreams(t, m, "b")
		v := m.View()
		if !v.Upstreams("g")[0].Spec().Draining || !v.Drained("az") || v.Policy().Version() != 3 {
			t.Errorf("view %+v", v)
		}
		f.Remove("drain/az")
		waitForBatch()
		if m.View().Drained("az") {
			t.Error("the zone is still draining after the drain was removed")
		}
	})
}

// Guards against an invalid entry that prevents others from being applied, and
// against an invalid policy that replaces the one in force.
func TestInvalidEntriesIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("policy", "xxx")
		m := start(t, f)
		f.Put("up/a", "bad")
		f.Put("up/b", "")
		f.Put("policy", "bad")
		waitForBatch()
		expectUpstreams(t, m, "b")
		if v := m.View().Policy().Version(); v != 3 {
			t.Errorf("policy version %d, want that of the last valid policy", v)
		}
	})
}

// Guards against changes that are never seen because the store compacted its
// history while it was unreachable.
func TestCompactedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		f.Put("up/b", "")
		m := start(t, f)
		f.Fail(errUnreachable)
		waitForBatch()
		f.Remove("up/a")
		f.Put("up/c", "")
		f.Compact()
		f.Fail(nil)
		time.Sleep(deletionGrace + 2*time.Second)
		synctest.Wait()
		expectUpstreams(t, m, "b", "c")
	})
}

// Guards against live upstreams that get no more requests because their leases
// expired while the store was unreachable.
func TestEntriesDeletedInOutageKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		f.Put("up/b", "")
		m := start(t, f)
		f.Fail(errUnreachable)
		time.Sleep(5 * time.Second)
		expectUpstreams(t, m, "a", "b")
		f.Remove("up/a")
		f.Remove("up/b")
		f.Fail(nil)
		time.Sleep(time.Second)
		synctest.Wait()
		expectUpstreams(t, m, "a", "b")
		f.Put("up/a", "")
		time.Sleep(deletionGrace)
		synctest.Wait()
		expectUpstreams(t, m, "a")
	})
}

// Guards against an upstream that is removed shortly after an outage and still
// gets requests, because each deletion started a grace period of its own.
func TestDeletionsAfterOutageShareGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		f.Put("up/b", "")
		m := start(t, f)
		f.Fail(errUnreachable)
		time.Sleep(5 * time.Second)
		f.Fail(nil)
		time.Sleep(1500 * time.Millisecond)
		f.Remove("up/a")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		expectUpstreams(t, m, "b")
	})
}

// Guards against a peer's older copy that reverts a newer one, and against a
// peer's newer copy that is not applied while the store is unreachable.
func TestReplaceWithPeerCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		m := start(t, f)
		values, revision := m.Values()
		f.Put("up/b", "")
		waitForBatch()
		m.Replace(values, revision, false)
		expectUpstreams(t, m, "a", "b")
		f.Fail(errUnreachable)
		waitForBatch()
		m.Replace([]fgstore.Value{{Key: "up/c", Revision: 9}}, fgstore.Position{Revision: 9}, false)
		time.Sleep(deletionGrace)
		synctest.Wait()
		if got := upstreamIDs(m); !slices.Contains(got, "c") {
			t.Errorf("upstreams %v, want c from the newer copy", got)
		}
	})
}

// maxChangeDelay is the time within which a change must be in force.
const maxChangeDelay = 3 * time.Second

// Guards against changes that are in force late because the response to a watch call
// was lost while its connection stays open.
func TestLostWatchResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		m := start(t, f)
		f.Mute(true)
		f.Put("up/b", "")
		waitForBatch()
		f.Mute(false)
		f.Put("policy", "xxx")
		f.Put("up/b", "draining")
		time.Sleep(maxChangeDelay)
		synctest.Wait()
		expectUpstreams(t, m, "a", "b")
		if v := m.View(); v.Policy() == nil || v.Policy().Version() != 3 || !v.Upstreams("g")[1].Spec().Draining {
			t.Errorf("policy %v, upstreams %v: want version 3 and a draining b", v.Policy(), v.Groups()["g"])
		}
	})
}

// Guards against upstreams that left and still get requests because a call that failed
// after the outage, or this gateway's own failures, counted as an outage of the store in
// which their entries may have expired.
func TestDeletionAfterOwnFailuresIsNotKept(t *testing.T) {
	tests := []struct {
		name string
		// fail removes "up/a" and returns renewInterval later.
		fail func(f *fgstandin.Feed, m *Mirror)
	}{
		{"a watch call without a response", func(f *fgstandin.Feed, m *Mirror) {
			f.Mute(true)
			f.Put("up/b", "")
			waitForBatch()
			f.Mute(false)
			f.Remove("up/a")
			time.Sleep(renewInterval)
			m.RecordSuccess()
		}},
		{"the store turns this gateway away", func(f *fgstandin.Feed, m *Mirror) {
			f.Fail(errUnreachable)
			for range 9 {
				time.Sleep(time.Second)
				m.RecordResponse(time.Now().Add(-200 * time.Millisecond))
			}
			f.Remove("up/a")
			time.Sleep(renewInterval)
			m.RecordResponse(time.Now())
			f.Fail(nil)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				f.Put("up/a", "")
				f.Put("up/b", "")
				m := start(t, f)
				tt.fail(f, m)
				time.Sleep(maxChangeDelay - renewInterval)
				synctest.Wait()
				expectUpstreams(t, m, "b")
			})
		})
	}
}

// Guards against live upstreams that get no more requests after an outage because
// another gateway reached the store first.
func TestOutageEndsForAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		m := start(t, f)
		f.Fail(errUnreachable)
		time.Sleep(2 * time.Second)
		f.Remove("up/a")
		m.RecordResponse(time.Now())
		time.Sleep(500 * time.Millisecond)
		f.Fail(nil)
		time.Sleep(time.Second)
		synctest.Wait()
		expectUpstreams(t, m, "a")
		time.Sleep(deletionGrace)
		synctest.Wait()
		expectUpstreams(t, m)
	})
}

// Guards against a gateway whose metrics show a reachable store while it hears of no
// change, since renewals of its lease succeed.
func TestCopyAgeGrowsWithoutWatchResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		m := start(t, f)
		f.Put("up/a", "")
		synctest.Wait()
		f.Mute(true)
		const muted = 2 * time.Second
		time.Sleep(muted)
		m.RecordSuccess()
		if m.Age() != 0 || m.CopyAge() != muted {
			t.Errorf("the store is known to respond for %v, and the copy to be current for %v; want 0 and %v", m.Age(), m.CopyAge(), muted)
		}
	})
}

// Guards against upstreams that left and get requests again, because a late response to
// a watch call holds changes that a peer's copy already included.
func TestLateChangesAreIgnored(t *testing.T) {
	written := fgstore.Event{Value: fgstore.Value{Key: "up/b", Revision: 5}}
	deleted := fgstore.Event{Value: fgstore.Value{Key: "up/b", Revision: 8}, Deleted: true}
	tests := []struct {
		name   string
		events []fgstore.Event
		// kept means that the deletion of "up/b" is pending when the changes arrive.
		kept bool
	}{
		{"written", []fgstore.Event{written}, false},
		{"written and deleted", []fgstore.Event{written, deleted}, false},
		{"written, with a pending deletion", []fgstore.Event{written}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New(Options{Codec: fakeCodec{}, Logger: logr.Discard()})
				m.Replace([]fgstore.Value{{Key: "up/a", Revision: 2}, written.Value}, fgstore.Position{Revision: 5}, false)
				m.Replace([]fgstore.Value{{Key: "up/a", Revision: 2}}, fgstore.Position{Revision: 10}, tt.kept)
				time.Sleep(deletionGrace / 2)
				m.apply(tt.events, fgstore.Position{Revision: tt.events[len(tt.events)-1].Revision}, true)
				if !tt.kept {
					expectUpstreams(t, m, "a")
				}
				time.Sleep(deletionGrace)
				synctest.Wait()
				expectUpstreams(t, m, "a")
				if m.Revision() != 10 {
					t.Errorf("revision %d, want 10", m.Revision())
				}
			})
		})
	}
}

// Guards against repeated reads of all entries: each call to the store counts
// against its rate limit and is billed.
func TestStoreReadOnce(t *testing.T) {
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

// Guards against a number of calls to the store that grows with the product of
// fleet size and changes, and against a delay of a single change.
func TestBatchWaitGrowsWithFleet(t *testing.T) {
	tests := []struct {
		members int
		maxWait time.Duration
	}{{7, 150 * time.Millisecond}, {30, 450 * time.Millisecond}, {400, 500 * time.Millisecond}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := fgstandin.NewFeed()
			for i := range tt.members {
				f.Put(fmt.Sprint("member/vm-", i), "")
			}
			m := start(t, f)
			before := f.WatchCalls()
			const period, gap = 9 * time.Second, 10 * time.Millisecond
			for range int(period / gap) {
				f.Put("up/a", "")
				time.Sleep(gap)
			}
			if got, maxWatches := f.WatchCalls()-before, int(period/tt.maxWait)+1; got > maxWatches {
				t.Errorf("%d members: %d watches in %v of changes, want at most %d", tt.members, got, period, maxWatches)
			}
			time.Sleep(tt.maxWait)
			synctest.Wait()
			f.Put("up/b", "")
			synctest.Wait()
			expectUpstreams(t, m, "a", "b")
			time.Sleep(time.Second)
			f.Put("up/c", "")
			f.Put("up/d", "")
			time.Sleep(tt.maxWait)
			synctest.Wait()
			expectUpstreams(t, m, "a", "b", "c", "d")
		})
	}
}

// Guards against a VM that is not registered again after its lease expired, or
// that stays registered after it stopped.
func TestAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		m := start(t, f)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Announce(ctx, "member/vm-1", []byte("x")) }()
		registered := func() bool { return len(m.View().Members()) == 1 }
		waitForBatch()
		if !registered() {
			t.Fatal("member not registered")
		}
		f.ExpireLeases()
		waitForBatch()
		if registered() {
			t.Fatal("member still registered after its lease expired")
		}
		time.Sleep(2 * renewInterval)
		waitForBatch()
		if !registered() {
			t.Error("member not registered again after its lease expired")
		}
		f.Fail(errUnreachable)
		time.Sleep(2 * renewInterval)
		f.Fail(nil)
		time.Sleep(2 * renewInterval)
		if !registered() {
			t.Error("member not registered after an outage")
		}
		cancel()
		<-done
		time.Sleep(deletionGrace + time.Second)
		synctest.Wait()
		if registered() {
			t.Error("member still registered after Announce returned")
		}
	})
}

// Guards against a view that is visible before Publish has applied it: a gateway
// that has just started would be ready while its balancer has no upstreams.
func TestViewIsAppliedBeforeItIsVisible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		published := 0
		var m *Mirror
		m = New(Options{Feed: f, Codec: fakeCodec{}, Logger: logr.Discard(), Publish: func(v *fgsteer.View) {
			published++
			if m.View() == v {
				t.Error("the view is visible while it is being applied")
			}
		}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		synctest.Wait()
		f.Put("up/b", "")
		waitForBatch()
		expectUpstreams(t, m, "a", "b")
		if published != 2 {
			t.Errorf("%d views were published, want 2", published)
		}
		cancel()
		<-done
	})
}

// Guards against a warning about the policy that operators do not see, or see again
// with each version.
func TestWarningsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		var lines []string
		m := New(Options{Feed: f, Codec: warningCodec{}, Logger: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		for i := range 3 {
			f.Put("policy", strings.Repeat("x", i+1))
			waitForBatch()
		}
		cancel()
		<-done
		n := 0
		for _, line := range lines {
			if strings.Contains(line, "policy is only partly understood") && strings.Contains(line, "unknown kind") {
				n++
			}
		}
		if n != 1 || m.View().Policy().Version() != 3 {
			t.Errorf("%d lines about the warning in version %d: %q", n, m.View().Policy().Version(), lines)
		}
	})
}

// warningCodec decodes policies with a warning.
type warningCodec struct{ fakeCodec }

func (c warningCodec) Policy(key string, data []byte) (*fgsteer.Policy, bool, error) {
	p, ok, err := c.fakeCodec.Policy(key, data)
	if !ok || err != nil {
		return p, ok, err
	}
	return fgsteer.NewPolicy(fgsteer.PolicySpec{Version: p.Version(), Warnings: []string{"unknown kind"}}), true, nil
}
