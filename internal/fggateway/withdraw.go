package fggateway

import (
	"sync"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

// drained holds the upstreams that are draining or in drained zones, by ID.
type drained struct {
	mu  sync.Mutex
	ids map[string]bool
}

// withdrawDrained withdraws the requests that have not reached upstreams that are draining
// or in drained zones. The network may hold such a request back for seconds, and deliver it
// when the upstream must not get any more. Requests that have reached the upstream go on.
func (g *Gateway) withdrawDrained(v *fgsteer.View) {
	ids := map[string]bool{}
	for _, group := range v.Groups() {
		for _, u := range group {
			if s := u.Spec(); s.Draining || v.Drained(s.AvailabilityZone) {
				ids[s.ID] = true
			}
		}
	}
	g.drained.mu.Lock()
	g.drained.ids = ids
	g.drained.mu.Unlock()
	g.withdraw()
}

// withdraw withdraws the requests that have not reached upstreams that get none: drained
// ones, and those that have said that they leave or pause.
func (g *Gateway) withdraw() {
	d := &g.drained
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := d.ids
	g.pool.Withdraw(func(t fgpool.Target) bool { return ids[t.ID] || g.balancer.Forbids(t.ID, t.Address) })
}
