// Package fgshare is the arithmetic of shares: how a limit is divided between
// processes, and what a process may do with its part. It has no locks, no
// clocks and no input or output; its values are guarded by their owners.
package fgshare

import (
	"math/bits"
	"time"
)

const (
	// Token is one token in the integer amounts of this package. Thousandths
	// let a process hold and lend parts of a token, since a small burst divided
	// between many processes leaves less than one token to each.
	Token int64 = 1000
	// RateUnits is the number of units of each rate. Units of a rate are parts
	// of whatever is declared, so that a new rate or burst scales all shares at
	// once, without a write to the ledger.
	RateUnits int64 = 1000
	// LoanValidity is how long lent tokens can be spent.
	LoanValidity = 200 * time.Millisecond
)

// Limit is a declared total: a rate with a burst, or a number of slots.
type Limit struct {
	units     int64
	perSecond int64
	burst     int64
	divisible bool
}

// Rate returns a limit of tokens per second with a burst.
func Rate(perSecond, burst int64) Limit {
	return Limit{units: RateUnits, perSecond: perSecond, burst: burst, divisible: true}
}

// Slots returns a limit of permits that are in use at the same time.
func Slots(n int64) Limit { return Limit{units: n} }

// Units returns the number of units into which the limit is divided.
func (l Limit) Units() int64 { return l.units }

// IsRate reports whether the limit is a rate.
func (l Limit) IsRate() bool { return l.divisible }

// Capacity returns the amount that a bucket with some of the units can hold.
func (l Limit) Capacity(units int64) int64 {
	return mulDiv(l.burst*Token, units, l.units)
}

// UnitsFor returns the fewest units whose capacity is at least an amount.
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

// UnitsForDemand returns the units that allow a use per second. A use above
// the limit needs all units.
func (l Limit) UnitsForDemand(perSecond int64) int64 {
	switch {
	case perSecond <= 0:
		return 0
	case !l.divisible:
		return min(perSecond, l.units)
	case l.perSecond <= 0 || perSecond >= l.perSecond:
		return l.units
	default:
		return max(1, mulDiv(perSecond, l.units, l.perSecond))
	}
}

// mulDiv returns a*b/c without overflow of the product, rounded down.
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
