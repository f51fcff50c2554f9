package fgledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgshare"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

// Key is the platform key of the fleet's share ledger.
const Key = "shares/fleet"

// watchRetryDelay is the pause after a failed watch call.
const watchRetryDelay = 200 * time.Millisecond

// Errors of Holder.Lower.
var (
	// ErrWrongHolder means that the message is addressed to another process.
	ErrWrongHolder = merry.Sentinel("the request is addressed to another process")
	// ErrStaleLedger means that the rebalancer's ledger is older than the
	// holder's.
	ErrStaleLedger = merry.Sentinel("the rebalancer's ledger is older than the holder's")
)

// DeclaredLimit is a limit as declared in the configuration.
type DeclaredLimit struct {
	limit  fgshare.Limit
	region string
}

// NewDeclaredLimit returns a limit that only the VMs of the given region hold,
// or all VMs if the region is empty.
func NewDeclaredLimit(l fgshare.Limit, region string) DeclaredLimit {
	return DeclaredLimit{limit: l, region: region}
}

// DeclaredLimits is the set of limits of one configuration generation.
type DeclaredLimits struct {
	generation uint64
	limits     map[string]DeclaredLimit
}

// NewDeclaredLimits returns the limits of a configuration generation. The map
// must not be modified afterwards.
func NewDeclaredLimits(generation uint64, limits map[string]DeclaredLimit) DeclaredLimits {
	return DeclaredLimits{generation: generation, limits: limits}
}

// Holder manages this process's share of every limit.
type Holder struct {
	logger logr.Logger
	epoch  time.Time
	index  atomic.Pointer[shareIndex]

	mu       sync.Mutex
	state    *fgshare.Holder
	value    fgstore.Value
	declared DeclaredLimits
	changed  chan struct{}
}

// shareIndex is the immutable index that the request path reads. The share of
// a withdrawn limit stays in it, because its loans and permits may be
// outstanding.
type shareIndex struct {
	rates map[string]*Rate
	slots map[string]*Slots
}

// NewHolder returns a holder without units.
func NewHolder(incarnation string, logger logr.Logger) *Holder {
	h := &Holder{logger: logger, epoch: time.Now(), state: fgshare.NewHolder(incarnation), changed: make(chan struct{})}
	h.index.Store(&shareIndex{})
	return h
}

// Rate returns this process's share of a rate, or nil if no such rate was
// declared.
func (h *Holder) Rate(limit string) *Rate { return h.index.Load().rates[limit] }

// Slots returns this process's share of slots, or nil if no such slots were
// declared.
func (h *Holder) Slots(limit string) *Slots { return h.index.Load().slots[limit] }

// Revision returns the revision of the newest known ledger.
func (h *Holder) Revision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Revision()
}

// Value returns the newest known ledger as stored on the platform.
func (h *Holder) Value() fgstore.Value {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.value
}

// Changed returns a channel that is closed when a newer ledger arrives.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// ApplyLimits applies the limits of a configuration and ignores generations
// older than the current one.
func (h *Holder) ApplyLimits(d DeclaredLimits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.generation < h.declared.generation {
		return
	}
	h.declared = d
	old := h.index.Load()
	next := &shareIndex{rates: map[string]*Rate{}, slots: map[string]*Slots{}}
	maps.Copy(next.rates, old.rates)
	maps.Copy(next.slots, old.slots)
	for name, l := range d.limits {
		if l.limit.IsRate() && next.rates[name] == nil {
			next.rates[name] = &Rate{epoch: h.epoch}
		}
		if !l.limit.IsRate() && next.slots[name] == nil {
			next.slots[name] = &Slots{epoch: h.epoch}
		}
	}
	h.resizeAll(next)
	h.index.Store(next)
}

func (h *Holder) resizeAll(index *shareIndex) {
	for name, r := range index.rates {
		l := h.declared.limits[name].limit
		r.resize(l, h.state.Units(name, l.Units()))
	}
	for name, s := range index.slots {
		s.resize(h.state.Units(name, h.declared.limits[name].limit.Units()))
	}
}

