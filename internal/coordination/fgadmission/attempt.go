package fgadmission

import (
	"math/rand/v2"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
)

// Attempt is one request that asks for an upstream, with what was decided about it. It is
// used by one goroutine at a time. The methods of a nil Attempt do nothing.
type Attempt struct {
	controller *Controller
	request    Request
	// decision is the decision against sending since the last Reset. Nil means none.
	decision Decision
	// shortest is the shortest run time of the candidates since then.
	shortest time.Duration
	// expected is the estimate of the upstream that was accepted last.
	expected fgaffinity.Estimate
	// sent, blocked and noRoom mean that the request was counted as such, and possible that
	// it was counted as one that can be in time.
	sent, blocked, noRoom, possible bool
	// waits means that the request waits, and rolled when its random number was drawn.
	waits  bool
	rolled time.Time
	roll   float64
}

// Priority returns the priority of the request; 0 is the most urgent.
func (a *Attempt) Priority() int { return a.request.Priority }

// Reset forgets the decisions of an earlier choice.
func (a *Attempt) Reset() {
	if a != nil {
		a.decision, a.shortest = nil, 0
	}
}

// Accept decides about a candidate, for fgaffinity.Criteria. Of several decisions against
// sending, a wait has precedence over a refusal.
func (a *Attempt) Accept(u *fgaffinity.Upstream, e fgaffinity.Estimate) bool {
	return a.accept(u.Spec().Slots, e)
}

func (a *Attempt) accept(slots int, e fgaffinity.Estimate) bool {
	now := time.Now()
	c := a.competition(e, now)
	c.Slots = slots
	c.Costly = a.shortest > 0 && e.Run.Seconds() > costlyRatio*a.shortest.Seconds()
	if a.shortest == 0 || e.Run < a.shortest {
		a.shortest = e.Run
	}
	switch d := Decide(a.request, e, c, now).(type) {
	case Send:
		a.expected = e
		return true
	case Wait:
		if old, ok := a.decision.(Wait); !ok || old.Longest < d.Longest {
			a.decision = d
		}
	case Refuse:
		if a.decision == nil {
			a.decision = d
		}
	}
	return false
}

// competition returns what competes with the request, and counts it if it can be in time
// at a candidate.
func (a *Attempt) competition(e fgaffinity.Estimate, now time.Time) Competition {
	a.controller.mu.Lock()
	defer a.controller.mu.Unlock()
	g := a.controller.group(a.request.Group, now)
	c := g.competition(a, now)
	c.QueueFull = !a.waits && a.controller.isFull(&g.queue)
	if a.waits {
		c.Contenders, c.Random = a.controller.contenders(a.request.Group, now), a.random(now)
	}
	if !a.possible && c.corrected(e.Run+e.Network) <= a.request.timeLeft(now) {
		a.possible = true
		g.canBeInTime.add(now, recentHalfLife, 1)
	}
	return c
}

// rollInterval is how long a waiting request keeps its random number: about as long as the
// reports of an upstream's load are apart, so that it gets its part of the free slots once.
const rollInterval = 100 * time.Millisecond

func (a *Attempt) random(now time.Time) float64 {
	if now.Sub(a.rolled) >= rollInterval {
		a.roll, a.rolled = rand.Float64(), now
	}
	return a.roll
}

// Decision returns the decision about a request that no candidate could take.
func (a *Attempt) Decision() Decision {
	if a.decision == nil {
		// Candidates that were accepted may be cold, or name a limit.
		return Refuse{Cause: NoRoom, RetryAfter: minRetryAfter}
	}
	a.markNoRoom()
	return a.decision
}

// RetryAfter returns the time until there will probably be room for the request, or zero
// if nothing was decided about it.
func (a *Attempt) RetryAfter() time.Duration {
	if a == nil {
		return 0
	}
	if d, ok := a.decision.(Refuse); ok {
		return d.RetryAfter
	}
	now := time.Now()
	a.controller.mu.Lock()
	defer a.controller.mu.Unlock()
	return a.controller.group(a.request.Group, now).competition(a, now).retryAfter()
}

// Sent records that the request is sent to an upstream.
func (a *Attempt) Sent() {
	if a == nil || a.sent {
		return
	}
	a.sent = true
	a.count(func(f *flow) *decayed { return &f.sent })
}

// Blocked records that the request found no room: it was refused, or an upstream rejected
// it.
func (a *Attempt) Blocked() {
	if a == nil || a.blocked {
		return
	}
	a.blocked = true
	a.markNoRoom()
	a.count(func(f *flow) *decayed { return &f.blocked })
}

// markNoRoom counts the request as one that found no room at first.
func (a *Attempt) markNoRoom() {
	if a.noRoom {
		return
	}
	a.noRoom = true
	now := time.Now()
	a.controller.mu.Lock()
	defer a.controller.mu.Unlock()
	a.controller.group(a.request.Group, now).noRoom.add(now, recentHalfLife, 1)
}

// count adds the request to a count of its kind and of its workspace.
func (a *Attempt) count(of func(*flow) *decayed) {
	now := time.Now()
	a.controller.mu.Lock()
	defer a.controller.mu.Unlock()
	a.controller.group(a.request.Group, now).each(a.request, now, func(f *flow) { of(f).add(now, recentHalfLife, 1) })
}

// Responded records the time from the send to the response of an upstream that ran the
// request.
func (a *Attempt) Responded(took time.Duration) {
	if a == nil {
		return
	}
	now := time.Now()
	a.controller.mu.Lock()
	defer a.controller.mu.Unlock()
	a.controller.group(a.request.Group, now).recordResponse(a.request, a.expected, took)
}
