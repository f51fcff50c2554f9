package fgentry

import (
	"github.com/filbertgap/filbertgap/internal/fgmetrics"
)

// observe records how a call ended. It runs deferred, so that a call whose
// answer was cut by a panic counts as well.
func (c *call) observe(m fgmetrics.Request) {
	route, outcome := "", fgmetrics.OutcomeAnswered
	if c.route != nil {
		route = c.route.Name()
	}
	if !c.ended {
		outcome = fgmetrics.OutcomeCut
	}
	m.End(route, c.workspace, outcome, c.refusal)
}
