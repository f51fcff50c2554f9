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
	// loadAverageWindow is the time constant of the moving average of a region's
	// load. A key that moves runs cold once, so short peaks must not move keys.
	loadAverageWindow = 3 * time.Second
	// loadDecay is the time in which the average falls to about a third (1/e) while
	// no upstream of the region reports its load.
	loadDecay = 8 * time.Second
	// weightUpdateInterval is the shortest time between updates of the weights.
	weightUpdateInterval = 100 * time.Millisecond
	// minRegionWeight is the weight that an overloaded region keeps, so that its
	// load is still measured.
	minRegionWeight = 0.05
)

// spill tells how keys move from a region to the others under load.
type spill struct {
	// Keys move if the region's average load per slot exceeds threshold and the average of
	// all regions. When it exceeds both by span, nearly all of its keys have moved.
	threshold, span float64
	// maxRate is the largest relative change of a weight per second. At 0.18 it moves at
	// most a tenth of a region's requests to another region in two seconds; operators
	// declare a bound of 0.15.
	maxRate float64
}

var (
	usualSpill = spill{threshold: 0.8, span: 1, maxRate: 0.18}
	// timedSpill applies where upstreams are chosen by expected time. Keys move earlier and
	// more slowly, since some requests leave a full region besides.
	timedSpill = spill{threshold: 0.6, span: 0.8, maxRate: 0.12}
)

// regionWeights averages the load per slot of a group's upstreams in each region
// and computes the weights of the regions. Requests that may run anywhere move away
// from a region with more load than the others, since requests that are bound to it
// need its capacity. If all regions are overloaded, moving keys gains nothing.
type regionWeights struct {
	mu         sync.Mutex
	regions    map[string]*regionWeight
	lastUpdate int64
}

// regionWeight is the average load and the weight of one region.
type regionWeight struct {
	average float64
	lastAdd int64
	// slots are those of the view, usable those of upstreams that are not draining, and
	// lastUsable the ones before the view.
	slots, usable, lastUsable int
	// load and reporting are the requests at upstreams that reported lately, and their
	// slots.
	load      float64
	reporting int
	// weightBits is the factor for the scores of the region's upstreams, as the bits
	// of a float64.
	weightBits atomic.Uint64
	// meanBits is the mean load per slot at the time meanAt, as the bits of a float64. It is
	// 0 unless upstreams tell a slowdown.
	meanBits atomic.Uint64
	meanAt   atomic.Int64
}

// mean returns the mean load per slot of the region where upstreams are chosen by expected
// time, and otherwise 0. It decays while no upstream reports.
func (r *regionWeight) mean(now int64) float64 {
	return math.Float64frombits(r.meanBits.Load()) * math.Exp(-float64(max(0, now-r.meanAt.Load()))/float64(loadDecay))
}

// weight returns the factor for the scores of the region's upstreams.
func (r *regionWeight) weight() float64 { return math.Float64frombits(r.weightBits.Load()) }

// addUpstream adds an upstream's slots to a region and returns the region.
func (w *regionWeights) addUpstream(name string, slots int, usable bool) *regionWeight {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.regions[name]
	if r == nil {
		if w.regions == nil {
			w.regions = map[string]*regionWeight{}
		}
		r = &regionWeight{}
		r.weightBits.Store(math.Float64bits(1))
		w.regions[name] = r
	}
	r.slots += slots
	if usable {
		r.usable += slots
	}
	return r
}

// resetSlots sets the slots of all regions to zero, before they are counted again.
func (w *regionWeights) resetSlots() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.regions {
		r.lastUsable = r.usable
		r.slots, r.usable = 0, 0
	}
}

// admitSlots lowers the weights of regions that have got more usable slots, so that their
// part of the keys stays the same at first. It rises as fast as weights change. All keys of a
// zone that is no longer drained, or whose entries come back to the store, would else change
// region at once.
func (w *regionWeights) admitSlots() {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := 0
	for _, r := range w.regions {
		before += r.lastUsable
	}
	for _, r := range w.regions {
		if before > 0 && r.usable > r.lastUsable {
			weight := r.weight() * float64(r.lastUsable) / float64(r.usable)
			r.weightBits.Store(math.Float64bits(max(minRegionWeight, weight)))
		}
	}
}