// ApplyLedger applies a stored ledger and ignores revisions that are not newer
// than the current one.
func (h *Holder) ApplyLedger(v fgstore.Value) error {
	var l fgshare.Ledger
	if err := json.Unmarshal(v.Data, &l); err != nil {
		return fmt.Errorf("share ledger, revision %d: %w", v.Revision, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.state.Advance(v.Revision, l) {
		return nil
	}
	h.value = v
	h.resizeAll(h.index.Load())
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}

// WatchLedger watches the ledger on the platform until the context ends.
func (h *Holder) WatchLedger(ctx context.Context, store fgstore.Store) {
	for ctx.Err() == nil {
		v, err := store.Watch(ctx, Key, h.Revision())
		if err == nil {
			err = h.ApplyLedger(v)
		}
		if err != nil && !errors.Is(err, fgstore.ErrNotFound) && ctx.Err() == nil {
			h.logger.V(1).Info("share ledger watch failed", "error", err.Error())
			_ = fgtimer.Wait(ctx, watchRetryDelay)
		}
	}
}

// Lower limits the holder to the given units until it sees a ledger above the
// given revision. It returns the promised units, which exceed the given ones
// while permits are in use or loans are outstanding.
func (h *Holder) Lower(holder, limit string, units int64, revision uint64) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if holder != h.state.Name() {
		return 0, merry.Wrap(ErrWrongHolder)
	}
	index := h.index.Load()
	declared := h.declared.limits[limit].limit
	// Lower the share before the promise is made, so that concurrent loans and
	// permits cannot exceed the lowered share.
	if r := index.rates[limit]; r != nil {
		r.resize(declared, min(units, h.state.Units(limit, declared.Units())))
		units = max(units, r.minUnits())
	}
	if s := index.slots[limit]; s != nil {
		s.resize(min(units, h.state.Units(limit, declared.Units())))
		units = max(units, s.minUnits())
	}
	promised := h.state.Promise(limit, units, revision)
	h.resizeAll(index)
	if !promised {
		return 0, merry.Wrap(ErrStaleLedger)
	}
	return units, nil
}

// Loan is the response of a lender. The zero value lends nothing.
type Loan struct {
	amount int64
	waited time.Duration
}

// NewLoan returns a loan that the lender granted after waiting for the given
// time.
func NewLoan(amount int64, waited time.Duration) Loan { return Loan{amount: amount, waited: waited} }

// Amount returns the amount lent.
func (l Loan) Amount() int64 { return l.amount }

// Waited returns how long the lender waited before it granted the loan. The
// loan's validity starts no earlier than the send time of the request plus
// this wait.
func (l Loan) Waited() time.Duration { return l.waited }

// Lend spends at most the amount of a rate on behalf of a peer. If the bucket
// will hold the amount within maxLendWait, Lend waits for it.
func (h *Holder) Lend(ctx context.Context, limit string, amount int64) Loan {
	r := h.Rate(limit)
	if r == nil {
		return Loan{}
	}
	start := time.Now()
	if wait, ok := r.TimeUntil(amount); ok && wait <= maxLendWait {
		_ = fgtimer.Wait(ctx, wait)
	}
	waited := time.Since(start)
	return Loan{amount: r.Lend(amount), waited: waited}
}

// Demands returns the demand of each limit that was recently requested or has
// spare tokens or permits.
func (h *Holder) Demands() []Demand {
	index := h.index.Load()
	var out []Demand
	for _, name := range slices.Sorted(maps.Keys(index.rates)) {
		out = appendUsed(out, index.rates[name].demand(name))
	}
	for _, name := range slices.Sorted(maps.Keys(index.slots)) {
		out = appendUsed(out, index.slots[name].demand(name))
	}
	return out
}

func appendUsed(out []Demand, d Demand) []Demand {
	if d.used+d.refused+d.spare == 0 {
		return out
	}
	return append(out, d)
}

// elapsed returns the time since the holder was created.
func (h *Holder) elapsed() time.Duration { return time.Since(h.epoch) }

func (h *Holder) snapshot() (uint64, fgshare.Ledger, DeclaredLimits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Revision(), h.state.Ledger(), h.declared
}
