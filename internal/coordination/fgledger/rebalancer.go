package fgledger

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgshare"
)

const (
	// roundInterval is the time between rounds if nothing requests one
	// earlier.
	roundInterval = time.Second
	// retryInterval is the time between rounds while the ledger is not at its
	// targets, for example because a holder waits for a loan to expire.
	retryInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform or to a holder.
	callTimeout = 500 * time.Millisecond
	// activePeriod is how long after its last use of a limit a holder keeps a
	// minimum of units.
	activePeriod = time.Minute
	// demandAverageDivisor is the divisor of the moving average of demand: a
	// new value counts 1/demandAverageDivisor. With 4 or 8, a workspace whose
	// callers move every 3 s was refused more often than with 2.
	demandAverageDivisor = 2
	// toleranceDivisor sets how far a target may differ from the ledger without
	// a write: 1/toleranceDivisor of the limit per holder, so that small
	// changes of demand cause no writes.
	toleranceDivisor = 4
)

// Peers sends messages to other holders.
type Peers interface {
	// Lower calls Holder.Lower of a member.
	Lower(ctx context.Context, to fgmember.Member, limit string, units int64, revision uint64) (int64, error)
	Lender
	// Ledger returns the newest stored ledger that a member has.
	Ledger(ctx context.Context, from fgmember.Member) (fgstore.Value, error)
}

// Fleet provides this process's view of the other processes.
type Fleet interface {
	// Members returns the generation of the member journal and the registered
	// members.
	Members() (uint64, *fgmember.Set)
	// Alive reports whether a report of the process arrived recently.
	Alive(incarnation string) bool
	// Demands returns the demands that a process last reported and the ledger
	// revision that it reported with them.
	Demands(incarnation string) ([]Demand, uint64)
}

// RebalancerOptions configures a Rebalancer.
type RebalancerOptions struct {
	Holder *Holder
	Store  fgstore.Store
	Peers  Peers
	Fleet  Fleet
	Logger logr.Logger
}

// Rebalancer moves units between holders while its process has the lowest hash
// of the live members that are not leaving.
type Rebalancer struct {
	options RebalancerOptions
	self    string
	// forceWrite requests a write even if no units move. The new revision ends
	// promises that were given for a write that did not happen.
	forceWrite      bool
	active          bool
	terminatedSince map[string]time.Time
	demands         map[demandKey]averageDemand
	averagedAt      time.Time
}

type demandKey struct{ holder, limit string }

// averageDemand is a holder's demand in units, averaged so that each second
// counts half as much as the next, and the time of its last use.
type averageDemand struct {
	units    int64
	lastUsed time.Time
}

// NewRebalancer returns a rebalancer for the holder's process.
func NewRebalancer(o RebalancerOptions) *Rebalancer {
	return &Rebalancer{options: o, self: o.Holder.state.Name(), terminatedSince: map[string]time.Time{}, demands: map[demandKey]averageDemand{}}
}

