package fggateway

import (
	"context"
	"fmt"
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
	n, blocked := g.crashes.Blocked(q.hash(r))
	if !blocked {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, code: codeCrashes, retryAfter: fgsuspect.BlockDuration,
		reason: fmt.Sprintf("identical requests crashed %d upstreams", n),
	}
}

// checkForCrash probes an upstream that broke the connection during a request, and
// records a crash if it does not accept a new connection.
func (g *Gateway) checkForCrash(r *http.Request, q *request, u *fgaffinity.Upstream) {
	spec, hash, attempt := u.Spec(), q.hash(r), q.AttemptID
	time.AfterFunc(0, func() {
		probeResult := g.pool.Probe(context.Background(), upstreamTarget(spec))
		if probeResult == fgpool.Connected {
			return
		}
		n := g.crashes.RecordCrash(hash, spec.Address)
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
		reports = append(reports, &fgwire.RequestCrash{Request: c.Request, Upstreams: c.Upstreams, Cleared: c.Cleared})
	}
	return reports
}

// applyCrashReports applies the crashes that another gateway reported.
func (g *Gateway) applyCrashReports(reports []*fgwire.RequestCrash) {
	if len(reports) == 0 {
		return
	}
	crashes := make([]fgsuspect.Crash, len(reports))
	for i, c := range reports {
		crashes[i] = fgsuspect.Crash{Request: c.GetRequest(), Upstreams: c.GetUpstreams(), Cleared: c.GetCleared()}
	}
	g.crashes.ApplyReport(crashes)
}
