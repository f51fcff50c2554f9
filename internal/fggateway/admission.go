package fggateway

import (
	"errors"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgadmission"
	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
)

// beginAdmission counts a request in its group. In groups about which admission does not
// decide, the request has no attempt, and maxLoadPerSlot applies.
func (g *Gateway) beginAdmission(q *request) *fgadmission.Attempt {
	r := fgadmission.Request{Group: q.group, Route: q.route.Name, Priority: q.route.Priority, Objective: q.route.Objective, Start: q.start, Deadline: q.deadline}
	if q.workspace != nil {
		r.Workspace = q.workspace.Name
		if q.workspace.HasPriority {
			r.Priority = q.workspace.Priority
		}
	}
	return g.admission.Begin(r)
}

// place chooses the upstream of the next send.
func (g *Gateway) place(q *request) (*fgaffinity.Upstream, error) {
	q.attempt.Reset()
	u, err := g.balancer.Choose(q.criteria())
	if q.attempt == nil || !errors.Is(err, fgaffinity.ErrFull) {
		return u, err
	}
	q.attempt.Blocked()
	if refused, ok := q.attempt.Decision().(fgadmission.Refuse); ok {
		return nil, refused
	}
	return nil, err
}

// recordLoad records the load that an upstream tells in a response.
func (g *Gateway) recordLoad(u *fgaffinity.Upstream, l fgmessage.Load) {
	total, spec := l.Running+l.Waiting, u.Spec()
	g.balancer.RecordLoad(u, total)
	g.admission.RecordLoad(spec.Group, float64(total)/float64(max(1, spec.Slots)), l.Slowdown)
}

// recordAdmission records the response of an upstream for the admission of later requests.
func (q *request) recordAdmission(res *upstreamResponse, started time.Time) {
	switch res.result {
	case fgaffinity.Answered:
		q.attempt.Responded(time.Since(started))
	case fgaffinity.Shed:
		q.attempt.Blocked()
	}
}
