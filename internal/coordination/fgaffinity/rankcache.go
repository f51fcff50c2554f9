package fgaffinity

import (
	"math"
	"sync"
)

const (
	// minCachedGroup is the number of upstreams from which the rankings of keys are kept.
	// Computing one for fewer takes less than 1 us.
	minCachedGroup = 400
	// cachedRankings is the number of keys whose ranking is kept; they take 100 to 200 KiB.
	// It is a power of two.
	cachedRankings = 512
	// cachedDepth is how many upstreams of each class are kept. If fewer of them are usable
	// than needed, the ranking is computed.
	cachedDepth = 4
	// expectedAbove is how many hashes of a class are expected above the first threshold of
	// a search. In 2 of 100 searches they are fewer than cachedDepth, and it is repeated.
	expectedAbove = 9
)

// rankCache keeps the upstreams of each class with the highest hashes for some keys,
// whether they are usable or not. It holds for one view.
type rankCache struct {
	classes []rankClass
	entries [cachedRankings]cachedRanking
}

type cachedRanking struct {
	mu     sync.Mutex
	filled bool
	key    uint64
	// tops has one element for each class.
	tops []cachedTop
}

// cachedTop holds the indices in a class of the upstreams with the highest hashes, in
// descending order. Indices are cheaper to store than pointers, which the garbage collector
// must be told of.
type cachedTop struct {
	hashes  [cachedDepth]uint64
	indices [cachedDepth]int32
	count   int32
}

// newRankCache returns a cache for the classes of a group, or nil if it needs none.
func newRankCache(classes []rankClass, upstreams int) *rankCache {
	if upstreams < minCachedGroup {
		return nil
	}
	c := &rankCache{classes: classes}
	n := len(classes)
	tops := make([]cachedTop, len(c.entries)*n)
	for i := range c.entries {
		c.entries[i].tops, tops = tops[:n:n], tops[n:]
	}
	return c
}

// fill computes the ranking of a key. e.mu is held.
func (e *cachedRanking) fill(classes []rankClass, key uint64) {
	e.key, e.filled = key, true
	for i := range classes {
		e.tops[i] = highestOf(classes[i].hashes, key)
	}
}

// highestOf returns the highest hashes of a class for a key.
func highestOf(hashes []uint64, key uint64) cachedTop {
	if n := uint64(len(hashes)); n > 2*expectedAbove {
		if top := highestAbove(hashes, key, math.MaxUint64-math.MaxUint64/n*expectedAbove); top.count == cachedDepth {
			return top
		}
	}
	return highestAbove(hashes, key, 0)
}

// highestAbove returns the highest hashes of a class for a key that exceed a threshold.
func highestAbove(hashes []uint64, key, threshold uint64) cachedTop {
	var top cachedTop
	for i := nextAbove(hashes, 0, key, threshold); i < len(hashes); i = nextAbove(hashes, i+1, key, threshold) {
		h := fmix64(key ^ hashes[i])
		top.count = min(top.count+1, cachedDepth)
		j := top.count - 1
		for ; j > 0 && top.hashes[j-1] < h; j-- {
			top.hashes[j], top.indices[j] = top.hashes[j-1], top.indices[j-1]
		}
		top.hashes[j], top.indices[j] = h, int32(i)
		if top.count == cachedDepth {
			threshold = top.hashes[cachedDepth-1]
		}
	}
	return top
}

// cached returns the n usable upstreams of a class with the highest hashes, or false if too
// few of those that are kept are usable.
func (r *ranking) cached(class, n int) (highestHashes, bool) {
	var top highestHashes
	c := r.group.cache
	if c == nil {
		return top, false
	}
	e := &c.entries[r.key%cachedRankings]
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.filled || e.key != r.key {
		e.fill(c.classes, r.key)
	}
	kept := &e.tops[class]
	for i := range kept.count {
		if u := c.classes[class].upstreams[kept.indices[i]]; r.usable(u) {
			top.entries[top.count] = hashed{upstream: u, hash: kept.hashes[i]}
			if top.count++; top.count == n {
				return top, true
			}
		}
	}
	return top, kept.count < cachedDepth
}
