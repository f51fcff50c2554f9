package fgplacement

import (
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
)

// Result is how a request ended at its target.
type Result int

// The results of a request at a target.
const (
	// Answered means that the target ran the request and answered.
	Answered Result = iota
	// Failed means that the target answered with a server error. Such answers
	// are often fast and must not attract requests.
	Failed
	// Shed means that the target refused and vouches that it did not run.
	Shed
	// Draining means that the target refused because it is about to stop.
	Draining
	// Unreached means that no byte of the request reached the target.
	Unreached
	// Lost means that the target may have run the request.
	Lost
	// Cancelled means that the caller left or the deadline passed.
	Cancelled
)

// Target is where a request goes: an upstream or a peer. It holds capacity
// there until Done.
type Target struct {
	placer     *Placer
	upstream   *upstream
	peer       *peerLoad
	generation int64
	started    instant
	// weight is the capacity that was taken.
	weight  int64
	release func()
}

// Upstream returns the chosen upstream, or nil when the target is a peer.
func (t Target) Upstream() *fgconfig.Upstream {
	if t.upstream == nil {
		return nil
	}
	return t.upstream.config.Load()
}

// Peer returns the chosen peer when the target is not an upstream.
func (t Target) Peer() (fgmember.Member, bool) {
	if t.peer == nil {
		return fgmember.Member{}, false
	}
	return *t.peer.owner.member.Load(), true
}

// crosses reports whether the target lies in another region.
func (t Target) crosses() bool { return t.peer != nil && t.peer.link != nil }

// Done gives the capacity back and records how the request ended. It must be
// called exactly once.
func (t Target) Done(r Result) {
	now := t.placer.now()
	if t.peer != nil {
		t.peer.record(r, t.generation, t.weight)
		t.placer.wakeGroup(t.peer.group)
		return
	}
	if t.release != nil {
		t.release()
	}
	u := t.upstream
	rest := u.record(r, t.started, now)
	u.inFlight.Add(-t.weight)
	if rest > 0 {
		time.AfterFunc(rest, func() { t.placer.wakeGroup(u.group) })
	}
	t.placer.wakeGroup(u.group)
}

// cancel gives back the capacity of a target that was never used.
func (t Target) cancel() {
	if t.placer == nil {
		return
	}
	if t.crosses() {
		t.peer.link.leave()
	}
	t.Done(Cancelled)
}
