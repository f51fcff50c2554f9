package fgaffinity

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// maxSurplus is the largest number of requests by which a group may exceed its
// weight on one VM. Beyond it, requests with keys of the group go to another group.
const maxSurplus = 4

// GroupSelector distributes the requests of each route over its upstream groups by
// weight. An affinity key keeps its group, so that it is cached in one group only
// and a changed weight moves few keys. The zero value is ready to use.
type GroupSelector struct {
	mu     sync.Mutex
	routes map[string]*routeSplit
}

// routeSplit counts how the requests of a route were distributed.
type routeSplit struct {
	groups []fgsteer.WeightedGroup
	total  int
	// surplus is the number of requests by which each group has exceeded its weight.
	// It is negative for a group that has received fewer.
	surplus []float64
}

// Pick returns the group for a request. Requests without an affinity key are
// distributed at random.
func (g *GroupSelector) Pick(r *fgsteer.RouteSpec, key string) string {
	if len(r.Groups) == 1 {
		return r.Groups[0].Group
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	split := g.routeSplit(r)
	if split.total <= 0 {
		return r.Groups[0].Group
	}
	position := rand.Float64()
	if key != "" {
		position = float64(fmix64(xxhash.Sum64String(key))>>11) / (1 << 53)
	}
	chosen := split.groupAt(position)
	if split.surplus[chosen] > maxSurplus {
		chosen = split.lowestSurplus()
	}
	for i, weighted := range split.groups {
		split.surplus[i] -= float64(weighted.Weight) / float64(split.total)
	}
	split.surplus[chosen]++
	return split.groups[chosen].Group
}

// routeSplit returns the state of a route, which is reset when the weights change.
func (g *GroupSelector) routeSplit(r *fgsteer.RouteSpec) *routeSplit {
	s := g.routes[r.Name]
	if s != nil && slices.Equal(s.groups, r.Groups) {
		return s
	}
	if g.routes == nil {
		g.routes = map[string]*routeSplit{}
	}
	s = &routeSplit{groups: r.Groups, surplus: make([]float64, len(r.Groups))}
	for _, weighted := range r.Groups {
		s.total += weighted.Weight
	}
	g.routes[r.Name] = s
	return s
}

// groupAt returns the index of the group at a position between 0 and 1 in the
// sequence of all weights.
func (s *routeSplit) groupAt(position float64) int {
	sum, last := 0.0, 0
	for i, weighted := range s.groups {
		if weighted.Weight <= 0 {
			continue
		}
		last = i
		if sum += float64(weighted.Weight) / float64(s.total); position < sum {
			return i
		}
	}
	return last
}

// lowestSurplus returns the index of the group with the lowest surplus.
func (s *routeSplit) lowestSurplus() int {
	lowest := -1
	for i, weighted := range s.groups {
		if weighted.Weight > 0 && (lowest < 0 || s.surplus[i] < s.surplus[lowest]) {
			lowest = i
		}
	}
	return lowest
}
