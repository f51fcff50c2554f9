package fgmember

import (
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// maxNeighbours bounds the processes that one process calls.
	maxNeighbours = 8
	// smallFleet is the largest fleet that uses the short interval.
	smallFleet    = 64
	shortInterval = 500 * time.Millisecond
	// longInterval keeps the messages of large fleets under 6 KB/s per VM.
	longInterval = time.Second
)

// ExchangeInterval returns the time between two messages to a neighbour.
func (s *Set) ExchangeInterval() time.Duration {
	if len(s.sorted) > smallFleet {
		return longInterval
	}
	return shortInterval
}

// Neighbours returns the members that a VM calls: all others of a small fleet,
// else those at the offsets N^(i/8) in the order of hashed VM names. Successive
// offsets grow by a constant factor, so that news crosses the fleet in a few
// hops.
func (s *Set) Neighbours(vm string) []Member {
	ring := slices.SortedFunc(slices.Values(s.sorted), func(a, b Member) int {
		if x, y := hashName(a.VM), hashName(b.VM); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.VM, b.VM)
	})
	self := slices.IndexFunc(ring, func(m Member) bool { return m.VM == vm })
	if self < 0 || len(ring) <= maxNeighbours+1 {
		others := slices.DeleteFunc(ring, func(m Member) bool { return m.VM == vm })
		return others[:min(len(others), maxNeighbours)]
	}
	var out []Member
	last := 0
	for i := range maxNeighbours {
		// Small offsets would fall together; each is at least one further.
		last = max(last+1, int(math.Pow(float64(len(ring)), float64(i)/maxNeighbours)))
		out = append(out, ring[(self+last)%len(ring)])
	}
	return out
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
