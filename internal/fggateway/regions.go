package fggateway

import "github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"

// A region counts as full when it has lost half of its weight, and as having room
// again when it has nearly all of it, so that small changes cause no lines.
const (
	fullWeight = 0.5
	roomWeight = 0.9
)

// regionLines writes a line when a region becomes full, or has room again. It
// is used by one goroutine.
type regionLines struct {
	full map[[2]string]bool
}

// changed returns the regions whose state has changed.
func (l *regionLines) changed(loads []fgaffinity.RegionLoad) (full, free []fgaffinity.RegionLoad) {
	if l.full == nil {
		l.full = map[[2]string]bool{}
	}
	for _, r := range loads {
		key := [2]string{r.Group, r.Region}
		switch {
		case !l.full[key] && r.Weight < fullWeight:
			l.full[key] = true
			full = append(full, r)
		case l.full[key] && r.Weight > roomWeight:
			delete(l.full, key)
			free = append(free, r)
		}
	}
	return full, free
}

// logRegions tells which regions have lost objects to others, or get them back.
func (g *Gateway) logRegions(l *regionLines) {
	full, free := l.changed(g.balancer.RegionLoads())
	for _, r := range full {
		g.logger.Info("region full", "group", r.Group, "region", r.Region, "loadPerSlot", r.Load, "weight", r.Weight)
	}
	for _, r := range free {
		g.logger.Info("region has room again", "group", r.Group, "region", r.Region, "loadPerSlot", r.Load, "weight", r.Weight)
	}
}
