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

// Key is the platform key of the fleet's ledger.
const Key = "shares/fleet"

// watchRetryDelay separates watch calls after an error.
const watchRetryDelay = 200 * time.Millisecond

// Sentinel errors of a Holder.
var (
	// ErrOtherHolder means that a message is for another process.
	ErrOtherHolder = merry.Sentinel("the process is not the addressed holder")
	// ErrBehind means that the keeper knows an older ledger than the holder.
	ErrBehind = merry.Sentinel("the keeper's ledger is older than the holder's")
)

// Declared is a limit as the configuration declares it.
type Declared struct {
	limit  fgshare.Limit
	region string
}

// NewDeclared returns a limit that only VMs of a region hold, or all VMs where
// the region is empty.
func NewDeclared(l fgshare.Limit, region string) Declared { return Declared{limit: l, region: region} }

// Declaration is all limits of one configuration.
type Declaration struct {
	generation uint64
	limits     map[string]Declared
}

// NewDeclaration returns the limits of a configuration generation. The map must
// not be modified afterwards.
func NewDeclaration(generation uint64, limits map[string]Declared) Declaration {
	return Declaration{generation: generation, limits: limits}
}

// Holder is this process's part of all limits.
type Holder struct {
	logger logr.Logger
	epoch  time.Time
	meters atomic.Pointer[meters]

	mu          sync.Mutex
	state       *fgshare.Holder
	value       fgstore.Value
	declaration Declaration
	changed     chan struct{}
}

// meters is the immutable index that the routing path reads. A meter stays in
// it after its limit was withdrawn: its loans and permits may be outstanding.
type meters struct {
	rates map[string]*Rate
	slots map[string]*Slots
}

// NewHolder returns a holder without units.
func NewHolder(incarnation string, logger logr.Logger) *Holder {
	h := &Holder{logger: logger, epoch: time.Now(), state: fgshare.NewHolder(incarnation), changed: make(chan struct{})}
	h.meters.Store(&meters{})
	return h
}

// Rate returns the share of a rate, or nil when it is not declared.
func (h *Holder) Rate(limit string) *Rate { return h.meters.Load().rates[limit] }

// Slots returns the share of slots, or nil when they are not declared.
func (h *Holder) Slots(limit string) *Slots { return h.meters.Load().slots[limit] }

// Revision returns the revision of the newest known ledger.
func (h *Holder) Revision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Revision()
}

// Value returns the newest known ledger as it is stored.
func (h *Holder) Value() fgstore.Value {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.value
}

// Changed returns a channel that is closed when a newer ledger is known.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Declare brings a configuration into force. An older one is ignored.
func (h *Holder) Declare(d Declaration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.generation < h.declaration.generation {
		return
	}
	h.declaration = d
	old := h.meters.Load()
	next := &meters{rates: map[string]*Rate{}, slots: map[string]*Slots{}}
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
	h.meters.Store(next)
}

func (h *Holder) resizeAll(m *meters) {
	for name, r := range m.rates {
		l := h.declaration.limits[name].limit
		r.resize(l, h.state.Units(name, l.Units()))
	}
	for name, s := range m.slots {
		s.resize(h.state.Units(name, h.declaration.limits[name].limit.Units()))
	}
}

// Absorb takes over a stored ledger. Older ones are ignored.
func (h *Holder) Absorb(v fgstore.Value) error {
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
	h.resizeAll(h.meters.Load())
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}

// Follow watches the platform's ledger until the context ends.
func (h *Holder) Follow(ctx context.Context, store fgstore.Store) {
	for ctx.Err() == nil {
		v, err := store.Watch(ctx, Key, h.Revision())
		if err == nil {
			err = h.Absorb(v)
		}
		if err != nil && !errors.Is(err, fgstore.ErrNotFound) && ctx.Err() == nil {
			h.logger.V(1).Info("ledger watch failed", "error", err.Error())
			_ = fgtimer.Wait(ctx, watchRetryDelay)
		}
	}
}

// Lower makes the holder use at most some units until it sees a ledger above
// a revision. It returns the units that it promises: more than asked for as
// long as permits are in use or loans are outstanding.
func (h *Holder) Lower(holder, limit string, units int64, revision uint64) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if holder != h.state.Name() {
		return 0, merry.Wrap(ErrOtherHolder)
	}
	m := h.meters.Load()
	declared := h.declaration.limits[limit].limit
	// The share is lowered before the promise is given. Lending and acquiring
	// in between cannot exceed the lowered share.
	if r := m.rates[limit]; r != nil {
		r.resize(declared, min(units, h.state.Units(limit, declared.Units())))
		units = max(units, r.pledged())
	}
	if s := m.slots[limit]; s != nil {
		s.resize(min(units, h.state.Units(limit, declared.Units())))
		units = max(units, s.pledged())
	}
	kept := h.state.Promise(limit, units, revision)
	h.resizeAll(m)
	if !kept {
		return 0, merry.Wrap(ErrBehind)
	}
	return units, nil
}

// Loan is what a lender granted. The zero value grants nothing.
type Loan struct {
	amount int64
	waited time.Duration
}

// NewLoan returns a loan that was granted at least a time after it was asked for.
func NewLoan(amount int64, waited time.Duration) Loan { return Loan{amount: amount, waited: waited} }

// Amount returns the granted amount.
func (l Loan) Amount() int64 { return l.amount }

// Waited returns for how long the lender waited before it granted the loan. The
// validity of the loan begins no earlier.
func (l Loan) Waited() time.Duration { return l.waited }

// Lend spends at most an amount of a rate for a peer. When the bucket will soon
// hold the amount, it waits for that.
func (h *Holder) Lend(ctx context.Context, limit string, amount int64) Loan {
	r := h.Rate(limit)
	if r == nil {
		return Loan{}
	}
	start := time.Now()
	if wait, ok := r.Wait(amount); ok && wait <= maxLendWait {
		_ = fgtimer.Wait(ctx, wait)
	}
	waited := time.Since(start)
	return Loan{amount: r.Lend(amount), waited: waited}
}

// Demands returns the use of the limits that were used or have spare units.
func (h *Holder) Demands() []Demand {
	m := h.meters.Load()
	var out []Demand
	for _, name := range slices.Sorted(maps.Keys(m.rates)) {
		out = appendUsed(out, m.rates[name].demand(name))
	}
	for _, name := range slices.Sorted(maps.Keys(m.slots)) {
		out = appendUsed(out, m.slots[name].demand(name))
	}
	return out
}

func appendUsed(out []Demand, d Demand) []Demand {
	if d.used+d.refused+d.spare == 0 {
		return out
	}
	return append(out, d)
}

// clock returns the time since the holder was made.
func (h *Holder) clock() time.Duration { return time.Since(h.epoch) }

func (h *Holder) view() (uint64, fgshare.Ledger, Declaration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Revision(), h.state.Ledger(), h.declaration
}
