package fggateway

import (
	"context"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fggossip"
)

const (
	// rttSamples is the number of measurements of the round-trip time (RTT) to each
	// region. The shortest one is used, as the others include delays.
	rttSamples = 3
	// rttSampleInterval is the time between two measurements.
	rttSampleInterval = 400 * time.Millisecond
	// The connect timeout for upstreams is connectTimeoutBase plus twice the mean RTT
	// to other regions.
	connectTimeoutBase = 100 * time.Millisecond
)

// regionRTTs holds the measured round-trip times to other regions.
type regionRTTs struct {
	minRTT  map[string]time.Duration
	samples map[string]int
}

// measureRTTs measures the round-trip times to other regions as gateways there are
// registered, until the context ends.
func (g *Gateway) measureRTTs(ctx context.Context) error {
	rtts := regionRTTs{minRTT: map[string]time.Duration{}, samples: map[string]int{}}
	ticker := time.NewTicker(rttSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		m, ok := rtts.nextMember(g.mirror.View(), g.settings.Self.Region)
		if !ok {
			continue
		}
		rtt, err := fggossip.MeasureRTT(ctx, m.PeerAddress)
		if err != nil {
			g.logger.V(1).Info("round-trip time to a region not measured", "region", m.Region, "vm", m.VM, "error", err.Error())
			continue
		}
		meanRTT := rtts.add(m.Region, rtt)
		g.balancer.SetRegionRTT(meanRTT)
		g.pool.SetConnectTimeout(connectTimeoutBase + 2*meanRTT)
		if rtts.samples[m.Region] == rttSamples {
			g.logger.Info("round-trip time to a region measured", "region", m.Region, "ms", rtts.minRTT[m.Region].Milliseconds(), "meanMs", meanRTT.Milliseconds())
		}
	}
}

// nextMember returns a gateway of a region with fewer than rttSamples measurements.
func (r *regionRTTs) nextMember(v *fgsteer.View, ownRegion string) (fgsteer.MemberSpec, bool) {
	if v == nil {
		return fgsteer.MemberSpec{}, false
	}
	for _, m := range v.Members() {
		if m.Region != ownRegion && r.samples[m.Region] < rttSamples {
			return m, true
		}
	}
	return fgsteer.MemberSpec{}, false
}

// add records a measurement and returns the mean of all regions' shortest RTTs.
func (r *regionRTTs) add(region string, rtt time.Duration) time.Duration {
	r.samples[region]++
	if old, ok := r.minRTT[region]; !ok || rtt < old {
		r.minRTT[region] = rtt
	}
	var sum time.Duration
	for _, shortest := range r.minRTT {
		sum += shortest
	}
	return sum / time.Duration(len(r.minRTT))
}
