package fgquota

import (
	"math/rand/v2"
	"time"
)

const (
	// A workspace is lightly loaded if its demand is at most lightDemandFraction
	// of its rate plus lightDemandMargin requests per second, lightTokensFraction
	// of its burst is left, and at most maxSilentFraction of the VMs have sent no
	// report for maxReportAge. The margin covers the random variation of a small
	// workspace's demand. Some VMs may be silent, since the loss of an availability
	// zone must not affect the others; the tokens that silent VMs may spend are
	// subtracted separately.
	lightDemandFraction = 0.8
	lightDemandMargin   = 4.0
	lightTokensFraction = 0.3
	maxSilentFraction   = 0.25
	maxReportAge        = 1500 * time.Millisecond
	// A VM may spend lightBaseAllowance tokens of a lightly loaded workspace between
	// two reports, plus its own demand of lightDemandIntervals report intervals.
	// This bounds the excess when demand rises suddenly on many VMs.
	lightBaseAllowance   = 2
	lightDemandIntervals = 2
)

// isLightlyLoaded reports whether the demand of all VMs is well below the rate,
// according to recent reports of most VMs. No tokens need to be reserved for
// other VMs then: if all demand rises at once, the next reports show it, and the
// excess is subtracted from the tokens.
func (l *Limiter) isLightlyLoaded(b *bucket) bool {
	if b.tokens < lightTokensFraction*b.burst || !l.hasRecentReports() {
		return false
	}
	total, hash := b.demand, WorkspaceHash(b.name)
	for _, p := range l.peers {
		if u := p.uses[hash]; u != nil {
			total += u.demand
		}
	}
	return total <= lightDemandFraction*b.rate+lightDemandMargin
}

// hasRecentReports reports whether most VMs have sent a report within maxReportAge.
// What silent VMs spend beyond their shares is unknown.
func (l *Limiter) hasRecentReports() bool {
	now, recent := time.Now(), 1
	for _, p := range l.peers {
		if now.Sub(p.lastReport) < maxReportAge {
			recent++
		}
	}
	return float64(l.members-recent) <= maxSilentFraction*float64(l.members)
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
