package fggateway

import "github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"

// A region counts as overloaded when its weight falls below overloadedWeight, and as
// recovered when it rises above recoveredWeight. The gap between them avoids log
// lines for small changes.
const (
	overloadedWeight = 0.5
	recoveredWeight  = 0.9
)

// overloadTracker records which regions are overloaded, by group and region. It is
// not safe for concurrent use.
type overloadTracker struct {
	overloaded map[[2]string]bool
}

// changed returns the regions that are newly overloaded, and those that have
// recovered.
func (t *overloadTracker) changed(loads []fgaffinity.RegionLoad) (overloaded, recovered []fgaffinity.RegionLoad) {
	if t.overloaded == nil {
		t.overloaded = map[[2]string]bool{}
	}
	for _, r := range loads {
		key := [2]string{r.Group, r.Region}
		switch {
		case !t.overloaded[key] && r.Weight < overloadedWeight:
			t.overloaded[key] = true
			overloaded = append(overloaded, r)
		case t.overloaded[key] && r.Weight > recoveredWeight:
			delete(t.overloaded, key)
			recovered = append(recovered, r)
		}
	}
	return overloaded, recovered
}

// logOverloadedRegions logs which regions lose keys to other regions because of
// their load, or get them back.
func (g *Gateway) logOverloadedRegions(tracker *overloadTracker) {
	overloaded, recovered := tracker.changed(g.balancer.RegionLoads())
	for _, r := range overloaded {
		g.logger.Info("region overloaded", "group", r.Group, "region", r.Region, "loadPerSlot", r.Load, "weight", r.Weight)
	}
	for _, r := range recovered {
		g.logger.Info("region no longer overloaded", "group", r.Group, "region", r.Region, "loadPerSlot", r.Load, "weight", r.Weight)
	}
}
