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
	// roundInterval separates the keeper's rounds where nothing else asks for one.
	roundInterval = time.Second
	// retryInterval separates rounds while a target is not reached, for example
	// because a holder waits for the end of a loan.
	retryInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform or a holder.
	callTimeout = 500 * time.Millisecond
	// activeFor is how long after its last use a holder keeps a floor of units.
	activeFor = time.Minute
	// demandWeight is the weight of the past in the average of demand. With 4 or
	// 8 a workspace whose callers move every 3 s was refused more often than
	// with 2.
	demandWeight = 2
	// restPart is the part of a limit by which targets may differ from the
	// ledger without a write, so that small changes of demand cost nothing.
	restPart = 4
)

// Peers sends messages to other holders.
type Peers interface {
	// Lower calls Holder.Lower of a member.
	Lower(ctx context.Context, to fgmember.Member, limit string, units int64, revision uint64) (int64, error)
	Lender
	// Ledger returns the stored ledger that a member knows.
	Ledger(ctx context.Context, from fgmember.Member) (fgstore.Value, error)
}

// Fleet is what a process knows about the others.
type Fleet interface {
	// Members returns the registered members and the journal's generation.
	Members() (uint64, *fgmember.Set)
	// Alive reports whether a process was heard lately.
	Alive(incarnation string) bool
	// Demands returns what a process last said about its use, and its revision
	// of the ledger.
	Demands(incarnation string) ([]Demand, uint64)
}

// KeeperOptions configures a Keeper.
type KeeperOptions struct {
	Holder *Holder
	Store  fgstore.Store
	Peers  Peers
	Fleet  Fleet
	Logger logr.Logger
}

// Keeper moves units between holders while its process is the live member with
// the lowest hash.
type Keeper struct {
	options KeeperOptions
	self    string
	// touch asks for a write even if no unit moves: it ends promises that were
	// given for a write that did not happen.
	touch     bool
	keeping   bool
	goneSince map[string]time.Time
	use       map[useKey]use
	counted   time.Time
}

type useKey struct{ holder, limit string }

// use is a holder's demand, averaged so that each second counts half as much as
// the next, and its last use.
type use struct {
	units int64
	at    time.Time
}

// NewKeeper returns a keeper for a holder's process.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{options: o, self: o.Holder.state.Name(), goneSince: map[string]time.Time{}, use: map[useKey]use{}}
}

