package fggateway

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// recordLoad records the load that a response names.
func (g *Gateway) recordLoad(u *fgaffinity.Upstream, status int, meta fgmessage.Response) {
	if !meta.HasLoad {
		return
	}
	g.balancer.RecordReport(u, fgaffinity.Report{
		Load: meta.Load.Running + meta.Load.Waiting, Slowdown: meta.Load.Slowdown,
		Refused: meta.NotRun, Failed: meta.NotRun || status >= http.StatusInternalServerError,
	})
}

// sendOwnState sends this gateway's state to the others. Only those of the own
// availability zone get the loads and the waiting requests, since bytes between zones are expensive.
func (g *Gateway) sendOwnState(state *fgwire.GatewayState) {
	g.relay.mu.Lock()
	to, wrapped := g.relay.relay.Own(state)
	g.relay.mu.Unlock()
	defer g.sendAll(wrapped)
	loads, waiting := g.loadReports(), g.waitingReports()
	if len(loads) == 0 && len(waiting) == 0 {
		g.sendToPeers("state", state, to)
		return
	}
	var ownZone, otherZones []fgsteer.MemberSpec
	for _, m := range to {
		if m.Region == g.settings.Self.Region && m.AvailabilityZone == g.settings.Self.AvailabilityZone {
			ownZone = append(ownZone, m)
		} else {
			otherZones = append(otherZones, m)
		}
	}
	g.sendToPeers("state", state, otherZones)
	g.metrics.LoadReports("out", len(loads))
	// The relay keeps the state without them, and may be sending it.
	zoneState := proto.CloneOf(state)
	zoneState.Loads, zoneState.Waiting = loads, waiting
	g.sendToPeers("state", zoneState, ownZone)
}

// loadReports returns the loads to report to the gateways of the zone.
func (g *Gateway) loadReports() []*fgwire.UpstreamLoad {
	var loads []*fgwire.UpstreamLoad
	for _, l := range g.balancer.LoadReports() {
		loads = append(loads, &fgwire.UpstreamLoad{
			Upstream: l.Upstream, Load: uint32(l.Load), SlowdownPercent: uint32(100*l.Slowdown + 0.5), AgeMs: uint32(l.Age.Milliseconds()), Failed: l.Failed,
		})
	}
	return loads
}

// applyLoadReports applies the loads that another gateway has heard from upstreams.
func (g *Gateway) applyLoadReports(loads []*fgwire.UpstreamLoad) {
	if len(loads) == 0 {
		return
	}
	reports := make([]fgaffinity.LoadReport, len(loads))
	for i, l := range loads {
		reports[i] = fgaffinity.LoadReport{
			Upstream: l.GetUpstream(), Load: int(l.GetLoad()), Slowdown: float64(l.GetSlowdownPercent()) / 100, Age: time.Duration(l.GetAgeMs()) * time.Millisecond, Failed: l.GetFailed(),
		}
	}
	g.metrics.LoadReports("in", g.balancer.ApplyLoadReports(reports))
}
