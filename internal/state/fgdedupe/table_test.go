package fgdedupe

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests. rapid prints it on failure.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

var start = time.Unix(1_800_000_000, 0)

// model is the expected state of one id.
type model struct {
	claim   *Claim
	key     Key
	digest  Digest
	runs    int
	running bool
	// retained means that the last claim was ended by Retain.
	retained bool
}

// Guards against a second run of a request, for any order of requests and their
// ends, while the clock is set forward and back.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Options{MaxEntries: 40, MaxBytes: 2000})
		models := map[string]*model{}
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(-70, 200).Draw(t, "seconds")) * time.Second)
			case 1, 2:
				begin(t, table, models, now)
			default:
				end(t, table, models)
			}
			if table.Len() > 40 || table.Bytes() > 2000 || table.Bytes() < 0 {
				t.Fatalf("%d entries, %d bytes", table.Len(), table.Bytes())
			}
		}
	})
}

// begin begins a request with a random id, sometimes with another digest.
func begin(t *rapid.T, table *Table, models map[string]*model, now time.Time) {
	id := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "id"))
	m := models[id]
	if m == nil {
		window := WindowAt(now) + uint64(rapid.IntRange(0, 2).Draw(t, "window"))
		m = &model{key: NewKey("w"+id[:1], id, window), digest: Digest{id[0]}}
		models[id] = m
	}
	digest := m.digest
	if rapid.IntRange(0, 9).Draw(t, "reuse") == 0 {
		digest[1] = 1
	}
	c, first, err := table.Begin(m.key, digest, now)
	if err != nil {
		return
	}
	if digest != m.digest && !first {
		t.Fatal("a duplicate with another digest was accepted")
	}
	if !first {
		if c != m.claim {
			t.Fatal("a duplicate got the claim of another request")
		}
		return
	}
	if m.running || m.runs > 0 {
		t.Fatalf("id %s counts as a first request after %d runs, running %v", id, m.runs, m.running)
	}
	if m.retained != c.Reclaimed() {
		t.Fatal("Reclaimed does not match whether the id was kept by Retain")
	}
	m.claim, m.running, m.digest = c, true, digest
}

// end ends a running request with a random outcome.
func end(t *rapid.T, table *Table, models map[string]*model) {
	m := models[fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "ended id"))]
	if m == nil || !m.running {
		return
	}
	m.running = false
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		m.runs++
		body := make([]byte, rapid.IntRange(0, 900).Draw(t, "bytes"))
		table.Finish(m.key, m.claim, NewResponse(http.StatusOK, nil, body))
	case 1:
		m.runs++
		table.Finish(m.key, m.claim, Unknown{})
	case 2:
		table.Release(m.key, m.claim, errors.New("shed"))
		m.retained = false
	default:
		table.Retain(m.claim, errors.New("shed"))
		m.retained = true
	}
	<-m.claim.Done()
}

// Guards against windows that are dropped too early, and against ids of a window
// outside the kept range that are treated as new.
func TestKeptWindows(t *testing.T) {
	current := WindowAt(start)
	tests := []struct {
		name   string
		window uint64
		want   error
	}{
		{"current", current, nil},
		{"oldest kept", current - 5, nil},
		{"too old", current - 6, ErrWindow},
		{"one ahead", current + 1, nil},
		{"two ahead", current + 2, ErrWindow},
	}
	for _, tt := range tests {
		table := New(Options{})
		k := NewKey("w", "id", tt.window)
		if _, _, err := table.Begin(k, Digest{}, start); !errors.Is(err, tt.want) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
		}
		if !table.Seen("id", tt.window, start) {
			t.Errorf("%s: Seen is false", tt.name)
		}
	}
}

// Guards against a full table that evicts requests, and against one workspace that
// uses the whole table.
func TestFullTableRefuses(t *testing.T) {
	table := New(Options{MaxEntries: 8})
	window := WindowAt(start)
	for i := range 20 {
		workspace := fmt.Sprint("w", i%5)
		_, _, err := table.Begin(NewKey(workspace, fmt.Sprint(i), window), Digest{}, start)
		if i < 8 && err != nil || i >= 8 && !errors.Is(err, ErrFull) {
			t.Fatalf("entry %d: error %v", i, err)
		}
	}
	if _, first, err := table.Begin(NewKey("w0", "0", window), Digest{}, start); first || err != nil {
		t.Errorf("duplicate in a full table: first %v, error %v", first, err)
	}
	oneWorkspace := New(Options{MaxEntries: 8})
	for i := range 3 {
		_, _, err := oneWorkspace.Begin(NewKey("w", fmt.Sprint(i), window), Digest{}, start)
		if (err != nil) != (i == 2) {
			t.Errorf("entry %d of one workspace: error %v", i, err)
		}
	}
	if _, _, err := oneWorkspace.Begin(NewKey("other", "0", window), Digest{}, start); err != nil {
		t.Errorf("another workspace: %v", err)
	}
}

// Guards against stored responses that exceed MaxBytes, and against accepting
// requests when no more responses can be stored.
func TestResponseBytesBounded(t *testing.T) {
	table := New(Options{MaxBytes: 100})
	window := WindowAt(start)
	tests := []struct {
		bytes  int
		stored bool
		err    error
	}{{60, true, nil}, {60, false, nil}, {40, true, nil}, {0, false, ErrFull}}
	for i, tt := range tests {
		k := NewKey("w", fmt.Sprint(i), window)
		c, _, err := table.Begin(k, Digest{}, start)
		if !errors.Is(err, tt.err) {
			t.Fatalf("entry %d: error %v, want %v", i, err, tt.err)
		}
		if err != nil {
			continue
		}
		table.Finish(k, c, NewResponse(http.StatusOK, nil, make([]byte, tt.bytes)))
		if _, stored := c.Outcome().(Response); stored != tt.stored {
			t.Errorf("entry %d: response stored %v", i, stored)
		}
	}
}
