package fggateway

import (
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

// isolatedCopyAge is the age of the copy of the store from which on this gateway may have
// missed the start of an upstream. While the store or a contact responds, the copy is
// current every 2.2 s at most: a long poll of 1.5 s, a pause of 0.5 s and the call.
const isolatedCopyAge = 2500 * time.Millisecond

// updateIsolated tells the balancer whether this gateway learns of starts of upstreams.
func (g *Gateway) updateIsolated() {
	others := 0
	if v := g.mirror.View(); v != nil {
		others = len(v.Members()) - 1
	}
	isolated := g.peers.isolated(g.mirror.CopyAge(), g.mirror.Position(), g.silentTimeout(), others)
	if isolated == g.isolated {
		return
	}
	g.isolated = isolated
	g.balancer.SetIsolated(isolated)
	g.logger.Info("knowledge of starts of upstreams changed", "isolated", isolated, "copyAgeMs", g.mirror.CopyAge().Milliseconds(), "revision", g.mirror.Revision())
}

// isolated reports whether a gateway whose copy of the store has an age and a position has
// neither a current copy nor the means to notice that it lacks changes: one of the others
// is ahead, or fewer than half of them have reported within the timeout. In an outage of
// the store most report; gateways that are cut off together hear each other only.
func (p *peers) isolated(copyAge time.Duration, position fgstore.Position, timeout time.Duration, others int) bool {
	if copyAge < isolatedCopyAge {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := 0
	for _, s := range p.states {
		if time.Since(s.received) >= timeout {
			continue
		}
		if position.Before(s.position) {
			return true
		}
		heard++
	}
	return heard == 0 || 2*heard < others
}
