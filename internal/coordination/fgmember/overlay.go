package fgmember

import (
	"cmp"
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
	// shortListInterval and longListInterval separate a contact's calls for the
	// VM list, which has about 160 KB at 4,100 VMs.
	shortListInterval = 5 * time.Second
	longListInterval  = time.Minute
)

// ExchangeInterval returns the time between two messages to a neighbour.
func (s *Set) ExchangeInterval() time.Duration {
	if len(s.sorted) > smallFleet {
		return longInterval
	}
	return shortInterval
}

// VMListInterval returns the time between a contact's calls for the VM list.
func (s *Set) VMListInterval() time.Duration {
	if len(s.sorted) > smallFleet {
		return longListInterval
	}
	return shortListInterval
}

// Neighbours returns the members that a VM calls: all others of a small fleet,
// else those at the offsets N^(i/8) in the order of hashed VM names. Successive
// offsets grow by a constant factor, so that news crosses the fleet in a few
// hops.
func (s *Set) Neighbours(vm string) []Member {
	ring := s.ring
	self, ok := slices.BinarySearchFunc(ring, Member{VM: vm}, compareHashed)
	if !ok || len(ring) <= maxNeighbours+1 {
		others := slices.DeleteFunc(slices.Clone(ring), func(m Member) bool { return m.VM == vm })
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

// compareHashed orders members by the hash of their VM names.
func compareHashed(a, b Member) int {
	return cmp.Or(cmp.Compare(hashName(a.VM), hashName(b.VM)), strings.Compare(a.VM, b.VM))
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
