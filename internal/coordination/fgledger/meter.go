// Package fgledger divides limits between the processes of the fleet. Every
// process is a Holder; the live member with the lowest hash also acts as Keeper
// and moves units between holders. Safety rests on compare-and-swap of the
// ledger and on the holders' promises, never on who believes to be the keeper.
package fgledger

import (
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgshare"
)

// demandWindow is the time over which use is counted.
const demandWindow = time.Second

// Demand is a holder's use of one limit within the last second: for a rate in
// thousandths of tokens, for slots in permits.
type Demand struct {
	limit                string
	used, refused, spare int64
}

// NewDemand returns a demand that a peer reported.
func NewDemand(limit string, used, refused, spare int64) Demand {
	return Demand{limit: limit, used: used, refused: refused, spare: spare}
}

// Limit returns the limit's name.
func (d Demand) Limit() string { return d.limit }

// Used returns what was spent.
func (d Demand) Used() int64 { return d.used }

// Refused returns what was asked for and not there.
func (d Demand) Refused() int64 { return d.refused }

// Spare returns what is stored now.
func (d Demand) Spare() int64 { return d.spare }

// window counts use in this and in the last full window.
type window struct {
	start                            time.Duration
	used, refused, lastUsed, lastRef int64
}

func (w *window) turn(now time.Duration) {
	passed := now - w.start
	if passed < demandWindow {
		return
	}
	w.lastUsed, w.lastRef = w.used, w.refused
	if passed >= 2*demandWindow {
		w.lastUsed, w.lastRef = 0, 0
	}
	w.used, w.refused = 0, 0
	w.start = now
}

// Rate is this process's share of a rate. It has its own lock, so that requests
// of different workspaces do not meet.
type Rate struct {
	mu     sync.Mutex
	epoch  time.Time
	bucket fgshare.Bucket
	window window
}

func (r *Rate) now() time.Duration { return time.Since(r.epoch) }

// Take spends an amount if all of it is there.
func (r *Rate) Take(amount int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.window.turn(now)
	if !r.bucket.Take(now, amount) {
		return false
	}
	r.window.used += amount
	return true
}

// Refund gives back an amount that was taken and not used.
func (r *Rate) Refund(amount int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.window.turn(now)
	r.bucket.Refund(now, amount)
	r.window.used = max(0, r.window.used-amount)
}

// TakeUpTo spends at most an amount and returns what it spent.
func (r *Rate) TakeUpTo(amount int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.window.turn(now)
	taken := r.bucket.TakeUpTo(now, amount)
	r.window.used += taken
	return taken
}

// Refuse counts a demand that was not met.
func (r *Rate) Refuse(amount int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.turn(r.now())
	r.window.refused += amount
}

// Missing returns what the bucket lacks of an amount.
func (r *Rate) Missing(amount int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket.Missing(r.now(), amount)
}

// Wait returns when the bucket will hold an amount, and false for never.
func (r *Rate) Wait(amount int64) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket.Wait(r.now(), amount)
}

// Receive adds tokens lent by a peer that was asked at a time.
func (r *Rate) Receive(sent time.Time, amount int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bucket.Receive(r.now(), sent.Sub(r.epoch), amount)
}

// Lend spends at most an amount for a peer.
func (r *Rate) Lend(amount int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket.Lend(r.now(), amount)
}

// Batch returns an amount worth borrowing at once: what a request needs, or
// what the last second's use suggests for half the validity of a loan.
func (r *Rate) Batch(amount int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.turn(r.now())
	perSecond := max(r.window.lastUsed, r.window.used) + max(r.window.lastRef, r.window.refused)
	return max(amount, int64(float64(perSecond)*(fgshare.LoanValidity/2).Seconds()))
}

func (r *Rate) pledged() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket.Pledged(r.now())
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
	r.window.turn(now)
	w := &r.window
	return Demand{limit: limit, used: max(w.used, w.lastUsed), refused: max(w.refused, w.lastRef), spare: r.bucket.Spare(now)}
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
	s.turn()
	if !s.permits.Acquire() {
		s.window.refused++
		return false
	}
	s.window.used = max(s.window.used, s.permits.InUse())
	return true
}

// Release gives a permit back.
func (s *Slots) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.Release()
}

// Units returns the permits that this process owns.
func (s *Slots) Units() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.Units()
}

// Free returns the permits that can be taken now.
func (s *Slots) Free() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.permits.Units()-s.permits.InUse())
}

func (s *Slots) turn() {
	now := time.Since(s.epoch)
	s.window.turn(now)
	s.window.used = max(s.window.used, s.permits.InUse())
}

func (s *Slots) pledged() int64 {
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
	s.turn()
	w := &s.window
	return Demand{
		limit: limit, used: max(w.used, w.lastUsed), refused: max(w.refused, w.lastRef),
		spare: max(0, s.permits.Units()-s.permits.InUse()),
	}
}
