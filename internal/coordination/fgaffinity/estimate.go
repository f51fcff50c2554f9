package fgaffinity

import "time"

const (
	// otherZoneRTT is assumed for upstreams of other availability zones of the region. It
	// decides between upstreams that are otherwise equal.
	otherZoneRTT = 2 * time.Millisecond
	// localityMargin is the part of the run time by which an upstream of another zone must
	// be better for a request without a key, and one of another region twice.
	localityMargin = 0.1
	// moveMargin is the part of the run time by which another candidate must be better for
	// a key, apart from what a cold run costs. It keeps keys in place while the estimates
	// of two candidates are about equal.
	moveMargin = 0.2
	// pressedMoveMargin applies in a region whose mean load per slot is above pressedLoad.
	// There, each key that runs at another upstream too takes the place of one that the
	// upstream remembers: with 3,000 keys on 80 upstreams, the simulated part of requests
	// in time was 0.13 with moves at moveMargin and 0.30 without.
	pressedMoveMargin = 1.0
	pressedLoad       = 0.6
)

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

	// class is the class of the run. measured means that it is set.
	class    runClass
	measured bool
}

// Total is the time from the send to the response.
func (e Estimate) Total() time.Duration { return e.Wait + e.Run + e.Network }

// worthMoving reports whether a key's request is better sent to another candidate, for which
// e is expected, than to the preferred one. A cold run takes capacity of other requests, so
// the time that it takes longer than a warm one must be gained once more. pressed means that
// the other candidate's region is loaded. If it is not, a request that would be late goes
// where it is in time.
func (e Estimate) worthMoving(preferred Estimate, objective time.Duration, pressed bool) bool {
	moveMargin := moveMargin
	if pressed {
		moveMargin = pressedMoveMargin
	} else if objective > 0 && preferred.Total() > objective && e.Total() <= objective && e.LoadPerSlot < 1 {
		return true
	}
	margin := time.Duration(moveMargin*float64(preferred.Run)) + max(0, e.Run-preferred.Run)
	return e.Total()+margin < preferred.Total()
}

// estimate returns what is expected of a request with a run of a class at an upstream of a
// group.
func (b *Balancer) estimate(g *group, u *Upstream, class runClass, wall time.Time) Estimate {
	now := int64(wall.Sub(b.epoch))
	spec := u.Spec()
	slots := float64(spec.Slots)
	load := u.load(now)
	if class == keylessRun {
		// Otherwise an upstream that nobody has heard of for long would seem idle, and
		// many VMs would send to it at once. A key stays where it is known to be warm.
		load += u.unknownLoad(now)
	}
	e := Estimate{LoadPerSlot: load / slots, Network: b.network(u), class: class, measured: true}
	if reported := u.reported.Load(); reported != 0 {
		e.Known = now-reported < int64(knownTime)
	}
	fallback := float64(g.meanResponse.nanoseconds.Load())
	// All requests that are ahead, except those that run on until the end, must end first.
	if ahead := load - slots + 1; ahead > 0 {
		e.Wait = time.Duration(ahead / slots * g.runs.mean(fallback) * u.slowdown.at(now))
	}
	run := g.runs.of(class, fallback) * u.slowdown.at(now+int64(e.Wait+e.Network/2))
	if u.isCold(wall, now) {
		run *= justStartedFactor
	}
	e.Run = time.Duration(run)
	return e
}

// network returns the round-trip time to an upstream.
func (b *Balancer) network(u *Upstream) time.Duration {
	switch spec := u.Spec(); {
	case spec.Region != b.options.Region:
		return time.Duration(b.rtt.Load())
	case spec.AvailabilityZone != b.options.AvailabilityZone:
		return otherZoneRTT
	default:
		return 0
	}
}

// classOf returns the class of a run at an upstream. preferred means that the upstream is
// the key's first candidate.
func (b *Balancer) classOf(c Criteria, u *Upstream, key uint64, preferred bool, wall time.Time) runClass {
	now := int64(wall.Sub(b.epoch))
	switch {
	case c.AffinityKey == "":
		return keylessRun
	case u.keys.contains(key, now), preferred && !u.isCold(wall, now):
		return warmRun
	default:
		return coldRun
	}
}

// accepts reports whether the request may go to an upstream.
func (c Criteria) accepts(u *Upstream, e Estimate) bool {
	if c.Accept == nil {
		return e.LoadPerSlot < c.MaxLoadPerSlot
	}
	return c.Accept(u, e)
}
