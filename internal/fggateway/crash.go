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

// hash identifies requests that are equal to this one.
func (q *request) hash(r *http.Request) uint64 {
	workspace := ""
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	return fgsuspect.RequestHash(r.Method, r.RequestURI, workspace, q.body)
}

// refuseCrashing refuses a request that has crashed several upstreams, on any VM.
func (g *Gateway) refuseCrashing(r *http.Request, q *request) *refusal {
	if g.crashes.Empty() {
		return nil
	}
	n, convicted := g.crashes.Blocked(q.hash(r))
	if !convicted {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, code: codeCrashes, retryAfter: fgsuspect.BlockDuration,
		reason: fmt.Sprintf("equal requests crashed %d upstreams", n),
	}
}

// suspect finds out whether an upstream that broke the connection has crashed. A
// live one takes a new connection.
func (g *Gateway) suspect(r *http.Request, q *request, u *fgaffinity.Upstream) {
	spec, hash, attempt := u.Spec(), q.hash(r), q.AttemptID
	time.AfterFunc(0, func() {
		sign := g.pool.Probe(context.Background(), fgpool.Target{ID: spec.ID, Address: spec.Address})
		if sign == fgpool.Connected {
			return
		}
		n := g.crashes.RecordCrash(hash, spec.Address)
		if skipped, ok := g.logs.failed.Allow(time.Now()); ok {
			g.logger.Info("upstream ended while it ran a request", "attempt", attempt, "upstream", spec.ID, "address", spec.Address,
				"sign", sign.String(), "upstreamsCrashed", n, "skippedLines", skipped)
		}
	})
}

// acquit records that an upstream ran a request to its end.
func (g *Gateway) acquit(r *http.Request, q *request) {
	if !g.crashes.Empty() {
		g.crashes.RecordCompletion(q.hash(r))
	}
}

// tellCrashes returns what this gateway tells the others of crashes.
func (g *Gateway) tellCrashes() []*fgwire.RequestCrash {
	var all []*fgwire.RequestCrash
	for _, c := range g.crashes.Report() {
		all = append(all, &fgwire.RequestCrash{Request: c.Request, Upstreams: c.Upstreams, Cleared: c.Cleared})
	}
	return all
}

// hearCrashes takes in what another gateway tells of crashes.
func (g *Gateway) hearCrashes(told []*fgwire.RequestCrash) {
	if len(told) == 0 {
		return
	}
	all := make([]fgsuspect.Crash, len(told))
	for i, c := range told {
		all[i] = fgsuspect.Crash{Request: c.GetRequest(), Upstreams: c.GetUpstreams(), Cleared: c.GetCleared()}
	}
	g.crashes.ApplyReport(all)
}
