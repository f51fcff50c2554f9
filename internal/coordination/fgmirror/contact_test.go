package fgmirror

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	// followWait is how long the fake contact waits for a change, and followTimeout
	// after which a call to it fails.
	followWait    = time.Second
	followTimeout = 1500 * time.Millisecond
	// applyBound is the time within which a change must be in force.
	applyBound = 4 * time.Second
)

// fakeContact is a contact that serves the copy of another mirror.
type fakeContact struct {
	mirror atomic.Pointer[Mirror]
	frozen atomic.Bool
	failed atomic.Int64
}

func newFakeContact(m *Mirror) *fakeContact {
	c := &fakeContact{}
	c.mirror.Store(m)
	return c
}

func (c *fakeContact) Changes(ctx context.Context, after fgstore.Position) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	if c.frozen.Load() {
		<-ctx.Done()
		return Changes{}, ctx.Err()
	}
	return c.mirror.Load().ChangesAfter(ctx, after, followWait), nil
}

func (c *fakeContact) Failed(string) { c.failed.Add(1) }

// startFollower runs a mirror that follows a contact until it fails, and then the
// store. Like a gateway's, its lease is renewed all the while.
func startFollower(t *testing.T, f *fgstandin.Feed, c *fakeContact) *Mirror {
	t.Helper()
	m := New(Options{Feed: f, Codec: fakeCodec{}, Logger: logr.Discard(), Contact: func() Contact {
		if c.failed.Load() > 0 {
			return nil
		}
		return c
	}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- m.Run(ctx) }()
	go func() {
		for fgtimer.Wait(ctx, renewInterval) == nil {
			m.RecordSuccess()
		}
		done <- ctx.Err()
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	synctest.Wait()
	return m
}

// Guards against followers that miss changes, call the store, or learn of a change
// long after their contact.
func TestFollowerAppliesChangesOfContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		c := newFakeContact(start(t, f))
		m := startFollower(t, f, c)
		rangeCalls, watchCalls := f.RangeCalls(), f.WatchCalls()
		f.Put("up/b", "")
		f.Put("policy", "xxx")
		f.Remove("up/a")
		waitForBatch()
		expectUpstreams(t, m, "b")
		if v := m.View(); v.Policy().Version() != 3 || m.Revision() != c.mirror.Load().Revision() {
			t.Errorf("version %d, revision %d of %d", v.Policy().Version(), m.Revision(), c.mirror.Load().Revision())
		}
		// Of these calls, all are the contact's.
		rangeAfter, watchAfter := f.RangeCalls(), f.WatchCalls()
		if rangeAfter != rangeCalls || watchAfter-watchCalls > 3 {
			t.Errorf("%d reads and %d watches of the store", rangeAfter-rangeCalls, watchAfter-watchCalls)
		}
		// A follower that lags behind the contact's history gets a whole copy.
		for i := range maxHistoryEvents + 10 {
			f.Put("up/c", strings.Repeat("x", i%3))
		}
		f.Remove("up/b")
		waitForBatch()
		time.Sleep(time.Second)
		synctest.Wait()
		expectUpstreams(t, m, "c")
		if c.failed.Load() != 0 {
			t.Error("the contact was left")
		}
	})
}

// Guards against changes that are not in force in time because a contact is frozen,
// has lost the store, serves an older copy or follows another gateway itself.
func TestFollowerLeavesContact(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(t *testing.T, f *fgstandin.Feed, c *fakeContact)
	}{
		{"frozen", func(_ *testing.T, _ *fgstandin.Feed, c *fakeContact) { c.frozen.Store(true) }},
		{"cut off from the store", func(_ *testing.T, _ *fgstandin.Feed, c *fakeContact) {
			c.mirror.Load().RecordFailure(errors.New("the store refuses this gateway"))
		}},
		{"follows another gateway", func(_ *testing.T, _ *fgstandin.Feed, c *fakeContact) { c.mirror.Load().setDirect(false) }},
		{"has read nothing", func(_ *testing.T, _ *fgstandin.Feed, c *fakeContact) {
			c.mirror.Store(New(Options{Codec: fakeCodec{}, Logger: logr.Discard()}))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				f.Put("up/a", "")
				// The contact's mirror is not run after its first read, so that it
				// knows no later change.
				contact := New(Options{Feed: f, Codec: fakeCodec{}, Logger: logr.Discard()})
				loaded := false
				if err := contact.step(t.Context(), &loaded); err != nil {
					t.Fatal(err)
				}
				c := newFakeContact(contact)
				m := startFollower(t, f, c)
				expectUpstreams(t, m, "a")
				tt.spoil(t, f, c)
				f.Put("up/b", "")
				f.Remove("up/a")
				time.Sleep(applyBound)
				synctest.Wait()
				expectUpstreams(t, m, "b")
				if c.failed.Load() == 0 {
					t.Error("the contact was not left")
				}
			})
		})
	}
}

