package fgmirror

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// returnBound is the time after which an upstream whose entry stands in a restored store
// must get requests.
const returnBound = 8 * time.Second

// restoreStore restores the store after an outage, in which it loses the changes that
// lose makes.
func restoreStore(f *fgstandin.Feed, lose func()) {
	backup := f.Backup()
	lose()
	waitForBatch()
	f.Fail(errUnreachable)
	time.Sleep(2 * time.Second)
	f.Restore(backup)
	f.Fail(nil)
}

// Guards against gateways that ignore all changes after the store was restored from an
// older copy, until its revision exceeds theirs, and read all entries without a pause.
func TestChangesAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		// lost is the number of changes that the restored store lacks.
		lost int
	}{
		{"fewer changes than before", 9},
		{"as many changes as before", 2},
		{"more changes than before", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				f.Put("up/a", "#1")
				m := start(t, f)
				restoreStore(f, func() {
					for i := range tt.lost {
						f.Put("policy", "xxxxxxxxx"[:i+1])
					}
				})
				reads := f.RangeCalls()
				f.Put("policy", "xxxxxxxxxx")
				f.Put("up/b", "#1")
				time.Sleep(maxChangeDelay)
				synctest.Wait()
				expectUpstreams(t, m, "a", "b")
				if v := m.View().Policy().Version(); v != 10 {
					t.Errorf("policy version %d, want 10", v)
				}
				if got := f.RangeCalls() - reads; got > 1 {
					t.Errorf("all entries were read %d times after the restore", got)
				}
			})
		})
	}
}

// Guards against gateways that go back with a restored store: to an older policy, to
// upstreams that have left or are leaving, and to zones that were drained or are no more.
func TestRestoreDoesNotUndoChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("policy", "xxx")
		f.Put("up/left", "#1")
		f.Put("up/leaving", "#1")
		f.Put("up/stays", "#1")
		f.Put("drain/ended", "")
		m := start(t, f)
		restoreStore(f, func() {
			f.Put("policy", "xxxxx")
			f.Remove("up/left")
			f.Put("up/leaving", "draining#2")
			f.Put("up/new", "#1")
			f.Put("drain/begun", "")
			f.Remove("drain/ended")
		})
		check := func(drained bool, upstreams ...string) {
			t.Helper()
			synctest.Wait()
			v := m.View()
			if got := v.Policy().Version(); got != 5 {
				t.Errorf("policy version %d, want 5", got)
			}
			if !v.Upstreams("g")[0].Spec().Draining {
				t.Error("an upstream that leaves is ready again")
			}
			if v.Drained("begun") != drained || v.Drained("ended") {
				t.Errorf("drained zones: begun %v, ended %v; want %v and none", v.Drained("begun"), v.Drained("ended"), drained)
			}
			expectUpstreams(t, m, upstreams...)
		}
		time.Sleep(time.Second)
		check(true, "leaving", "new", "stays")
		// The operator and the upstreams write again what was lost.
		f.Put("policy", "xxxxx")
		f.Put("up/leaving", "draining#3")
		f.Put("up/new", "#2")
		f.Put("drain/begun", "")
		f.Remove("drain/ended")
		f.Remove("up/left")
		time.Sleep(returnBound)
		check(true, "leaving", "new", "stays")
		f.Remove("drain/begun")
		f.Remove("up/new")
		waitForBatch()
		check(false, "leaving", "stays")
	})
}

// Guards against entries that stay, or stay away, because the store was restored, although
// their owners have had the time to write them again.
func TestRestoredEntriesAfterGrace(t *testing.T) {
	tests := []struct {
		name string
		// lose changes what the restored store then lacks, write what follows it.
		lose, write func(f *fgstandin.Feed)
		want        []string
	}{
		{"ended while the store was away", func(f *fgstandin.Feed) { f.Put("up/b", "#1") }, func(*fgstandin.Feed) {}, []string{"a"}},
		{"registers again at once", func(f *fgstandin.Feed) { f.Remove("up/a") }, func(f *fgstandin.Feed) { f.Put("up/a", "#2") }, []string{"a"}},
		{"registered again before the restore", func(f *fgstandin.Feed) {
			f.Remove("up/a")
			waitForBatch()
			f.Put("up/a", "#2")
		}, func(*fgstandin.Feed) {}, []string{"a"}},
		{"runs, but its entry was deleted by mistake", func(f *fgstandin.Feed) { f.Remove("up/a") }, func(*fgstandin.Feed) {}, []string{"a"}},
		{"registers with another number", func(f *fgstandin.Feed) { f.Put("up/a", "#5") }, func(f *fgstandin.Feed) { f.Put("up/a", "draining#1") }, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fgstandin.NewFeed()
				f.Put("up/a", "#1")
				m := start(t, f)
				restoreStore(f, func() { tt.lose(f) })
				time.Sleep(time.Second)
				tt.write(f)
				time.Sleep(returnBound)
				synctest.Wait()
				expectUpstreams(t, m, tt.want...)
			})
		})
	}
}

