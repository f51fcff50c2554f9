package fgaffinity

import "time"

// Estimate is what the balancer expects of one request at one upstream.
type Estimate struct {
	// LoadPerSlot is the number of requests of all VMs at the upstream, divided by its
	// slots.
	LoadPerSlot float64
	// Wait is the time until a slot is free for the request, and Run the time that it
	// runs then.
	Wait, Run time.Duration
	// Network is the round-trip time to the upstream.
	Network time.Duration
	// Known means that the load was reported lately, by the upstream or by another VM.
	// Otherwise, Wait follows from this VM's own requests only.
	Known bool
}

// Total is the time from the send to the response.
func (e Estimate) Total() time.Duration { return e.Wait + e.Run + e.Network }

// estimate returns what is expected of a request at an upstream of a group.
func (u *Upstream) estimate(g *group, now int64) Estimate {
	e := Estimate{LoadPerSlot: u.loadPerSlot(now), Run: time.Duration(g.meanResponse.nanoseconds.Load())}
	if e.LoadPerSlot > 1 {
		e.Wait = time.Duration((e.LoadPerSlot - 1) * float64(e.Run))
	}
	return e
}

// accepts reports whether the request may go to an upstream.
func (c Criteria) accepts(u *Upstream, g *group, now int64) bool {
	if c.Accept == nil {
		return u.loadPerSlot(now) < c.MaxLoadPerSlot
	}
	return c.Accept(u, u.estimate(g, now))
}
