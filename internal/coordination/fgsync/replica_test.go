package fgsync

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

const testKey = "config/head"

// document is the state that the tests replicate: the name of each change, in order.
type document []string

// newDocument returns a replica of a document in a store.
func newDocument(p fgstore.Store, observe func(time.Time, CallResult)) *Replica[document] {
	return NewReplica(Options[document]{
		Store: p, Key: testKey, Observe: observe, Logger: logr.Discard(),
		Apply: func(d document, e fgjournal.Entry) (document, error) {
			var text string
			err := json.Unmarshal(e.Payload, &text)
			return append(slices.Clone(d), strings.TrimRight(text, " ")), err
		},
		Dump: func(d document) ([]byte, error) { return json.Marshal(d) },
		Load: func(data []byte) (d document, err error) { return d, json.Unmarshal(data, &d) },
	})
}

// add returns a build function for a change that adds a name, or errTaken if the name
// exists. filler is a number of bytes by which the payload is padded, so that the
// journal is compacted after a few changes.
func add(name string, filler int) func(document) (json.RawMessage, error) {
	return func(d document) (json.RawMessage, error) {
		if slices.Contains(d, name) {
			return nil, errTaken
		}
		return json.Marshal(name + strings.Repeat(" ", filler))
	}
}

var errTaken = errors.New("taken")

// submit appends the change of add and fails the test on an error.
func submit(t testing.TB, r *Replica[document], name string, filler int) {
	t.Helper()
	if _, err := r.Submit(t.Context(), "id-"+name, add(name, filler)); err != nil {
		t.Fatalf("change %s: %v", name, err)
	}
}

// fetch returns a function for Fetch that copies from another replica.
func fetch(from *Replica[document]) func(context.Context, uint64, int) (Copy, error) {
	return func(_ context.Context, generation uint64, part int) (Copy, error) {
		return from.CopySince(generation, part)
	}
}

// Guards against a lost update when two operators change the same resource at the
// same time.
func TestConcurrentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fgstandin.Platform{}
		p.SetFaults(fgstandin.Faults{DelayMillis: 5})
		results := make(chan error, 2)
		for i := range 2 {
			go func() {
				r := newDocument(p, nil)
				_, err := r.Submit(t.Context(), fmt.Sprintf("racer-%d", i), add("frame", 0))
				results <- err
			}()
		}
		first, second := <-results, <-results
		if (first == nil) == (second == nil) || !errors.Is(errors.Join(first, second), errTaken) {
			t.Errorf("results are %v and %v, want one success and one conflict", first, second)
		}
	})
}

// Guards against a change that is appended twice, or is reported as failed although
// it was appended, when responses are lost, reads are stale or writes are delayed.
func TestLostResponses(t *testing.T) {
	tests := []struct {
		name   string
		faults fgstandin.Faults
	}{
		{"response lost", fgstandin.Faults{LoseAnswers: 1}},
		{"response lost, then stale reads", fgstandin.Faults{LoseAnswers: 1, StaleReads: 3}},
		{"write takes effect after the next read", fgstandin.Faults{DelayWrites: 1, DelayWriteMillis: 12, DelayMillis: 5}},
		{"write takes effect after the next write", fgstandin.Faults{DelayWrites: 1, DelayWriteMillis: 500}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fgstandin.Platform{}
				submit(t, newDocument(p, nil), "a", 0)
				p.SetFaults(tt.faults)
				submit(t, newDocument(p, nil), "b", 0)
				time.Sleep(time.Second)
				p.SetFaults(fgstandin.Faults{})
				r := newDocument(p, nil)
				submit(t, r, "c", 0)
				if got := fmt.Sprint(r.State()); got != "[a b c]" {
					t.Errorf("state is %s, want [a b c]", got)
				}
			})
		})
	}
}

// Guards against a repeated change that is refused because of a stale read, although
// the change was appended before.
func TestRepeatedChangeAfterStaleRead(t *testing.T) {
	p := &fgstandin.Platform{}
	first := newDocument(p, nil)
	submit(t, first, "a", 0)
	if _, err := first.Submit(t.Context(), "id-b", func(document) (json.RawMessage, error) { return json.Marshal("b") }); err != nil {
		t.Fatal(err)
	}
	p.SetFaults(fgstandin.Faults{StaleReads: 1})
	g, err := newDocument(p, nil).Submit(t.Context(), "id-b", func(d document) (json.RawMessage, error) {
		return nil, errTaken
	})
	if err != nil || g != 2 {
		t.Errorf("repeated change: generation %d, error %v; want generation 2", g, err)
	}
}

// Guards against an error which says that a change was not appended, although an
// earlier attempt of it may have been.
func TestOutageAfterLostResponse(t *testing.T) {
	p := &fgstandin.Platform{}
	r := newDocument(&failing{Platform: p}, nil)
	if _, err := r.Submit(t.Context(), "id", add("a", 0)); !errors.Is(err, fgstore.ErrUnknown) {
		t.Errorf("error is %v, want ErrUnknown", err)
	}
}

// failing is a platform that loses the response of the first write and is down
// afterwards.
type failing struct{ *fgstandin.Platform }

func (f *failing) CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) (uint64, error) {
	defer f.SetFaults(fgstandin.Faults{Down: true})
	_, _ = f.Platform.CompareAndSwap(ctx, key, expected, data)
	return 0, fgstore.ErrUnknown
}

