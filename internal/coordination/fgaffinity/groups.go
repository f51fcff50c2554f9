package fgaffinity

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// maxAhead is how many requests a group may be ahead of its weight on one VM
// before the objects that prefer it go to another one.
const maxAhead = 4

// Groups divides the requests of routes between their upstream groups by weight.
// An object keeps its group, so that it is warm in one group only and a changed
// weight moves few objects. The zero value is ready to use.
type Groups struct {
	mu     sync.Mutex
	routes map[string]*division
}

// division is how the requests of a route were divided.
type division struct {
	groups []fgsteer.WeightedGroup
	total  int
	// ahead counts for each group the requests that it got beyond its weight.
	ahead []float64
}

// Pick returns the group of a request. Requests without an object are divided
// by chance.
func (g *Groups) Pick(r *fgsteer.RouteSpec, object string) string {
	if len(r.Groups) == 1 {
		return r.Groups[0].Group
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.division(r)
	if d.total <= 0 {
		return r.Groups[0].Group
	}
	unit := rand.Float64()
	if object != "" {
		unit = float64(mix(xxhash.Sum64String(object))>>11) / (1 << 53)
	}
	chosen := d.at(unit)
	if d.ahead[chosen] > maxAhead {
		chosen = d.behind()
	}
	for i, one := range d.groups {
		d.ahead[i] -= float64(one.Weight) / float64(d.total)
	}
	d.ahead[chosen]++
	return d.groups[chosen].Group
}

// division returns the state of a route, which begins anew with changed weights.
func (g *Groups) division(r *fgsteer.RouteSpec) *division {
	d := g.routes[r.Name]
	if d != nil && slices.Equal(d.groups, r.Groups) {
		return d
	}
	if g.routes == nil {
		g.routes = map[string]*division{}
	}
	d = &division{groups: r.Groups, ahead: make([]float64, len(r.Groups))}
	for _, one := range r.Groups {
		d.total += one.Weight
	}
	g.routes[r.Name] = d
	return d
}

// at returns the group whose part of the weights a position between 0 and 1
// lies in.
func (d *division) at(unit float64) int {
	sum, last := 0.0, 0
	for i, one := range d.groups {
		if one.Weight <= 0 {
			continue
		}
		last = i
		if sum += float64(one.Weight) / float64(d.total); unit < sum {
			return i
		}
	}
	return last
}

// behind returns the group that lacks most requests.
func (d *division) behind() int {
	least := -1
	for i, one := range d.groups {
		if one.Weight > 0 && (least < 0 || d.ahead[i] < d.ahead[least]) {
			least = i
		}
	}
	return least
}
