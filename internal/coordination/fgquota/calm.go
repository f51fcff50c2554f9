package fgquota

import (
	"math/rand/v2"
	"time"
)

const (
	// A workspace is calm if its demand per second is at most calmDemand of its rate
	// and calmNoise, calmTokens of its burst are left, and all VMs but calmSilent of
	// them were heard within calmHeard. The demand of a small workspace varies by
	// chance. What silent VMs may spend is taken off the tokens, and an availability
	// zone that is lost must not hold up the others.
	calmDemand = 0.8
	calmNoise  = 4.0
	calmTokens = 0.3
	calmSilent = 0.25
	calmHeard  = 1500 * time.Millisecond
	// calmLeast and calmAhead bound what a VM spends of a calm workspace between
	// two reports: some requests, and more by its own demand. What a sudden excess
	// may cost is so bounded where many VMs see it.
	calmLeast = 2
	calmAhead = 2
)

// isCalm reports whether the demand of all VMs, of which most were heard lately,
// is well below the rate. No part of the tokens needs to be kept for the others
// then: were all to ask for more at once, they would hear of it after a report,
// and what was spent too much is missing from the tokens.
func (m *Meter) isCalm(l *limit) bool {
	if l.tokens < calmTokens*l.burst || !m.hearsMost() {
		return false
	}
	total, hash := l.demand, Hash(l.name)
	for _, p := range m.peers {
		if u := p.uses[hash]; u != nil {
			total += u.demand
		}
	}
	return total <= calmDemand*l.rate+calmNoise
}

// hearsMost reports whether most VMs were heard lately. What the others spend
// beyond their parts is not known.
func (m *Meter) hearsMost() bool {
	now, heard := time.Now(), 1
	for _, p := range m.peers {
		if now.Sub(p.heard) < calmHeard {
			heard++
		}
	}
	return float64(m.members-heard) <= calmSilent*float64(m.members)
}

// wholePart rounds an allowance below one up by chance. Where the VMs are more
// than the tokens, none would otherwise ever have a whole one.
func wholePart(allowance float64) float64 {
	if allowance <= 0 || allowance >= 1 {
		return allowance
	}
	if rand.Float64() < allowance {
		return 1
	}
	return allowance
}
