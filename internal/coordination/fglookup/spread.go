// Package fglookup decides which gateways a look-up response names, and how often it
// names each. Callers pick an address of the response at random for each connection,
// so that an address that stands there twice gets twice as many.
package fglookup

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// processorPerRequest is the processor time that a gateway needs for a request,
	// in seconds of one core, with its share of all other work.
	processorPerRequest = 0.0015
	// bytesPerRequest is the size of a request and its response on the VM's link, on
	// average over requests with small and with large responses.
	bytesPerRequest = 25_000
)

// Capacity returns how many requests per second a VM is fit for: the fewer of those
// that its processor can handle and those that its link can carry. Zero means that
// neither is known.
func Capacity(cores, linkBitsPerSecond float64) float64 {
	capacity := math.Inf(1)
	if cores > 0 {
		capacity = cores / processorPerRequest
	}
	if linkBitsPerSecond > 0 {
		capacity = min(capacity, linkBitsPerSecond/8/bytesPerRequest)
	}
	if math.IsInf(capacity, 1) {
		return 0
	}
	return capacity
}

// Candidate is a gateway that callers may use.
type Candidate struct {
	Address string
	// Capacity is what Capacity returned on the gateway's VM.
	Capacity float64
}

// Spread returns at most n addresses. Each candidate is named in proportion to its
// capacity, but at least once. It answers a fleet of unequal VMs under even load: a VM
// with a slow link takes as many requests as one with a fast link, and its large
// responses delay all others there.
//
// If there are more candidates than n, the choice among them depends on self, the
// name of the responding VM, and is stable: callers close their connections to
// addresses that a later response does not name.
func Spread(self string, candidates []Candidate, n int) []string {
	chosen := slices.Clone(candidates)
	setUnknownCapacities(chosen)
	if len(chosen) > n {
		chosen = sample(self, chosen, n)
	}
	var total float64
	for _, c := range chosen {
		total += c.Capacity
	}
	// Each candidate has one address. The others go one by one to the candidate that
	// lacks most of its part.
	counts := make([]int, len(chosen))
	addresses := make([]string, 0, n)
	for i, c := range chosen {
		counts[i] = 1
		addresses = append(addresses, c.Address)
	}
	for len(chosen) > 0 && len(addresses) < n {
		most, missing := 0, math.Inf(-1)
		for i, c := range chosen {
			if m := c.Capacity/total*float64(n) - float64(counts[i]); m > missing {
				most, missing = i, m
			}
		}
		// When every candidate has its part, more addresses would only distort them.
		if missing < 0.5 {
			break
		}
		counts[most]++
		addresses = append(addresses, chosen[most].Address)
	}
	return addresses
}

// setUnknownCapacities gives candidates without a capacity the average of the others.
func setUnknownCapacities(candidates []Candidate) {
	sum, known := 0.0, 0.0
	for _, c := range candidates {
		if c.Capacity > 0 {
			sum += c.Capacity
			known++
		}
	}
	average := 1.0
	if known > 0 {
		average = sum / known
	}
	for i := range candidates {
		if candidates[i].Capacity <= 0 {
			candidates[i].Capacity = average
		}
	}
}

// sample returns n candidates by weighted rendezvous hashing with their capacities as
// weights, so that all responding VMs together name each in proportion to it.
func sample(self string, candidates []Candidate, n int) []Candidate {
	score := func(c Candidate) float64 {
		h := xxhash.Sum64String(self + "\x00" + c.Address)
		unit := (float64(h>>11) + 0.5) / (1 << 53)
		return -c.Capacity / math.Log(unit)
	}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int { return cmp.Compare(score(b), score(a)) })
	return sorted[:n]
}
