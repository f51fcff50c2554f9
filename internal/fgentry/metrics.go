package fgentry

import (
	"context"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgmetrics"
)

// gaugeInterval separates updates of the gauges.
const gaugeInterval = time.Second

// runMetrics updates the gauges until the context ends.
func (e *Entry) runMetrics(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		for _, c := range e.placer.Capacities() {
			e.metrics.SetHeadroom(c.Group, c.Free, c.Total)
		}
		e.metrics.SetGeneration(e.config.Generation())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observe records how a call ended. It runs deferred, so that it also counts a
// call whose response was truncated by a panic.
func (c *call) observe(m fgmetrics.Request) {
	route, outcome := "", fgmetrics.OutcomeAnswered
	if c.route != nil {
		route = c.route.Name()
	}
	if !c.completed {
		outcome = fgmetrics.OutcomeCut
	}
	m.End(route, c.workspace, outcome, c.refusal)
}
