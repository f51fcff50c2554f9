package fggateway

import (
	"net/http"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
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
func (g *Gateway) sendOwnState(s *fggossip.Socket, state *fgwire.GatewayState, p *exchangePlan) {
	loads, waiting := g.loadReports(), g.waitingReports()
	if len(loads) == 0 && len(waiting) == 0 {
		g.sendToPeers("state", s, state, p.peers)
		return
	}
	g.sendToPeers("state", s, state, p.otherZones)
	g.metrics.LoadReports("out", len(loads))
	state.Loads, state.Waiting = loads, waiting
	g.sendToPeers("state", s, state, p.ownZone)
	state.Loads, state.Waiting = nil, nil
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
