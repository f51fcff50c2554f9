package fgshare

import (
	"cmp"
	"slices"
)

// Claim is what a holder has and needs of one limit.
type Claim struct {
	holder  string
	current int64
	demand  int64
	active  bool
}

// NewClaim returns a claim in units. An active holder used the limit recently.
func NewClaim(holder string, current, demand int64, active bool) Claim {
	return Claim{holder: holder, current: current, demand: demand, active: active}
}

// Distribute divides a limit between holders: first a floor for each active
// one, then max-min by demand. What is left goes to the demanding holders in
// proportion for a rate, whose tokens can be borrowed, and to all evenly for
// slots, which cannot. Without demand the units of a rate stay where they are.
// Fixed units are held by others and cannot be given.
func Distribute(l Limit, claims []Claim, fixed int64) map[string]int64 {
	l.units = max(0, l.units-fixed)
	claims = slices.Clone(claims)
	if len(claims) == 0 {
		return nil
	}
	if !l.divisible {
		return distributeSlots(l, claims)
	}
	if sum(claims, func(c Claim) int64 { return c.demand }) == 0 {
		return distributeIdle(l, claims)
	}
	concentrate(l, claims)
	applyFloor(claims)
	units := maxMin(l.units, claims)
	left, demand := l.units-sumOf(units), sum(claims, func(c Claim) int64 { return c.demand })
	for _, c := range claims {
		units[c.holder] += mulDiv(left, c.demand, demand)
	}
	most := slices.MaxFunc(claims, func(a, b Claim) int { return cmp.Compare(a.demand, b.demand) })
	units[most.holder] += l.units - sumOf(units)
	return units
}

const (
	// tokensPerHolder is the least part of a burst worth holding. Below it, most
	// refill is lost in buckets that are full before they hold a token.
	tokensPerHolder = 2
	// minHolders keeps half of a limit usable when a holder of it is lost.
	minHolders = 2
)

// concentrate lets only as many holders have more than the floor as the burst
// is worth dividing between: those with the largest demand, where a holder that
// already has units counts up to three times, since each move of units discards
// stored tokens. The other holders borrow.
func concentrate(l Limit, claims []Claim) {
	holders := int(max(minHolders, l.burst/tokensPerHolder))
	if holders >= len(claims) {
		return
	}
	slices.SortStableFunc(claims, func(a, b Claim) int {
		return cmp.Compare(b.demand+min(b.current, 2*b.demand), a.demand+min(a.current, 2*a.demand))
	})
	for i := holders; i < len(claims); i++ {
		claims[i].demand = 0
	}
}

// distributeIdle keeps all units and divides the free ones evenly.
func distributeIdle(l Limit, claims []Claim) map[string]int64 {
	units := map[string]int64{}
	for _, c := range claims {
		units[c.holder] = c.current
	}
	spread(units, claims, l.units-sumOf(units))
	return units
}

func distributeSlots(l Limit, claims []Claim) map[string]int64 {
	applyFloor(claims)
	units := maxMin(l.units, claims)
	// Holders that already have units come first, so that an idle limit rests.
	slices.SortStableFunc(claims, func(a, b Claim) int { return cmp.Compare(b.current, a.current) })
	level(units, claims, l.units-sumOf(units))
	return units
}

// Floor is the number of units that an active holder keeps where there are
// enough.
const Floor = 1

// applyFloor raises the demand of active holders to the floor.
func applyFloor(claims []Claim) {
	for i := range claims {
		if claims[i].active {
			claims[i].demand = max(claims[i].demand, Floor)
		}
	}
}

// maxMin gives each holder its demand, or an equal part where the demands
// exceed the total.
func maxMin(total int64, claims []Claim) map[string]int64 {
	sorted := slices.Clone(claims)
	slices.SortStableFunc(sorted, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.current, b.current), cmp.Compare(a.holder, b.holder))
	})
	units := map[string]int64{}
	for i, c := range sorted {
		part := min(c.demand, total/int64(len(sorted)-i))
		units[c.holder] = part
		total -= part
	}
	return units
}

// spread divides an amount evenly.
func spread(units map[string]int64, claims []Claim, amount int64) {
	for i, c := range claims {
		part := max(0, amount) / int64(len(claims)-i)
		units[c.holder] += part
		amount -= part
	}
}

// level adds units one by one to the holder with the fewest.
func level(units map[string]int64, claims []Claim, amount int64) {
	for range amount {
		least := slices.MinFunc(claims, func(a, b Claim) int { return cmp.Compare(units[a.holder], units[b.holder]) })
		units[least.holder]++
	}
}

func sum(claims []Claim, value func(Claim) int64) int64 {
	var total int64
	for _, c := range claims {
		total += value(c)
	}
	return total
}

func sumOf(units map[string]int64) int64 {
	var total int64
	for _, u := range units {
		total += u
	}
	return total
}
