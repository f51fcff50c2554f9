package fgaffinity

import (
	"cmp"
	"math"
	"slices"
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
	// pressureEvery separates computations of the weights.
	pressureEvery = 100 * time.Millisecond
	// fullAverage is the average load per slot from which on a region loses objects
	// to regions with less, and pressureSpan the excess over theirs at which it has
	// lost nearly all.
	fullAverage  = 0.8
	pressureSpan = 1.0
	// reliefRate is the most by which a weight changes in a second, relative to
	// itself. Of a region's requests at most a tenth so move to another region in
	// two seconds; operators declare 0.15.
	reliefRate = 0.18
	// leastRelief is the part of its weight that such a region keeps, so that its
	// load is still measured.
	leastRelief = 0.05
)

// pressure averages the load per slot of a group's upstreams in each region.
// Requests that may run in several regions leave one that is fuller than the
// others, whose room the requests bound to it need. When all are full, nothing
// is gained by moving objects.
type pressure struct {
	mu       sync.Mutex
	regions  map[string]*regionPressure
	computed int64
}

type regionPressure struct {
	average float64
	at      int64
	slots   int
	// relief is what the weight of the region's upstreams is multiplied by, as the
	// bits of a float64.
	relief atomic.Uint64
}

// weight returns what the weight of the region's upstreams is multiplied by.
func (r *regionPressure) weight() float64 { return math.Float64frombits(r.relief.Load()) }

// region returns the state of a region and counts an upstream's slots there.
func (p *pressure) region(name string, slots int) *regionPressure {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.regions[name]
	if r == nil {
		if p.regions == nil {
			p.regions = map[string]*regionPressure{}
		}
		r = &regionPressure{}
		r.relief.Store(math.Float64bits(1))
		p.regions[name] = r
	}
	r.slots += slots
	return r
}

// reset forgets the slots of all regions, which are counted anew.
func (p *pressure) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.regions {
		r.slots = 0
	}
}

// add takes in the load per slot of an upstream.
func (p *pressure) add(r *regionPressure, use float64, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.at == 0 {
		r.at = now
	}
	weight := 1 - math.Exp(-float64(max(0, now-r.at))/float64(pressureWindow))
	r.average += weight * (use - r.average)
	r.at = now
	if elapsed := now - p.computed; elapsed >= int64(pressureEvery) {
		p.computed = now
		p.compute(now, time.Duration(elapsed))
	}
}

// compute sets the weights of all regions. Elapsed is the time since the last
// call.
func (p *pressure) compute(now int64, elapsed time.Duration) {
	step := math.Exp(reliefRate * min(elapsed, time.Second).Seconds())
	slots, load := 0, 0.0
	for _, r := range p.regions {
		slots += r.slots
		load += float64(r.slots) * r.faded(now)
	}
	least := max(fullAverage, load/float64(max(1, slots)))
	for _, r := range p.regions {
		excess := (r.faded(now) - least) / pressureSpan
		wanted := min(1, max(leastRelief, 1-excess))
		r.relief.Store(math.Float64bits(min(r.weight()*step, max(r.weight()/step, wanted))))
	}
}

// faded returns the average as far as it still counts.
func (r *regionPressure) faded(now int64) float64 {
	return r.average * math.Exp(-float64(now-r.at)/float64(pressureFade))
}

// RegionLoad is the load of a group's upstreams in one region.
type RegionLoad struct {
	Group, Region string
	// Load is the average of requests per slot.
	Load float64
	// Weight is what the region's upstreams weigh for requests that may run
	// elsewhere: 1 if it has room.
	Weight float64
}

// RegionLoads returns the loads of all groups and regions, in their order.
func (b *Balancer) RegionLoads() []RegionLoad {
	now := int64(time.Since(b.epoch))
	var all []RegionLoad
	for name, g := range b.state.Load().groups {
		g.pressure.mu.Lock()
		for region, r := range g.pressure.regions {
			all = append(all, RegionLoad{Group: name, Region: region, Load: r.faded(now), Weight: r.weight()})
		}
		g.pressure.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b RegionLoad) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Region, b.Region))
	})
	return all
}
