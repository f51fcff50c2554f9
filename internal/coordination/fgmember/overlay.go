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
	// maxNeighbours bounds the number of members that one member calls.
	maxNeighbours = 8
	// maxSmallFleet is the number of members up to which the short intervals apply.
	maxSmallFleet         = 64
	shortExchangeInterval = 500 * time.Millisecond
	// longExchangeInterval keeps the traffic of large fleets below 6 KB/s per VM.
	longExchangeInterval = time.Second
	// shortVMListInterval and longVMListInterval separate a contact's reads of the
	// VM list, which has about 160 KB at 4,100 VMs.
	shortVMListInterval = 5 * time.Second
	longVMListInterval  = time.Minute
)

// ExchangeInterval returns the time between two exchanges with a neighbour.
func (s *Set) ExchangeInterval() time.Duration {
	if len(s.sorted) > maxSmallFleet {
		return longExchangeInterval
	}
	return shortExchangeInterval
}

// VMListInterval returns the time between a contact's reads of the VM list.
func (s *Set) VMListInterval() time.Duration {
	if len(s.sorted) > maxSmallFleet {
		return longVMListInterval
	}
	return shortVMListInterval
}

// Neighbours returns the members that a VM calls to exchange messages. In a fleet with
// up to maxNeighbours others these are all others. In a larger fleet of N members they
// are those at the offsets N^(i/8), i = 0 to 7, on the ring of hashed VM names.
// The offsets grow by a constant factor, so that updates reach the whole fleet in a
// few hops.
func (s *Set) Neighbours(vm string) []Member {
	ring := s.ring
	self, ok := slices.BinarySearchFunc(ring, Member{VM: vm}, compareHashed)
	if !ok || len(ring) <= maxNeighbours+1 {
		others := slices.DeleteFunc(slices.Clone(ring), func(m Member) bool { return m.VM == vm })
		return others[:min(len(others), maxNeighbours)]
	}
	var out []Member
	offset := 0
	for i := range maxNeighbours {
		// Small powers round to the same offset, so each offset is at least one more
		// than the previous one.
		offset = max(offset+1, int(math.Pow(float64(len(ring)), float64(i)/maxNeighbours)))
		out = append(out, ring[(self+offset)%len(ring)])
	}
	return out
}

// compareHashed orders members by the hash of their VM names.
func compareHashed(a, b Member) int {
	return cmp.Or(cmp.Compare(hashName(a.VM), hashName(b.VM)), strings.Compare(a.VM, b.VM))
}

// hashName returns the 64-bit FNV-1a hash of a VM name.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
