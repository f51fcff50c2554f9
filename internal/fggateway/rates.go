package fggateway

import (
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgquota"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// addRates adds to a state what this gateway has used of the rates since the last one,
// and which gateways it has not heard.
func (g *Gateway) addRates(state *fgwire.GatewayState, elapsed time.Duration) {
	g.limiter.ObserveStore(g.mirror.Age())
	for _, u := range g.limiter.Tick(elapsed) {
		state.Workspaces = append(state.Workspaces, &fgwire.WorkspaceUse{
			Workspace: u.Workspace, Admitted: u.Admitted, Earlier: u.Earlier, Demand: uint32(10 * u.Demand),
		})
	}
	state.WorkspacesComplete = g.limiter.LastComplete()
	unheard := g.limiter.Unheard()
	state.Unheard, state.UnheardBits, state.Spenders = unheard.Hashes, unheard.Bitmap, uint32(g.limiter.Known())
}

// rateReport returns what a state reports about rates.
func rateReport(s *fgwire.GatewayState) fgquota.Report {
	r := fgquota.Report{
		VM: s.GetVm(), Incarnation: s.GetIncarnation(), Sequence: s.GetSequence(),
		Uses: make([]fgquota.Use, len(s.GetWorkspaces())), Complete: s.GetWorkspacesComplete(),
		Unheard: fgquota.Unheard{Hashes: s.GetUnheard(), Bitmap: s.GetUnheardBits()}, Members: int(s.GetSpenders()),
	}
	for i, u := range s.GetWorkspaces() {
		r.Uses[i] = fgquota.Use{Workspace: u.GetWorkspace(), Admitted: u.GetAdmitted(), Earlier: u.GetEarlier(), Demand: float64(u.GetDemand()) / 10}
	}
	return r
}
