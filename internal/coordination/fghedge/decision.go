package fghedge

import "time"

// Request is what the decisions need to know of a request.
type Request struct {
	Group, Route string
	Idempotent   bool
	// Suspected means that an identical request may have crashed an upstream.
	Suspected bool
	// Sends is the number of sends so far, those that have not ended included.
	Sends, MaxAttempts int
	Deadline           time.Time
}

// eligible reports whether the request may have a second send at all.
func (r Request) eligible() bool {
	return r.Idempotent && !r.Suspected && r.Sends < r.MaxAttempts
}

// Candidate is an upstream for the second send.
type Candidate struct {
	// LoadPerSlot is the number of requests at the upstream, divided by its slots. Known
	// means that it was reported lately, and Own that upstreams of the group report no
	// load, so that this gateway's requests are all that is known.
	LoadPerSlot float64
	Known, Own  bool
	// Expected is the expected time from the send to the response.
	Expected time.Duration
	// SameVM and SameZone mean that the first send went to the same VM or zone.
	SameVM, SameZone bool
	// Restricted means that the upstream is cold, leaving, paused, avoided after failures,
	// or names a limit.
	Restricted bool
}

// Zones selects the availability zones for a second send. They are tried in the order of
// the constants.
type Zones int

// The values of Zones.
const (
	OtherZones Zones = iota
	AnyZone
)

// Accepts reports whether the second send of a request may go to a candidate.
func Accepts(r Request, c Candidate, z Zones, now time.Time) bool {
	switch {
	case !r.eligible(), c.SameVM, c.SameZone && z == OtherZones, c.Restricted:
		return false
	case c.LoadPerSlot >= 1, !c.Known && !c.Own:
		return false
	}
	return now.Add(c.Expected).Before(r.Deadline)
}

// End is how a second send ended, or why there was none.
type End int

// The values of End.
const (
	// Won means that the second send's response was passed on.
	Won End = iota
	// Lost means that the first send's response was.
	Lost
	// Failed means that the second send failed before the first one ended, or that both
	// failed.
	Failed
	// CallerLeft means that the caller disconnected before a response.
	CallerLeft
	// RefusedLimit, RefusedBudget and RefusedRoom mean that the operators' limit or the
	// retry budget was used up, or that no upstream had room.
	RefusedLimit
	RefusedBudget
	RefusedRoom
)

// String returns the label value in metrics and log lines.
func (e End) String() string {
	names := [...]string{
		Won: "won", Lost: "lost", Failed: "failed", CallerLeft: "caller-left",
		RefusedLimit: "refused-limit", RefusedBudget: "refused-budget", RefusedRoom: "refused-room",
	}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}
