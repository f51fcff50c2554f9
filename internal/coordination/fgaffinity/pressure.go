package fgaffinity

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pressureWindow is the time over which the load of a region's upstreams is
	// averaged. Objects that move run cold once, so that short peaks must not move
	// them.
	pressureWindow = 3 * time.Second
	// pressureFade is the time in which the average falls to a third while nothing
	// is heard from the region.
	pressureFade = 8 * time.Second
	// busy and full are the average loads per slot between which a region loses
	// its objects to others.
	busy = 1.0
	full = 3.0
	// leastRelief is the part of its weight that a full region keeps, so that its
	// load is still measured.
	leastRelief = 0.05
)

// pressure averages the load per slot of a group's upstreams in one region.
type pressure struct {
	average atomic.Uint64
	at      atomic.Int64
	mu      sync.Mutex
}

// add takes in an upstream's load per slot.
func (p *pressure) add(use float64, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	weight := 1 - math.Exp(-float64(max(0, now-p.at.Load()))/float64(pressureWindow))
	old := math.Float64frombits(p.average.Load())
	p.average.Store(math.Float64bits(old + weight*(use-old)))
	p.at.Store(now)
}

// relief returns the part of its weight that a region has for requests that may
// run elsewhere. Those bound to the region need its room.
func (p *pressure) relief(now int64) float64 {
	age := float64(now-p.at.Load()) / float64(pressureFade)
	average := math.Float64frombits(p.average.Load()) * math.Exp(-age)
	return min(1, max(leastRelief, (full-average)/(full-busy)))
}
