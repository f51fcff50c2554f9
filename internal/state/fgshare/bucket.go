package fgshare

import (
	"math"
	"math/bits"
	"time"
)

// Bucket is the token bucket of one held share. Times are distances from any
// fixed moment of a monotonic clock. The zero value is an empty bucket without
// units.
//
// Stored and lent tokens together never exceed the capacity of the share, and
// the capacities of all shares together never exceed the burst.
type Bucket struct {
	limit     Limit
	units     int64
	last      time.Duration
	remainder uint64
	stored    int64
	lent      []loan
	borrowed  []loan
}

type loan struct {
	amount int64
	end    time.Duration
}

// Units returns the units of the share.
func (b *Bucket) Units() int64 { return b.units }

// Resize sets the limit and the units of the share. A raise adds capacity but
// no tokens.
func (b *Bucket) Resize(now time.Duration, l Limit, units int64) {
	if b.limit == l && b.units == units {
		return
	}
	b.advance(now)
	b.limit, b.units = l, units
	b.remainder = 0
	b.clamp()
}

// Take spends an amount if the bucket has all of it. Borrowed tokens are spent
// first, since they expire.
func (b *Bucket) Take(now time.Duration, amount int64) bool {
	if b.Missing(now, amount) > 0 {
		return false
	}
	b.spend(amount)
	return true
}

// TakeUpTo spends at most an amount and returns what it spent.
func (b *Bucket) TakeUpTo(now time.Duration, amount int64) int64 {
	taken := amount - b.Missing(now, amount)
	b.spend(taken)
	return taken
}

// Refund gives back an amount that was taken and not used. What exceeds the
// capacity is lost, as it would have been had it stayed in the bucket.
func (b *Bucket) Refund(now time.Duration, amount int64) {
	b.advance(now)
	b.stored += amount
	b.clamp()
}

// Missing returns how much of an amount the bucket lacks.
func (b *Bucket) Missing(now time.Duration, amount int64) int64 {
	b.advance(now)
	return max(0, amount-b.stored-total(b.borrowed))
}

// Lend spends an amount, or as many whole tokens as it has of it, for another
// holder and returns what it spent. A part of a token that does not complete a
// request would expire unused. The loan counts against the capacity until
// LoanValidity has passed, so that the bucket does not refill while the
// borrower can still spend.
func (b *Bucket) Lend(now time.Duration, amount int64) int64 {
	b.advance(now)
	if amount > b.stored {
		amount = b.stored - b.stored%Token
	}
	if amount <= 0 {
		return 0
	}
	b.stored -= amount
	b.lent = append(b.lent, loan{amount: amount, end: now + LoanValidity})
	return amount
}

// Receive adds tokens that another holder lent. The validity counts from the
// moment at which the request for them was sent, which is before the lender's.
func (b *Bucket) Receive(now, sent time.Duration, amount int64) {
	b.advance(now)
	if end := sent + LoanValidity; amount > 0 && end > now {
		b.borrowed = append(b.borrowed, loan{amount: amount, end: end})
	}
}

// Spare returns the stored amount.
func (b *Bucket) Spare(now time.Duration) int64 {
	b.advance(now)
	return b.stored
}

// Pledged returns the fewest units that cover the outstanding loans. A holder
// cannot promise less before the loans end: the units would fill another
// holder's bucket while the borrower still spends.
func (b *Bucket) Pledged(now time.Duration) int64 {
	b.advance(now)
	return b.limit.UnitsFor(total(b.lent))
}

// Wait returns the time until the bucket refills an amount by itself, and
// false when it never holds as much.
func (b *Bucket) Wait(now time.Duration, amount int64) (time.Duration, bool) {
	missing := b.Missing(now, amount)
	if missing == 0 {
		return 0, true
	}
	perSecond := mulDiv(b.limit.perSecond*Token, b.units, b.limit.units)
	if perSecond == 0 || b.limit.Capacity(b.units) < amount {
		return 0, false
	}
	return time.Duration(mulDiv(missing, int64(time.Second), perSecond)) + 1, true
}

func (b *Bucket) spend(amount int64) {
	for i := range b.borrowed {
		part := min(amount, b.borrowed[i].amount)
		b.borrowed[i].amount -= part
		amount -= part
	}
	b.stored -= amount
}

// advance refills the bucket up to a moment. A loan that ended on the way frees
// its capacity only from its end on: refilling it from the beginning would put
// more than the burst into the moments around the end.
func (b *Bucket) advance(now time.Duration) {
	for len(b.lent) > 0 && b.lent[0].end <= now {
		b.refill(b.lent[0].end)
		b.lent = drop(b.lent)
	}
	b.refill(now)
	for len(b.borrowed) > 0 && (b.borrowed[0].end <= now || b.borrowed[0].amount == 0) {
		b.borrowed = drop(b.borrowed)
	}
	for i := range b.borrowed {
		if b.borrowed[i].end <= now {
			b.borrowed[i].amount = 0
		}
	}
}

func (b *Bucket) refill(now time.Duration) {
	elapsed := now - b.last
	if elapsed <= 0 {
		return
	}
	b.last = now
	if b.units <= 0 || b.limit.units <= 0 {
		return
	}
	// The remainder of the division is kept, so that frequent calls lose nothing.
	divisor := uint64(b.limit.units) * uint64(time.Second)
	hi, lo := bits.Mul64(uint64(b.limit.perSecond*Token*b.units), uint64(elapsed))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= divisor {
		b.stored = math.MaxInt64
	} else {
		var amount uint64
		amount, b.remainder = bits.Div64(hi, lo, divisor)
		b.stored += int64(min(amount, math.MaxInt64/2))
	}
	b.clamp()
}

func (b *Bucket) clamp() {
	room := max(0, b.limit.Capacity(b.units)-total(b.lent))
	if b.stored >= room {
		b.stored = room
		b.remainder = 0
	}
}

func total(loans []loan) int64 {
	var sum int64
	for _, l := range loans {
		sum += l.amount
	}
	return sum
}

// drop removes the first loan and keeps the memory for the next.
func drop(loans []loan) []loan {
	copy(loans, loans[1:])
	return loans[:len(loans)-1]
}

// Permits counts the requests that hold a slot of a share. The zero value has
// no units.
type Permits struct {
	units int64
	inUse int64
}

// Units returns the units of the share.
func (p *Permits) Units() int64 { return p.units }

// InUse returns the permits in use. A holder cannot promise less.
func (p *Permits) InUse() int64 { return p.inUse }

// Resize sets the units of the share. Permits in use stay.
func (p *Permits) Resize(units int64) { p.units = units }

// Acquire takes a permit if one is free.
func (p *Permits) Acquire() bool {
	if p.inUse >= p.units {
		return false
	}
	p.inUse++
	return true
}

// Release gives a permit back.
func (p *Permits) Release() { p.inUse-- }
