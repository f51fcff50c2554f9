// Package fgledger divides limits between the processes of the fleet. Every
// process is a Holder. The live member with the lowest hash also acts as the
// Rebalancer and moves units between holders. Safety comes from compare-and-swap
// of the ledger and from the holders' promises: it holds even if several
// processes act as the rebalancer.
package fgledger

import (
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgshare"
)

// demandWindow is the time over which use is counted.
const demandWindow = time.Second

// Demand is a holder's recent use of one limit: for a rate in thousandths of
// a token per demandWindow, for slots in permits.
type Demand struct {
	limit                string
	used, refused, spare int64
}

// NewDemand returns a demand that a peer reported.
func NewDemand(limit string, used, refused, spare int64) Demand {
	return Demand{limit: limit, used: used, refused: refused, spare: spare}
}

// Limit returns the name of the limit.
func (d Demand) Limit() string { return d.limit }

// Used returns the amount spent, or the highest number of permits in use at the
// same time.
func (d Demand) Used() int64 { return d.used }

// Refused returns the amount that was requested but not available.
func (d Demand) Refused() int64 { return d.refused }

// Spare returns the amount that is available now.
func (d Demand) Spare() int64 { return d.spare }

// window counts use in the current and in the last complete demand window.
type window struct {
	start                                time.Duration
	used, refused, lastUsed, lastRefused int64
}

func (w *window) rotate(now time.Duration) {
	elapsed := now - w.start
	if elapsed < demandWindow {
		return
	}
	w.lastUsed, w.lastRefused = w.used, w.refused
	if elapsed >= 2*demandWindow {
		w.lastUsed, w.lastRefused = 0, 0
	}
	w.used, w.refused = 0, 0
	w.start = now
}

// Rate is this process's share of a rate. Each Rate has its own lock, so that
// requests of different workspaces do not contend.
type Rate struct {
	mu     sync.Mutex
	epoch  time.Time
	bucket fgshare.Bucket
	window window
}

func (r *Rate) now() time.Duration { return time.Since(r.epoch) }

// Take spends the whole amount and returns true, or spends nothing and
// returns false.
func (r *Rate) Take(amount int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.window.rotate(now)
	if !r.bucket.Take(now, amount) {
		return false
	}
	r.window.used += amount
	return true
}

// Refund returns an amount that was taken but not used.
func (r *Rate) Refund(amount int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.window.rotate(now)
	r.bucket.Refund(now, amount)
	r.window.used = max(0, r.window.used-amount)
}

// TakeUpTo spends at most the amount and returns what it spent.
func (r *Rate) TakeUpTo(amount int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.window.rotate(now)
	taken := r.bucket.TakeUpTo(now, amount)
	r.window.used += taken
	return taken
}

// CountRefused counts an amount that was requested but not available.
func (r *Rate) CountRefused(amount int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.rotate(r.now())
	r.window.refused += amount
}

// Missing returns how much of the amount the bucket lacks.
func (r *Rate) Missing(amount int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket.Missing(r.now(), amount)
}

// TimeUntil returns the time until the bucket holds the amount, or false if it
// never will.
func (r *Rate) TimeUntil(amount int64) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket.TimeUntil(r.now(), amount)
}

// Receive adds tokens lent by a peer. Their validity starts at the given
// time.
func (r *Rate) Receive(sent time.Time, amount int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bucket.Receive(r.now(), sent.Sub(r.epoch), amount)
}

// Lend spends at most the amount on behalf of a peer and returns what it
// spent.
func (r *Rate) Lend(amount int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket.Lend(r.now(), amount)
}

// BorrowAmount returns the amount to borrow at once: the given amount or, if
// that is more, the demand expected during half the validity of a loan. The
// estimate is the recent demand per second.
func (r *Rate) BorrowAmount(amount int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.rotate(r.now())
	perSecond := max(r.window.lastUsed, r.window.used) + max(r.window.lastRefused, r.window.refused)
	return max(amount, int64(float64(perSecond)*(fgshare.LoanValidity/2).Seconds()))
}

func (r *Rate) minUnits() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket.MinUnits(r.now())
}

func (r *Rate) resize(l fgshare.Limit, units int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bucket.Resize(r.now(), l, units)
}

func (r *Rate) demand(limit string) Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.window.rotate(now)
	w := &r.window
	return Demand{limit: limit, used: max(w.used, w.lastUsed), refused: max(w.refused, w.lastRefused), spare: r.bucket.Stored(now)}
}

// Slots is this process's share of an upstream's slots.
type Slots struct {
	mu      sync.Mutex
	epoch   time.Time
	permits fgshare.Permits
	window  window
}

// Acquire takes a permit if one is free.
func (s *Slots) Acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate()
	if !s.permits.Acquire() {
		s.window.refused++
		return false
	}
	s.window.used = max(s.window.used, s.permits.InUse())
	return true
}

// Release returns a permit.
func (s *Slots) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.Release()
}

// Units returns the number of permits of this process, free or in use.
func (s *Slots) Units() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.Units()
}

// Free returns the number of free permits.
func (s *Slots) Free() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.permits.Units()-s.permits.InUse())
}

func (s *Slots) rotate() {
	now := time.Since(s.epoch)
	s.window.rotate(now)
	s.window.used = max(s.window.used, s.permits.InUse())
}

func (s *Slots) minUnits() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.InUse()
}

func (s *Slots) resize(units int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.Resize(units)
}

func (s *Slots) demand(limit string) Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate()
	w := &s.window
	return Demand{
		limit: limit, used: max(w.used, w.lastUsed), refused: max(w.refused, w.lastRefused),
		spare: max(0, s.permits.Units()-s.permits.InUse()),
	}
}