// Run makes a round at each interval and whenever wake receives, until the
// context ends.
func (k *Keeper) Run(ctx context.Context, wake <-chan struct{}) {
	for ctx.Err() == nil {
		k.catchUp(ctx)
		next := roundInterval
		settled, err := k.round(ctx)
		if err != nil {
			k.options.Logger.V(1).Info("ledger round failed", "error", err.Error())
		}
		if !settled {
			next = retryInterval
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// catchUp asks a peer that knows a newer ledger, for a process that the
// platform does not answer.
func (k *Keeper) catchUp(ctx context.Context) {
	_, set := k.options.Fleet.Members()
	for _, m := range set.All() {
		if m.Incarnation == k.self || !k.options.Fleet.Alive(m.Incarnation) {
			continue
		}
		if _, revision := k.options.Fleet.Demands(m.Incarnation); revision <= k.options.Holder.Revision() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		v, err := k.options.Peers.Ledger(ctx, m)
		cancel()
		if err == nil {
			err = k.options.Holder.Absorb(v)
		}
		if err != nil {
			k.options.Logger.V(1).Info("ledger not fetched", "peer", m.VM, "error", err.Error())
		}
	}
}

// isKeeper reports whether this process has the lowest hash of the live
// members that stay.
func (k *Keeper) isKeeper(set *fgmember.Set) bool {
	own, ok := set.ByIncarnation(k.self)
	if !ok || own.Leaving {
		return false
	}
	for _, m := range set.All() {
		if m.Incarnation == k.self || m.Leaving || !k.options.Fleet.Alive(m.Incarnation) {
			continue
		}
		if cmp.Or(cmp.Compare(hash(m.Incarnation), hash(k.self)), cmp.Compare(m.Incarnation, k.self)) < 0 {
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

// round moves the ledger one step and reports whether it is at its targets.
func (k *Keeper) round(ctx context.Context) (settled bool, err error) {
	members, set := k.options.Fleet.Members()
	if !k.isKeeper(set) {
		k.keeping = false
		return true, nil
	}
	if !k.keeping {
		// The previous keeper may have left promises without a write.
		k.keeping, k.touch = true, true
	}
	k.count(set)
	if k.plan(members, set).settled(k) {
		return true, nil
	}
	// The platform is asked first: promises given during an outage would leave
	// units unused until it ends.
	if err := k.refresh(ctx); err != nil {
		return false, err
	}
	p := k.plan(members, set)
	if p.settled(k) {
		return true, nil
	}
	k.touch = true
	k.lower(ctx, p)
	if err := k.write(ctx, p); err != nil {
		return false, err
	}
	k.touch = false
	return k.plan(members, set).settled(k), nil
}

func (k *Keeper) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := k.options.Store.Get(ctx, Key)
	if errors.Is(err, fgstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return k.options.Holder.Absorb(v)
}

// count takes over the reported demands. They are averaged, so that callers that
// alternate between VMs do not move the units each time.
func (k *Keeper) count(set *fgmember.Set) {
	now := time.Now()
	if now.Sub(k.counted) < roundInterval {
		return
	}
	k.counted = now
	next := map[useKey]use{}
	_, _, d := k.options.Holder.view()
	for _, m := range set.All() {
		if !k.alive(m.Incarnation) {
			continue
		}
		demands, _ := k.options.Fleet.Demands(m.Incarnation)
		if m.Incarnation == k.self {
			demands = k.options.Holder.Demands()
		}
		for _, u := range demands {
			l, ok := d.limits[u.limit]
			if n := u.used + u.refused; ok && n > 0 {
				next[useKey{m.Incarnation, u.limit}] = use{units: demandUnits(l.limit, n), at: now}
			}
		}
	}
	for key, old := range k.use {
		u := next[key]
		if u.at.IsZero() {
			u.at = old.at
		}
		u.units = (u.units + (demandWeight-1)*old.units) / demandWeight
		if now.Sub(u.at) < activeFor {
			next[key] = u
		}
	}
	k.use = next
}

func demandUnits(l fgshare.Limit, amount int64) int64 {
	if l.IsRate() {
		amount = (amount + fgshare.Token - 1) / fgshare.Token
	}
	return l.UnitsForDemand(amount)
}

// gone reports which holders are proved to be gone: the member journal, at
// least as new as the one in which the holder was seen, names another process
// or none for its VM. Loans of a holder that is gone may be spent until their
// validity ends, so its units wait as long.
func (k *Keeper) gone(p *plan) func(string) bool {
	now := time.Now()
	return func(holder string) bool {
		r, ok := p.ledger.Holders[holder]
		if !ok || p.members < r.Members {
			return false
		}
		if m, ok := p.set.Member(r.VM); ok && m.Incarnation == holder {
			delete(k.goneSince, holder)
			return false
		}
		since, ok := k.goneSince[holder]
		if !ok {
			k.goneSince[holder] = now
			return false
		}
		return now.Sub(since) >= fgshare.LoanValidity
	}
}

// lower collects the promises of live holders.
func (k *Keeper) lower(ctx context.Context, p *plan) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, l := range p.lowering {
		m, ok := p.set.ByIncarnation(l.Holder())
		if !ok || !k.alive(m.Incarnation) {
			continue
		}
		wg.Go(func() {
			units, err := k.lowerOne(ctx, m, l, p.revision)
			if err != nil {
				k.options.Logger.V(1).Info("holder did not lower", "vm", m.VM, "limit", l.Limit(), "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if p.promised[l.Limit()] == nil {
				p.promised[l.Limit()] = map[string]int64{}
			}
			p.promised[l.Limit()][l.Holder()] = units
		})
	}
}

func (k *Keeper) lowerOne(ctx context.Context, m fgmember.Member, l fgshare.Lowering, revision uint64) (int64, error) {
	if m.Incarnation == k.self {
		return k.options.Holder.Lower(k.self, l.Limit(), l.Units(), revision)
	}
	return k.options.Peers.Lower(ctx, m, l.Limit(), l.Units(), revision)
}

// write replaces the ledger that the plan was made for. When another write came
// first, the promises stay in force until their holders see it.
func (k *Keeper) write(ctx context.Context, p *plan) error {
	next := p.next(k.gone(p))
	if err := next.Check(); err != nil {
		return err
	}
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := k.options.Store.CompareAndSwap(ctx, Key, p.revision, data)
	if err != nil {
		return err
	}
	return k.options.Holder.Absorb(fgstore.Value{Key: Key, Data: data, Revision: revision})
}