// Guards against a gateway that is no longer registered after the store was restored, or
// that renews or ends the lease of another one, which has got the ID of its own.
func TestLeaseOfEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		m := start(t, f)
		backup := f.Backup()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Announce(ctx, "member/vm-1", []byte("x")) }()
		waitForBatch()
		f.Restore(backup)
		other, err := f.Grant(t.Context(), memberLeaseTTL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.PutLeased(t.Context(), "member/vm-2", 0, nil, other); err != nil {
			t.Fatal(err)
		}
		registered := func() []string {
			var vms []string
			for _, v := range m.View().Members() {
				vms = append(vms, v.VM)
			}
			return vms
		}
		time.Sleep(maxChangeDelay)
		synctest.Wait()
		if got := registered(); !slices.Equal(got, []string{"vm-1", "vm-2"}) {
			t.Errorf("registered %v, want vm-1 and vm-2", got)
		}
		cancel()
		<-done
		time.Sleep(maxChangeDelay)
		synctest.Wait()
		if got := registered(); !slices.Equal(got, []string{"vm-2"}) {
			t.Errorf("registered %v, want vm-2", got)
		}
	})
}

// Guards against a follower that keeps the copy of an earlier era, or goes back to it with
// a contact that does not know of the restore yet.
func TestFollowerAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fgstandin.NewFeed()
		f.Put("up/a", "#1")
		contact := start(t, f)
		c := newFakeContact(contact)
		m := startFollower(t, f, c)
		behind := New(Options{Feed: f, Codec: fakeCodec{}, Logger: logr.Discard()})
		restoreStore(f, func() {
			f.Put("policy", "xxxxx")
			f.Put("up/a", "draining#2")
			loaded := false
			if err := behind.step(t.Context(), &loaded); err != nil {
				t.Fatal(err)
			}
		})
		f.Put("up/b", "#1")
		time.Sleep(maxChangeDelay)
		synctest.Wait()
		expectUpstreams(t, m, "a", "b")
		if m.Position() != contact.Position() || !m.View().Upstreams("g")[0].Spec().Draining {
			t.Errorf("position %v of %v, upstream %+v", m.Position(), contact.Position(), m.View().Upstreams("g")[0].Spec())
		}
		before := m.Position()
		c.mirror.Store(behind)
		time.Sleep(maxChangeDelay)
		synctest.Wait()
		expectUpstreams(t, m, "a", "b")
		if m.Position().Before(before) {
			t.Errorf("position %v after %v", m.Position(), before)
		}
	})
}

// Guards against a late response of the era before that brings back its entries.
func TestChangesOfEarlierEraAreIgnored(t *testing.T) {
	m := New(Options{Codec: fakeCodec{}, Logger: logr.Discard()})
	m.Replace([]fgstore.Value{{Key: "up/a", Revision: 2}}, fgstore.Position{Era: 2, Revision: 5}, false)
	m.apply([]fgstore.Event{{Value: fgstore.Value{Key: "up/b", Revision: 8}}}, fgstore.Position{Era: 1, Revision: 8}, false)
	m.Replace([]fgstore.Value{{Key: "up/c", Revision: 8}}, fgstore.Position{Era: 1, Revision: 9}, false)
	m.advance(fgstore.Position{Era: 1, Revision: 9})
	expectUpstreams(t, m, "a")
	if want := (fgstore.Position{Era: 2, Revision: 5}); m.Position() != want {
		t.Errorf("position %v, want %v", m.Position(), want)
	}
}
