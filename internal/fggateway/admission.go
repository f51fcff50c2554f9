package fggateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/coordination/fgadmission"
	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/coordination/fgpath"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// errPathLost means that a request waits no longer because this gateway does not reach the
// upstreams.
var errPathLost = merry.Sentinel("the path to the upstreams is lost")

const (
	// A group lacks room when this part of its requests finds none at first, and has room
	// again below the second part.
	lacksRoomPressure = 0.1
	hasRoomPressure   = 0.02
)

// roomTracker holds which groups lack room, for the log.
type roomTracker struct{ lacking map[string]bool }

// logRoom logs when a group begins or ceases to lack room.
func (g *Gateway) logRoom(t *roomTracker) {
	for _, s := range g.admission.Groups() {
		message := ""
		switch {
		case !t.lacking[s.Group] && s.Pressure > lacksRoomPressure:
			message = "group lacks room"
		case t.lacking[s.Group] && s.Pressure < hasRoomPressure:
			message = "group has room again"
		default:
			continue
		}
		if t.lacking == nil {
			t.lacking = map[string]bool{}
		}
		t.lacking[s.Group] = !t.lacking[s.Group]
		g.logger.Info(message, "group", s.Group, "withoutRoom", s.Pressure, "loadPerSlot", s.MeanLoad, "roomPerSecond", s.RoomRate, "waiting", s.Waiting, "refusedPerSecond", s.Refused)
	}
}

// groupRoom returns the free part of the slots of each group, by the loads that upstreams
// reported lately.
func (g *Gateway) groupRoom() map[string]float64 {
	room := map[string]float64{}
	for _, s := range g.admission.Groups() {
		room[s.Group] = max(0, 1-s.MeanLoad)
	}
	return room
}

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

// place chooses the upstream of the next send. In a group that lacks room, the request may
// wait for it, unless its caller leaves.
func (g *Gateway) place(ctx context.Context, q *request) (fgaffinity.Placement, error) {
	p, err := g.choose(q)
	if w, ok := waitOf(q, err); ok {
		p, err = g.waitForRoom(ctx, q, w, g.choose)
	}
	if err == nil {
		g.metrics.Placed(q.group, p.Preferred())
	}
	var refused fgadmission.Refuse
	if errors.As(err, &refused) {
		q.attempt.Blocked()
		g.metrics.AdmissionRefused(q.attempt.Priority(), refused.Cause.String())
	}
	return p, err
}

// choose chooses among the upstreams at this moment. If admission decides against all, the
// error is its refusal, or fgaffinity.ErrFull if the request may wait.
func (g *Gateway) choose(q *request) (fgaffinity.Placement, error) {
	q.attempt.Reset()
	p, err := g.balancer.Place(q.criteria())
	q.counted = true
	if q.attempt != nil && errors.Is(err, fgaffinity.ErrFull) {
		if refused, ok := q.attempt.Decision().(fgadmission.Refuse); ok {
			return fgaffinity.Placement{}, refused
		}
	}
	return p, err
}

// waitOf returns the decision that a request may wait, if that is the reason for an error
// of choose.
func waitOf(q *request, err error) (fgadmission.Wait, bool) {
	if q.attempt == nil || !errors.Is(err, fgaffinity.ErrFull) {
		return fgadmission.Wait{}, false
	}
	w, ok := q.attempt.Decision().(fgadmission.Wait)
	return w, ok
}

// waitForRoom lets a request wait until choose returns an upstream, or another error than
// that the request may wait.
func (g *Gateway) waitForRoom(ctx context.Context, q *request, w fgadmission.Wait, choose func(*request) (fgaffinity.Placement, error)) (p fgaffinity.Placement, err error) {
	start, priority := time.Now(), q.attempt.Priority()
	g.metrics.WaitBegan(priority)
	waitErr := g.admission.Wait(ctx, q.attempt, w, q.reserved, func() fgadmission.Outcome {
		if g.path.Status() == fgpath.Lost {
			err = errPathLost
			return fgadmission.Ended
		}
		p, err = choose(q)
		if _, ok := waitOf(q, err); ok {
			return fgadmission.Waits
		}
		var refused fgadmission.Refuse
		switch {
		case err == nil:
			return fgadmission.Placed
		case errors.As(err, &refused):
			return fgadmission.Refused
		}
		return fgadmission.Ended
	})
	if waitErr != nil {
		p, err = fgaffinity.Placement{}, waitErr
	}
	if p.Upstream != nil && ctx.Err() != nil {
		g.release(q, p.Upstream)
		p, err = fgaffinity.Placement{}, ctx.Err()
	}
	g.metrics.WaitEnded(priority, waitEnd(err), time.Since(start))
	return p, err
}

// waitEnd returns the label value of how a wait ended.
func waitEnd(err error) string {
	var refused fgadmission.Refuse
	switch {
	case err == nil:
		return "placed"
	case errors.As(err, &refused):
		return refused.Cause.String()
	case errors.Is(err, errPathLost):
		return "path-lost"
	case errors.Is(err, context.Canceled):
		return "caller-left"
	}
	return "no-upstream"
}

// waitingReports returns the groups in which requests wait for room, to report to the other
// gateways of the zone.
func (g *Gateway) waitingReports() []*fgwire.GroupWaiting {
	var reports []*fgwire.GroupWaiting
	for _, w := range g.admission.Waiting() {
		reports = append(reports, &fgwire.GroupWaiting{Group: w.Group, Requests: uint32(w.Count)})
	}
	return reports
}

// applyWaitingReports applies the reports of another gateway, if it is of the same zone.
func (g *Gateway) applyWaitingReports(s *fgwire.GatewayState) {
	var waiting []fgadmission.GroupWaiting
	if len(s.GetWaiting()) > 0 && g.inOwnZone(s.GetVm()) {
		for _, w := range s.GetWaiting() {
			waiting = append(waiting, fgadmission.GroupWaiting{Group: w.GetGroup(), Count: int(w.GetRequests())})
		}
	}
	g.admission.RecordPeer(s.GetVm(), waiting)
}

// inOwnZone reports whether a gateway is registered in this one's availability zone.
func (g *Gateway) inOwnZone(vm string) bool {
	v, self := g.mirror.View(), g.settings.Self
	return v != nil && slices.ContainsFunc(v.Members(), func(m fgsteer.MemberSpec) bool {
		return m.VM == vm && m.Region == self.Region && m.AvailabilityZone == self.AvailabilityZone
	})
}

// recordAdmission records the response of an upstream for the admission of later requests.
func (g *Gateway) recordAdmission(q *request, res *upstreamResponse, started time.Time) {
	if l := res.meta.Load; res.meta.HasLoad {
		g.admission.RecordLoad(q.group, float64(l.Running+l.Waiting)/float64(max(1, res.upstream.Spec().Slots)), l.Slowdown)
	}
	switch res.result {
	case fgaffinity.Answered:
		q.attempt.Responded(time.Since(started))
	case fgaffinity.Shed:
		q.attempt.Blocked()
	}
}
