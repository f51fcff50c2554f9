package fgaffinity

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// countedKeys bounds the keys whose requests are counted for a group. A key that has
	// more than that part of the requests is always counted.
	countedKeys = 32
	// hotKeyWindow is the time after which the counts are halved.
	hotKeyWindow = 2 * time.Second
	// minHotRequests is how many counted requests make a key hot at least. Fewer say
	// little about its part of the requests.
	minHotRequests = 8
	// maxKeyParts is how many upstreams of its region are the first candidates of a hot
	// key at most.
	maxKeyParts = 8
	// hotKeySpan is how far the weights of two regions may be apart, as a logarithm, for a
	// hot key to run in both. A key with half of a region's requests would else change
	// region at once when the weights pass each other: 40 in 100 requests moved within 2 s
	// in the simulation.
	hotKeySpan = 2.0
)

// hotKeys counts the requests of the most frequent keys of a group (Misra-Gries). The zero
// value is ready to use.
type hotKeys struct {
	mu     sync.Mutex
	keys   [countedKeys]uint64
	counts [countedKeys]int
	total  int
	halved int64
}

// count counts a request and returns the number of upstreams that its key's requests are
// divided between, which is 1 unless the key has more requests than the mean upstream.
func (h *hotKeys) count(key uint64, upstreams int, now int64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for now-h.halved > int64(hotKeyWindow) {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
		h.halved = max(h.halved+int64(hotKeyWindow), now-8*int64(hotKeyWindow))
	}
	h.total++
	lowest := 0
	for i, k := range h.keys {
		if k == key && h.counts[i] > 0 {
			h.counts[i]++
			return h.parts(i, upstreams)
		}
		if h.counts[i] < h.counts[lowest] {
			lowest = i
		}
	}
	if h.counts[lowest] == 0 {
		h.keys[lowest], h.counts[lowest] = key, 1
	} else {
		h.counts[lowest]--
	}
	return 1
}

// partsOf is count for a request that was counted before.
func (h *hotKeys) partsOf(key uint64, upstreams int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, k := range h.keys {
		if k == key && h.counts[i] > 0 {
			return h.parts(i, upstreams)
		}
	}
	return 1
}

// parts returns the number of upstreams for the key with an index. h.mu is held.
func (h *hotKeys) parts(i, upstreams int) int {
	if h.counts[i] < minHotRequests {
		return 1
	}
	return min(max(1, h.counts[i]*upstreams/h.total), maxKeyParts)
}

// part returns the hash that ranks the upstreams for one of the parts of a hot key, which
// is chosen at random. The first part has the hash of the key.
func part(key uint64, parts int) uint64 {
	if i := rand.Uint64N(uint64(parts)); i > 0 {
		return fmix64(key + i)
	}
	return key
}

// spread limits the ranking of a hot key, whose requests are divided into parts, to one
// region, and ranks the upstreams there for one part. The region is that of the key's first
// candidate, or another one whose weight is about as high.
func (r *ranking) spread(parts int) {
	probe := *r
	probe.draw = rand.Uint64() | 1
	probe.byKey(1)
	if probe.best.count > 0 {
		r.region = probe.best.ranked[0].upstream.Spec().Region
		r.key = part(r.key, parts)
	}
}

// drawnFactor returns a random factor for the weight of a region. It is the same for all
// classes of the region in a ranking.
func drawnFactor(draw uint64, region uint64) float64 {
	unit := float64(fmix64(draw^region)>>11) / (1 << 53)
	return math.Exp(hotKeySpan * (unit - 0.5))
}
