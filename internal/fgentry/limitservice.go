package fgentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgledger"
	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
)

// limits connects the ledger of the fleet's limits with the member journal and
// the peers.
type limits struct {
	entry      *Entry
	store      fgstore.Store
	holder     *fgledger.Holder
	rebalancer *fgledger.Rebalancer
	borrower   *fgledger.Borrower
	names      atomic.Pointer[limitNames]
	wake       chan struct{}

	mu          sync.Mutex
	peerReports map[string]limitReport
}

// limitReport is a peer's last report of its use of limits.
type limitReport struct {
	demands  []fgledger.Demand
	revision uint64
}

var (
	_ fgledger.Fleet = (*limits)(nil)
	_ fgledger.Peers = (*limits)(nil)
)

func newLimits(e *Entry, store fgstore.Store) *limits {
	l := &limits{entry: e, store: store, wake: make(chan struct{}, 1), peerReports: map[string]limitReport{}}
	l.holder = fgledger.NewHolder(e.incarnation.String(), e.logger)
	l.rebalancer = fgledger.NewRebalancer(fgledger.RebalancerOptions{Holder: l.holder, Store: store, Peers: l, Fleet: l, Logger: e.logger})
	l.borrower = fgledger.NewBorrower(l.holder, l, l, fgmember.Member{Incarnation: e.incarnation.String(), Region: e.settings.raw.Region})
	l.names.Store(&limitNames{})
	return l
}

// applyConfig applies the limits that a configuration declares.
func (l *limits) applyConfig(s *fgconfig.Snapshot) {
	names, declared := declaredLimits(s)
	l.holder.ApplyLimits(declared)
	l.names.Store(names)
}

// triggerRebalance wakes the rebalancer without waiting for it.
func (l *limits) triggerRebalance() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// report adds this process's use of limits to a state for its peers.
func (l *limits) report(n *fgwire.NodeState) *fgwire.NodeState {
	for _, d := range l.holder.Demands() {
		n.Demands = append(n.Demands, &fgwire.LimitDemand{Limit: d.Limit(), Used: d.Used(), Refused: d.Refused(), Spare: d.Spare()})
	}
	n.LedgerRevision = l.holder.Revision()
	return n
}

// applyReport applies a peer's report of its use of limits.
func (l *limits) applyReport(n *fgwire.NodeState) {
	if n.GetIncarnation() == l.entry.incarnation.String() {
		return
	}
	demands := make([]fgledger.Demand, 0, len(n.GetDemands()))
	for _, d := range n.GetDemands() {
		demands = append(demands, fgledger.NewDemand(d.GetLimit(), d.GetUsed(), d.GetRefused(), d.GetSpare()))
	}
	_, set := l.Members()
	l.mu.Lock()
	for incarnation := range l.peerReports {
		if _, ok := set.ByIncarnation(incarnation); !ok {
			delete(l.peerReports, incarnation)
		}
	}
	l.peerReports[n.GetIncarnation()] = limitReport{demands: demands, revision: n.GetLedgerRevision()}
	l.mu.Unlock()
	l.borrower.Update()
}

// Members returns the members and their generation. Both are read again if the
// journal has changed in between: with a wrong generation, a holder could be
// taken for terminated while it is still running.
func (l *limits) Members() (uint64, *fgmember.Set) {
	for {
		generation, set := l.entry.members.Generation(), l.entry.members.State()
		if generation == l.entry.members.Generation() {
			return generation, set
		}
	}
}

// Alive reports whether a process has reported recently.
func (l *limits) Alive(incarnation string) bool { return l.entry.reports.Alive(incarnation) }

// Demands returns the demands that a peer last reported, and the ledger
// revision that it had applied.
func (l *limits) Demands(incarnation string) ([]fgledger.Demand, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.peerReports[incarnation]
	return r.demands, r.revision
}

func (l *limits) client(ctx context.Context, m fgmember.Member) fgwire.DRPCPeerClient {
	return l.entry.peer(ctx, m.PeerAddress)
}

// Lower asks a member to hold fewer units.
func (l *limits) Lower(ctx context.Context, to fgmember.Member, limit string, units int64, revision uint64) (int64, error) {
	response, err := l.client(ctx, to).Lower(ctx, &fgwire.LowerRequest{Limit: limit, Units: units, LedgerRevision: revision, Holder: to.Incarnation})
	if err != nil {
		return 0, err
	}
	return response.GetUnits(), nil
}

// Borrow asks a member for tokens, counted in thousandths.
func (l *limits) Borrow(ctx context.Context, from fgmember.Member, limit string, amount int64) (fgledger.Loan, error) {
	response, err := l.client(ctx, from).Borrow(ctx, &fgwire.BorrowRequest{Limit: limit, Count: amount, Borrower: l.entry.incarnation.String()})
	if err != nil {
		return fgledger.Loan{}, err
	}
	return fgledger.NewLoan(response.GetGranted(), time.Duration(response.GetWaitedUs())*time.Microsecond), nil
}

// Ledger fetches a member's copy of the ledger.
func (l *limits) Ledger(ctx context.Context, from fgmember.Member) (fgstore.Value, error) {
	response, err := l.client(ctx, from).Fetch(ctx, &fgwire.FetchRequest{Journal: fgledger.Key, Generation: l.holder.Revision()})
	if err != nil {
		return fgstore.Value{}, err
	}
	return fgstore.Value{Key: fgledger.Key, Data: response.GetHead(), Revision: response.GetRevision()}, nil
}

// ledgerResponse returns the response to a Fetch of the ledger.
func (l *limits) ledgerResponse() *fgwire.FetchAnswer {
	v := l.holder.Value()
	return &fgwire.FetchAnswer{Head: v.Data, Revision: v.Revision}
}

// Borrow lends tokens of this process's share, counted in thousandths.
func (s *peerService) Borrow(ctx context.Context, in *fgwire.BorrowRequest) (*fgwire.BorrowAnswer, error) {
	loan := s.entry.limits.holder.Lend(ctx, in.GetLimit(), in.GetCount())
	return &fgwire.BorrowAnswer{Granted: loan.Amount(), WaitedUs: loan.Waited().Microseconds()}, nil
}

// Lower reduces the units that this process holds.
func (s *peerService) Lower(_ context.Context, in *fgwire.LowerRequest) (*fgwire.LowerAnswer, error) {
	units, err := s.entry.limits.holder.Lower(in.GetHolder(), in.GetLimit(), in.GetUnits(), in.GetLedgerRevision())
	if err != nil {
		return nil, err
	}
	return &fgwire.LowerAnswer{Units: units, LedgerRevision: in.GetLedgerRevision()}, nil
}
