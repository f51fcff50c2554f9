package fggateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// pauseSpread is the part of the time to the end of a pause by which the retries of callers
// are spread after it.
const pauseSpread = 0.25

// recordSignals records that a response says that its upstream leaves or pauses. Requests
// that were chosen for the upstream before and have not reached it are withdrawn.
func (g *Gateway) recordSignals(q *request, u *fgaffinity.Upstream, meta fgmessage.Response) {
	if meta.Misdirected {
		return
	}
	spec := u.Spec()
	if meta.Leaving && g.balancer.RecordLeaving(u) {
		g.withdraw()
		g.logger.Info("upstream leaving", "upstream", spec.ID, "group", spec.Group, "address", spec.Address, "attempt", q.AttemptID)
	}
	if meta.NotRun && meta.Pause > 0 && g.balancer.RecordPause(u, meta.Pause) {
		g.withdraw()
		if skipped, ok := g.logSamplers.failed.Allow(time.Now()); ok {
			g.logger.Info("upstream paused", "upstream", spec.ID, "group", spec.Group, "address", spec.Address, "ms", meta.Pause.Milliseconds(), "attempt", q.AttemptID, "skippedLines", skipped)
		}
	}
}

// applyLeavingReports applies what another gateway has heard of upstreams that leave.
func (g *Gateway) applyLeavingReports(s *fgwire.GatewayState) {
	upstreams := g.balancer.ApplyLeavingReports(s.GetLeavingUpstreams())
	if len(upstreams) == 0 {
		return
	}
	g.withdraw()
	for _, u := range upstreams {
		g.logger.Info("leaving of an upstream reported", "upstream", u.Spec().ID, "group", u.Spec().Group, "vm", s.GetVm())
	}
}

// delayRetry sets the time after which the caller may retry if all upstreams of the request
// leave or pause: none would take the request earlier.
func (g *Gateway) delayRetry(q *request, refused *refusal) {
	var unavailable *fgaffinity.UnavailableError
	if refused == nil || refused.retryAfter == 0 || !errors.As(g.balancer.Available(q.criteria()), &unavailable) {
		return
	}
	after := max(overloadRetryAfter, unavailable.RetryAfter)
	refused.retryAfter = max(refused.retryAfter, after+rand.N(max(overloadRetryAfter, time.Duration(pauseSpread*float64(after)))))
}
