package fgentry

import (
	"context"
	"fmt"
	"testing"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/state/fgdedupe"
)

// Guards against a second run when the process that owns an id dies while its
// request is running, and against a wrong not-run outcome.
func TestOwnerDies(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.upstreams[0].SetBehavior(fgstandin.Behavior{Silent: true})
	defer f.upstreams[0].SetBehavior(fgstandin.Behavior{})
	id := f.id(0, "order-1")
	first := make(chan response, 1)
	// The first attempt is sent through the other VM, so that its connection
	// breaks when the owner dies.
	go func() { first <- f.send(t.Context(), 1, "POST", "/orders/1", id, "kit") }()
	if err := f.upstreams[0].AwaitRequests(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	f.ports[0].kill()
	for i, res := range []response{<-first, f.send(t.Context(), 1, "POST", "/orders/1", id, "kit")} {
		if res.status != 503 || res.outcome != "unknown" {
			t.Errorf("attempt %d: %v, want 503 unknown", i, res)
		}
	}
	if n := f.upstreams[0].CountRuns(id); n != 1 {
		t.Errorf("the request ran %d times", n)
	}
}

// Guards against a second run of a duplicate that arrives through any VM,
// during the first attempt or later, and against a duplicate that does not get
// the response of the first attempt.
func TestDuplicates(t *testing.T) {
	f := newFleet(t, 2, 2)
	for _, unprefixed := range []bool{false, true} {
		for i := range 3 {
			path := fmt.Sprintf("/orders/%v-%d", unprefixed, i)
			id := f.id(0, fmt.Sprint(i))
			if unprefixed {
				id = fmt.Sprint("my own key ", i)
			}
			responses := make(chan response, 8)
			for n := range 8 {
				go func() { responses <- f.send(t.Context(), n%2, "POST", path, id, "kit") }()
			}
			for range 8 {
				if res := <-responses; res.status != 200 || res.body != "POST "+path+" workspace=office\n" {
					t.Errorf("%s: %v %q", path, res, res.body)
				}
			}
			if n := f.countRuns(path); n != 1 {
				t.Errorf("%s ran %d times", path, n)
			}
			if res := f.send(t.Context(), 1, "POST", path, id, "other"); res.status != 422 || res.code != "id-reused" {
				t.Errorf("%s with another body: %v", path, res)
			}
		}
	}
}

// Guards against a run that is cancelled when its caller disconnects, and
// against losing its outcome.
func TestCallerDisconnects(t *testing.T) {
	// The response is larger than what the socket buffers of a closed
	// connection accept, and small enough to be stored.
	const responseBytes = 60_000
	f := newFleet(t, 2, 1)
	for i := range 2 {
		f.upstreams[0].SetBehavior(fgstandin.Behavior{Silent: true, AnswerBytes: responseBytes})
		path, id := fmt.Sprintf("/orders/%d", i), f.id(0, fmt.Sprint("left-", i))
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan response, 1)
		go func() { first <- f.send(ctx, i, "POST", path, id, "kit") }()
		if err := f.upstreams[0].AwaitRequests(t.Context(), i+1); err != nil {
			t.Fatal(err)
		}
		cancel()
		if res := <-first; res.err == nil {
			t.Fatalf("the cancelled attempt got %v", res)
		}
		f.upstreams[0].SetBehavior(fgstandin.Behavior{AnswerBytes: responseBytes})
		if res := f.send(t.Context(), 1, "POST", path, id, "kit"); res.status != 200 || len(res.body) < responseBytes {
			t.Errorf("duplicate: %v, %d bytes; want the first attempt's response", res, len(res.body))
		}
		if n := f.upstreams[0].CountRuns(id); n != 1 {
			t.Errorf("the request ran %d times", n)
		}
	}
}