// Run starts a round at each interval and whenever it receives from wake,
// until the context ends.
func (r *Rebalancer) Run(ctx context.Context, wake <-chan struct{}) {
	for ctx.Err() == nil {
		r.fetchNewerLedger(ctx)
		delay := roundInterval
		done, err := r.runRound(ctx)
		if err != nil {
			r.options.Logger.V(1).Info("share rebalancing round failed", "error", err.Error())
		}
		if !done {
			delay = retryInterval
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// fetchNewerLedger gets the ledger from peers that have a newer one, in case
// this process cannot read it from the platform.
func (r *Rebalancer) fetchNewerLedger(ctx context.Context) {
	_, set := r.options.Fleet.Members()
	for _, m := range set.All() {
		if m.Incarnation == r.self || !r.options.Fleet.Alive(m.Incarnation) {
			continue
		}
		if _, revision := r.options.Fleet.Demands(m.Incarnation); revision <= r.options.Holder.Revision() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		v, err := r.options.Peers.Ledger(ctx, m)
		cancel()
		if err == nil {
			err = r.options.Holder.ApplyLedger(v)
		}
		if err != nil {
			r.options.Logger.V(1).Info("fetching the share ledger from a peer failed", "peer", m.VM, "error", err.Error())
		}
	}
}

// isRebalancer reports whether this process has the lowest hash of the live
// members that are not leaving.
func (r *Rebalancer) isRebalancer(set *fgmember.Set) bool {
	own, ok := set.ByIncarnation(r.self)
	if !ok || own.Leaving {
		return false
	}
	for _, m := range set.All() {
		if m.Incarnation == r.self || m.Leaving || !r.options.Fleet.Alive(m.Incarnation) {
			continue
		}
		if cmp.Or(cmp.Compare(hash(m.Incarnation), hash(r.self)), cmp.Compare(m.Incarnation, r.self)) < 0 {
			return false
		}
	}
	return true
}

func hash(incarnation string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(incarnation))
	return f.Sum64()
}

// runRound moves the ledger one step towards its targets and reports whether
// nothing is left to do.
func (r *Rebalancer) runRound(ctx context.Context) (done bool, err error) {
	members, set := r.options.Fleet.Members()
	if !r.isRebalancer(set) {
		r.active = false
		return true, nil
	}
	if !r.active {
		// The previous rebalancer may have collected promises without a write.
		r.active, r.forceWrite = true, true
	}
	r.averageDemands(set)
	if r.plan(members, set).nothingToWrite(r) {
		return true, nil
	}
	// Read from the platform before asking for promises: promises given during
	// an outage would leave units unused until it ends.
	if err := r.readLedger(ctx); err != nil {
		return false, err
	}
	p := r.plan(members, set)
	if p.nothingToWrite(r) {
		return true, nil
	}
	r.forceWrite = true
	r.collectPromises(ctx, p)
	if err := r.writeLedger(ctx, p); err != nil {
		return false, err
	}
	r.forceWrite = false
	return r.plan(members, set).nothingToWrite(r), nil
}

func (r *Rebalancer) readLedger(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := r.options.Store.Get(ctx, Key)
	if errors.Is(err, fgstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return r.options.Holder.ApplyLedger(v)
}

// averageDemands adds the reported demands to the moving averages. Averaging
// keeps units in place when callers alternate between VMs.
func (r *Rebalancer) averageDemands(set *fgmember.Set) {
	now := time.Now()
	if now.Sub(r.averagedAt) < roundInterval {
		return
	}
	r.averagedAt = now
	next := map[demandKey]averageDemand{}
	_, _, d := r.options.Holder.snapshot()
	for _, m := range set.All() {
		if !r.alive(m.Incarnation) {
			continue
		}
		demands, _ := r.options.Fleet.Demands(m.Incarnation)
		if m.Incarnation == r.self {
			demands = r.options.Holder.Demands()
		}
		for _, demand := range demands {
			l, ok := d.limits[demand.limit]
			if amount := demand.used + demand.refused; ok && amount > 0 {
				next[demandKey{m.Incarnation, demand.limit}] = averageDemand{units: demandUnits(l.limit, amount), lastUsed: now}
			}
		}
	}
	for key, old := range r.demands {
		demand := next[key]
		if demand.lastUsed.IsZero() {
			demand.lastUsed = old.lastUsed
		}
		demand.units = (demand.units + (demandAverageDivisor-1)*old.units) / demandAverageDivisor
		if now.Sub(demand.lastUsed) < activePeriod {
			next[key] = demand
		}
	}
	r.demands = next
}

func demandUnits(l fgshare.Limit, amount int64) int64 {
	if l.IsRate() {
		amount = (amount + fgshare.Token - 1) / fgshare.Token
	}
	return l.UnitsForDemand(amount)
}

// terminated returns a function that reports whether a holder's process is
// proved to have ended: a member journal at least as new as the one in which
// the holder was seen has another process, or none, for its VM. The function
// returns true only LoanValidity after this was first seen, because until
// then the process's loans can still be spent.
func (r *Rebalancer) terminated(p *plan) func(string) bool {
	now := time.Now()
	return func(holder string) bool {
		registration, ok := p.ledger.Holders[holder]
		if !ok || p.members < registration.Members {
			return false
		}
		if m, ok := p.set.Member(registration.VM); ok && m.Incarnation == holder {
			delete(r.terminatedSince, holder)
			return false
		}
		since, ok := r.terminatedSince[holder]
		if !ok {
			r.terminatedSince[holder] = now
			return false
		}
		return now.Sub(since) >= fgshare.LoanValidity
	}
}

// collectPromises asks the live holders to promise the plan's reductions.
func (r *Rebalancer) collectPromises(ctx context.Context, p *plan) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, reduction := range p.reductions {
		m, ok := p.set.ByIncarnation(reduction.Holder())
		if !ok || !r.alive(m.Incarnation) {
			continue
		}
		wg.Go(func() {
			units, err := r.requestPromise(ctx, m, reduction, p.revision)
			if err != nil {
				r.options.Logger.V(1).Info("holder did not promise to reduce its units", "vm", m.VM, "limit", reduction.Limit(), "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if p.promised[reduction.Limit()] == nil {
				p.promised[reduction.Limit()] = map[string]int64{}
			}
			p.promised[reduction.Limit()][reduction.Holder()] = units
		})
	}
}

func (r *Rebalancer) requestPromise(ctx context.Context, m fgmember.Member, reduction fgshare.Reduction, revision uint64) (int64, error) {
	if m.Incarnation == r.self {
		return r.options.Holder.Lower(r.self, reduction.Limit(), reduction.Units(), revision)
	}
	return r.options.Peers.Lower(ctx, m, reduction.Limit(), reduction.Units(), revision)
}

// writeLedger replaces the ledger revision from which the plan was made. If
// another write preceded it, the promises stay in force until their holders
// see that write.
func (r *Rebalancer) writeLedger(ctx context.Context, p *plan) error {
	next := p.next(r.terminated(p))
	if err := next.Check(); err != nil {
		return err
	}
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := r.options.Store.CompareAndSwap(ctx, Key, p.revision, data)
	if err != nil {
		return err
	}
	return r.options.Holder.ApplyLedger(fgstore.Value{Key: Key, Data: data, Revision: revision})
}
