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

// target is where a request goes next: localTarget or peerTarget.
type target interface {
	isTarget()
}

// localTarget is an upstream of this VM's region with a permit taken.
type localTarget struct {
	upstream *fgconfig.Upstream
	// done gives the permit back and records how the request ended.
	done func(result)
}

// peerTarget is an entry process that has capacity for the request.
type peerTarget struct {
	member fgmember.Member
	done   func(result)
}

func (localTarget) isTarget() {}
func (peerTarget) isTarget()  {}

// result is how a request ended at a target.
type result int

// The results of a request at a target.
const (
	// resultAnswered means that the target ran the request and answered.
	resultAnswered result = iota
	// resultFailed means that the target answered with a server error.
	resultFailed
	// resultShed means that the target refused and vouches that it did not run.
	resultShed
	// resultDraining means that the target refused because it is about to stop.
	resultDraining
	// resultUnreached means that no byte of the request reached the target.
	resultUnreached
	// resultLost means that the target may have run the request.
	resultLost
	// resultCancelled means that the caller left or the deadline passed.
	resultCancelled
)

// placeOptions narrows a placement.
type placeOptions struct {
	// localOnly keeps the request on this VM's region, for requests that a peer
	// has placed here.
	localOnly bool
	// exclude names targets that already failed this request.
	exclude map[string]bool
	// alone asks for an upstream with nothing else in flight, for a request
	// suspected of crashing upstreams.
	alone bool
}

const (
	// noCapacityRetryAfter is suggested to callers that were refused for want of
	// capacity. It is longer than the wait in the queue and the interval of
	// peers' reports.
	noCapacityRetryAfter = time.Second
	// refreshInterval separates checks of this VM's slots, in case their change
	// was not announced.
	refreshInterval = 500 * time.Millisecond
)

// permits gives the placer this VM's slots.
type permits struct{ entry *Entry }

// Acquire takes a slot of an upstream.
func (p permits) Acquire(u *fgconfig.Upstream) (release func(), ok bool) {
	return p.entry.acquirePermit(u)
}

// Units returns the number of slots that this VM owns.
func (p permits) Units(u *fgconfig.Upstream) int64 { return p.entry.permitUnits(u) }

// caps gives the placer the caps between regions.
type caps struct{ entry *Entry }

// Admit spends one request of a cap.
func (c caps) Admit(ctx context.Context, from, to string) error {
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
		Permits: permits{e},
		Caps:    caps{e},
	})
}

// place chooses a target for a call. It may wait for capacity, within the
// call's deadline.
func (e *Entry) place(ctx context.Context, c *call, o placeOptions) (target, error) {
	if e.placer.Generation() < c.snapshot.Generation() {
		// The call has matched a configuration that runPlacement has yet to see.
		e.updatePlacement()
	}
	t, err := e.placer.Place(ctx, fgplacement.Request{
		Group:     c.route.Spec().UpstreamGroup,
		Workspace: c.workspace,
		LocalOnly: o.localOnly,
		Isolated:  o.alone,
		Exclude:   o.exclude,
	})
	if err != nil {
		return nil, placeProblem(err)
	}
	done := func(r result) { t.Done(r.placement()) }
	if m, ok := t.Peer(); ok {
		return peerTarget{member: m, done: done}, nil
	}
	return localTarget{upstream: t.Upstream(), done: done}, nil
}

func placeProblem(err error) *fgproblem.Problem {
	switch {
	case errors.Is(err, fgplacement.ErrNoUpstream):
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoUpstream, "no upstream serves the route here")
	case errors.Is(err, fgplacement.ErrCancelled):
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeDeadline, "the caller left before the request was placed")
	default:
		return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoCapacity, "no capacity became free in time").WithRetryAfter(noCapacityRetryAfter)
	}
}

// placement returns the result as the placer names it.
func (r result) placement() fgplacement.Result {
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

// resultOf returns what an upstream's answer says about the upstream.
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

// allowRetry spends one retry of this VM's budget.
func (e *Entry) allowRetry() bool { return e.placer.AllowRetry() }

// reportPlacement adds this VM's spare capacity and the upstreams that it
// found leaving to what it tells its peers.
func (e *Entry) reportPlacement(n *fgwire.NodeState) {
	loads, leaving := e.placer.Report()
	n.LeavingUpstreams = leaving
	for _, l := range loads {
		n.Loads = append(n.Loads, &fgwire.GroupLoad{Group: l.Group, Free: l.Free, Queued: l.Queued})
	}
}

// hearPlacement takes in what a process says about its capacity.
func (e *Entry) hearPlacement(n *fgwire.NodeState) {
	r := fgplacement.Report{VM: n.GetVm(), Incarnation: n.GetIncarnation(), Leaving: n.GetLeavingUpstreams()}
	for _, l := range n.GetLoads() {
		r.Loads = append(r.Loads, fgplacement.Load{Group: l.GetGroup(), Free: l.GetFree(), Queued: l.GetQueued()})
	}
	e.placer.ApplyReport(r)
}

func (e *Entry) updatePlacement() {
	e.placer.UpdateFrom(func() (*fgconfig.Snapshot, *fgmember.Set) { return e.config.State(), e.members.State() })
}

// runPlacement keeps the placement's view of upstreams and peers up to date
// until the context ends.
func (e *Entry) runPlacement(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		// The channels are taken before the states, so that no change between
		// the two is missed.
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