// Guards against a follower that goes back to an older revision when it gets a contact
// whose copy is older.
func TestFollowerNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("policy", "x")
		old := New(Options{Feed: f, Codec: fakeCodec{}, Logger: logr.Discard()})
		loaded := false
		if err := old.step(t.Context(), &loaded); err != nil {
			t.Fatal(err)
		}
		f.Put("policy", "xxx")
		c := newFakeContact(old)
		m := startFollower(t, f, c)
		version := m.View().Policy().Version()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if got := m.View().Policy().Version(); version != 3 || got != 3 {
			t.Errorf("version %d, then %d, want 3", version, got)
		}
	})
}

// Guards against followers that drop upstreams whose entries expired in an outage of
// the store, although their owners register again after it: the followers have not
// seen the outage themselves.
func TestFollowerKeepsEntriesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "")
		c := newFakeContact(start(t, f))
		m := startFollower(t, f, c)
		contact := c.mirror.Load()
		contact.mu.Lock()
		contact.lastResponse = time.Now().Add(-minOutage)
		contact.mu.Unlock()
		contact.RecordSuccess()
		f.Remove("up/a")
		waitForBatch()
		expectUpstreams(t, m, "a")
		f.Put("up/a", "")
		time.Sleep(2 * deletionGrace)
		synctest.Wait()
		expectUpstreams(t, m, "a")
		f.Remove("up/a")
		waitForBatch()
		expectUpstreams(t, m)
	})
}

// Guards against zones without a contact, contacts that differ between gateways, and
// contacts that are not usable.
func TestContacts(t *testing.T) {
	zone := func(n int) []fgsteer.MemberSpec {
		var all []fgsteer.MemberSpec
		for i := range n {
			all = append(all, fgsteer.MemberSpec{VM: fmt.Sprintf("vm-%d", i), AvailabilityZone: "a"}, fgsteer.MemberSpec{VM: fmt.Sprintf("other-%d", i), AvailabilityZone: "b"})
		}
		return all
	}
	names := func(all []fgsteer.MemberSpec) []string {
		var out []string
		for _, m := range all {
			out = append(out, m.VM)
		}
		return out
	}
	every := func(string) bool { return true }
	all := names(Contacts(zone(13), "a", every))
	if len(all) != contactsPerZone {
		t.Fatalf("contacts %v, want %d", all, contactsPerZone)
	}
	reversed := zone(13)
	slices.Reverse(reversed)
	tests := []struct {
		name   string
		got    []string
		want   int
		unlike string
	}{
		{"a small zone", names(Contacts(zone(maxDirectMembers), "a", every)), 0, ""},
		{"another order of members", names(Contacts(reversed, "a", every)), contactsPerZone, ""},
		{"one is not usable", names(Contacts(zone(13), "a", func(vm string) bool { return vm != all[0] })), contactsPerZone, all[0]},
		{"none is usable", names(Contacts(zone(13), "a", func(string) bool { return false })), 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if len(tt.got) != tt.want || tt.unlike != "" && slices.Contains(tt.got, tt.unlike) {
				t.Errorf("contacts %v, want %d without %q", tt.got, tt.want, tt.unlike)
			}
			for _, vm := range tt.got {
				if strings.HasPrefix(vm, "other") {
					t.Errorf("%s is in another zone", vm)
				}
			}
			if tt.name == "another order of members" && !slices.Equal(tt.got, all) {
				t.Errorf("contacts %v, want %v", tt.got, all)
			}
		})
	}
}
