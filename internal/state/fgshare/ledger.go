package fgshare

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrOverspent means that a ledger grants more units than a limit has.
var ErrOverspent = errors.New("the ledger grants more units than the limit has")

// Ledger says who holds which units of each limit. Its fields are exported for
// the codec; a Ledger is never modified after it was made.
type Ledger struct {
	Holders map[string]Registration `json:"holders,omitempty"`
	Limits  map[string]Share        `json:"limits,omitempty"`
}

// Registration says which VM a holder runs on.
type Registration struct {
	VM string `json:"vm"`
	// Members is the generation of the member journal in which a keeper saw the
	// holder. Only a later generation can prove that the holder is gone.
	Members uint64 `json:"members"`
}

// Share is the division of one limit.
type Share struct {
	// Total bounds the sum of Units.
	Total int64 `json:"total"`
	// Generation is the configuration in which a keeper read the total. A keeper
	// with an older configuration leaves the share as it is.
	Generation uint64           `json:"generation"`
	Units      map[string]int64 `json:"units,omitempty"`
}

// Sum returns the granted units.
func (s Share) Sum() int64 {
	var sum int64
	for _, u := range s.Units {
		sum += u
	}
	return sum
}

// Check returns ErrOverspent when a limit is overspent.
func (l Ledger) Check() error {
	for name, s := range l.Limits {
		if s.Sum() > s.Total {
			return fmt.Errorf("limit %s: %d of %d units: %w", name, s.Sum(), s.Total, ErrOverspent)
		}
	}
	return nil
}

// Target is the division of a limit that a keeper aims at.
type Target struct {
	total      int64
	generation uint64
	units      map[string]int64
}

// NewTarget returns a target. The holders that it does not name get nothing.
func NewTarget(total int64, generation uint64, units map[string]int64) Target {
	return Target{total: total, generation: generation, units: units}
}

// Units returns the units that the target gives to a holder.
func (t Target) Units(holder string) int64 { return t.units[holder] }

// Lowering is a request to a holder to hold fewer units.
type Lowering struct {
	limit, holder string
	units         int64
}

// Limit returns the name of the limit.
func (l Lowering) Limit() string { return l.limit }

// Holder returns the holder's incarnation.
func (l Lowering) Holder() string { return l.holder }

// Units returns the units that the holder may keep.
func (l Lowering) Units() int64 { return l.units }

// Lowerings returns what holders must promise before a target can be reached.
func (s Share) Lowerings(limit string, t Target) []Lowering {
	var out []Lowering
	for _, h := range slices.Sorted(maps.Keys(s.Units)) {
		if t.generation >= s.Generation && t.units[h] < s.Units[h] {
			out = append(out, Lowering{limit: limit, holder: h, units: t.units[h]})
		}
	}
	return out
}

// movedPart is the part of a limit, as a divisor, that moves in one step. The
// units of a step stay unused while a write's outcome is unknown, which can be
// as long as the platform is away.
const movedPart = 5

// Step bounds lowerings to what may move at once: a part of the limit, and one
// unit at least. A limit that shrinks is lowered in one step, as its units are
// lost to their holders in any case.
func (s Share) Step(t Target, all []Lowering) []Lowering {
	if t.total < s.Total {
		return all
	}
	left := max(1, s.Total/movedPart)
	var out []Lowering
	for _, l := range all {
		moved := min(s.Units[l.holder]-l.units, left)
		if moved <= 0 {
			break
		}
		left -= moved
		out = append(out, Lowering{limit: l.limit, holder: l.holder, units: s.Units[l.holder] - moved})
	}
	return out
}

// Next returns the share moved towards a target. A holder's units fall only to
// what it has promised, or when it is gone. Only units that are free then are
// given to others.
func (s Share) Next(t Target, promised map[string]int64, gone func(holder string) bool) Share {
	units := map[string]int64{}
	var sum int64
	for h, u := range s.Units {
		if gone(h) {
			continue
		}
		if p, ok := promised[h]; ok && t.generation >= s.Generation {
			u = min(u, max(p, t.units[h]))
		}
		sum += u
		units[h] = u
	}
	if t.generation < s.Generation {
		return Share{Total: s.Total, Generation: s.Generation, Units: prune(units)}
	}
	room := t.total - sum
	for _, h := range slices.Sorted(maps.Keys(t.units)) {
		if more := min(t.units[h]-units[h], room); more > 0 && !gone(h) {
			units[h] += more
			room -= more
		}
	}
	return Share{Total: max(t.total, sum), Generation: t.generation, Units: prune(units)}
}

// prune removes the holders without units.
func prune(units map[string]int64) map[string]int64 {
	maps.DeleteFunc(units, func(_ string, u int64) bool { return u == 0 })
	return units
}

// Holder is what one process knows of the ledger and has promised about it.
type Holder struct {
	name     string
	revision uint64
	ledger   Ledger
	promises map[string]promise
}

// promise says: at most so many units until a revision above is seen.
type promise struct {
	units    int64
	revision uint64
}

// NewHolder returns a holder that knows no ledger and has no units.
func NewHolder(name string) *Holder { return &Holder{name: name, promises: map[string]promise{}} }

// Name returns the holder's incarnation.
func (h *Holder) Name() string { return h.name }

// Revision returns the revision of the newest ledger that the holder has seen.
func (h *Holder) Revision() uint64 { return h.revision }

// Ledger returns the newest ledger that the holder has seen.
func (h *Holder) Ledger() Ledger { return h.ledger }

// Advance replaces the ledger by a newer revision and ends the promises that
// it fulfils. It returns false for a revision that is not newer.
func (h *Holder) Advance(revision uint64, l Ledger) bool {
	if revision <= h.revision {
		return false
	}
	h.revision, h.ledger = revision, l
	maps.DeleteFunc(h.promises, func(_ string, p promise) bool { return p.revision < revision })
	return true
}

// Promise limits the holder to some units until it sees a ledger above a
// revision, and returns false when it has already seen one: the keeper is then
// behind, and its write will fail.
func (h *Holder) Promise(limit string, units int64, revision uint64) bool {
	if revision < h.revision {
		return false
	}
	// Two promises are merged into the stricter one. It may last longer than
	// both need, never shorter.
	if p, ok := h.promises[limit]; ok {
		units, revision = min(units, p.units), max(revision, p.revision)
	}
	h.promises[limit] = promise{units: units, revision: revision}
	return true
}

// Units returns the units that the holder may use of a limit, whose declared
// total may have fallen since the ledger was written.
func (h *Holder) Units(limit string, declared int64) int64 {
	s := h.ledger.Limits[limit]
	units := s.Units[h.name]
	if declared < s.Total {
		units = mulDiv(units, declared, s.Total)
	}
	if p, ok := h.promises[limit]; ok {
		units = min(units, p.units)
	}
	return units
}
