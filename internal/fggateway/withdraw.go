package fggateway

import (
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

// withdrawDrained withdraws the requests that have not reached upstreams that are draining
// or in drained zones. The network may hold such a request back for seconds, and deliver it
// when the upstream must not get any more. Requests that have reached the upstream go on.
func (g *Gateway) withdrawDrained(v *fgsteer.View) {
	drained := map[string]bool{}
	for _, group := range v.Groups() {
		for _, u := range group {
			if s := u.Spec(); s.Draining || v.Drained(s.AvailabilityZone) {
				drained[s.ID] = true
			}
		}
	}
	if len(drained) == 0 {
		g.pool.Withdraw(nil)
		return
	}
	g.pool.Withdraw(func(t fgpool.Target) bool { return drained[t.ID] })
}
