package fgshare

import (
	"cmp"
	"slices"
)

// Claim is a holder's current units of one limit and its demand.
type Claim struct {
	holder  string
	current int64
	demand  int64
	active  bool
}

// NewClaim returns a claim; current and demand are in units. A holder is
// active if it used the limit recently.
func NewClaim(holder string, current, demand int64, active bool) Claim {
	return Claim{holder: holder, current: current, demand: demand, active: active}
}

// Distribute divides a limit between holders. Each active holder gets a
// minimum, and the rest is divided max-min fairly by demand. Units of a rate
// that no demand needs go to the holders with demand, in proportion to it,
// because the other holders can borrow tokens. Slots cannot be borrowed, so
// those that no demand needs go to all holders evenly. If there is no demand
// for a rate, its units stay where they are. The fixed units belong to
// holders that cannot release them now and are not distributed.
func Distribute(l Limit, claims []Claim, fixed int64) map[string]int64 {
	l.units = max(0, l.units-fixed)
	claims = slices.Clone(claims)
	if len(claims) == 0 {
		return nil
	}
	if !l.isRate {
		return distributeSlots(l, claims)
	}
	if sumClaims(claims, func(c Claim) int64 { return c.demand }) == 0 {
		return distributeFree(l, claims)
	}
	keepLargestDemands(l, claims)
	applyMinimum(claims)
	units := maxMin(l.units, claims)
	unassigned, demand := l.units-sumUnits(units), sumClaims(claims, func(c Claim) int64 { return c.demand })
	for _, c := range claims {
		units[c.holder] += mulDiv(unassigned, c.demand, demand)
	}
	largest := slices.MaxFunc(claims, func(a, b Claim) int { return cmp.Compare(a.demand, b.demand) })
	units[largest.holder] += l.units - sumUnits(units)
	return units
}

const (
	// minTokensPerHolder is the smallest share of a burst that one holder
	// should get. A smaller bucket is full before it holds enough tokens for a
	// request, so most of its refill is lost.
	minTokensPerHolder = 2
	// minHolders keeps half of a limit usable if one of its holders fails.
	minHolders = 2
)

// keepLargestDemands sets the demand of all but the largest claims to zero,
// so that a burst is divided between no more holders than minTokensPerHolder
// allows, or between minHolders if that is more. Units that a holder already
// has count as further demand, up to twice its demand, because each move of
// units discards stored tokens. The other holders keep at most the minimum and
// borrow tokens.
func keepLargestDemands(l Limit, claims []Claim) {
	holders := int(max(minHolders, l.burst/minTokensPerHolder))
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

// distributeFree leaves all units where they are and divides the free ones
// evenly.
func distributeFree(l Limit, claims []Claim) map[string]int64 {
	units := map[string]int64{}
	for _, c := range claims {
		units[c.holder] = c.current
	}
	addEvenly(units, claims, l.units-sumUnits(units))
	return units
}

func distributeSlots(l Limit, claims []Claim) map[string]int64 {
	applyMinimum(claims)
	units := maxMin(l.units, claims)
	// Holders that already have units come first, so that the units of an idle
	// limit do not move.
	slices.SortStableFunc(claims, func(a, b Claim) int { return cmp.Compare(b.current, a.current) })
	addToFewest(units, claims, l.units-sumUnits(units))
	return units
}

// MinActiveUnits is the minimum number of units of an active holder, if the
// limit has enough units.
const MinActiveUnits = 1

// applyMinimum raises the demand of active holders to the minimum.
func applyMinimum(claims []Claim) {
	for i := range claims {
		if claims[i].active {
			claims[i].demand = max(claims[i].demand, MinActiveUnits)
		}
	}
}

// maxMin gives each holder its demand, or an equal share if the demands exceed
// the available units.
func maxMin(available int64, claims []Claim) map[string]int64 {
	sorted := slices.Clone(claims)
	slices.SortStableFunc(sorted, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.current, b.current), cmp.Compare(a.holder, b.holder))
	})
	units := map[string]int64{}
	for i, c := range sorted {
		given := min(c.demand, available/int64(len(sorted)-i))
		units[c.holder] = given
		available -= given
	}
	return units
}

// addEvenly divides an amount evenly between the holders.
func addEvenly(units map[string]int64, claims []Claim, amount int64) {
	for i, c := range claims {
		given := max(0, amount) / int64(len(claims)-i)
		units[c.holder] += given
		amount -= given
	}
}

// addToFewest adds an amount unit by unit, each to the holder with the fewest
// units.
func addToFewest(units map[string]int64, claims []Claim, amount int64) {
	for range amount {
		fewest := slices.MinFunc(claims, func(a, b Claim) int { return cmp.Compare(units[a.holder], units[b.holder]) })
		units[fewest.holder]++
	}
}

func sumClaims(claims []Claim, value func(Claim) int64) int64 {
	var total int64
	for _, c := range claims {
		total += value(c)
	}
	return total
}

func sumUnits(units map[string]int64) int64 {
	var total int64
	for _, u := range units {
		total += u
	}
	return total
}
