package fgsuspect

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// mustStart starts a run and fails the test on an error.
func mustStart(t *testing.T, table *Table, upstream string, f Fingerprint) *Run {
	t.Helper()
	r, err := table.Start(upstream, f, true)
	if err != nil {
		t.Fatalf("start at %s: %v", upstream, err)
	}
	return r
}

// Guards against blocking a request because another one crashed their common
// upstream, and against a request that crashes a third upstream.
func TestSuspectIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, crashing, unrelated := &Table{}, Fingerprint{1}, Fingerprint{2}
		for range 2 {
			a, b := mustStart(t, table, "u1", crashing), mustStart(t, table, "u1", unrelated)
			if changes := table.RecordCrash("u1"); len(changes) != 2 {
				t.Fatalf("%d suspects, want 2", len(changes))
			}
			if changes := table.RecordCrash("u1"); len(changes) != 0 {
				t.Fatal("the same crash counted twice")
			}
			a.Finish(false)
			b.Finish(false)
			table.Merge([]State{NewState(unrelated, Clear), NewState(crashing, Clear)})
		}
		table.Merge([]State{NewState(crashing, Suspect), NewState(unrelated, Suspect)})
		isolatedRun := mustStart(t, table, "u2", crashing)
		for _, f := range []Fingerprint{unrelated, {3}} {
			if _, err := table.Start("u2", f, true); !errors.Is(err, ErrBusy) {
				t.Errorf("upstream runs a suspect: error %v, want ErrBusy", err)
			}
		}
		if _, err := table.Start("u3", crashing, true); !errors.Is(err, ErrRunning) {
			t.Errorf("a second run of a suspect: error %v, want ErrRunning", err)
		}
		table.RecordCrash("u2")
		isolatedRun.Finish(false)
		table.Merge([]State{NewState(crashing, Clear)})
		if _, err := table.Start("u3", crashing, true); !errors.Is(err, ErrBlocked) {
			t.Errorf("after the second crash: error %v, want ErrBlocked", err)
		}
		changes := mustStart(t, table, "u3", unrelated).Finish(true)
		if len(changes) != 1 || table.Status(unrelated) != Clear {
			t.Error("a response did not clear the suspect")
		}
		time.Sleep(EntryLifetime)
		if table.Status(crashing) != Clear {
			t.Error("the request is still blocked after EntryLifetime")
		}
	})
}

// Guards against a suspect that runs together with other requests.
func TestSuspectWaitsForIdleUpstream(t *testing.T) {
	var table Table
	table.Merge([]State{NewState(Fingerprint{1}, Suspect)})
	other := mustStart(t, &table, "u1", Fingerprint{2})
	if _, err := table.Start("u1", Fingerprint{1}, true); !errors.Is(err, ErrBusy) {
		t.Errorf("error %v, want ErrBusy", err)
	}
	// The upstream is reserved for the suspect, since it might otherwise never be idle.
	if _, err := table.Start("u1", Fingerprint{3}, true); !errors.Is(err, ErrBusy) {
		t.Errorf("another request: error %v, want ErrBusy", err)
	}
	mustStart(t, &table, "u2", Fingerprint{3})
	other.Finish(true)
	mustStart(t, &table, "u1", Fingerprint{1})
}

// Guards against a request that runs isolated although it was placed before it became a
// suspect: only one VM keeps suspects apart.
func TestRequestPlacedBeforeSuspicionDoesNotRun(t *testing.T) {
	var table Table
	table.Merge([]State{NewState(Fingerprint{1}, Suspect)})
	if _, err := table.Start("u1", Fingerprint{1}, false); !errors.Is(err, ErrBusy) {
		t.Errorf("error %v, want ErrBusy", err)
	}
	mustStart(t, &table, "u1", Fingerprint{2}).Finish(true)
	mustStart(t, &table, "u1", Fingerprint{1})
}

// Guards against a table that grows without bound.
func TestTableIsBounded(t *testing.T) {
	var table Table
	for i := range 2 * maxEntries {
		table.Merge([]State{NewState(Fingerprint{byte(i), byte(i >> 8)}, Suspect)})
	}
	if len(table.entries) != maxEntries {
		t.Errorf("%d entries, want %d", len(table.entries), maxEntries)
	}
}
