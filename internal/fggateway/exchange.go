package fggateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgpath"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
)

const (
	// minExchangeInterval is the interval at which a gateway sends its state to the
	// others. A rate is exceeded by at most the requests of one interval.
	minExchangeInterval = 200 * time.Millisecond
	// With more than exchangeBaseMembers gateways the interval grows in proportion,
	// up to maxExchangeInterval, so that the work of each gateway stays the same. A
	// workspace's excess over its rate is detected only after an interval.
	exchangeBaseMembers = 10
	maxExchangeInterval = 600 * time.Millisecond
	// In its first startExchangeTime a gateway sends its state startExchangeFactor times as
	// often. It spends little of rates until it and the others have heard each other. In a
	// fleet with the longest interval, which passes states on in trees, it does not: states
	// would fill the links when copies of the store are sent.
	startExchangeTime   = 3 * time.Second
	startExchangeFactor = 4
	// minSilentTimeout is how long a gateway may be silent before look-ups omit it. It
	// is multiplied by the ratio of the current interval to minExchangeInterval, rounded
	// down.
	minSilentTimeout = 1200 * time.Millisecond
	// catchUpDelay is how long this gateway may lack a revision that a peer has before
	// it fetches the peer's copy of the store. The mirror's own delay between two
	// watches is added.
	catchUpDelay = 400 * time.Millisecond
)

// peers holds the states received from the other gateways.
type peers struct {
	mu            sync.Mutex
	states        map[string]peerState
	firstReceived time.Time
	// registered holds the gateways that are registered, or were and still report, as
	// they registered.
	registered map[string]fgsteer.MemberSpec
	// behindSince is when a gateway first reported a position of the store that this one
	// lacks, and behind that position.
	behindSince time.Time
	behind      fgstore.Position
}

type peerState struct {
	incarnation uint64
	// address is the peer address from which states came directly. It is empty if all
	// were passed on by others.
	address  string
	received time.Time
	leaving  bool
	// noPath means that the gateway does not reach the upstreams.
	noPath bool
	// passesOn means that its version passes states on in the trees of its zone.
	passesOn bool
	position fgstore.Position
}

