package fgledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
	"github.com/filbertgap/filbertgap/internal/state/fgshare"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	rateName  = "workspace/small"
	slotsName = "slots/u"
	slotCount = 3
)

var (
	smallRate       = fgshare.Rate(10, 5)
	errNoConnection = errors.New("no connection")
	testLimits      = NewDeclaredLimits(1, map[string]DeclaredLimit{
		rateName: NewDeclaredLimit(smallRate, ""), slotsName: NewDeclaredLimit(fgshare.Slots(slotCount), "r0"),
	})
)

// fleet is a set of holders and rebalancers in memory, with a stand-in
// platform. Calls between regions take 55 ms each way.
type fleet struct {
	t           *testing.T
	ctx         context.Context
	platform    fgstandin.Platform
	partitioned atomic.Bool

	mu         sync.Mutex
	set        *fgmember.Set
	generation uint64
	nodes      []*node
	wg         sync.WaitGroup

	start     time.Time
	reference fgshare.Bucket
	inUse     int64
}

type node struct {
	*Holder
	fleet    *fleet
	self     fgmember.Member
	borrower *Borrower
	paused   atomic.Bool
	dead     atomic.Bool

	mu      sync.Mutex
	reports map[string]report
}

type report struct {
	demands  []Demand
	revision uint64
	received time.Time
}

// newFleet starts 7 holders in 3 regions. The caller stops them with the
// returned function.
func newFleet(t *testing.T) (*fleet, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, ctx: ctx, set: fgmember.EmptySet(), start: time.Now(), nodes: make([]*node, 7)}
	f.reference.Resize(0, smallRate, fgshare.RateUnits)
	for i := range f.nodes {
		f.startProcess(i, fmt.Sprintf("i%d", i))
	}
	return f, func() { cancel(); f.wg.Wait() }
}

// startProcess registers a new process on a VM, in place of the previous one.
func (f *fleet) startProcess(i int, incarnation string) {
	if old := f.nodes[i]; old != nil {
		old.dead.Store(true)
	}
	m := fgmember.Member{VM: fmt.Sprint("vm", i), Incarnation: incarnation, Region: fmt.Sprint("r", i%3)}
	n := &node{Holder: NewHolder(incarnation, logr.Discard()), fleet: f, self: m, reports: map[string]report{}}
	n.borrower = NewBorrower(n.Holder, n, n, m)
	payload, _ := fgmember.BuildRegister(m)(f.set)
	f.mu.Lock()
	f.set, _ = fgmember.Apply(f.set, fgjournal.Entry{Payload: payload})
	f.generation++
	f.nodes[i] = n
	f.mu.Unlock()
	n.ApplyLimits(testLimits)
	r := NewRebalancer(RebalancerOptions{Holder: n.Holder, Store: n, Peers: n, Fleet: n, Logger: logr.Discard()})
	f.wg.Go(func() { n.WatchLedger(f.ctx, n) })
	f.wg.Go(func() { r.Run(f.ctx, nil) })
	f.wg.Go(n.exchangeDemands)
}

// exchangeDemands reports this node's demands to all reachable peers every
// 500 ms.
func (n *node) exchangeDemands() {
	for n.fleet.ctx.Err() == nil && !n.dead.Load() {
		n.waitWhilePaused()
		_, set := n.Members()
		for _, m := range set.All() {
			if p := n.fleet.find(m.Incarnation); p != nil && n.canReach(p) {
				r := report{demands: n.Holder.Demands(), revision: n.Revision(), received: time.Now()}
				p.mu.Lock()
				p.reports[n.self.Incarnation] = r
				p.mu.Unlock()
				p.borrower.Update()
			}
		}
		_ = fgtimer.Wait(n.fleet.ctx, 500*time.Millisecond)
	}
}

func (f *fleet) find(incarnation string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n != nil && n.self.Incarnation == incarnation {
			return n
		}
	}
	return nil
}

func (n *node) canReach(p *node) bool {
	return !p.paused.Load() && !p.dead.Load() && !(n.fleet.partitioned.Load() && n.self.Region != p.self.Region)
}

// waitWhilePaused blocks while the process is paused or dead.
func (n *node) waitWhilePaused() {
	for (n.paused.Load() || n.dead.Load()) && n.fleet.ctx.Err() == nil {
		_ = fgtimer.Wait(n.fleet.ctx, 10*time.Millisecond)
	}
}

func (n *node) Members() (uint64, *fgmember.Set) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.generation, n.fleet.set
}

func (n *node) Alive(incarnation string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.reports[incarnation].received) <= fgmember.AliveTimeout
}

func (n *node) Demands(incarnation string) ([]Demand, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reports[incarnation].demands, n.reports[incarnation].revision
}

