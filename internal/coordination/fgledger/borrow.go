package fgledger

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/state/fgshare"
)

const (
	// maxBorrowTime bounds how long a request tries to borrow tokens before it
	// stops asking further peers: about two round trips between regions.
	// Within a region it is enough to ask every peer.
	maxBorrowTime = 200 * time.Millisecond
	// maxParallelLenders bounds the peers that one request asks at the same
	// time.
	maxParallelLenders = 3
	// emptyLenderDelay is how long a peer that failed to lend the full amount
	// is not asked again, so that a workspace above its rate causes few
	// messages.
	emptyLenderDelay = 100 * time.Millisecond
	// maxLendWait bounds how long a lender waits for its bucket to refill. If
	// a small burst is divided between many buckets, each holds less than one
	// token most of the time, and refusing at once would be wrong: together
	// they have the token.
	maxLendWait = 100 * time.Millisecond
)

// Lender sends requests for loans to peers.
type Lender interface {
	// Borrow calls Holder.Lend of a member.
	Borrow(ctx context.Context, from fgmember.Member, limit string, amount int64) (Loan, error)
}

// Borrower takes tokens from this process's share and borrows missing ones
// from peers.
type Borrower struct {
	holder  *Holder
	fleet   Fleet
	peers   Lender
	self    fgmember.Member
	sources atomic.Pointer[map[string][]*source]
}

// source is a peer that may have spare tokens of one limit.
type source struct {
	member     fgmember.Member
	sameRegion bool
	spare      int64
	units      int64
	// skipUntil is the time until which the peer is not asked, as the duration
	// in nanoseconds since the holder's epoch.
	skipUntil atomic.Int64
}

// NewBorrower returns a borrower for the process self.
func NewBorrower(h *Holder, f Fleet, p Lender, self fgmember.Member) *Borrower {
	b := &Borrower{holder: h, fleet: f, peers: p, self: self}
	b.sources.Store(&map[string][]*source{})
	return b
}

// Update rebuilds, from the ledger and the peers' reports, the index of peers
// that hold units of each limit. Requests read the index without a lock.
func (b *Borrower) Update() {
	_, ledger, _ := b.holder.snapshot()
	_, set := b.fleet.Members()
	old := *b.sources.Load()
	index := map[string][]*source{}
	for _, m := range set.All() {
		if m.Incarnation == b.self.Incarnation || !b.fleet.Alive(m.Incarnation) {
			continue
		}
		demands, _ := b.fleet.Demands(m.Incarnation)
		spare := map[string]int64{}
		for _, d := range demands {
			spare[d.limit] = d.spare
		}
		for name, share := range ledger.Limits {
			// List holders without spare tokens too: they may have refilled
			// since their report.
			if units := share.Units[m.Incarnation]; units > 0 {
				s := &source{member: m, sameRegion: m.Region == b.self.Region, spare: spare[name], units: units}
				s.copySkipUntil(old[name])
				index[name] = append(index[name], s)
			}
		}
	}
	for _, sources := range index {
		slices.SortFunc(sources, compareSources)
	}
	b.sources.Store(&index)
}

func (s *source) copySkipUntil(old []*source) {
	for _, o := range old {
		if o.member.Incarnation == s.member.Incarnation {
			s.skipUntil.Store(o.skipUntil.Load())
		}
	}
}

// compareSources orders peers of this region with at least one token first,
// then by spare tokens and units, largest first.
func compareSources(x, y *source) int {
	return cmp.Or(
		-cmp.Compare(x.priority(), y.priority()),
		-cmp.Compare(x.spare, y.spare),
		-cmp.Compare(x.units, y.units),
		cmp.Compare(x.member.Incarnation, y.member.Incarnation))
}

func (s *source) priority() int {
	if s.sameRegion && s.spare >= fgshare.Token {
		return 1
	}
	return 0
}

// Take spends an amount of a rate, or nothing. It borrows in rounds until it
// has the amount, but starts no round after maxBorrowTime or after the
// context ends.
func (b *Borrower) Take(ctx context.Context, limit string, r *Rate, amount int64) bool {
	if r.Take(amount) {
		return true
	}
	for start := time.Now(); time.Since(start) < maxBorrowTime; {
		if !b.borrowFromPeers(ctx, limit, r, amount) {
			break
		}
		if r.Take(amount) {
			return true
		}
	}
	r.CountRefused(amount)
	return false
}

// TakeUpTo spends at most the amount, with one round of borrowing, and
// returns what it spent.
func (b *Borrower) TakeUpTo(ctx context.Context, limit string, r *Rate, amount int64) int64 {
	taken := r.TakeUpTo(amount)
	if taken < amount && b.borrowFromPeers(ctx, limit, r, amount-taken) {
		taken += r.TakeUpTo(amount - taken)
	}
	if taken < amount {
		r.CountRefused(amount - taken)
	}
	return taken
}

// borrowFromPeers asks the best peers in parallel for the missing tokens. It
// returns false if there is no peer to ask or the context has ended.
func (b *Borrower) borrowFromPeers(ctx context.Context, limit string, r *Rate, amount int64) bool {
	sources := (*b.sources.Load())[limit]
	if len(sources) == 0 || ctx.Err() != nil {
		return false
	}
	missing := r.Missing(amount) + r.BorrowAmount(amount) - amount
	// A response after the loan's validity is useless.
	ctx, cancel := context.WithTimeout(ctx, fgshare.LoanValidity+maxLendWait)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	asked := 0
	for _, s := range sources {
		if asked == maxParallelLenders || missing <= 0 {
			break
		}
		if b.holder.elapsed() < time.Duration(s.skipUntil.Load()) {
			continue
		}
		asked++
		request := min(missing, max(s.spare, fgshare.Token))
		missing -= request
		wg.Go(func() { b.borrowFrom(ctx, s, limit, r, request) })
	}
	return asked > 0
}

func (b *Borrower) borrowFrom(ctx context.Context, s *source, limit string, r *Rate, amount int64) {
	sent := time.Now()
	loan, err := b.peers.Borrow(ctx, s.member, limit, amount)
	if err != nil || loan.amount < amount {
		s.skipUntil.Store(int64(b.holder.elapsed() + emptyLenderDelay))
	}
	if err == nil {
		// The lender must not lend more than requested. The loan starts when
		// the lender's wait ends, so the validity counts from the send time
		// plus that wait.
		r.Receive(sent.Add(loan.waited), min(loan.amount, amount))
	}
}
