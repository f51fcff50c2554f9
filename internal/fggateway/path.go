package fggateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/filbertgap/filbertgap/internal/coordination/fgpath"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

const (
	// pathInterval is how often the path to the upstreams is checked. While it is not
	// open, connections to pathProbes upstreams are attempted each time.
	pathInterval = 500 * time.Millisecond
	pathProbes   = 2
)

// observeConnection records what an attempt to connect to an upstream shows.
func (g *Gateway) observeConnection(t fgpool.Target, err error) {
	if err != nil {
		g.path.RecordFailed(t.ID)
		return
	}
	if g.path.Status() == fgpath.Lost {
		// What failed until now says nothing about the upstreams.
		g.balancer.ForgetFailures()
	}
	g.path.RecordConnected()
}

// watchPath logs changes of the path to the upstreams, and probes it while it is not open,
// until the context ends.
func (g *Gateway) watchPath(ctx context.Context) error {
	ticker := time.NewTicker(pathInterval)
	defer ticker.Stop()
	last, since := fgpath.Open, time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		status := g.path.Status()
		if status != last {
			g.logger.Info("path to the upstreams changed", "from", last.String(), "to", status.String(), "afterMs", time.Since(since).Milliseconds())
			last, since = status, time.Now()
		}
		if status != fgpath.Open {
			g.probePath(ctx)
		}
	}
}

// probePath attempts to connect to some upstreams.
func (g *Gateway) probePath(ctx context.Context) {
	v := g.mirror.View()
	if v == nil {
		return
	}
	var all []*fgsteer.Upstream
	for _, group := range v.Groups() {
		all = append(all, group...)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var probes conc.WaitGroup
	for _, u := range all[:min(len(all), pathProbes)] {
		probes.Go(func() { g.pool.Probe(ctx, upstreamTarget(u.Spec())) })
	}
	probes.Wait()
}

// countUpstreams returns the number of upstreams of a view.
func countUpstreams(v *fgsteer.View) int {
	n := 0
	for _, group := range v.Groups() {
		n += len(group)
	}
	return n
}
