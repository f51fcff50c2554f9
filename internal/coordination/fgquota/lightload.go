package fgquota

import (
	"math/rand/v2"
	"time"
)

const (
	// A workspace is lightly loaded if the demand of the VMs in touch is at most
	// lightDemandFraction of their part of the rate plus lightDemandMargin requests per
	// second, and lightTokensFraction of their part of the burst is left. The margin
	// covers the random variation of a small workspace's demand.
	lightDemandFraction = 0.8
	lightDemandMargin   = 4.0
	lightTokensFraction = 0.3
	// A VM may spend lightBaseAllowance tokens of a lightly loaded workspace between
	// two reports, plus its own demand of lightDemandIntervals report intervals.
	// This bounds the excess when demand rises suddenly on many VMs.
	lightBaseAllowance   = 2
	lightDemandIntervals = 2
	// With more VMs than tokens, demand that rises everywhere at once could still exceed
	// the tokens several times before the first reports. If the VMs have known of less
	// demand than idleFraction of the rate for idleTicks ticks, each may spend only
	// idleAllowance tokens in two report intervals: at 118 VMs and a rate of 20 two
	// tokens in each led to 166 requests where 152 are allowed. With more VMs than a
	// rate has requests in idleWindow, one token in each is too many as well, and the
	// second requests of such small workspaces at a VM are not refused for it.
	idleFraction  = 0.1
	idleTicks     = 2
	idleWindow    = 5
	idleAllowance = 1
	// unreportedIntervals is for how many report intervals the other VMs may spend
	// tokens before this VM learns of it: one until their reports, plus the latency
	// from another region. One more request of each VM is added.
	unreportedIntervals = 1.5
)

// renewAllowance sets this VM's share and its allowance of the tokens left.
func (l *Limiter) renewAllowance(b *bucket, elapsed time.Duration) {
	total, reported, silent := max(b.demand, minDemand), b.demand, 0.0
	for _, p := range l.peers {
		u := p.uses[b.hash]
		switch {
		case !p.inTouch && u != nil:
			silent += u.demand
		case p.inTouch && u != nil:
			total += max(u.demand, minDemand)
			reported += u.demand
		case p.inTouch:
			total += minDemand
		}
	}
	b.knownDemand = reported + silent
	if b.idle++; b.knownDemand-b.demand >= idleFraction*b.rate {
		b.idle = 0
	}
	b.share = max(b.demand, minDemand) / total
	n := float64(l.contact.inTouch)
	b.unreported = unreportedIntervals*total*(1-b.share)*elapsed.Seconds() + n - 1
	b.allowance = b.share * b.tokens
	if b.capacity() < n/2 {
		b.allowance = roundUpRandomly(b.allowance)
	}
	switch isLight := b.isLightlyLoaded(reported); {
	case b.idle > idleTicks && n > b.capacity() && n <= b.burst+idleWindow*b.rate:
		b.allowance = min(b.allowance, idleAllowance)
		if isLight {
			b.allowance = idleAllowance
		}
		b.allowance = max(0, b.allowance-b.recent)
	case isLight:
		b.allowance = max(b.allowance, lightBaseAllowance+lightDemandIntervals*b.demand*elapsed.Seconds())
	}
	// If less is asked for than the rate, a VM can have whole tokens although the others
	// may have them too.
	if reported <= b.fraction*b.rate+lightDemandMargin {
		switch {
		case b.tokens >= n/2:
			b.allowance = max(2, b.allowance)
		case b.tokens >= max(1, n/4):
			b.allowance = max(1, b.allowance)
		}
	}
	b.recent = 0
}

// isLightlyLoaded reports whether the demand of the VMs in touch is well below their
// part of the rate. No tokens need to be reserved for other VMs then: if all demand
// rises at once, the next reports show it, and the excess is subtracted from the
// tokens.
func (b *bucket) isLightlyLoaded(demand float64) bool {
	return b.tokens >= lightTokensFraction*b.capacity() && demand <= b.fraction*(lightDemandFraction*b.rate+lightDemandMargin)
}

// roundUpRandomly rounds an allowance between 0 and 1 up to 1 with the allowance
// as probability. With more VMs than tokens, no VM would otherwise ever have a
// whole token.
func roundUpRandomly(allowance float64) float64 {
	if allowance <= 0 || allowance >= 1 {
		return allowance
	}
	if rand.Float64() < allowance {
		return 1
	}
	return allowance
}
