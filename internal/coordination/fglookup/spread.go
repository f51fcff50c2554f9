// Package fglookup decides which gateways a look-up response names. Callers pick an
// address of the response at random for each connection.
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
	// minNamed is the number of gateways up to which all are named.
	minNamed = 4
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

// Spread returns the addresses that the gateway with the address self names to callers
// of a region, at most n, each once. A candidate is named by a part of the candidates
// that is in proportion to its capacity, and by one at least. Each response names at
// least minNamed, as far as there are that many, for callers that find one
// unreachable.
//
// It answers a fleet of unequal VMs under even load: a VM with a slow link takes as many
// requests as one with a fast link, and its large responses delay all others there.
//
// The choice changes little when gateways come and go, because callers close their
// connections to addresses that a later response does not name. Addresses are not
// repeated in proportion: callers that try another one after a failure would try the
// same gateway.
func Spread(self string, candidates []Candidate, n int) []string {
	all := slices.Clone(candidates)
	setUnknownCapacities(all)
	most := 0.0
	for _, c := range all {
		most = max(most, c.Capacity)
	}
	var named, others []Candidate
	for _, c := range all {
		if c.isNamedBy(self, all, most) {
			named = append(named, c)
		} else {
			others = append(others, c)
		}
	}
	if len(named) > n {
		// With the arguments exchanged, the hash does not depend on the one that decided
		// whether the candidate is named.
		slices.SortFunc(named, func(a, b Candidate) int { return cmp.Compare(hash(a.Address, self), hash(b.Address, self)) })
		named = named[:n]
	}
	if missing := minNamed - len(named); missing > 0 {
		slices.SortFunc(others, func(a, b Candidate) int { return cmp.Compare(b.score(self), a.score(self)) })
		named = append(named, others[:min(missing, len(others))]...)
	}
	addresses := make([]string, len(named))
	for i, c := range named {
		addresses[i] = c.Address
	}
	return addresses
}

// maxRanked is the number of candidates up to which the ones that name a candidate are
// counted exactly. Above it, each names a candidate with the same probability, which
// takes less time.
const maxRanked = 64

// isNamedBy reports whether a gateway names the candidate. In a region of few
// candidates those with the lowest hashes do, as many as the capacity asks for.
func (c Candidate) isNamedBy(self string, candidates []Candidate, most float64) bool {
	part := c.Capacity / most
	own := hash(self, c.Address)
	if len(candidates) > maxRanked {
		return own < part
	}
	namedBy := max(1, int(math.Round(part*float64(len(candidates)))))
	if namedBy == len(candidates) {
		return true
	}
	lower := 0
	for _, other := range candidates {
		if other.Address != self && hash(other.Address, c.Address) < own {
			lower++
		}
	}
	return lower < namedBy
}

// hash returns a number between 0 and 1, both excluded, for a candidate and the gateway
// that may name it.
func hash(self, candidate string) float64 {
	return (float64(xxhash.Sum64String(self+"\x00"+candidate)>>11) + 0.5) / (1 << 53)
}

// score returns the candidate's score in weighted rendezvous hashing.
func (c Candidate) score(self string) float64 { return -c.Capacity / math.Log(hash(self, c.Address)) }

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