// exchange sends this gateway's state to the others until the context ends.
func (g *Gateway) exchange(ctx context.Context) error {
	last := time.Now()
	var tracker overloadTracker
	var room roomTracker
	for sequence := uint64(1); ; sequence++ {
		interval := g.exchangeInterval()
		if interval < maxExchangeInterval && time.Since(g.started) < startExchangeTime {
			interval /= startExchangeFactor
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		g.sendState(sequence, time.Since(last))
		last = time.Now()
		g.catchUp(ctx)
		g.updateIsolated()
		g.logOverloadedRegions(&tracker)
		g.logRoom(&room)
	}
}

func (g *Gateway) exchangeInterval() time.Duration {
	n := 1
	if v := g.mirror.View(); v != nil {
		n = len(v.Members())
	}
	return min(minExchangeInterval*time.Duration(max(n, exchangeBaseMembers))/exchangeBaseMembers, maxExchangeInterval)
}

// sendState sends this gateway's state to the others.
func (g *Gateway) sendState(sequence uint64, elapsed time.Duration) {
	position := g.mirror.Position()
	state := &fgwire.GatewayState{
		Vm: g.settings.Self.VM, Incarnation: g.settings.Self.Incarnation, Sequence: sequence,
		StoreEra: position.Era, StoreRevision: position.Revision, StoreAgeMs: g.mirror.Age().Milliseconds(), Leaving: g.leaving.Load(),
		NoPath: g.path.Status() != fgpath.Open, PassesOn: true,
	}
	g.addRates(state, elapsed)
	state.Crashes = g.crashReports()
	state.Limits = g.limitReports()
	state.LeavingUpstreams = g.balancer.LeavingReports()
	g.updateLayout()
	g.sendOwnState(state)
}

// applyState applies the state of another gateway, which came directly from its peer
// address, or from another gateway if that is empty.
func (g *Gateway) applyState(s *fgwire.GatewayState, address string) {
	g.limiter.ApplyReport(rateReport(s))
	g.applyCrashReports(s.GetCrashes())
	g.applyLimitReports(s.GetVm(), s.GetLimits())
	g.applyLeavingReports(s)
	g.applyLoadReports(s.GetLoads())
	g.applyWaitingReports(s)
	now := time.Now()
	position := fgstore.Position{Era: s.GetStoreEra(), Revision: s.GetStoreRevision()}
	g.mirror.RecordResponse(now.Add(-time.Duration(s.GetStoreAgeMs()) * time.Millisecond))
	p := &g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.states == nil {
		p.states = map[string]peerState{}
		p.firstReceived = now
	}
	g.recordStep(stepPeerHeard)
	old, ok := p.states[s.GetVm()]
	if old.incarnation != s.GetIncarnation() {
		g.crashes.RepeatReports()
	}
	if !ok || old.incarnation != s.GetIncarnation() || old.leaving != s.GetLeaving() || old.noPath != s.GetNoPath() {
		g.logger.Info("gateway state changed", "vm", s.GetVm(), "incarnation", s.GetIncarnation(), "leaving", s.GetLeaving(), "noPath", s.GetNoPath())
	}
	if address == "" && old.incarnation == s.GetIncarnation() {
		address = old.address
	}
	p.states[s.GetVm()] = peerState{incarnation: s.GetIncarnation(), address: address, received: now, leaving: s.GetLeaving(), noPath: s.GetNoPath(), passesOn: s.GetPassesOn(), position: position}
	own := g.mirror.Position()
	if !own.Before(p.behind) {
		p.behindSince = time.Time{}
	}
	if own.Before(position) && p.behindSince.IsZero() {
		p.behindSince, p.behind = now, position
	}
}

// isAvailable reports whether look-ups may return a gateway: it has sent its state
// recently and is not leaving. If no other gateway has, this one is probably
// partitioned from the network, and all registered gateways that are not leaving
// count as available. A gateway that has not sent its state yet counts as available
// for the timeout after the first state from any gateway arrived.
func (g *Gateway) isAvailable(vm string) bool {
	if vm == g.settings.Self.VM {
		return !g.leaving.Load()
	}
	p := &g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := g.silentTimeout()
	s, ok := p.states[vm]
	switch {
	case ok && time.Since(s.received) < timeout, !p.anyReceivedWithin(timeout):
		return !s.leaving
	case !ok:
		return time.Since(p.firstReceived) < timeout
	default:
		return false
	}
}

// silentTimeout returns how long a gateway may be silent at the current interval.
func (g *Gateway) silentTimeout() time.Duration {
	return minSilentTimeout * time.Duration(max(1, g.exchangeInterval()/minExchangeInterval))
}

// anyReceivedWithin reports whether any gateway has sent its state within a duration.
// p.mu is held.
func (p *peers) anyReceivedWithin(d time.Duration) bool {
	for _, s := range p.states {
		if time.Since(s.received) < d {
			return true
		}
	}
	return false
}

// reachableMembers returns the registered gateways and others that report.
func (g *Gateway) reachableMembers() []fgsteer.MemberSpec {
	var members []fgsteer.MemberSpec
	if v := g.mirror.View(); v != nil {
		members = v.Members()
	}
	return g.peers.withReporting(members, g.settings.Self, g.silentTimeout())
}

// withReporting adds to the registered gateways those that only report. A gateway that
// the store turns away loses its entry, and does not see the entries of new ones. Only
// the states of the others then tell it that it lacks changes, and them what it spends.
func (p *peers) withReporting(members []fgsteer.MemberSpec, self fgsteer.MemberSpec, timeout time.Duration) []fgsteer.MemberSpec {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := slices.Clone(members)
	known := make(map[string]fgsteer.MemberSpec, len(members))
	for i, m := range members {
		known[m.VM] = m
		if s := p.states[m.VM]; s.address != "" && s.incarnation > m.Incarnation {
			// It has restarted.
			all[i].Incarnation, all[i].PeerAddress = s.incarnation, s.address
		}
	}
	for vm, s := range p.states {
		if _, ok := known[vm]; ok || vm == self.VM || s.address == "" || time.Since(s.received) >= timeout {
			continue
		}
		m, ok := p.registered[vm]
		if !ok {
			// In a large fleet, most states that come directly are from the own zone.
			m = fgsteer.MemberSpec{VM: vm, Region: self.Region, AvailabilityZone: self.AvailabilityZone}
		}
		known[vm] = m
		m.Incarnation, m.PeerAddress = s.incarnation, s.address
		all = append(all, m)
	}
	p.registered = known
	return all
}

// isBehind reports whether a peer has had a newer copy of the store for so long that
// this gateway should fetch one.
func (g *Gateway) isBehind() bool {
	own, delay := g.mirror.Position(), catchUpDelay+g.mirror.BatchWait()
	p := &g.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.behindSince.IsZero() && own.Before(p.behind) && time.Since(p.behindSince) > delay
}

// catchUp fetches a peer's copy of the store if the store refuses this gateway's
// requests while it serves other gateways, or if the contact that this gateway follows
// lags behind others.
func (g *Gateway) catchUp(ctx context.Context) {
	if g.mirror.View() == nil || !g.isBehind() {
		return
	}
	g.peers.resetBehind()
	g.contacts.avoidCurrent("other gateways have a newer copy")
	if m, ok := g.nearestAhead(g.reachableMembers()); ok {
		g.fetchStore(ctx, m.PeerAddress, m.VM)
	}
}

// nearestAhead returns the nearest gateway whose copy of the store is newer than this
// one's: a copy is large.
func (g *Gateway) nearestAhead(members []fgsteer.MemberSpec) (fgsteer.MemberSpec, bool) {
	self, own := g.settings.Self, g.mirror.Position()
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	var nearest fgsteer.MemberSpec
	best := 0
	for _, m := range members {
		if m.VM == self.VM || !own.Before(g.peers.states[m.VM].position) {
			continue
		}
		nearness := 1
		if m.Region == self.Region {
			nearness = 2
		}
		if m.AvailabilityZone == self.AvailabilityZone {
			nearness = 3
		}
		if nearness > best {
			nearest, best = m, nearness
		}
	}
	return nearest, best > 0
}

// resetBehind restarts the delay before the next fetch.
func (p *peers) resetBehind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behindSince = time.Time{}
}

