package fgentry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/filbertgap/filbertgap/internal/coordination/fgledger"
	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgsync"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	// exchangeTimeout bounds one exchange, so that a connection that no longer
	// responds is replaced.
	exchangeTimeout = 2 * time.Second
	// fetchTimeout bounds the transfer of a journal, which may be large.
	fetchTimeout = 10 * time.Second
	// fetchWorkers is the number of peers to fetch from concurrently, so that a
	// peer that does not respond does not delay the others.
	fetchWorkers = 4
	// fetchQueue is the capacity of pendingFetches. A state that is dropped
	// arrives again with the next exchange.
	fetchQueue = 64
)

// peerService implements the RPCs that other entry processes call.
type peerService struct {
	fgwire.DRPCPeerUnimplementedServer

	entry *Entry
}

// Exchange applies the calling peer's state and returns this process's state.
func (s *peerService) Exchange(_ context.Context, in *fgwire.NodeState) (*fgwire.NodeState, error) {
	s.entry.applyReport(in)
	s.entry.queueFetch(in)
	return s.entry.nodeState(), nil
}

// Fetch returns the newer entries of a journal, or the ledger of shares.
func (s *peerService) Fetch(_ context.Context, in *fgwire.FetchRequest) (*fgwire.FetchAnswer, error) {
	if in.GetJournal() == fgledger.Key {
		return s.entry.limits.ledgerResponse(), nil
	}
	c, err := s.entry.journalCopy(in)
	if err != nil {
		return nil, err
	}
	return &fgwire.FetchAnswer{Head: c.Head, Revision: c.Revision, Snapshot: c.Snapshot, Parts: int64(c.Parts)}, nil
}

func (e *Entry) journalCopy(in *fgwire.FetchRequest) (fgsync.Copy, error) {
	switch in.GetJournal() {
	case configKey:
		return e.config.CopySince(in.GetGeneration(), int(in.GetPart()))
	case membersKey:
		return e.members.CopySince(in.GetGeneration(), int(in.GetPart()))
	default:
		return fgsync.Copy{}, fmt.Errorf("unknown journal %q", in.GetJournal())
	}
}

func (e *Entry) nodeState() *fgwire.NodeState {
	// The age of the confirmation is read before the generation: a peer may use
	// the age only if it has applied the generation.
	n := &fgwire.NodeState{Incarnation: e.incarnation.String(), Vm: e.settings.raw.VM, Leaving: e.leaving.Load()}
	e.freshness.addTo(n, e.members.State().Contacts())
	n.ConfigGeneration = e.config.Generation()
	n.MembersGeneration = e.members.Generation()
	e.addPlacementReport(n)
	return e.limits.report(n)
}

func (e *Entry) applyReport(n *fgwire.NodeState) {
	e.reports.Add(fgmember.NewReport(n.GetIncarnation(), n.GetConfigGeneration()).WithLeaving(n.GetLeaving()))
	e.applyPlacementReport(n)
	e.limits.applyReport(n)
}

// exchangeLoop runs one loop for each peer that this process calls.
func (e *Entry) exchangeLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { e.reportSelf(ctx) })
	wg.Go(func() { e.contactLoop(ctx) })
	for range fetchWorkers {
		wg.Go(func() { e.fetchLoop(ctx) })
	}
	running := map[fgmember.Member]context.CancelFunc{}
	defer func() {
		for _, cancel := range running {
			cancel()
		}
	}()
	for {
		changed := e.members.Changed()
		want := map[fgmember.Member]bool{}
		for _, m := range e.peersToCall() {
			want[m] = true
			if running[m] != nil {
				continue
			}
			peer, cancel := context.WithCancel(ctx)
			running[m] = cancel
			wg.Go(func() { e.peerLoop(peer, m) })
		}
		for m, cancel := range running {
			if !want[m] {
				cancel()
				delete(running, m)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// peersToCall returns the neighbours, or the configured peer seeds while no
// member is known. Fields that do not affect the connection are left empty.
func (e *Entry) peersToCall() []fgmember.Member {
	members := e.members.State()
	var out []fgmember.Member
	for _, m := range members.Neighbours(e.settings.raw.VM) {
		out = append(out, fgmember.Member{VM: m.VM, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress})
	}
	if len(members.All()) > 0 {
		return out
	}
	for _, a := range e.settings.raw.PeerSeeds {
		out = append(out, fgmember.Member{PeerAddress: a})
	}
	return out
}

// reportSelf keeps this process's own report up to date.
func (e *Entry) reportSelf(ctx context.Context) {
	for {
		config, members := e.config.Changed(), e.members.Changed()
		e.reports.Prune(e.members.State())
		e.applyReport(e.nodeState())
		e.recordInForce()
		e.waitForNextExchange(ctx, config, members)
		if ctx.Err() != nil {
			return
		}
	}
}

// contactLoop checks at each exchange interval whether a direct exchange with a
// contact is needed.
func (e *Entry) contactLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.exchangeWithContact(ctx)
		_ = fgtimer.Wait(ctx, e.members.State().ExchangeInterval())
	}
}

// waitForNextExchange returns after the exchange interval, or earlier when the
// configuration or the members change.
func (e *Entry) waitForNextExchange(ctx context.Context, config, members <-chan struct{}) {
	t := time.NewTimer(e.members.State().ExchangeInterval())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-config:
	case <-members:
	}
}

