package fgplacement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

const (
	testGroup       = "orders"
	exchangePeriod  = 500 * time.Millisecond
	testPeerDelay   = 2 * time.Millisecond
	testServiceTime = 100 * time.Millisecond
	testRegion      = "nairobi"
	testOtherRegion = "kisumu"
)

// fleet is a set of placers and the upstreams that they share, in memory.
type fleet struct {
	t        testing.TB
	nodes    []*node
	snapshot *fgconfig.Snapshot
	members  *fgmember.Set

	mu         sync.Mutex
	running    map[string]int
	maxRunning map[string]int
	// forwarded counts forwarded requests by workspace.
	forwarded map[string]int
}

// node is one VM. It implements Permits and Caps for its placer.
type node struct {
	fleet  *fleet
	member fgmember.Member
	placer *Placer
	dead   atomic.Bool

	mu       sync.Mutex
	units    map[string]int64
	used     map[string]int64
	tokens   float64
	filledAt time.Time
	rate     float64
	// admitted counts the requests that the cap admitted.
	admitted int
}

func newFleet(t testing.TB, vms int, region func(i int) string, resources ...fgapi.Resource) *fleet {
	return newFleetOf(t, vms, vms, region, resources...)
}

// newFleetOf returns a fleet in which only the first members have placers.
func newFleetOf(t testing.TB, placers, vms int, region func(i int) string, resources ...fgapi.Resource) *fleet {
	f := &fleet{t: t, running: map[string]int{}, maxRunning: map[string]int{}, forwarded: map[string]int{}}
	var list []fgmember.Member
	for i := range vms {
		list = append(list, fgmember.Member{
			VM: fmt.Sprintf("vm-%d", i), Incarnation: fmt.Sprintf("i-%d", i),
			Region: region(i), AvailabilityZone: region(i) + "-" + string(rune('a'+i%2)),
		})
	}
	f.members = membersOf(t, list...)
	f.snapshot = fgconfig.Empty()
	for _, m := range list[:placers] {
		n := &node{fleet: f, member: m, units: map[string]int64{}, used: map[string]int64{}, filledAt: time.Now()}
		n.placer = New(Options{VM: m.VM, Region: m.Region, Permits: n, Caps: n, Random: seededRandom(uint64(len(f.nodes)))})
		f.nodes = append(f.nodes, n)
	}
	f.apply(fgconfig.Change{Put: resources})
	return f
}

