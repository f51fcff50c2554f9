package fgentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgplacement"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/transport/fgupstream"
)

// target is where a request is sent next: a localTarget or a peerTarget.
type target interface {
	isTarget()
}

// localTarget is an upstream of this VM's region for which a permit is held.
type localTarget struct {
	upstream *fgconfig.Upstream
	// done releases the permit and records how the request ended.
	done func(result)
}

// peerTarget is a peer that has reported capacity for the request.
type peerTarget struct {
	member fgmember.Member
	done   func(result)
}

func (localTarget) isTarget() {}
func (peerTarget) isTarget()  {}

// result is how a send to a target ended.
type result int

// The results of a send.
const (
	// resultAnswered means that the target ran the request and responded.
	resultAnswered result = iota
	// resultFailed means that the target responded with a server error.
	resultFailed
	// resultShed means that the target refused the request and states that it
	// did not run it.
	resultShed
	// resultDraining means that the target refused the request because it is
	// about to stop.
	resultDraining
	// resultUnreached means that no byte of the request reached the target.
	resultUnreached
	// resultLost means that the target may have run the request, but no
	// complete response arrived.
	resultLost
	// resultCancelled means that the caller disconnected, that the deadline
	// passed, or that the request was refused for a reason that does not
	// concern the target.
	resultCancelled
)

// placeOptions restricts a placement.
type placeOptions struct {
	// localOnly restricts the placement to upstreams of this VM's region. It is
	// set for requests that a peer has placed here.
	localOnly bool
	// exclude holds the names of targets that have already failed this request.
	exclude map[string]bool
	// isolated asks for an upstream with no other request in flight. It is set
	// for requests that are suspected of crashing upstreams.
	isolated bool
}

const (
	// noCapacityRetryAfter is the Retry-After of refusals for lack of capacity.
	// It is longer than the wait in the placement queue and the interval
	// between peers' reports.
	noCapacityRetryAfter = time.Second
	// slotPollInterval separates checks of this VM's slots, in case a change
	// was not signalled.
	slotPollInterval = 500 * time.Millisecond
)

// placerPermits gives the placer access to this VM's share of the upstreams'
// slots.
type placerPermits struct{ entry *Entry }

// Acquire takes a permit for one slot of an upstream.
func (p placerPermits) Acquire(u *fgconfig.Upstream) (release func(), ok bool) {
	return p.entry.acquirePermit(u)
}

// Units returns the number of slots that this VM owns.
func (p placerPermits) Units(u *fgconfig.Upstream) int64 { return p.entry.permitUnits(u) }

// placerCaps gives the placer access to the caps between regions.
type placerCaps struct{ entry *Entry }

// Admit takes one request from the cap between two regions.
func (c placerCaps) Admit(ctx context.Context, from, to string) error {
	return c.entry.admitRegionalCap(ctx, from, to)
}

// permitUnits returns the number of an upstream's slots that this VM owns.
func (e *Entry) permitUnits(u *fgconfig.Upstream) int64 {
	s := e.limits.holder.Slots(e.limits.names.Load().slots[u.Name()])
	if s == nil {
		return 0
	}
	return s.Units()
}

func newPlacer(e *Entry) *fgplacement.Placer {
	return fgplacement.New(fgplacement.Options{
		VM:      e.settings.raw.VM,
		Region:  e.settings.raw.Region,
		Permits: placerPermits{e},
		Caps:    placerCaps{e},
	})
}

// place chooses a target for a call. It may wait for capacity, at most until
// the call's deadline.
func (e *Entry) place(ctx context.Context, c *call, o placeOptions) (target, error) {
	if e.placer.Generation() < c.snapshot.Generation() {
		// The call uses a configuration that runPlacement has not applied yet.
		e.updatePlacement()
	}
	t, err := e.placer.Place(ctx, fgplacement.Request{
		Group:     c.route.Spec().UpstreamGroup,
		Workspace: c.workspace,
		LocalOnly: o.localOnly,
		Isolated:  o.isolated,
		Exclude:   o.exclude,
	})
	if err != nil {
		return nil, placementRefusal(err)
	}
	done := func(r result) { t.Done(r.placementResult()) }
	if m, ok := t.Peer(); ok {
		return peerTarget{member: m, done: done}, nil
	}
	return localTarget{upstream: t.Upstream(), done: done}, nil
}

func placementRefusal(err error) *fgproblem.Problem {
	switch {
	case errors.Is(err, fgplacement.ErrNoUpstream):
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoUpstream, "no declared upstream serves the route")
	case errors.Is(err, fgplacement.ErrCancelled):
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeDeadline, "the caller disconnected or the deadline passed before the request was placed")
	default:
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoCapacity, "no capacity became available in time").WithRetryAfter(noCapacityRetryAfter)
	}
}

// placementResult returns the placer's equivalent of the result.
func (r result) placementResult() fgplacement.Result {
	switch r {
	case resultAnswered:
		return fgplacement.Answered
	case resultFailed:
		return fgplacement.Failed
	case resultShed:
		return fgplacement.Shed
	case resultDraining:
		return fgplacement.Draining
	case resultUnreached:
		return fgplacement.Unreached
	case resultCancelled:
		return fgplacement.Cancelled
	default:
		return fgplacement.OutcomeUnknown
	}
}

// resultOf classifies an upstream's response.
func resultOf(res *http.Response) result {
	switch {
	case res.StatusCode == http.StatusServiceUnavailable && res.Close:
		return resultDraining
	case res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(fgupstream.HeaderNotRun) == "true":
		return resultShed
	case res.StatusCode >= http.StatusInternalServerError:
		return resultFailed
	default:
		return resultAnswered
	}
}

// allowRetry takes one retry from this VM's retry budget and reports whether
// one was left.
func (e *Entry) allowRetry() bool { return e.placer.AllowRetry() }

// addPlacementReport adds this VM's spare capacity, and the upstreams that it
// has found to be about to stop, to the state for its peers.
func (e *Entry) addPlacementReport(n *fgwire.NodeState) {
	loads, leaving := e.placer.Report()
	n.LeavingUpstreams = leaving
	for _, l := range loads {
		n.Loads = append(n.Loads, &fgwire.GroupLoad{Group: l.Group, Free: l.Free, Queued: l.Queued})
	}
}

// applyPlacementReport applies a process's report of its capacity.
func (e *Entry) applyPlacementReport(n *fgwire.NodeState) {
	r := fgplacement.Report{VM: n.GetVm(), Incarnation: n.GetIncarnation(), Leaving: n.GetLeavingUpstreams()}
	for _, l := range n.GetLoads() {
		r.Loads = append(r.Loads, fgplacement.Load{Group: l.GetGroup(), Free: l.GetFree(), Queued: l.GetQueued()})
	}
	e.placer.ApplyReport(r)
}

func (e *Entry) updatePlacement() {
	e.placer.UpdateFrom(func() (*fgconfig.Snapshot, *fgmember.Set) { return e.config.State(), e.members.State() })
}

// runPlacement keeps the placer's view of upstreams and peers up to date until
// the context ends.
func (e *Entry) runPlacement(ctx context.Context) {
	ticker := time.NewTicker(slotPollInterval)
	defer ticker.Stop()
	for {
		// The channels are taken before the states are read, so that no change
		// in between is missed.
		config, members := e.config.Changed(), e.members.Changed()
		e.updatePlacement()
		for changed := false; !changed; {
			select {
			case <-ctx.Done():
				return
			case <-config:
				changed = true
			case <-members:
				changed = true
			case <-ticker.C:
				e.placer.Wake()
			}
		}
	}
}