func (g *Gateway) fetchStore(ctx context.Context, address, source string) {
	own := g.mirror.Position()
	response, err := fggossip.FetchStore(ctx, address, own)
	if err != nil {
		g.logger.Info("fetching a copy of the store failed", "from", source, "error", err.Error())
		return
	}
	position := positionOf(response)
	if !own.Before(position) {
		return
	}
	g.mirror.Replace(valuesOf(response), position, response.GetRecovering())
	g.logger.Info("copy of the store fetched", "from", source, "era", position.Era, "revision", position.Revision, "wasEra", own.Era, "was", own.Revision, "storeAgeMs", g.mirror.Age().Milliseconds())
}

// positionOf returns the position of the store in a message.
func positionOf(m interface {
	GetEra() uint64
	GetRevision() uint64
}) fgstore.Position {
	return fgstore.Position{Era: m.GetEra(), Revision: m.GetRevision()}
}

// errBusy means that the gateway sends as many copies of the store as its link carries.
var errBusy = merry.Sentinel("the gateway sends other copies of the store")

// storeService serves calls of other gateways.
type storeService struct{ gateway *Gateway }

// FetchStore returns this gateway's copy of the store, without entries if it is no
// newer than the position in the request.
func (s storeService) FetchStore(_ context.Context, r *fgwire.StoreRequest) (*fgwire.StoreAnswer, error) {
	values, position := s.gateway.mirror.Values()
	response := &fgwire.StoreAnswer{Era: position.Era, Revision: position.Revision, Recovering: s.gateway.mirror.Recovering()}
	if position.Compare(positionOf(r)) <= 0 {
		return response, nil
	}
	for _, v := range values {
		response.Entries = append(response.Entries, &fgwire.StoreEntry{Key: v.Key, Value: v.Data, Revision: v.Revision})
	}
	if r.GetCompressed() {
		if data, err := s.gateway.compressedCopy.of(position, response.GetEntries()); err == nil {
			response.Entries, response.Compressed = nil, data
		}
	}
	// A copy for a gateway that lags behind is never refused.
	if r.GetRevision() == 0 && !s.gateway.copyLimit.take(proto.Size(response), s.gateway.settings.Self.Capacity) {
		return nil, errBusy
	}
	s.gateway.metrics.PeerBytes("copy", reachUnknown, proto.Size(response))
	return response, nil
}