func membersOf(t testing.TB, list ...fgmember.Member) *fgmember.Set {
	payload, err := json.Marshal(fgmember.Change{Put: list})
	if err != nil {
		t.Fatal(err)
	}
	set, err := fgmember.Apply(fgmember.EmptySet(), fgjournal.Entry{Generation: 1, Payload: payload})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// apply changes the configuration at all nodes.
func (f *fleet) apply(c fgconfig.Change) {
	payload, err := json.Marshal(c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.snapshot, err = fgconfig.Apply(f.snapshot, fgjournal.Entry{Generation: f.snapshot.Generation() + 1, Payload: payload})
	if err != nil {
		f.t.Fatal(err)
	}
	f.distributeUnits()
	for _, n := range f.nodes {
		n.placer.Update(f.snapshot, f.members)
	}
}

// distributeUnits divides the slots of each upstream between the nodes of its
// region.
func (f *fleet) distributeUnits() {
	next := 0
	for _, u := range f.snapshot.Upstreams(testGroup) {
		for _, n := range f.nodes {
			delete(n.units, u.Name())
		}
		var owners []*node
		for _, n := range f.nodes {
			if n.member.Region == u.Spec().Region {
				owners = append(owners, n)
			}
		}
		for assigned := int64(0); assigned < u.Spec().Slots && len(owners) > 0; assigned++ {
			owners[next%len(owners)].units[u.Name()]++
			next++
		}
	}
}

func (n *node) Units(u *fgconfig.Upstream) int64 { return n.units[u.Name()] }

func (n *node) Acquire(u *fgconfig.Upstream) (func(), bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.used[u.Name()] >= n.units[u.Name()] {
		return nil, false
	}
	n.used[u.Name()]++
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.used[u.Name()]--
	}, true
}

// Admit is a token bucket with a rate of n.rate requests per second and a
// burst of one tenth of that.
func (n *node) Admit(context.Context, string, string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tokens = min(n.rate/10, n.tokens+n.rate*time.Since(n.filledAt).Seconds())
	n.filledAt = time.Now()
	if n.tokens < 1 {
		return errors.New("the cap is spent")
	}
	n.tokens--
	n.admitted++
	return nil
}

// exchange sends each node's report to the others until the context ends.
func (f *fleet) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range f.nodes {
			loads, leaving := n.placer.Report()
			for _, to := range f.nodes {
				if !n.dead.Load() && !to.dead.Load() {
					to.placer.ApplyReport(Report{VM: n.member.VM, Incarnation: n.member.Incarnation, Loads: loads, Leaving: leaving})
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(exchangePeriod):
		}
	}
}

// send runs one request from a node. After a refusal by a peer it places the
// request again, up to three times in all.
func (f *fleet) send(ctx context.Context, n *node, r Request) error {
	for range 3 {
		t, err := n.placer.Place(ctx, r)
		if err != nil {
			return err
		}
		m, isPeer := t.Peer()
		if !isPeer {
			f.serve(t)
			return nil
		}
		f.mu.Lock()
		f.forwarded[r.Workspace]++
		f.mu.Unlock()
		time.Sleep(testPeerDelay)
		to := f.node(m.VM)
		if !to.dead.Load() {
			inner, err := to.placer.Place(ctx, Request{Group: r.Group, Workspace: r.Workspace, LocalOnly: true})
			if err == nil {
				f.serve(inner)
				t.Done(Answered)
				return nil
			}
		}
		t.Done(Shed)
		r.Exclude = map[string]bool{m.VM: true}
	}
	return ErrNoCapacity
}

func (f *fleet) node(vm string) *node {
	for _, n := range f.nodes {
		if n.member.VM == vm {
			return n
		}
	}
	return nil
}

// serve runs a request on its upstream.
func (f *fleet) serve(t Target) {
	name := t.Upstream().Name()
	f.mu.Lock()
	f.running[name]++
	f.maxRunning[name] = max(f.maxRunning[name], f.running[name])
	f.mu.Unlock()
	time.Sleep(testServiceTime)
	f.mu.Lock()
	f.running[name]--
	f.mu.Unlock()
	t.Done(Answered)
}

func resource(kind fgapi.Kind, name string, spec fgapi.Spec) fgapi.Resource {
	return fgapi.Resource{APIVersion: fgapi.Version, Kind: kind, Metadata: fgapi.Metadata{Name: name}, Spec: spec}
}

// upstreams declares upstreams of testGroup in a region.
func upstreams(region string, count int, slots int64) (out []fgapi.Resource) {
	for i := range count {
		out = append(out, resource(fgapi.KindUpstream, fmt.Sprintf("%s-%d", region, i), &fgapi.UpstreamSpec{
			Address: "127.0.0.1:80", Group: testGroup, Region: region, AvailabilityZone: region + "-a", Slots: slots,
		}))
	}
	return out
}

func drain(kind fgapi.DrainTarget, target string) fgapi.Resource {
	return resource(fgapi.KindDrain, "drain-"+target, &fgapi.DrainSpec{TargetKind: kind, Target: target})
}

// regionalCap declares the cap from testRegion to testOtherRegion.
func regionalCap(rate int64) fgapi.Resource {
	return resource(fgapi.KindRegionalCap, "cap", &fgapi.RegionalCapSpec{From: testRegion, To: testOtherRegion, RequestsPerSecond: rate, BitsPerSecond: 1})
}

func oneRegion(int) string { return testRegion }

func twoRegions(i int) string { return []string{testRegion, testOtherRegion}[i%2] }

// runScenario runs a test on a fleet whose upstreams are past their slow
// start and whose nodes exchange reports.
func runScenario(t *testing.T, vms int, region func(i int) string, resources []fgapi.Resource, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, vms, region, resources...)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.exchange(ctx)
		f.endSlowStart()
		run(t, f)
	})
}

// offerLoad sends requests of a workspace to the nodes in turn, at a mean
// rate with random gaps, and returns how many were served.
func (f *fleet) offerLoad(entries []*node, rate int, span time.Duration, workspace string) int {
	next := 0
	return offerLoad(rate, span, func() func() bool {
		n := entries[next%len(entries)]
		next++
		return func() bool {
			return f.send(f.t.Context(), n, Request{Group: testGroup, Workspace: workspace}) == nil
		}
	})
}

// offerSeed seeds the random gaps between requests and the random choices.
const offerSeed = 1

func seededRandom(stream uint64) func(n int) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(offerSeed, stream))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
}

func offerLoad(rate int, span time.Duration, next func() func() bool) int {
	var wg sync.WaitGroup
	var served atomic.Int64
	random := rand.New(rand.NewPCG(offerSeed, uint64(rate)))
	for range int(span.Seconds() * float64(rate)) {
		send := next()
		wg.Go(func() {
			if send() {
				served.Add(1)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
	}
	wg.Wait()
	return int(served.Load())
}

func (f *fleet) putResources(r ...fgapi.Resource) { f.apply(fgconfig.Change{Put: r}) }

// endSlowStart ends the slow start of all upstreams at all nodes.
func (f *fleet) endSlowStart() {
	time.Sleep(slowStartTime)
	for _, n := range f.nodes {
		for _, u := range n.placer.upstreams {
			u.lastUsed.Store(int64(n.placer.now()))
		}
	}
}
