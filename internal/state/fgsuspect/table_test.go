package fgsuspect

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func mustEnter(t *testing.T, table *Table, upstream string, f Fingerprint) *Run {
	t.Helper()
	r, err := table.Enter(upstream, f)
	if err != nil {
		t.Fatalf("enter %s: %v", upstream, err)
	}
	return r
}

// Guards against an innocent request that is convicted for the crash beside
// it, and against a third crash by the same request.
func TestConviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, bad, innocent := &Table{}, Fingerprint{1}, Fingerprint{2}
		for range 2 {
			a, b := mustEnter(t, table, "u1", bad), mustEnter(t, table, "u1", innocent)
			if news := table.Crash("u1"); len(news) != 2 {
				t.Fatalf("%d suspects, want 2", len(news))
			}
			if news := table.Crash("u1"); len(news) != 0 {
				t.Fatal("the same crash counted twice")
			}
			a.Leave(false)
			b.Leave(false)
			table.Merge([]State{NewState(innocent, Clear), NewState(bad, Clear)})
		}
		table.Merge([]State{NewState(bad, Suspect), NewState(innocent, Suspect)})
		alone := mustEnter(t, table, "u2", bad)
		for _, f := range []Fingerprint{innocent, {3}} {
			if _, err := table.Enter("u2", f); !errors.Is(err, ErrBusy) {
				t.Errorf("beside a suspect: error %v, want ErrBusy", err)
			}
		}
		if _, err := table.Enter("u3", bad); !errors.Is(err, ErrRunning) {
			t.Errorf("a second run of a suspect: error %v, want ErrRunning", err)
		}
		table.Crash("u2")
		alone.Leave(false)
		table.Merge([]State{NewState(bad, Clear)})
		if _, err := table.Enter("u3", bad); !errors.Is(err, ErrConvicted) {
			t.Errorf("after the second crash: error %v, want ErrConvicted", err)
		}
		news := mustEnter(t, table, "u3", innocent).Leave(true)
		if len(news) != 1 || table.Status(innocent) != Clear {
			t.Error("a success did not clear the suspect")
		}
		time.Sleep(Lifetime)
		if table.Status(bad) != Clear {
			t.Error("the conviction did not expire")
		}
	})
}

// Guards against a suspect that is sent beside requests in flight.
func TestSuspectNeedsEmptyUpstream(t *testing.T) {
	var table Table
	table.Merge([]State{NewState(Fingerprint{1}, Suspect)})
	other := mustEnter(t, &table, "u1", Fingerprint{2})
	if _, err := table.Enter("u1", Fingerprint{1}); !errors.Is(err, ErrBusy) {
		t.Errorf("error %v, want ErrBusy", err)
	}
	// The upstream is kept for the suspect, which otherwise never finds it empty.
	if _, err := table.Enter("u1", Fingerprint{3}); !errors.Is(err, ErrBusy) {
		t.Errorf("another request: error %v, want ErrBusy", err)
	}
	mustEnter(t, &table, "u2", Fingerprint{3})
	other.Leave(true)
	mustEnter(t, &table, "u1", Fingerprint{1})
}

// Guards against a table that grows without bound.
func TestBound(t *testing.T) {
	var table Table
	for i := range 2 * maxEntries {
		table.Merge([]State{NewState(Fingerprint{byte(i), byte(i >> 8)}, Suspect)})
	}
	if len(table.entries) != maxEntries {
		t.Errorf("%d entries, want %d", len(table.entries), maxEntries)
	}
}
