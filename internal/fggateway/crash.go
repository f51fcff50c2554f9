package fggateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

// hash returns the hash that identical requests share.
func (q *request) hash(r *http.Request) uint64 {
	workspace := ""
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	return fgsuspect.RequestHash(r.Method, r.RequestURI, workspace, q.body...)
}

// refuseCrashing refuses a request if identical ones have crashed several upstreams,
// whichever VM sent them.
func (g *Gateway) refuseCrashing(r *http.Request, q *request) *refusal {
	if g.crashes.Empty() {
		return nil
	}
	n, remaining := g.crashes.BlockRemaining(q.hash(r))
	if remaining <= 0 {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, code: codeCrashes, retryAfter: remaining + rand.N(remaining/10+1),
		reason: fmt.Sprintf("identical requests crashed %d upstreams", n),
	}
}

// checkForCrash probes an upstream that broke the connection of a send which began at a
// time, and records a crash if it does not accept a new connection.
func (g *Gateway) checkForCrash(r *http.Request, q *request, u *fgaffinity.Upstream, sent time.Time) {
	spec, attempt := u.Spec(), q.AttemptID
	check := g.crashes.BeginCheck(q.hash(r), spec.Address, sent)
	time.AfterFunc(0, func() {
		probeResult := g.pool.Probe(context.Background(), upstreamTarget(spec))
		if probeResult == fgpool.Connected {
			check.Dismiss()
			return
		}
		n := check.Crashed()
		if skipped, ok := g.logSamplers.failed.Allow(time.Now()); ok {
			g.logger.Info("upstream exited while it ran a request", "attempt", attempt, "upstream", spec.ID, "address", spec.Address,
				"sign", probeResult.String(), "upstreamsCrashed", n, "skippedLines", skipped)
		}
	})
}

// recordCompletion records that an upstream ran a request to completion, which
// clears identical requests of suspicion.
func (g *Gateway) recordCompletion(r *http.Request, q *request) {
	if !g.crashes.Empty() {
		g.crashes.RecordCompletion(q.hash(r))
	}
}

// crashReports returns the crashes to report to the other gateways.
func (g *Gateway) crashReports() []*fgwire.RequestCrash {
	var reports []*fgwire.RequestCrash
	for _, c := range g.crashes.Report() {
		m := &fgwire.RequestCrash{Request: c.Request, Upstreams: c.Starts, Cleared: c.Cleared, ClearedUpstreams: c.ClearedStarts}
		for _, age := range c.Ages {
			m.AgesMs = append(m.AgesMs, uint32(age.Milliseconds()))
		}
		reports = append(reports, m)
	}
	return reports
}

// applyCrashReports applies the crashes that another gateway reported.
func (g *Gateway) applyCrashReports(reports []*fgwire.RequestCrash) {
	if len(reports) == 0 {
		return
	}
	crashes := make([]fgsuspect.Crash, len(reports))
	for i, m := range reports {
		crashes[i] = fgsuspect.Crash{Request: m.GetRequest(), Starts: m.GetUpstreams(), ClearedStarts: m.GetClearedUpstreams(), Cleared: m.GetCleared()}
		for _, age := range m.GetAgesMs() {
			crashes[i].Ages = append(crashes[i].Ages, time.Duration(age)*time.Millisecond)
		}
	}
	g.crashes.ApplyReport(crashes)
}
