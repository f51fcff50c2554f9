package fgentry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// startLimits runs those tasks of one entry that limits need, without a
// network.
func startLimits(t *testing.T, resources ...fgapi.Resource) (*Entry, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	settings := Settings{raw: RawSettings{VM: "vm1", Region: "west", CallerAdvertise: "127.0.0.1:1", PeerAdvertise: "127.0.0.1:2"}}
	platform := &fgstandin.Platform{}
	e := New(settings, platform, platform, logr.Discard())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		func(ctx context.Context) { _ = e.config.Run(ctx) }, func(ctx context.Context) { _ = e.members.Run(ctx) }, e.exchangeLoop, e.runLimits,
	} {
		wg.Go(func() { run(ctx) })
	}
	if _, err := e.members.Submit(ctx, "register", fgmember.BuildRegister(e.self())); err != nil {
		t.Fatal(err)
	}
	build := func(*fgconfig.Snapshot) (json.RawMessage, error) {
		return json.Marshal(fgconfig.Change{Put: resources})
	}
	if _, err := e.config.Submit(ctx, "declare", build); err != nil {
		t.Fatal(err)
	}
	return e, func() { cancel(); wg.Wait(); _ = e.dialer.Close() }
}

// Guards against a wrong refusal code, a missing Retry-After and a slow first
// allocation of a share.
func TestWorkspaceAboveRateIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, end := startLimits(t, resource("w", &fgapi.WorkspaceSpec{RequestsPerSecond: 10, Burst: 5}))
		defer end()
		time.Sleep(time.Second)
		admitted := 0
		var err error
		for err == nil && admitted <= 5 {
			if err = e.admitWorkspace(t.Context(), &call{workspace: "w"}); err == nil {
				admitted++
			}
		}
		var p *fgproblem.Problem
		if admitted != 5 || !errors.As(err, &p) || p.Code() != fgproblem.CodeRateExceeded || p.Status() != 429 {
			t.Errorf("admitted %d, then %v; want 5, then rate-exceeded", admitted, err)
		}
		if err := e.admitWorkspace(t.Context(), &call{}); err != nil {
			t.Errorf("an open route was refused: %v", err)
		}
	})
}

// Guards against bodies that exceed a regional cap, and against lost bytes.
func TestPaceKeepsCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := &fgapi.RegionalCapSpec{From: "west", To: "east", RequestsPerSecond: 10, BitsPerSecond: 800_000}
		e, end := startLimits(t, resource("c", spec))
		defer end()
		time.Sleep(time.Second)
		body := bytes.Repeat([]byte("0123456789"), 50_000)
		start := time.Now()
		got, err := io.ReadAll(e.pace(t.Context(), "west", "east", bytes.NewReader(body)))
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("read %d of %d bytes: %v", len(got), len(body), err)
		}
		// 4 Mbit, less the burst of 80 kbit, at 800 kbit/s.
		if took := time.Since(start); took < 4900*time.Millisecond || took > 5500*time.Millisecond {
			t.Errorf("the body took %v, want about 4.9 s", took)
		}
	})
}

// Guards against more requests at an upstream than it has slots, and against a
// permit that is released twice.
func TestPermitsMatchDeclaredSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := &fgapi.UpstreamSpec{Address: "127.0.0.1:9", Group: "g", Region: "west", Slots: 2}
		e, end := startLimits(t, resource("u", spec))
		defer end()
		time.Sleep(time.Second)
		u := e.config.State().Upstreams("g")[0]
		release, ok1 := e.acquirePermit(u)
		_, ok2 := e.acquirePermit(u)
		_, ok3 := e.acquirePermit(u)
		if !ok1 || !ok2 || ok3 {
			t.Fatalf("permits: %v %v %v, want two", ok1, ok2, ok3)
		}
		release()
		release()
		_, ok4 := e.acquirePermit(u)
		if _, ok5 := e.acquirePermit(u); !ok4 || ok5 {
			t.Errorf("after one release: %v %v, want one more permit", ok4, ok5)
		}
	})
}

// Guards against allocations in the admission of a request.
func TestAdmissionAllocatesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const name = "a-workspace-with-a-name-of-more-than-32-bytes"
		e, end := startLimits(t, resource(name, &fgapi.WorkspaceSpec{RequestsPerSecond: 1_000_000, Burst: 1_000_000}))
		defer end()
		time.Sleep(2 * time.Second)
		ctx, c := t.Context(), &call{workspace: name}
		if n := testing.AllocsPerRun(1000, func() { _ = e.admitWorkspace(ctx, c) }); n != 0 {
			t.Errorf("an admission allocates %v times", n)
		}
		if err := e.admitWorkspace(ctx, c); err != nil {
			t.Error(err)
		}
	})
}