// Guards against a contact that applies a change too late because watch events are
// delayed.
func TestLateWatchEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fgstandin.Platform{}
		p.SetFaults(fgstandin.Faults{LateWatchMillis: 20_000})
		r := newDocument(p, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		time.Sleep(2500 * time.Millisecond)
		submit(t, newDocument(p, nil), "a", 0)
		time.Sleep(2 * time.Second)
		if r.Generation() != 1 {
			t.Error("the change was not applied within 2 s")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a stale read that is reported as ResultCurrent, or that moves the
// replica back.
func TestStaleReadIsNotCurrent(t *testing.T) {
	p := &fgstandin.Platform{}
	var results []CallResult
	r := newDocument(p, func(_ time.Time, result CallResult) { results = append(results, result) })
	submit(t, r, "a", 0)
	submit(t, r, "b", 0)
	results = nil
	p.SetFaults(fgstandin.Faults{StaleReads: 1})
	for range 2 {
		if err := r.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(results, []CallResult{ResultReachable, ResultCurrent}) || r.Generation() != 2 {
		t.Errorf("results are %v at generation %d", results, r.Generation())
	}
}

// Guards against heads that exceed the platform's size limit, replicas that cannot
// catch up after a compaction, and snapshots that are never removed.
func TestCompactionWhileReplicaLags(t *testing.T) {
	p := &fgstandin.Platform{}
	writer, lagging, peer := newDocument(p, nil), newDocument(p, nil), newDocument(p, nil)
	submit(t, writer, "first", 0)
	if err := errors.Join(lagging.Refresh(t.Context()), peer.Refresh(t.Context())); err != nil {
		t.Fatal(err)
	}
	for i := range 40 {
		submit(t, writer, fmt.Sprint(i), 40<<10)
	}
	v, err := p.Get(t.Context(), testKey)
	if err != nil || len(v.Data) > 2*fgjournal.MaxEntriesBytes {
		t.Errorf("the head has %d bytes, error %v", len(v.Data), err)
	}
	keys, _ := p.Range(t.Context(), "config/snapshot/")
	if len(keys) != 1 {
		t.Errorf("%d snapshots are stored, want 1: %v", len(keys), keys)
	}
	if err := lagging.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	p.SetFaults(fgstandin.Faults{Down: true})
	if err := peer.Fetch(t.Context(), fetch(writer)); err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Replica[document]{lagging, peer} {
		if !slices.Equal(r.State(), writer.State()) {
			t.Errorf("state %v, want %v", r.State(), writer.State())
		}
	}
}

// Guards against accepting a change that is too large to be stored.
func TestChangeTooLarge(t *testing.T) {
	r := newDocument(&fgstandin.Platform{}, nil)
	if _, err := r.Submit(t.Context(), "id", add("a", fgjournal.MaxPayloadBytes)); !errors.Is(err, fgjournal.ErrTooLarge) {
		t.Errorf("error is %v, want ErrTooLarge", err)
	}
	// The JSON encoder escapes "<" as six characters.
	escaped := func(document) (json.RawMessage, error) {
		return json.RawMessage(`"` + strings.Repeat("<", 100<<10) + `"`), nil
	}
	if _, err := r.Submit(t.Context(), "id", escaped); !errors.Is(err, fgjournal.ErrTooLarge) {
		t.Errorf("error is %v, want ErrTooLarge", err)
	}
}

// Guards against replicas that go back to a lower generation, or differ at the same
// generation, when they receive stored values and peers' copies in any order,
// repeatedly or stale.
func TestReplicasNeverGoBack(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Log(name, value)
	}
	rapid.Check(t, func(t *rapid.T) {
		p := &fgstandin.Platform{}
		writer := newDocument(p, nil)
		var values []fgstore.Value
		n := rapid.IntRange(2, 12).Draw(t, "changes")
		for i := range n {
			filler := rapid.SampledFrom([]int{0, 100 << 10}).Draw(t, "filler")
			if _, err := writer.Submit(context.Background(), fmt.Sprint(i), add(fmt.Sprint(i), filler)); err != nil {
				t.Fatal(err)
			}
			v, _ := p.Get(context.Background(), testKey)
			values = append(values, v)
		}
		replicas := []*Replica[document]{newDocument(p, nil), newDocument(p, nil), newDocument(p, nil)}
		states, heads := map[uint64]string{}, map[uint64]string{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := rapid.SampledFrom(replicas).Draw(t, "to")
			before := r.Generation()
			if rapid.Bool().Draw(t, "peer") {
				_ = r.Fetch(context.Background(), fetch(rapid.SampledFrom(replicas).Draw(t, "from")))
			} else {
				// A value whose snapshot has been removed cannot be applied; the
				// replica is unchanged then.
				_ = r.applyValue(context.Background(), rapid.SampledFrom(values).Draw(t, "value"))
			}
			if r.Generation() < before {
				t.Fatalf("generation went from %d to %d", before, r.Generation())
			}
			v := r.current.Load()
			state, head := fmt.Sprint(v.state), fmt.Sprintf("%v %v", v.head.Recent, len(v.state))
			if g := r.Generation(); states[g] == "" {
				states[g], heads[g] = state, head
			} else if states[g] != state || heads[g] != head {
				t.Fatalf("generation %d has state %s, head %s and state %s, head %s", g, states[g], heads[g], state, head)
			}
		}
	})
}
