package fgshare

import (
	"math"
	"math/bits"
	"time"
)

// Bucket is the token bucket of one holder's share of a rate. The caller
// passes the current time as the duration since a fixed moment of a monotonic
// clock. The zero value is an empty bucket without units.
//
// The tokens that a bucket stores or has on loan never exceed its capacity,
// and the capacities of all buckets of a limit never exceed the burst.
type Bucket struct {
	limit      Limit
	units      int64
	refilledAt time.Duration
	remainder  uint64
	stored     int64
	lent       []loan
	borrowed   []loan
}

type loan struct {
	amount  int64
	expires time.Duration
}

// Units returns the number of units of the share.
func (b *Bucket) Units() int64 { return b.units }

// Resize sets the limit and the number of units of the share. More units add
// capacity but no tokens.
func (b *Bucket) Resize(now time.Duration, l Limit, units int64) {
	if b.limit == l && b.units == units {
		return
	}
	b.advance(now)
	b.limit, b.units = l, units
	b.remainder = 0
	b.clamp()
}

// Take spends the whole amount and returns true, or spends nothing and
// returns false. Borrowed tokens are spent first, because they expire.
func (b *Bucket) Take(now time.Duration, amount int64) bool {
	if b.Missing(now, amount) > 0 {
		return false
	}
	b.spend(amount)
	return true
}

// TakeUpTo spends as much of the amount as the bucket has and returns what it
// spent.
func (b *Bucket) TakeUpTo(now time.Duration, amount int64) int64 {
	taken := amount - b.Missing(now, amount)
	b.spend(taken)
	return taken
}

// Refund returns an amount that was taken but not used. Tokens above the
// capacity are discarded, as they would have been if they had stayed in the
// bucket.
func (b *Bucket) Refund(now time.Duration, amount int64) {
	b.advance(now)
	b.stored += amount
	b.clamp()
}

// Missing returns how much of the amount the bucket lacks.
func (b *Bucket) Missing(now time.Duration, amount int64) int64 {
	b.advance(now)
	return max(0, amount-b.stored-totalAmount(b.borrowed))
}

// Lend spends the amount on behalf of another holder and returns what it
// spent. If the bucket has less, it lends only whole tokens, because a
// fraction that does not complete a request would expire unused. The loan
// counts against the capacity for LoanValidity, so that the bucket does not
// refill while the borrower can still spend.
func (b *Bucket) Lend(now time.Duration, amount int64) int64 {
	b.advance(now)
	if amount > b.stored {
		amount = b.stored - b.stored%Token
	}
	if amount <= 0 {
		return 0
	}
	b.stored -= amount
	b.lent = append(b.lent, loan{amount: amount, expires: now + LoanValidity})
	return amount
}

// Receive adds tokens that another holder lent. Their validity starts at the
// time sent, which must not be later than the start of the loan at the lender:
// the caller passes the send time of the request plus the lender's wait.
func (b *Bucket) Receive(now, sent time.Duration, amount int64) {
	b.advance(now)
	if end := sent + LoanValidity; amount > 0 && end > now {
		b.borrowed = append(b.borrowed, loan{amount: amount, expires: end})
	}
}

// Stored returns the stored amount, without borrowed tokens.
func (b *Bucket) Stored(now time.Duration) int64 {
	b.advance(now)
	return b.stored
}

// MinUnits returns the fewest units whose capacity covers the outstanding
// loans. The holder cannot promise fewer until the loans expire: another
// holder's bucket would fill with these units while the borrower can still
// spend the loan.
func (b *Bucket) MinUnits(now time.Duration) int64 {
	b.advance(now)
	return b.limit.UnitsFor(totalAmount(b.lent))
}

// TimeUntil returns the time until the bucket has refilled to the amount
// without borrowing. It returns false if the bucket never holds that much.
func (b *Bucket) TimeUntil(now time.Duration, amount int64) (time.Duration, bool) {
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
		fromLoan := min(amount, b.borrowed[i].amount)
		b.borrowed[i].amount -= fromLoan
		amount -= fromLoan
	}
	b.stored -= amount
}

// advance refills the bucket up to the given time. The capacity of an expired
// loan refills only from the moment of expiry: refilling it from the start of
// the loan would admit more than the burst around that moment.
func (b *Bucket) advance(now time.Duration) {
	for len(b.lent) > 0 && b.lent[0].expires <= now {
		b.refill(b.lent[0].expires)
		b.lent = removeFirst(b.lent)
	}
	b.refill(now)
	for len(b.borrowed) > 0 && (b.borrowed[0].expires <= now || b.borrowed[0].amount == 0) {
		b.borrowed = removeFirst(b.borrowed)
	}
	for i := range b.borrowed {
		if b.borrowed[i].expires <= now {
			b.borrowed[i].amount = 0
		}
	}
}

func (b *Bucket) refill(now time.Duration) {
	elapsed := now - b.refilledAt
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	if b.units <= 0 || b.limit.units <= 0 {
		return
	}
	// Keep the remainder of the division, so that frequent calls lose no
	// refill.
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
	available := max(0, b.limit.Capacity(b.units)-totalAmount(b.lent))
	if b.stored >= available {
		b.stored = available
		b.remainder = 0
	}
}

func totalAmount(loans []loan) int64 {
	var sum int64
	for _, l := range loans {
		sum += l.amount
	}
	return sum
}

// removeFirst removes the first loan and keeps the slice's capacity for
// reuse.
func removeFirst(loans []loan) []loan {
	copy(loans, loans[1:])
	return loans[:len(loans)-1]
}

// Permits counts the requests in flight against a holder's share of slots.
// The zero value has no units.
type Permits struct {
	units int64
	inUse int64
}

// Units returns the number of units of the share.
func (p *Permits) Units() int64 { return p.units }

// InUse returns the permits in use. The holder cannot promise to hold fewer
// units than that.
func (p *Permits) InUse() int64 { return p.inUse }

// Resize sets the number of units of the share. Permits in use are not
// revoked.
func (p *Permits) Resize(units int64) { p.units = units }

// Acquire takes a permit if one is free.
func (p *Permits) Acquire() bool {
	if p.inUse >= p.units {
		return false
	}
	p.inUse++
	return true
}

// Release returns a permit.
func (p *Permits) Release() { p.inUse-- }
