package fggateway

import (
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// recordLimit records the limit that a response names. Only a response that certainly
// is the upstream's lifts it.
func (g *Gateway) recordLimit(q *request, u *fgaffinity.Upstream, meta fgmessage.Response) {
	if meta.Misdirected || !meta.HasLimit && !meta.Signed && !meta.NotRun {
		return
	}
	if !g.balancer.RecordLimit(u, meta.Limit, meta.HasLimit) {
		return
	}
	spec := u.Spec()
	if meta.HasLimit {
		g.logger.Info("upstream named a limit", "upstream", spec.ID, "group", spec.Group, "address", spec.Address, "perSecond", meta.Limit, "attempt", q.AttemptID)
	} else {
		g.logger.Info("upstream lifted its limit", "upstream", spec.ID, "group", spec.Group, "address", spec.Address, "attempt", q.AttemptID)
	}
}

// limitReports returns the limits to report to the other gateways.
func (g *Gateway) limitReports() []*fgwire.UpstreamLimit {
	var limits []*fgwire.UpstreamLimit
	for _, l := range g.balancer.LimitReports() {
		limits = append(limits, &fgwire.UpstreamLimit{Upstream: l.Upstream, PerSecond: l.Rate, AgeMs: l.Age.Milliseconds()})
	}
	return limits
}

// applyLimitReports applies the limits that another gateway has heard from upstreams.
func (g *Gateway) applyLimitReports(vm string, limits []*fgwire.UpstreamLimit) {
	reports := make([]fgaffinity.LimitReport, len(limits))
	for i, l := range limits {
		reports[i] = fgaffinity.LimitReport{Upstream: l.GetUpstream(), Rate: l.GetPerSecond(), Age: time.Duration(l.GetAgeMs()) * time.Millisecond}
	}
	for _, u := range g.balancer.ApplyLimitReports(reports) {
		g.logger.Info("limit of an upstream reported", "upstream", u.Spec().ID, "group", u.Spec().Group, "vm", vm)
	}
}