// add adds an upstream's load per slot to the average of its region.
func (w *regionWeights) add(r *regionWeight, loadPerSlot float64, now int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.lastAdd == 0 {
		r.lastAdd = now
	}
	smoothing := 1 - math.Exp(-float64(max(0, now-r.lastAdd))/float64(loadAverageWindow))
	r.average += smoothing * (loadPerSlot - r.average)
	r.lastAdd = now
	if elapsed := now - w.lastUpdate; elapsed >= int64(weightUpdateInterval) {
		w.lastUpdate = now
		w.updateWeights(now, time.Duration(elapsed), usualSpill)
	}
}

// addUpstreams adds the loads that upstreams reported lately to the averages of their
// regions. Each upstream counts once: an upstream with a hot key sends most of the reports,
// and its load says little about its region.
func (w *regionWeights) addUpstreams(upstreams []*Upstream, now int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	elapsed := now - w.lastUpdate
	if elapsed < int64(weightUpdateInterval) {
		return
	}
	w.lastUpdate = now
	for _, r := range w.regions {
		r.load, r.reporting = 0, 0
	}
	for _, u := range upstreams {
		if now-u.reported.Load() < int64(knownTime) {
			r, slots := u.region.Load(), u.Spec().Slots
			r.load, r.reporting = r.load+float64(u.reportedLoad.Load()), r.reporting+slots
		}
	}
	for _, r := range w.regions {
		if r.reporting == 0 {
			continue
		}
		smoothing := 1 - math.Exp(-float64(min(max(0, now-r.lastAdd), int64(time.Second)))/float64(loadAverageWindow))
		r.average += smoothing * (r.load/float64(r.reporting) - r.average)
		r.lastAdd = now
	}
	w.updateWeights(now, time.Duration(elapsed), timedSpill)
	for _, r := range w.regions {
		r.meanBits.Store(math.Float64bits(r.decayedAverage(now)))
		r.meanAt.Store(now)
	}
}

// updateWeights sets the weights of all regions. elapsed is the time since the last
// call.
func (w *regionWeights) updateWeights(now int64, elapsed time.Duration, s spill) {
	step := math.Exp(s.maxRate * min(elapsed, time.Second).Seconds())
	slots, load := 0, 0.0
	for _, r := range w.regions {
		slots += r.slots
		load += float64(r.slots) * r.decayedAverage(now)
	}
	threshold := max(s.threshold, load/float64(max(1, slots)))
	for _, r := range w.regions {
		excess := (r.decayedAverage(now) - threshold) / s.span
		target := min(1, max(minRegionWeight, 1-excess))
		r.weightBits.Store(math.Float64bits(min(r.weight()*step, max(r.weight()/step, target))))
	}
}

// decayedAverage returns the average load, decayed by the time since the last
// report.
func (r *regionWeight) decayedAverage(now int64) float64 {
	return r.average * math.Exp(-float64(now-r.lastAdd)/float64(loadDecay))
}

// RegionLoad is the load of a group's upstreams in one region.
type RegionLoad struct {
	Group, Region string
	// Load is the average number of requests per slot.
	Load float64
	// Weight is the factor for the scores of the region's upstreams, for requests
	// that may run anywhere. It is 1 unless the region is overloaded.
	Weight float64
}

// RegionLoads returns the loads of all groups and regions, sorted by their names.
func (b *Balancer) RegionLoads() []RegionLoad {
	now := int64(time.Since(b.epoch))
	var loads []RegionLoad
	for name, g := range b.state.Load().groups {
		g.regionWeights.mu.Lock()
		for region, r := range g.regionWeights.regions {
			loads = append(loads, RegionLoad{Group: name, Region: region, Load: r.decayedAverage(now), Weight: r.weight()})
		}
		g.regionWeights.mu.Unlock()
	}
	slices.SortFunc(loads, func(a, b RegionLoad) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Region, b.Region))
	})
	return loads
}
