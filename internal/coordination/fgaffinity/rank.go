package fgaffinity

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCandidates is how many upstreams Choose considers for a request: the highest
	// ranked ones for its affinity key, or the least loaded ones if it has none. More
	// candidates would mean more cold runs, which overload the group under high load.
	maxCandidates = 2
	// maxTimedCandidates applies where upstreams are chosen by expected time. The third
	// one is used only if the others are full.
	maxTimedCandidates = 3
	// sampledUpstreams is how many upstreams of the own zone, of the rest of the region
	// and of other regions are compared for a request without a key. If all VMs compared
	// all upstreams, they would send to the same one until its next report.
	sampledUpstreams = 2
)

// rankClass holds the upstreams of a group that have the same region and number of slots.
// Among them, a higher hash means a higher score in rendezvous hashing, so that most
// scores need not be computed.
type rankClass struct {
	region     string
	regionHash uint64
	weight     *regionWeight
	slots      int
	hashes     []uint64
	upstreams  []*Upstream
}

// proximities are the distances of upstreams from this VM: the own availability zone, the
// own region, and other regions.
const (
	proximities     = 3
	remoteProximity = proximities - 1
)

// addUpstream adds an upstream to the lists by which candidates are found.
func (g *group) addUpstream(u *Upstream, o Options) {
	g.upstreams = append(g.upstreams, u)
	spec := u.Spec()
	p := remoteProximity
	switch {
	case spec.Region == o.Region && spec.AvailabilityZone == o.AvailabilityZone:
		p = 0
	case spec.Region == o.Region:
		p = 1
	}
	g.nearby[p] = append(g.nearby[p], u)
	i := slices.IndexFunc(g.classes, func(c rankClass) bool { return c.region == spec.Region && c.slots == spec.Slots })
	if i < 0 {
		i = len(g.classes)
		g.classes = append(g.classes, rankClass{region: spec.Region, regionHash: xxhash.Sum64String(spec.Region), weight: u.region.Load(), slots: spec.Slots})
	}
	g.classes[i].hashes = append(g.classes[i].hashes, u.hash)
	g.classes[i].upstreams = append(g.classes[i].upstreams, u)
}

// candidate is an upstream with its score for one request; a higher one is better.
type candidate struct {
	upstream *Upstream
	score    float64
}

// candidates are the upstreams with the highest scores for a request, in
// descending order.
type candidates struct {
	ranked [maxTimedCandidates]candidate
	count  int
	// limited means that an upstream was left out because of the limit that it names.
	limited bool
}

// add inserts an upstream if it is among the best n.
func (c *candidates) add(u *Upstream, score float64, n int) {
	i := c.count
	for i > 0 && c.ranked[i-1].score < score {
		i--
	}
	if i == n {
		return
	}
	c.count = min(c.count+1, n)
	copy(c.ranked[i+1:c.count], c.ranked[i:])
	c.ranked[i] = candidate{upstream: u, score: score}
}

// ranking is the search for the candidates of one request.
type ranking struct {
	balancer *Balancer
	state    *state
	group    *group
	criteria Criteria
	wall     time.Time
	now      int64
	// key is the hash of the affinity key.
	key uint64
	// region is the only region to consider, unless it is empty. If draw is not zero, the
	// weights of regions are varied at random.
	region string
	draw   uint64
	// timed means that upstreams are chosen by expected time.
	timed bool
	// skipAvoided leaves out failing and unreachable upstreams.
	skipAvoided bool
	best        candidates
}

// usable reports whether the request may be sent to an upstream.
func (r *ranking) usable(u *Upstream) bool {
	spec := u.Spec()
	if spec.Draining || r.state.view.Drained(spec.AvailabilityZone) || u.signals.forbid(r.now) || r.skipAvoided && (u.avoided(r.now) || r.timed && u.declines(r.criteria, r.key, r.now)) ||
		len(r.criteria.Regions) > 0 && !slices.Contains(r.criteria.Regions, spec.Region) || slices.Contains(r.criteria.Exclude, u) {
		return false
	}
	if u.limit.set.Load() && !r.balancer.withinLimit(r.state, u, r.wall) {
		r.best.limited = true
		return false
	}
	return true
}