// call runs a function on a peer after a delay, or fails once the context
// ends.
func (n *node) call(ctx context.Context, to fgmember.Member, do func(*node)) error {
	p := n.fleet.find(to.Incarnation)
	delay := 1500 * time.Microsecond
	if n.self.Region != to.Region {
		delay = 55 * time.Millisecond
	}
	_ = fgtimer.Wait(ctx, delay)
	if p == nil || !n.canReach(p) {
		<-ctx.Done()
		return errNoConnection
	}
	do(p)
	_ = fgtimer.Wait(ctx, delay)
	n.waitWhilePaused()
	return ctx.Err()
}

func (n *node) Lower(ctx context.Context, to fgmember.Member, limit string, units int64, revision uint64) (promised int64, err error) {
	var refused error
	err = n.call(ctx, to, func(p *node) { promised, refused = p.Holder.Lower(to.Incarnation, limit, units, revision) })
	return promised, errors.Join(err, refused)
}

func (n *node) Borrow(ctx context.Context, to fgmember.Member, limit string, amount int64) (loan Loan, err error) {
	err = n.call(ctx, to, func(p *node) { loan = p.Lend(ctx, limit, amount) })
	return loan, err
}

func (n *node) Ledger(ctx context.Context, to fgmember.Member) (v fgstore.Value, err error) {
	err = n.call(ctx, to, func(p *node) { v = p.Value() })
	return v, err
}

// The node's store is the platform, with the node's pauses: a process may be
// paused before each call and before each response.
func (n *node) Get(ctx context.Context, key string) (fgstore.Value, error) {
	defer n.waitWhilePaused()
	return n.fleet.platform.Get(ctx, key)
}

func (n *node) CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) (uint64, error) {
	n.waitWhilePaused()
	defer n.waitWhilePaused()
	// A call that was sent before a pause takes effect although its context
	// has ended. Like the real client, it does not wait for a silent platform
	// longer than callTimeout.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	return n.fleet.platform.CompareAndSwap(ctx, key, expected, data)
}

func (n *node) Delete(context.Context, string, uint64) error { return fgstore.ErrUnavailable }

func (n *node) Range(context.Context, string) ([]string, error) { return nil, fgstore.ErrUnavailable }

func (n *node) Watch(ctx context.Context, key string, after uint64) (fgstore.Value, error) {
	defer n.waitWhilePaused()
	return n.fleet.platform.Watch(ctx, key, after)
}

// sendRequest spends one token at a VM and checks it against one bucket that
// has the whole limit.
func (f *fleet) sendRequest(i int) bool {
	n := f.nodes[i]
	if !n.borrower.Take(f.ctx, rateName, n.Rate(rateName), fgshare.Token) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Since(f.start)
	// The holders and the reference bucket each round their refill down.
	if missing := f.reference.Missing(now, fgshare.Token); missing > 1 {
		f.t.Errorf("%v: a request was admitted %d thousandths of a token above the limit", now, missing)
	}
	f.reference.TakeUpTo(now, fgshare.Token)
	return true
}

// holdSlot takes a slot at a VM for the given time.
func (f *fleet) holdSlot(i int, d time.Duration) {
	s := f.nodes[i].Slots(slotsName)
	if !s.Acquire() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inUse++; f.inUse > slotCount {
		f.t.Errorf("%d slots are in use, the limit is %d", f.inUse, slotCount)
	}
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.inUse--
		s.Release()
	})
}

func (n *node) units(limit string) int64 {
	n.Holder.mu.Lock()
	defer n.Holder.mu.Unlock()
	return n.state.Units(limit, testLimits.limits[limit].limit.Units())
}

// checkUsableUnits fails if the running processes can use more units than the
// limits have.
func (f *fleet) checkUsableUnits() {
	var rate, slots int64
	for _, n := range f.nodes {
		rate += n.units(rateName)
		slots += n.units(slotsName)
	}
	if rate > smallRate.Units() || slots > slotCount {
		f.t.Fatalf("%v: %d units of %d and %d slots of %d are usable", time.Since(f.start), rate, smallRate.Units(), slots, slotCount)
	}
}

// sendTraffic sends random requests through all VMs at about three times the
// rate.
func (f *fleet) sendTraffic(r *rand.Rand, d time.Duration) int64 {
	var admitted atomic.Int64
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(r.IntN(70)) * time.Millisecond) {
		i := r.IntN(len(f.nodes))
		f.holdSlot(i, time.Duration(r.IntN(3000))*time.Millisecond)
		// A request of a paused process may end after this function returns.
		f.wg.Go(func() {
			if !f.nodes[i].paused.Load() && f.sendRequest(i) {
				admitted.Add(1)
			}
		})
		f.checkUsableUnits()
	}
	return admitted.Load()
}
