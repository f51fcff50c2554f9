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
	// maxBorrowTime bounds how long a request waits for tokens before the last
	// peer is asked: about two round trips between regions. Within a region it
	// is enough to ask every peer.
	maxBorrowTime = 200 * time.Millisecond
	// lendersPerRound bounds the peers that are asked at the same time.
	lendersPerRound = 3
	// emptyFor is how long a peer that lent less than it was asked for is not
	// asked again, so that a workspace above its rate causes few messages.
	emptyFor = 100 * time.Millisecond
	// maxLendWait bounds how long a lender waits for its bucket to refill. A
	// burst that is divided leaves less than one token in each bucket at most
	// moments, and a refusal then would be wrong: the fleet has the token.
	maxLendWait = 100 * time.Millisecond
)

// Lender is a peer that is asked for tokens.
type Lender interface {
	// Borrow calls Holder.Lend of a member.
	Borrow(ctx context.Context, from fgmember.Member, limit string, amount int64) (Loan, error)
}

// Borrower spends tokens of the own share and, where they are short, of peers.
type Borrower struct {
	holder *Holder
	fleet  Fleet
	peers  Lender
	self   fgmember.Member
	index  atomic.Pointer[map[string][]*source]
}

// source is a peer that may have spare tokens of one limit.
type source struct {
	member fgmember.Member
	near   bool
	spare  int64
	units  int64
	// emptyUntil is a distance from the holder's epoch.
	emptyUntil atomic.Int64
}

// NewBorrower returns a borrower for the process self.
func NewBorrower(h *Holder, f Fleet, p Lender, self fgmember.Member) *Borrower {
	b := &Borrower{holder: h, fleet: f, peers: p, self: self}
	b.index.Store(&map[string][]*source{})
	return b
}

// Update rebuilds the index of peers that hold units of a limit from the ledger
// and from what the peers reported. A request reads the index without a lock.
func (b *Borrower) Update() {
	_, ledger, _ := b.holder.view()
	_, set := b.fleet.Members()
	old := *b.index.Load()
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
			// A holder without spare tokens may have refilled since its report.
			if units := share.Units[m.Incarnation]; units > 0 {
				s := &source{member: m, near: m.Region == b.self.Region, spare: spare[name], units: units}
				s.inherit(old[name])
				index[name] = append(index[name], s)
			}
		}
	}
	for _, sources := range index {
		slices.SortFunc(sources, compareSources)
	}
	b.index.Store(&index)
}

func (s *source) inherit(old []*source) {
	for _, o := range old {
		if o.member.Incarnation == s.member.Incarnation {
			s.emptyUntil.Store(o.emptyUntil.Load())
		}
	}
}

// compareSources puts peers of the own region with a whole token first, then
// the peers with the most.
func compareSources(x, y *source) int {
	return cmp.Or(
		-cmp.Compare(x.preferred(), y.preferred()),
		-cmp.Compare(x.spare, y.spare),
		-cmp.Compare(x.units, y.units),
		cmp.Compare(x.member.Incarnation, y.member.Incarnation))
}

func (s *source) preferred() int {
	if s.near && s.spare >= fgshare.Token {
		return 1
	}
	return 0
}

// Take spends an amount of a rate. It asks one peer after another, for at most
// maxBorrowTime and not beyond the context's end.
func (b *Borrower) Take(ctx context.Context, limit string, r *Rate, amount int64) bool {
	if r.Take(amount) {
		return true
	}
	for start := time.Now(); time.Since(start) < maxBorrowTime; {
		if !b.borrow(ctx, limit, r, amount) {
			break
		}
		if r.Take(amount) {
			return true
		}
	}
	r.Refuse(amount)
	return false
}

// TakeUpTo spends at most an amount, in one round, and returns what it spent.
func (b *Borrower) TakeUpTo(ctx context.Context, limit string, r *Rate, amount int64) int64 {
	taken := r.TakeUpTo(amount)
	if taken < amount && b.borrow(ctx, limit, r, amount-taken) {
		taken += r.TakeUpTo(amount - taken)
	}
	if taken < amount {
		r.Refuse(amount - taken)
	}
	return taken
}

// borrow asks the best peers at the same time for what is missing. It returns
// false when there is nobody to ask.
func (b *Borrower) borrow(ctx context.Context, limit string, r *Rate, amount int64) bool {
	sources := (*b.index.Load())[limit]
	if len(sources) == 0 || ctx.Err() != nil {
		return false
	}
	missing := r.Missing(amount) + r.Batch(amount) - amount
	// An answer after the validity of the loan is worth nothing.
	ctx, cancel := context.WithTimeout(ctx, fgshare.LoanValidity+maxLendWait)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	asked := 0
	for _, s := range sources {
		if asked == lendersPerRound || missing <= 0 {
			break
		}
		if b.holder.clock() < time.Duration(s.emptyUntil.Load()) {
			continue
		}
		asked++
		part := min(missing, max(s.spare, fgshare.Token))
		missing -= part
		wg.Go(func() { b.ask(ctx, s, limit, r, part) })
	}
	return asked > 0
}

func (b *Borrower) ask(ctx context.Context, s *source, limit string, r *Rate, amount int64) {
	sent := time.Now()
	loan, err := b.peers.Borrow(ctx, s.member, limit, amount)
	if err != nil || loan.amount < amount {
		s.emptyUntil.Store(int64(b.holder.clock() + emptyFor))
	}
	if err == nil {
		// A lender never grants more than it was asked for. It granted the loan
		// after it had waited, which was after the request was sent.
		r.Receive(sent.Add(loan.waited), min(loan.amount, amount))
	}
}
