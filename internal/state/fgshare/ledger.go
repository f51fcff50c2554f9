package fgshare

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrOverspent means that a ledger grants more units of a limit than the
// limit has.
var ErrOverspent = errors.New("the ledger grants more units than the limit has")

// Ledger records how many units of each limit each holder has. Its fields are
// exported for encoding/json; a Ledger is immutable once it is built.
type Ledger struct {
	Holders map[string]Registration `json:"holders,omitempty"`
	Limits  map[string]Share        `json:"limits,omitempty"`
}

// Registration identifies the VM on which a holder runs.
type Registration struct {
	VM string `json:"vm"`
	// Members is the generation of the member journal in which the holder was
	// seen. Only this or a later generation can prove that the holder has
	// ended.
	Members uint64 `json:"members"`
}

// Share is the division of one limit between its holders.
type Share struct {
	// Total is the upper bound of the sum of Units.
	Total int64 `json:"total"`
	// Generation is the configuration generation from which Total was read. A
	// rebalancer with an older configuration does not redistribute the share.
	Generation uint64           `json:"generation"`
	Units      map[string]int64 `json:"units,omitempty"`
}

// Sum returns the number of granted units.
func (s Share) Sum() int64 {
	var sum int64
	for _, u := range s.Units {
		sum += u
	}
	return sum
}

// Check returns ErrOverspent if the granted units of a limit exceed its
// total.
func (l Ledger) Check() error {
	for name, s := range l.Limits {
		if s.Sum() > s.Total {
			return fmt.Errorf("limit %s: %d of %d units: %w", name, s.Sum(), s.Total, ErrOverspent)
		}
	}
	return nil
}

// Target is the division of a limit that a rebalancer wants to reach.
type Target struct {
	total      int64
	generation uint64
	units      map[string]int64
}

// NewTarget returns a target. Holders without an entry in units get none.
func NewTarget(total int64, generation uint64, units map[string]int64) Target {
	return Target{total: total, generation: generation, units: units}
}

// Units returns the units of a holder in the target.
func (t Target) Units(holder string) int64 { return t.units[holder] }

// Reduction is a request to a holder to reduce its units.
type Reduction struct {
	limit, holder string
	units         int64
}

// Limit returns the name of the limit.
func (r Reduction) Limit() string { return r.limit }

// Holder returns the holder's incarnation.
func (r Reduction) Holder() string { return r.holder }

// Units returns the number of units that the holder may keep.
func (r Reduction) Units() int64 { return r.units }

// Reductions returns the reductions that holders must promise before the
// target can be reached.
func (s Share) Reductions(limit string, t Target) []Reduction {
	var reductions []Reduction
	for _, h := range slices.Sorted(maps.Keys(s.Units)) {
		if t.generation >= s.Generation && t.units[h] < s.Units[h] {
			reductions = append(reductions, Reduction{limit: limit, holder: h, units: t.units[h]})
		}
	}
	return reductions
}

// stepDivisor limits the units that move in one step to 1/stepDivisor of the
// limit. These units stay unused while the outcome of the write is unknown,
// which can last as long as an outage of the platform.
const stepDivisor = 5

// LimitReductions restricts reductions to the units that may move in one step:
// a fraction of the limit, and at least one unit. A limit whose total
// decreases is reduced in one step, because its holders lose these units in
// any case.
func (s Share) LimitReductions(t Target, all []Reduction) []Reduction {
	if t.total < s.Total {
		return all
	}
	remaining := max(1, s.Total/stepDivisor)
	var limited []Reduction
	for _, r := range all {
		moved := min(s.Units[r.holder]-r.units, remaining)
		if moved <= 0 {
			break
		}
		remaining -= moved
		limited = append(limited, Reduction{limit: r.limit, holder: r.holder, units: s.Units[r.holder] - moved})
	}
	return limited
}

// Next returns the share after a step towards the target. A holder's units
// decrease only to what it has promised, or to zero once its process has
// ended. Only units that are then unassigned go to other holders.
func (s Share) Next(t Target, promised map[string]int64, terminated func(holder string) bool) Share {
	units := map[string]int64{}
	var sum int64
	for h, u := range s.Units {
		if terminated(h) {
			continue
		}
		if limitedTo, ok := promised[h]; ok && t.generation >= s.Generation {
			u = min(u, max(limitedTo, t.units[h]))
		}
		sum += u
		units[h] = u
	}
	if t.generation < s.Generation {
		return Share{Total: s.Total, Generation: s.Generation, Units: removeEmpty(units)}
	}
	unassigned := t.total - sum
	for _, h := range slices.Sorted(maps.Keys(t.units)) {
		if more := min(t.units[h]-units[h], unassigned); more > 0 && !terminated(h) {
			units[h] += more
			unassigned -= more
		}
	}
	return Share{Total: max(t.total, sum), Generation: t.generation, Units: removeEmpty(units)}
}

// removeEmpty removes the holders without units.
func removeEmpty(units map[string]int64) map[string]int64 {
	maps.DeleteFunc(units, func(_ string, u int64) bool { return u == 0 })
	return units
}

// Holder is the newest ledger that one process has seen and the promises that
// it has given to rebalancers.
type Holder struct {
	name     string
	revision uint64
	ledger   Ledger
	promises map[string]promise
}

// promise limits a holder to a number of units until it sees a ledger with a
// higher revision.
type promise struct {
	units    int64
	revision uint64
}

// NewHolder returns a holder without a ledger and without units.
func NewHolder(name string) *Holder { return &Holder{name: name, promises: map[string]promise{}} }

// Name returns the holder's incarnation.
func (h *Holder) Name() string { return h.name }

// Revision returns the revision of the newest ledger that the holder has seen.
func (h *Holder) Revision() uint64 { return h.revision }

// Ledger returns the newest ledger that the holder has seen.
func (h *Holder) Ledger() Ledger { return h.ledger }

// Advance replaces the ledger if the given revision is newer and ends the
// promises that were given for older revisions. It returns false if the
// revision is not newer.
func (h *Holder) Advance(revision uint64, l Ledger) bool {
	if revision <= h.revision {
		return false
	}
	h.revision, h.ledger = revision, l
	maps.DeleteFunc(h.promises, func(_ string, p promise) bool { return p.revision < revision })
	return true
}

// Promise limits the holder to a number of units until it sees a ledger with
// a revision above the given one. It returns false if the holder has already
// seen such a ledger: the rebalancer's ledger is then stale and its write
// will fail.
func (h *Holder) Promise(limit string, units int64, revision uint64) bool {
	if revision < h.revision {
		return false
	}
	// Merge two promises into the stricter one. It may last longer than
	// necessary, never shorter.
	if p, ok := h.promises[limit]; ok {
		units, revision = min(units, p.units), max(revision, p.revision)
	}
	h.promises[limit] = promise{units: units, revision: revision}
	return true
}

// Units returns the units of a limit that the holder may use. If the declared
// total is lower than the total in the ledger, the units are scaled down.
func (h *Holder) Units(limit string, declared int64) int64 {
	share := h.ledger.Limits[limit]
	units := share.Units[h.name]
	if declared < share.Total {
		units = mulDiv(units, declared, share.Total)
	}
	if limitedTo, ok := h.promises[limit]; ok {
		units = min(units, limitedTo.units)
	}
	return units
}