// byKey ranks the upstreams by rendezvous hashing: all VMs of a region compute the same
// ranking, and adding or removing an upstream moves only that upstream's keys.
func (r *ranking) byKey(n int) {
	sameRegionWeight := r.balancer.sameRegionWeight(r.criteria.Objective)
	for i := range r.group.classes {
		class := &r.group.classes[i]
		if len(r.criteria.Regions) > 0 && !slices.Contains(r.criteria.Regions, class.region) || r.region != "" && class.region != r.region {
			continue
		}
		top, ok := r.cached(i, n)
		if !ok {
			top = r.highest(class, n)
		}
		weight := 1.0
		if len(r.criteria.Regions) == 0 {
			weight = class.weight.weight()
		}
		if class.region == r.balancer.options.Region {
			weight *= sameRegionWeight
		}
		if r.draw != 0 {
			weight *= drawnFactor(r.draw, class.regionHash)
		}
		for _, t := range top.entries[:top.count] {
			r.best.add(t.upstream, rendezvousScore(t.hash, class.slots)*weight, n)
		}
	}
}

// hashed is an upstream with its hash for one key.
type hashed struct {
	upstream *Upstream
	hash     uint64
}

// highestHashes are the usable upstreams of a class with the highest hashes, in descending
// order.
type highestHashes struct {
	entries [maxTimedCandidates]hashed
	count   int
}

// highest returns the n usable upstreams of a class with the highest hashes.
func (r *ranking) highest(class *rankClass, n int) highestHashes {
	var top highestHashes
	threshold := uint64(0)
	for i := nextAbove(class.hashes, 0, r.key, threshold); i < len(class.hashes); i = nextAbove(class.hashes, i+1, r.key, threshold) {
		h := fmix64(r.key ^ class.hashes[i])
		if !r.usable(class.upstreams[i]) {
			continue
		}
		top.count = min(top.count+1, n)
		j := top.count - 1
		for ; j > 0 && top.entries[j-1].hash < h; j-- {
			top.entries[j] = top.entries[j-1]
		}
		top.entries[j] = hashed{upstream: class.upstreams[i], hash: h}
		if top.count == n {
			threshold = top.entries[n-1].hash
		}
	}
	return top
}

// keepInRegion replaces the last candidate by one of the first one's region if all others
// are elsewhere, where few requests may go at once.
func (r *ranking) keepInRegion() {
	c := &r.best
	if c.count < maxTimedCandidates {
		return
	}
	home := c.ranked[0].upstream.Spec().Region
	if c.ranked[1].upstream.Spec().Region == home || c.ranked[2].upstream.Spec().Region == home {
		return
	}
	probe := *r
	probe.best, probe.region = candidates{}, home
	probe.byKey(maxCandidates)
	if probe.best.count == maxCandidates {
		c.ranked[2] = probe.best.ranked[1]
	}
}

// nextAbove returns the index, from start on, of the next hash that exceeds the threshold
// when it is mixed with a key, or the number of hashes. Four at a time are compared at once.
func nextAbove(hashes []uint64, start int, key, threshold uint64) int {
	i := start
	for ; i+4 <= len(hashes); i += 4 {
		four := hashes[i : i+4 : i+4]
		a, b, c, d := fmix64(key^four[0]), fmix64(key^four[1]), fmix64(key^four[2]), fmix64(key^four[3])
		if max(a, b, c, d) <= threshold {
			continue
		}
		switch {
		case a > threshold:
			return i
		case b > threshold:
			return i + 1
		case c > threshold:
			return i + 2
		default:
			return i + 3
		}
	}
	for ; i < len(hashes) && fmix64(key^hashes[i]) <= threshold; i++ {
	}
	return i
}

