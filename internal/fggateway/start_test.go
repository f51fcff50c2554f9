package fggateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Guards against look-ups of a gateway that has just started that name gateways which were
// killed with it, and have not started again: their entries last until their leases end.
func TestLookupsAtStartNameGatewaysThatAreUp(t *testing.T) {
	env := newTestEnv(t)
	now := time.Now()
	incarnation := func(started time.Time) uint64 { return uint64(started.UnixMilli()) << incarnationRandomBits }
	for _, m := range []fgsteer.MemberSpec{
		{VM: "killed", Incarnation: incarnation(now.Add(-time.Hour))},
		{VM: "starting", Incarnation: incarnation(now)},
		{VM: "heard", Incarnation: incarnation(now.Add(-time.Hour))},
	} {
		m.Region, m.CallerAddress, m.PeerAddress = "east", m.VM, "127.0.0.1:1"
		env.put("member/"+m.VM, m)
	}
	g := env.gateway("vm-1", 0)
	env.eventually("the gateways are known", func() bool { return len(g.mirror.View().Members()) == 4 })
	g.receiveState(&fgwire.GatewayState{Vm: "heard", Incarnation: incarnation(now.Add(-time.Hour)), Sequence: 1}, "127.0.0.1:1")
	got := g.addresses(g.mirror.View(), fgmessage.Lookup{Region: "east"})
	slices.Sort(got)
	if want := []string{g.settings.Self.CallerAddress, "heard", "starting"}; !slices.Equal(got, want) {
		t.Errorf("addresses %v, want %v", got, want)
	}
	for _, vm := range []string{"killed", "starting", "heard"} {
		if got, want := g.mayFollow(vm), vm == "heard"; got != want {
			t.Errorf("%s may be followed: %v, want %v", vm, got, want)
		}
	}
}

// Guards against look-ups that fail because they arrive before the store has been read.
func TestLookupWaitsForStore(t *testing.T) {
	env := newTestEnv(t)
	env.feed.Fail(errors.New("the store is away"))
	g := env.startGateway("vm-1")
	time.AfterFunc(100*time.Millisecond, func() { env.feed.Fail(nil) })
	last := 0
	for start := time.Now(); time.Since(start) < 2*time.Second && last != http.StatusOK; {
		res, err := http.Get(fmt.Sprintf("http://%s/lookup?region=east", g.sockets.lookup.Addr()))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if last = res.StatusCode; last != http.StatusOK && time.Since(start) < policyWait {
			t.Fatalf("status %d after %s", last, time.Since(start))
		}
	}
	if last != http.StatusOK {
		t.Errorf("status %d", last)
	}
}

// Guards against a fleet whose gateways all read the whole store when they start.
func TestStartingGatewayTakesCopy(t *testing.T) {
	env := newTestEnv(t)
	env.upstream("u1", respond)
	a := env.gateway("vm-1", 1)
	for i := range maxReaders + 5 {
		vm := fmt.Sprintf("vm-%d", i+10)
		env.put("member/"+vm, fgsteer.MemberSpec{VM: vm, Region: "east", PeerAddress: a.settings.Self.PeerAddress, Capacity: 1000})
	}
	env.eventually("the gateways are known", func() bool { return len(a.mirror.View().Members()) == maxReaders+6 })
	b := New(Options{
		Settings: Settings{Self: fgsteer.MemberSpec{VM: "vm-2", Region: "east"}}, Feed: env.feed, Codec: testCodec{}, EncodeMember: encodeMember,
		Dialect: testDialect{}, Logger: a.logger,
	})
	c, ok := b.startCopy(t.Context())
	if _, want := env.feed.Values(); !ok || c.Position != want {
		t.Fatalf("copy at %v (%v), want %v", c.Position, ok, want)
	}
	reads := env.feed.RangeCalls()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- b.mirror.Run(ctx) }()
	env.eventually("the view is there", func() bool { return b.mirror.View() != nil })
	v := b.mirror.View()
	if v.Policy() == nil || len(v.Upstreams("g")) != 1 {
		t.Errorf("policy %v, %d upstreams", v.Policy(), len(v.Upstreams("g")))
	}
	if got := env.feed.RangeCalls() - reads; got != 1 {
		t.Errorf("%d reads of the store, want that of the gateways only", got)
	}
	if len(env.logs.find("copy of the store taken from another gateway")) != 1 {
		t.Error("no copy was taken")
	}
	cancel()
	<-done
}

// Guards against copies of the store that fill the link of a gateway for seconds.
func TestCopiesAreLimited(t *testing.T) {
	var l copyLimit
	const capacity = 40
	if !l.take(100_000, capacity) || l.take(100_000, capacity) {
		t.Error("a copy of 100 kB on a link of 1 MB/s, and one more at once")
	}
	var unknown copyLimit
	for range 2 {
		if !unknown.take(100_000, 0) {
			t.Error("copies are refused on a link that is not known")
		}
	}
}
