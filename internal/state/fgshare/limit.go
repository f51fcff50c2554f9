// Package fgshare implements the arithmetic of shares: how the units of a limit
// are divided between processes (the holders), and what a process may do with
// its units. It has no locks, clocks or I/O; the owners of its values
// synchronize access.
package fgshare

import (
	"math/bits"
	"time"
)

const (
	// Token is the amount that equals one token. Amounts are integers in
	// thousandths of a token, so that a process can hold and lend a fraction
	// of a token: a small burst divided between many processes leaves each
	// with less than one token.
	Token int64 = 1000
	// RateUnits is the number of units of each rate. A unit is a fraction of
	// the declared rate and burst, so that a change of either scales all
	// shares at once, without a write to the ledger.
	RateUnits int64 = 1000
	// LoanValidity is the time in which lent tokens can be spent.
	LoanValidity = 200 * time.Millisecond
)

// Limit is a declared total: a rate with a burst, or a number of slots.
type Limit struct {
	units     int64
	perSecond int64
	burst     int64
	isRate    bool
}

// Rate returns a limit in tokens per second with a burst in tokens.
func Rate(perSecond, burst int64) Limit {
	return Limit{units: RateUnits, perSecond: perSecond, burst: burst, isRate: true}
}

// Slots returns a limit on the permits in use at the same time.
func Slots(n int64) Limit { return Limit{units: n} }

// Units returns the number of units into which the limit is divided.
func (l Limit) Units() int64 { return l.units }

// IsRate reports whether the limit is a rate.
func (l Limit) IsRate() bool { return l.isRate }

// Capacity returns the amount that a bucket with the given units can hold.
func (l Limit) Capacity(units int64) int64 {
	return mulDiv(l.burst*Token, units, l.units)
}

// UnitsFor returns the fewest units whose capacity is at least the amount.
func (l Limit) UnitsFor(amount int64) int64 {
	if amount <= 0 || l.burst <= 0 {
		return 0
	}
	units := mulDiv(amount, l.units, l.burst*Token)
	if l.Capacity(units) < amount {
		units++
	}
	return min(units, l.units)
}

// UnitsForDemand returns the units that allow the given use: tokens per
// second of a rate, or permits. Use above the limit needs all units.
func (l Limit) UnitsForDemand(perSecond int64) int64 {
	switch {
	case perSecond <= 0:
		return 0
	case !l.isRate:
		return min(perSecond, l.units)
	case l.perSecond <= 0 || perSecond >= l.perSecond:
		return l.units
	default:
		return max(1, mulDiv(perSecond, l.units, l.perSecond))
	}
}

// mulDiv returns a*b/c rounded down. The product cannot overflow; a quotient
// that does is returned as the largest int64. It returns 0 if an operand is
// not positive.
func mulDiv(a, b, c int64) int64 {
	if a <= 0 || b <= 0 || c <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return int64(^uint64(0) >> 1)
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(min(q, ^uint64(0)>>1))
}
