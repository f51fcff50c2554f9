package fgentry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// oneWayDelay is the delay of each message, as it is between two regions.
const oneWayDelay = 55 * time.Millisecond

// simulatedFleet runs entries without listeners over a simulated network, in a
// synctest bubble.
type simulatedFleet struct {
	t        *testing.T
	platform fgstandin.Platform

	mu      sync.Mutex
	entries map[string]*Entry
	stops   map[string]func()
	// partitioned reports whether two VMs cannot reach each other. The
	// platform's name is "".
	partitioned func(a, b string) bool
	// refused holds the VMs whose hosts refuse connections.
	refused map[string]bool
}

func newSimulatedFleet(t *testing.T, n int) *simulatedFleet {
	f := &simulatedFleet{t: t, entries: map[string]*Entry{}, stops: map[string]func(){}, refused: map[string]bool{}}
	for i := range n {
		f.start(fmt.Sprintf("vm-%d", i), i)
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *simulatedFleet) start(vm string, i int, seeds ...string) *Entry {
	zone := i % 6
	s := Settings{raw: RawSettings{
		VM: vm, Region: fmt.Sprintf("r%d", zone/2), AvailabilityZone: fmt.Sprintf("z%d", zone),
		CallerAdvertise: vm, PeerAdvertise: vm, PeerSeeds: seeds, DrainWait: 30 * time.Second, DrainTimeout: time.Minute,
	}}
	link := platformLink{fleet: f, vm: vm}
	e := New(s, link, link, logr.Discard())
	e.peer = func(_ context.Context, address string) fgwire.DRPCPeerClient {
		return fakePeer{fleet: f, from: vm, to: address}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	f.mu.Lock()
	f.entries[vm] = e
	delete(f.refused, vm)
	f.stops[vm] = func() { cancel(); <-done }
	f.mu.Unlock()
	go func() {
		defer close(done)
		e.runState(ctx)
	}()
	return e
}

// kill ends a process. Its host then refuses connections.
func (f *simulatedFleet) kill(vm string) {
	f.stops[vm]()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[vm] = true
}

func (f *simulatedFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
}

func (f *simulatedFleet) partition(partitioned func(a, b string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = partitioned
}

// deliver waits until a message has arrived and returns its receiver. If the
// network is partitioned, it waits until the context ends.
func (f *simulatedFleet) deliver(ctx context.Context, from, to string) (*Entry, error) {
	f.mu.Lock()
	e, refused := f.entries[to], f.refused[to]
	partitioned := f.partitioned != nil && (f.partitioned(from, to) || f.partitioned(to, from))
	f.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if refused {
		return nil, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	_ = fgtimer.Wait(ctx, oneWayDelay)
	return e, ctx.Err()
}

// fakePeer calls a peer's service directly, with the network's delay.
type fakePeer struct {
	fgwire.DRPCPeerClient

	fleet    *simulatedFleet
	from, to string
}

func (p fakePeer) Exchange(ctx context.Context, in *fgwire.NodeState) (*fgwire.NodeState, error) {
	e, err := p.fleet.deliver(ctx, p.from, p.to)
	if err != nil {
		return nil, err
	}
	out, err := (&peerService{entry: e}).Exchange(ctx, in)
	_ = fgtimer.Wait(ctx, oneWayDelay)
	return out, err
}

func (p fakePeer) Fetch(ctx context.Context, in *fgwire.FetchRequest) (*fgwire.FetchAnswer, error) {
	e, err := p.fleet.deliver(ctx, p.from, p.to)
	if err != nil {
		return nil, err
	}
	return (&peerService{entry: e}).Fetch(ctx, in)
}

// platformLink is one VM's connection to the platform.
type platformLink struct {
	fleet *simulatedFleet
	vm    string
}

func callPlatform[T any](ctx context.Context, l platformLink, call func() (T, error)) (T, error) {
	if _, err := l.fleet.deliver(ctx, l.vm, ""); err != nil {
		var zero T
		return zero, fgstore.ErrUnknown
	}
	return call()
}

func (l platformLink) Get(ctx context.Context, key string) (fgstore.Value, error) {
	return callPlatform(ctx, l, func() (fgstore.Value, error) { return l.fleet.platform.Get(ctx, key) })
}

func (l platformLink) CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) (uint64, error) {
	return callPlatform(ctx, l, func() (uint64, error) { return l.fleet.platform.CompareAndSwap(ctx, key, expected, data) })
}

func (l platformLink) Delete(ctx context.Context, key string, expected uint64) error {
	return l.fleet.platform.Delete(ctx, key, expected)
}

func (l platformLink) Watch(ctx context.Context, key string, after uint64) (fgstore.Value, error) {
	return callPlatform(ctx, l, func() (fgstore.Value, error) { return l.fleet.platform.Watch(ctx, key, after) })
}

func (l platformLink) Range(ctx context.Context, prefix string) ([]string, error) {
	return l.fleet.platform.Range(ctx, prefix)
}

func (l platformLink) ListVMs(ctx context.Context) ([]fgstore.VM, error) {
	return callPlatform(ctx, l, func() ([]fgstore.VM, error) { return l.fleet.platform.ListVMs(ctx) })
}

// change submits a configuration change on a VM.
func (f *simulatedFleet) change(vm, id string, c fgconfig.Change) {
	f.t.Helper()
	_, err := f.entries[vm].config.Submit(context.Background(), id, buildChange(c))
	if err != nil {
		f.t.Fatalf("change %s: %v", id, err)
	}
}

// issueKeyChange returns a change that declares the workspace w and its key k.
func issueKeyChange() fgconfig.Change {
	return fgconfig.Change{Put: []fgapi.Resource{
		{APIVersion: fgapi.Version, Kind: fgapi.KindWorkspace, Metadata: fgapi.Metadata{Name: "w"}, Spec: &fgapi.WorkspaceSpec{RequestsPerSecond: 1, Burst: 1}},
		{APIVersion: fgapi.Version, Kind: fgapi.KindKey, Metadata: fgapi.Metadata{Name: "k"}, Spec: &fgapi.KeySpec{Workspace: "w", Digest: strings.Repeat("0", 64)}},
	}}
}

// withdrawKeyChange returns a change that deletes the key.
func withdrawKeyChange() fgconfig.Change {
	return fgconfig.Change{Delete: []fgapi.Ref{{Kind: fgapi.KindKey, Name: "k"}}}
}

func (f *simulatedFleet) issue(vm string) {
	f.t.Helper()
	f.change(vm, "issue", issueKeyChange())
	time.Sleep(time.Second)
}

func (f *simulatedFleet) withdraw(vm string) {
	f.t.Helper()
	f.change(vm, "withdraw", withdrawKeyChange())
}

// acceptsKey reports whether a VM would serve a request with the key.
func (f *simulatedFleet) acceptsKey(vm string) bool {
	e := f.entries[vm]
	_, ok := e.config.State().Key("k")
	return ok && e.checkFreshness() == nil
}

// staleTimes samples the VMs for a time and returns for how long each was not
// fresh, with the precision of the sampling step.
func (f *simulatedFleet) staleTimes(d time.Duration) map[string]time.Duration {
	const step = 10 * time.Millisecond
	stale := map[string]time.Duration{}
	for range int(d / step) {
		for vm, e := range f.entries {
			if e.checkFreshness() != nil {
				stale[vm] += step
			}
		}
		time.Sleep(step)
	}
	return stale
}

// withSimulatedFleet runs a test with a fleet of n VMs.
func withSimulatedFleet(t *testing.T, n int, run func(f *simulatedFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, n)
		defer f.stop()
		run(f)
	})
}
