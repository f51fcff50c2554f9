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
func Distribute(l Limit, claims []Claim) map[string]int64 {
	claims = slices.Clone(claims)
	if len(claims) == 0 {
		return nil
	}
	if !l.divisible {
		return distributeSlots(l, claims)
	}
	demand := sum(claims, func(c Claim) int64 { return c.demand })
	if demand == 0 {
		return distributeIdle(l, claims)
	}
	applyFloor(l, claims)
	units := maxMin(l.units, claims)
	left := l.units - sumOf(units)
	for _, c := range claims {
		units[c.holder] += mulDiv(left, c.demand, demand)
	}
	most := slices.MaxFunc(claims, func(a, b Claim) int { return cmp.Compare(a.demand, b.demand) })
	units[most.holder] += l.units - sumOf(units)
	return units
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
	applyFloor(l, claims)
	units := maxMin(l.units, claims)
	// Holders that already have units come first, so that an idle limit rests.
	slices.SortStableFunc(claims, func(a, b Claim) int { return cmp.Compare(b.current, a.current) })
	level(units, claims, l.units-sumOf(units))
	return units
}

// applyFloor raises the demand of active holders to the floor, or to one unit
// where the floor is too much for all. The holders with the largest demand come
// first where there are fewer units than holders.
func applyFloor(l Limit, claims []Claim) {
	active := sum(claims, func(c Claim) int64 {
		if c.active {
			return 1
		}
		return 0
	})
	floor := l.floorOfUnit
	if floor*active > l.units {
		floor = 1
	}
	for i := range claims {
		if claims[i].active {
			claims[i].demand = max(claims[i].demand, floor)
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