func (e *Entry) peerLoop(ctx context.Context, m fgmember.Member) {
	for ctx.Err() == nil {
		config, members := e.config.Changed(), e.members.Changed()
		if err := e.exchangeWith(ctx, m); err != nil {
			e.logger.V(1).Info("exchange with a peer failed", "peer", m.VM, "address", m.PeerAddress, "error", err.Error())
		}
		e.waitForNextExchange(ctx, config, members)
	}
}

func (e *Entry) exchangeWith(ctx context.Context, m fgmember.Member) error {
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := time.Now()
	n, err := e.peer(call, m.PeerAddress).Exchange(call, e.nodeState())
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.recordConnectionRefused(sent, m.Incarnation)
	}
	if err != nil {
		return err
	}
	e.applyReport(n)
	err = e.fetchNewer(ctx, m.PeerAddress, n)
	e.applyFreshnessReport(sent, n)
	return err
}

// queueFetch queues a fetch from a calling peer that has newer journals.
func (e *Entry) queueFetch(n *fgwire.NodeState) {
	if !e.hasNewer(n) {
		return
	}
	select {
	case e.pendingFetches <- n:
	default:
	}
}

func (e *Entry) hasNewer(n *fgwire.NodeState) bool {
	return n.GetConfigGeneration() > e.config.Generation() || n.GetMembersGeneration() > e.members.Generation()
}

func (e *Entry) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-e.pendingFetches:
			m, ok := e.members.State().ByIncarnation(n.GetIncarnation())
			if !ok {
				continue
			}
			if err := e.fetchNewer(ctx, m.PeerAddress, n); err != nil {
				e.logger.V(1).Info("fetch from a peer failed", "peer", m.VM, "error", err.Error())
			}
		}
	}
}

// fetchNewer fetches the journals of which a peer has a newer generation.
func (e *Entry) fetchNewer(ctx context.Context, address string, n *fgwire.NodeState) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var errs []error
	if n.GetMembersGeneration() > e.members.Generation() {
		errs = append(errs, e.members.Fetch(ctx, e.fetcher(address, membersKey)))
	}
	if n.GetConfigGeneration() > e.config.Generation() {
		errs = append(errs, e.config.Fetch(ctx, e.fetcher(address, configKey)))
	}
	return errors.Join(errs...)
}

func (e *Entry) fetcher(address, journal string) func(context.Context, uint64, int) (fgsync.Copy, error) {
	return func(ctx context.Context, generation uint64, part int) (fgsync.Copy, error) {
		response, err := e.peer(ctx, address).Fetch(ctx, &fgwire.FetchRequest{Journal: journal, Generation: generation, Part: int64(part)})
		if err != nil {
			return fgsync.Copy{}, err
		}
		return fgsync.Copy{Head: response.GetHead(), Revision: response.GetRevision(), Snapshot: response.GetSnapshot(), Parts: int(response.GetParts())}, nil
	}
}

// reportRequestTimeout bounds how long a status response waits for reports.
const reportRequestTimeout = time.Second

// maxReportRequests bounds the members that one status request exchanges with.
const maxReportRequests = 64

// reportRequests holds when each member was last asked for its report.
type reportRequests struct {
	mu     sync.Mutex
	sentAt map[string]time.Time
}

// allow reports whether a member was not asked for its report within the last
// second. If so, it records that the member is asked now.
func (r *reportRequests) allow(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.sentAt[incarnation]) < reportRequestTimeout {
		return false
	}
	if r.sentAt == nil {
		r.sentAt = map[string]time.Time{}
	}
	r.sentAt[incarnation] = time.Now()
	return true
}

// requestMissingReports asks for the reports of members that are not neighbours
// and whose last report is older than a generation. These reports cross the
// overlay only on request, because forwarding those of 4,100 members would
// exceed a VM's budget of 6 KB/s.
func (e *Entry) requestMissingReports(ctx context.Context, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, reportRequestTimeout)
	defer cancel()
	neighbours := map[string]bool{e.settings.raw.VM: true}
	for _, m := range e.peersToCall() {
		neighbours[m.VM] = true
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	requests := 0
	for _, m := range e.members.State().All() {
		report, ok := e.reports.Get(m.Incarnation)
		if neighbours[m.VM] || ok && report.ConfigGeneration() >= generation || requests == maxReportRequests || !e.reportRequests.allow(m.Incarnation) {
			continue
		}
		requests++
		wg.Go(func() { _ = e.exchangeWith(ctx, m) })
	}
}