// Guards against a refusal that makes its id unusable, and against the outcome
// not-run after an attempt that may have run.
func TestRefusals(t *testing.T) {
	f := newFleet(t, 2, 1)
	setBehavior := f.upstreams[0].SetBehavior
	for i, id := range []string{f.id(0, "shed"), "an unprefixed key"} {
		path := fmt.Sprintf("/orders/shed-%d", i)
		for vm := range 2 {
			setBehavior(fgstandin.Behavior{Draining: true})
			if res := f.send(t.Context(), vm, "POST", path, id, "kit"); res.status != 503 || res.outcome != "not-run" {
				t.Errorf("%s through VM %d, shed: %v, want 503 not-run", path, vm, res)
			}
		}
		setBehavior(fgstandin.Behavior{})
		if res := f.sendUntilServed(t, 0, "POST", path, id, "kit"); res.status != 200 {
			t.Errorf("%s after the refusal: %v", path, res)
		}
		if n := f.countRuns(path); n != 1 {
			t.Errorf("%s ran %d times", path, n)
		}
	}
	setBehavior(fgstandin.Behavior{AnswerBytes: fgdedupe.MaxResponseBytes})
	long := f.id(1, "long")
	if res := f.send(t.Context(), 0, "POST", "/orders/long", long, ""); res.status != 200 || len(res.body) <= fgdedupe.MaxResponseBytes {
		t.Errorf("long response: %v, %d bytes", res, len(res.body))
	}
	if res := f.send(t.Context(), 0, "POST", "/orders/long", long, ""); res.code != "already-ran" || res.outcome != "ran" {
		t.Errorf("duplicate after a long response: %v, want already-ran", res)
	}
	old := fgrequest.Prefix(f.entries[0].incarnation, 1) + "-x"
	unknownOwner := fgrequest.Prefix(fgrequest.NewIncarnation(), 1) + "-x"
	for _, id := range []string{old, unknownOwner} {
		if res := f.send(t.Context(), 0, "POST", "/orders/x", id, ""); res.outcome != "unknown" {
			t.Errorf("id %s: %v, want unknown", id, res)
		}
	}
}

// Guards against the outcome not-run for a request that ran, when a duplicate
// is refused before the deduplication table is checked.
func TestRefusedDuplicateIsNotReportedAsNotRun(t *testing.T) {
	f := newFleet(t, 2, 1)
	id := f.id(0, "ran")
	if res := f.send(t.Context(), 0, "POST", "/orders/1", id, ""); res.status != 200 {
		t.Fatal(res)
	}
	f.key = fgkey.New()
	tests := []struct {
		vm      int
		id      string
		outcome string
	}{
		{0, id, "unknown"},
		{1, id, "unknown"},
		{0, f.id(0, "never-seen"), "not-run"},
		{0, f.id(1, "seen"), "unknown"},
		{0, "foreign", "unknown"},
		{0, "", "not-run"},
	}
	for _, tt := range tests {
		if res := f.send(t.Context(), tt.vm, "POST", "/orders/1", tt.id, ""); res.code != "key-invalid" || res.outcome != tt.outcome {
			t.Errorf("id %q through VM %d: %v, want %s", tt.id, tt.vm, res, tt.outcome)
		}
	}
}

// Guards against an unprefixed Idempotency-Key that runs on two VMs after the
// response to the write of its record was lost, and against a run without a
// record.
func TestUnprefixedKeys(t *testing.T) {
	f := newFleet(t, 2, 1)
	tests := []struct {
		name    string
		faults  fgstandin.Faults
		status  int
		outcome string
	}{
		{"lost response", fgstandin.Faults{LoseAnswers: 1}, 200, ""},
		{"platform down", fgstandin.Faults{Down: true}, 503, "unknown"},
		{"well", fgstandin.Faults{}, 200, ""},
	}
	for _, tt := range tests {
		f.platform.SetFaults(tt.faults)
		path := "/orders/" + tt.name[:4]
		res := f.send(t.Context(), 0, "POST", path, tt.name, "kit")
		if res.status != tt.status || res.outcome != tt.outcome {
			t.Errorf("%s: %v, want %d %s", tt.name, res, tt.status, tt.outcome)
		}
		f.platform.SetFaults(fgstandin.Faults{})
		if res := f.send(t.Context(), 1, "POST", path, tt.name, "kit"); res.status != 200 {
			t.Errorf("%s, duplicate through another VM: %v", tt.name, res)
		}
		if n := f.countRuns(path); n != 1 {
			t.Errorf("%s: ran %d times", tt.name, n)
		}
	}
}

// Guards against more record writes than the fleet's budget allows.
func TestRecordWriteBudget(t *testing.T) {
	var b writeBudget
	taken := 0
	for range 1000 {
		if b.take(14) {
			taken++
		}
	}
	if taken < 14 || taken > 15 {
		t.Errorf("%d writes at once, want 14", taken)
	}
}
