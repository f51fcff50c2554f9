package fggateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against gateways that send or receive many times what others do, states that
// travel from zone to zone once for each receiver, and states that arrive late.
func TestTrafficOfEachRole(t *testing.T) {
	tests := []struct {
		vms, used int
		// most bounds the kB/s of the busiest gateway.
		most int
	}{
		{7, 15, 50},
		{28, 15, 100},
		{118, 15, 250},
		// 1,600 requests per second, as at 28 gateways: 3 requests of each in an interval.
		{300, 3, 250},
		// Each gateway receives all states once and passes on as much on average: 500
		// states of some 300 bytes per second are 150 kB/s each way, in any layout.
		{300, 15, 480},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d gateways, %d workspaces", tt.vms, tt.used), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkTraffic(t, tt.vms, tt.used, tt.most) })
		})
	}
}

func checkTraffic(t *testing.T, vms, used, most int) {
	const seconds = 3
	f := newTrafficFleet(vms, 3)
	f.used = used
	f.run(seconds * time.Second)
	var totals []int
	busiestOf := map[string]*traffic{}
	count := map[string]int{}
	for _, g := range f.traffic {
		totals = append(totals, g.total())
		count[g.role]++
		if r := busiestOf[g.role]; r == nil || g.total() > r.total() {
			busiestOf[g.role] = g
		}
	}
	slices.Sort(totals)
	median, busiest := totals[len(totals)/2], totals[len(totals)-1]
	var table strings.Builder
	for _, role := range slices.Sorted(maps.Keys(busiestOf)) {
		r := busiestOf[role]
		fmt.Fprintf(&table, "\n%-8s %3d gateways, the busiest: %4d kB/s received, sent to zone %4d, region %3d, remote %3d, %4d datagrams/s", role, count[role],
			r.received/seconds/1000, r.sent[reachZone]/seconds/1000, r.sent[reachRegion]/seconds/1000, r.sent[reachRemote]/seconds/1000, r.datagrams/seconds)
	}
	perState := float64(f.crossings) / float64(f.states)
	latest := slices.Max(f.delays)
	t.Logf("%d bytes a state, median %d kB/s, busiest %d kB/s, each state crosses zones %.2f times and reaches %.3f of the others, latest after %s%s",
		f.bytes/f.states, median/seconds/1000, busiest/seconds/1000, perState, float64(len(f.delays))/float64(f.states*(vms-1)), latest, table.String())
	if busiest > 4*median {
		t.Errorf("the busiest gateway has %d bytes, the median one %d", busiest, median)
	}
	if busiest > most*1000*seconds {
		t.Errorf("the busiest gateway has %d kB/s, want at most %d", busiest/seconds/1000, most)
	}
	if vms > 20 && perState > 5.05 {
		t.Errorf("each state crosses zones %.2f times, want 5", perState)
	}
	if latest > 200*time.Millisecond {
		t.Errorf("a state arrived after %s", latest)
	}
}
