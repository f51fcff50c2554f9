package fggateway

import (
	"context"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
)

const (
	// distanceSamples are taken of the way to each region; the shortest counts,
	// as the others were held up.
	distanceSamples = 3
	// distanceEvery separates the samples.
	distanceEvery = 400 * time.Millisecond
	// connectBase is added to twice the way to another region for the time that a
	// connection to an upstream may take.
	connectBase = 100 * time.Millisecond
)

// distances is what was measured of the ways to other regions.
type distances struct {
	shortest map[string]time.Duration
	samples  map[string]int
}

// measureDistances measures the ways to other regions as gateways there become
// known, until the context ends.
func (g *Gateway) measureDistances(ctx context.Context) error {
	d := distances{shortest: map[string]time.Duration{}, samples: map[string]int{}}
	ticker := time.NewTicker(distanceEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		m, ok := d.next(g.mirror.View(), g.settings.Self.Region)
		if !ok {
			continue
		}
		took, err := fggossip.MeasureRTT(ctx, m.PeerAddress)
		if err != nil {
			g.logger.V(1).Info("way to a region not measured", "region", m.Region, "vm", m.VM, "error", err.Error())
			continue
		}
		mean := d.add(m.Region, took)
		g.balancer.SetDistance(mean)
		g.pool.SetConnectTimeout(connectBase + 2*mean)
		if d.samples[m.Region] == distanceSamples {
			g.logger.Info("way to a region measured", "region", m.Region, "ms", d.shortest[m.Region].Milliseconds(), "meanMs", mean.Milliseconds())
		}
	}
}

// next returns a gateway of a region that was measured too seldom.
func (d *distances) next(v *fgsteer.View, own string) (fgsteer.MemberSpec, bool) {
	if v == nil {
		return fgsteer.MemberSpec{}, false
	}
	for _, m := range v.Members() {
		if m.Region != own && d.samples[m.Region] < distanceSamples {
			return m, true
		}
	}
	return fgsteer.MemberSpec{}, false
}

// add takes in a sample and returns the mean of the shortest ways.
func (d *distances) add(region string, took time.Duration) time.Duration {
	d.samples[region]++
	if old, ok := d.shortest[region]; !ok || took < old {
		d.shortest[region] = took
	}
	var sum time.Duration
	for _, one := range d.shortest {
		sum += one
	}
	return sum / time.Duration(len(d.shortest))
}
