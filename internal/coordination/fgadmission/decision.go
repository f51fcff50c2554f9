// Package fgadmission decides whether a request may go to an upstream of a group that is
// near or above its capacity: now, after a wait at the gateway, or not at all. Requests
// that are less urgent, and those that can't be in time any more, yield first.
package fgadmission

import (
	"fmt"
	"math"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
)

const (
	// maxUrgentLoad is the load per slot at which even a request that can be in time gets
	// no upstream. An upstream with 4 slots rejects requests above 3.25 per slot, and
	// several gateways may send to it between two reports of its load.
	maxUrgentLoad = 2
	// refusedMargin bounds the margin of a kind that is itself refused in part, which a longer
	// queue only makes late.
	refusedMargin = 0.5
	// unknownLoadLimit is the load per slot at which an upstream without a recent report
	// gets no more requests. It is the limit of groups without admission.
	unknownLoadLimit = 1.5
	// lessUrgentLoad is the limit for requests that compete with more urgent ones, before
	// the margin is subtracted.
	lessUrgentLoad = 1.5
	// maxMargin bounds the margin, in load per slot, that requests leave to more urgent ones.
	maxMargin = 1
	// marginGain is the growth of the margin with the blocked part of the more urgent
	// requests: with 10% blocked, it grows by 0.4.
	marginGain = 4
	// lateMargin is the margin of requests that can't be in time, at a group where no
	// request finds room and all could be in time. With 20% blocked it is 0.3 per slot.
	lateMargin = 1.5
	// calmPressure is the part of requests without room up to which all but the margin for
	// more urgent requests is as in groups without admission.
	calmPressure = 0.1
	// strainSpan is how many more must find no room for the limits to apply in full.
	strainSpan = 0.5
	// costlyRatio is the ratio of run times from which on a run is costly.
	costlyRatio = 1.5
	// starvedLateLimit is the lowest limit for such requests of a starved kind.
	starvedLateLimit = 0.5
	// overShareMargin is the margin of a workspace that uses more than its share.
	overShareMargin   = 0.4
	minOverShareLimit = 0.5
	// unknownWeight is the part of the mean reported load that is assumed at an upstream
	// whose load is not known: reports come most often from the busiest ones.
	unknownWeight = 0.75
	// minLoadLimit is the lowest limit: an idle slot of an upstream that is mostly idle is
	// never refused.
	minLoadLimit = 0.3
	// timeMargin is the part of the time left that a less urgent request keeps free when
	// all recent demand is more urgent.
	timeMargin = 0.3
	// minServed bounds by how much refusals stretch the expected time to room.
	minServed = 0.1
	// minRoomRuns is the shortest expected time to room, in runs. It keeps
	// requests from waiting in vain where the loads of upstreams are uneven.
	minRoomRuns = 0.35
	// minWaitSuccess bounds by how much waits in vain stretch the expected time to room.
	minWaitSuccess = 0.1
	// minRetryAfter and maxRetryAfter bound the time after which a caller may retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Decision is what becomes of a request at a candidate: Send, Wait or Refuse. A request
// that is not sent may still go to its next candidate.
type Decision interface{ isDecision() }

// Send sends the request to the candidate.
type Send struct{}

// Wait lets the request wait at the gateway until the candidate has room.
type Wait struct {
	// Longest is how long the request may wait and still be in time.
	Longest time.Duration
}

// Refuse rejects the request.
type Refuse struct {
	Cause Cause
	// RetryAfter is the time until there will probably be room. Callers get it with a
	// random addition.
	RetryAfter time.Duration
}

func (Send) isDecision()   {}
func (Wait) isDecision()   {}
func (Refuse) isDecision() {}

// Cause is why a request is refused.
type Cause int

// The causes of refusals.
const (
	// NoRoom means that the expected time until there is room is too long.
	NoRoom Cause = iota
	// TooLate means that the request can't be in time, and that no slot is free for it.
	TooLate
	// QueueFull means that too many requests wait at the gateway.
	QueueFull
	// Expired means that the request has waited as long as it could.
	Expired
	// Stopped means that the gateway stops, or that its path to the upstreams is lost.
	Stopped
)

// String returns the cause's label value in metrics.
func (c Cause) String() string {
	names := [...]string{NoRoom: "no-room", TooLate: "too-late", QueueFull: "queue-full", Expired: "expired", Stopped: "stopped"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Request is a request that asks for an upstream.
type Request struct {
	Group, Route, Workspace string
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Objective is the time within which a response is of full use. Zero means that only
	// the deadline counts.
	Objective time.Duration
	// Start is when the request arrived, and Deadline when its caller stops waiting.
	Start, Deadline time.Time
}

// timeLeft returns how long the request may still take to be in time.
func (r Request) timeLeft(now time.Time) time.Duration {
	left := r.Deadline.Sub(now)
	if r.Objective > 0 {
		left = min(left, r.Start.Add(r.Objective).Sub(now))
	}
	return left
}

// Competition is what competes with a request in its group, as measured lately.
type Competition struct {
	// UrgentDemand is the part of the group's demand that is more urgent, and UrgentBlocked
	// the part of those requests that found no room.
	UrgentDemand, UrgentBlocked float64
	// Pressure is the part of all requests that found no room, between 0 and 1.
	Pressure float64
	// InTimeDemand is the part of the group's demand that can be in time.
	InTimeDemand float64
	// MeanLoad is the mean load per slot that upstreams of the group reported.
	MeanLoad float64
	// Starved means that the request's kind or workspace is served so rarely that it
	// competes on equal terms.
	Starved bool
	// OverShare means that its workspace uses more than its share while others lack room.
	OverShare bool
	// Ahead is the number of waiting requests that go first, and RoomRate the rate per
	// second at which requests of the group find room.
	Ahead    int
	RoomRate float64
	// WaitSuccess is the part of the requests that waited and were placed then. Zero means
	// that it is not known.
	WaitSuccess float64
	// Unserved is the part of the requests of the same kind that were not sent.
	Unserved float64
	// Correction is the ratio of measured times to expected ones for the request's route.
	// Zero means 1.
	Correction float64
	// Contenders is the number of requests that probably wait for the candidate at the
	// gateways of the zone, this one included, and Slots the number of its slots. Random is
	// between 0 and 1. They are set for requests that wait.
	Contenders, Random float64
	Slots              int
	// Costly means that another candidate would run the request in much less time.
	Costly bool
	// QueueFull means that no further request can wait.
	QueueFull bool
}

// Decide decides what becomes of a request at a candidate.
func Decide(r Request, e fgaffinity.Estimate, c Competition, now time.Time) Decision {
	left := r.timeLeft(now)
	run, wait := c.corrected(e.Run+e.Network), c.corrected(e.Wait)
	late := run > left
	load := c.load(e)
	limit := c.loadLimit(late)
	if !e.Known {
		limit = min(limit, unknownLoadLimit)
	}
	inTime := !late && (!e.Known || wait+run <= time.Duration((1-c.timeMargin())*float64(left)))
	if load < limit && (load < 1 || inTime || load < c.calmLoad()) && c.takesPart(limit-load) {
		return Send{}
	}
	switch {
	case late:
		return Refuse{Cause: TooLate, RetryAfter: c.retryAfter()}
	case c.QueueFull:
		return Refuse{Cause: QueueFull, RetryAfter: c.retryAfter()}
	case !e.Known, c.timeToRoom(load-limit, run)+run > left:
		return Refuse{Cause: NoRoom, RetryAfter: c.retryAfter()}
	}
	return Wait{Longest: left - run}
}

// takesPart reports whether this gateway may take a slot of a candidate for a waiting
// request. The gateways where requests wait see the same free slots: each takes its part,
// rounded at random. room is the room in load per slot.
func (c Competition) takesPart(room float64) bool {
	return c.Contenders <= 1 || c.Random*c.Contenders < math.Ceil(room*float64(c.Slots))
}

// load returns the load per slot to assume at a candidate. If its load is not known, what
// others report counts for requests that have to yield.
func (c Competition) load(e fgaffinity.Estimate) float64 {
	if e.Known || c.Starved || c.UrgentDemand == 0 && !c.OverShare {
		return e.LoadPerSlot
	}
	return max(e.LoadPerSlot, unknownWeight*c.MeanLoad)
}

// loadLimit returns the load per slot at which the request gets no candidate. late means
// that it can't be in time.
func (c Competition) loadLimit(late bool) float64 {
	calm := maxUrgentLoad - min(c.Unserved, refusedMargin)
	if late {
		calm = unknownLoadLimit
	}
	limit := calm - c.strain()*(calm-c.strainedLimit(late, calm))
	if c.UrgentDemand > 0 {
		limit = min(limit, lessUrgentLoad)
		if !c.Starved {
			limit -= min(marginGain*c.UrgentBlocked*min(1, 2*c.UrgentDemand), maxMargin)
		}
	}
	if c.Costly && late {
		return max(limit, 0)
	}
	return max(limit, minLoadLimit)
}

// strainedLimit returns the limit in a group where no request finds room at first, without
// the margin for more urgent ones. calm is the limit where all do.
func (c Competition) strainedLimit(late bool, calm float64) float64 {
	limit := calm
	if c.OverShare && !c.Starved {
		limit = max(min(limit, lessUrgentLoad)-overShareMargin, minOverShareLimit)
	}
	switch {
	case c.Costly && late:
		return 0
	case c.Costly:
		return min(limit, 1) - lateMargin*c.Pressure
	case late:
		limit = min(limit, 1) - lateMargin*c.Pressure*c.InTimeDemand
		if c.Starved {
			limit = max(limit, starvedLateLimit)
		}
	}
	return limit
}

// strain returns how far the limits for a lack of room apply, between 0 and 1. A request
// that is refused although most find room loses more than the others gain: its key stays
// cold, and its caller retries.
func (c Competition) strain() float64 {
	return min(1, max(0, c.Pressure-calmPressure)/strainSpan)
}

// calmLoad returns the load per slot below which a request may go to a candidate although the
// wait there makes it late: a free slot, and the old limit in a group where all find room.
func (c Competition) calmLoad() float64 {
	return 1 + (unknownLoadLimit-1)*(1-c.strain())
}

func (c Competition) timeMargin() float64 {
	if c.Starved {
		return 0
	}
	return timeMargin * c.UrgentDemand
}

func (c Competition) corrected(d time.Duration) time.Duration {
	if c.Correction <= 0 {
		return d
	}
	return time.Duration(c.Correction * float64(d))
}

// timeToRoom returns the expected time until a candidate whose load per slot is above the
// limit has room for the request: its load must fall, and the requests ahead go first. New
// requests take room too: where half of a kind is served, one of it waits for about a run.
// If many requests lately waited in vain, the time is longer.
func (c Competition) timeToRoom(excess float64, run time.Duration) time.Duration {
	d := time.Duration(max(excess, c.Unserved/max(1-c.Unserved, minServed), minRoomRuns) * float64(run))
	if c.Ahead > 0 {
		d = max(d, c.roomAfter(float64(c.Ahead)))
	}
	if c.WaitSuccess > 0 {
		// The square refuses more of those that would wait in vain, with as many in time.
		p := max(c.WaitSuccess, minWaitSuccess)
		d = time.Duration(float64(d) / (p * p))
	}
	return d
}

// roomAfter returns the time in which n requests find room.
func (c Competition) roomAfter(n float64) time.Duration {
	if c.RoomRate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min(n/c.RoomRate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// retryAfter returns the time until there is room for one more request after those that
// wait. The part of the demand that finds no room stretches it, since those retry too.
func (c Competition) retryAfter() time.Duration {
	d := c.roomAfter((float64(c.Ahead) + 1) / max(1-c.Pressure, 0.2))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// decayed is a count in which an event of one half-life ago counts half.
type decayed struct {
	value float64
	at    time.Time
}

// add counts n events.
func (d *decayed) add(now time.Time, halfLife time.Duration, n float64) {
	d.value, d.at = d.get(now, halfLife)+n, now
}

func (d decayed) get(now time.Time, halfLife time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-now.Sub(d.at).Seconds()/halfLife.Seconds())
}

// perSecond converts a decayed count into a rate. age is how long events have been counted.
func perSecond(count float64, halfLife, age time.Duration) float64 {
	lifetime := halfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-age.Seconds()/halfLife.Seconds()))
	return count / max(lifetime, 0.1)
}

// Error makes a refusal an error of the request path.
func (r Refuse) Error() string {
	return fmt.Sprintf("the upstreams for the request have no room (%v)", r.Cause)
}