// byLoad ranks the upstreams by their load per slot.
func (r *ranking) byLoad() {
	for _, u := range r.group.upstreams {
		if r.usable(u) {
			r.best.add(u, -u.loadPerSlot(r.now), maxCandidates)
		}
	}
}

// byTime ranks some of the upstreams of each proximity by the expected time, with an
// advantage for those that are nearer.
func (r *ranking) byTime() {
	mayLeave, mustLeave := true, false
	if len(r.criteria.Regions) == 0 {
		mayLeave, mustLeave = r.group.remote.limits()
	}
	if mustLeave {
		r.sample(remoteProximity)
		if !r.hasFreeSlot() {
			// Other regions are full: the request may run in its own one.
			mustLeave, r.best.count = false, 0
		}
	}
	for p := range r.group.nearby {
		if p == remoteProximity && (mustLeave || !mayLeave && r.best.count > 0) || mustLeave && r.best.count > 0 {
			continue
		}
		r.sample(p)
	}
}

// hasFreeSlot reports whether one of the best upstreams probably has a free slot.
func (r *ranking) hasFreeSlot() bool {
	for _, c := range r.best.ranked[:r.best.count] {
		if r.balancer.estimate(r.group, c.upstream, keylessRun, r.wall).LoadPerSlot < 1 {
			return true
		}
	}
	return false
}

// sample ranks some of the upstreams of a proximity by the expected time.
func (r *ranking) sample(p int) {
	if list := r.group.nearby[p]; len(list) > 0 {
		found, start := 0, rand.IntN(len(list))
		for i := range list {
			u := list[(start+i)%len(list)]
			if !r.usable(u) {
				continue
			}
			e := r.balancer.estimate(r.group, u, keylessRun, r.wall)
			// A request that fails is sent once more.
			attempts := 1 / (1 - min(u.failing.part(r.now), maxDeclined))
			r.best.add(u, -float64(e.Total())*attempts-float64(p)*localityMargin*float64(e.Run), maxTimedCandidates)
			if found++; found == sampledUpstreams {
				break
			}
		}
	}
}

// rank returns the upstreams that a request may be sent to, the best first. Failing and
// unreachable ones are among them only if there is no other.
func (b *Balancer) rank(s *state, g *group, c Criteria, key uint64, timed bool, wall time.Time) candidates {
	n, parts := maxCandidates, 1
	if timed {
		n = maxTimedCandidates
	}
	switch {
	case !timed || c.AffinityKey == "":
	case c.Counted:
		parts = g.hot.partsOf(key, len(g.upstreams))
	default:
		parts = g.hot.count(key, len(g.upstreams), int64(wall.Sub(b.epoch)))
	}
	for _, skipAvoided := range []bool{true, false} {
		r := ranking{balancer: b, state: s, group: g, criteria: c, wall: wall, now: int64(wall.Sub(b.epoch)), key: key, timed: timed, skipAvoided: skipAvoided}
		switch {
		case c.AffinityKey != "":
			if parts > 1 {
				r.spread(parts)
			}
			r.byKey(n)
			if timed {
				r.keepInRegion()
			}
		case timed:
			r.byTime()
		default:
			r.byLoad()
		}
		if r.best.count > 0 || !skipAvoided {
			return r.best
		}
	}
	return candidates{}
}

// keyHash returns the hash of an affinity key.
func keyHash(key string) uint64 { return xxhash.Sum64String(key) }

// rendezvousScore returns an upstream's score for a key in weighted rendezvous
// hashing, with slots as the weight. hash mixes those of the key and the upstream.
func rendezvousScore(hash uint64, slots int) float64 {
	// 53 bits of the hash as a number between 0 and 1, both excluded.
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(slots) / math.Log(unit)
}

// fmix64 is the finalizer of MurmurHash3, which mixes the bits of a hash.
func fmix64(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
