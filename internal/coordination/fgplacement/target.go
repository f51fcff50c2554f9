package fgplacement

import (
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
)

// Result is the outcome of a request at its target.
type Result int

// The outcomes of a request at its target.
const (
	// Answered means that the target ran the request and responded.
	Answered Result = iota
	// Failed means that the target responded with a server error. Such
	// responses are often fast, so their latency must not attract requests.
	Failed
	// Shed means that the target refused the request and states that it did
	// not run it.
	Shed
	// Draining means that the target refused the request because it is
	// shutting down.
	Draining
	// Unreached means that no byte of the request reached the target.
	Unreached
	// OutcomeUnknown means that the target may or may not have run the request.
	OutcomeUnknown
	// Cancelled means that the caller cancelled the request or its deadline
	// passed.
	Cancelled
)

// Target is an upstream or a peer that was chosen for a request. It holds
// capacity there until Done is called.
type Target struct {
	placer     *Placer
	upstream   *upstream
	peer       *peerLoad
	generation int64
	started    instant
	// weight is the capacity that the request holds.
	weight  int64
	release func()
}

// Upstream returns the chosen upstream, or nil if the target is a peer.
func (t Target) Upstream() *fgconfig.Upstream {
	if t.upstream == nil {
		return nil
	}
	return t.upstream.config.Load()
}

// Peer returns the chosen peer, or false if the target is an upstream.
func (t Target) Peer() (fgmember.Member, bool) {
	if t.peer == nil {
		return fgmember.Member{}, false
	}
	return *t.peer.owner.member.Load(), true
}

// isCrossRegion reports whether the target is in another region.
func (t Target) isCrossRegion() bool { return t.peer != nil && t.peer.regionLink != nil }

// Done releases the capacity and records the outcome of the request. It must
// be called exactly once.
func (t Target) Done(r Result) {
	now := t.placer.now()
	if t.peer != nil {
		t.peer.recordResult(r, t.generation, t.weight)
		t.placer.wakeGroup(t.peer.group)
		return
	}
	if t.release != nil {
		t.release()
	}
	u := t.upstream
	backoff := u.recordResult(r, t.started, now)
	u.inFlight.Add(-t.weight)
	if backoff > 0 {
		time.AfterFunc(backoff, func() { t.placer.wakeGroup(u.group) })
	}
	t.placer.wakeGroup(u.group)
}

// cancelUnused releases the capacity of a target to which nothing was sent.
func (t Target) cancelUnused() {
	if t.placer == nil {
		return
	}
	if t.isCrossRegion() {
		t.peer.regionLink.cancelProbe()
	}
	t.Done(Cancelled)
}
