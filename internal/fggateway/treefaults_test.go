package fggateway

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgrelay"
)

// maxStateDelay is the time within which a state reaches every gateway. Rates depend on it.
const maxStateDelay = 700 * time.Millisecond

// inZone returns the gateways of a zone that fulfil a condition, in the order of members.
func (f *trafficFleet) inZone(zone string, accept func(i int) bool) []int {
	var all []int
	for i, m := range f.members {
		if m.AvailabilityZone == zone && accept(i) {
			all = append(all, i)
		}
	}
	return all
}

func (f *trafficFleet) isRoot(i int) bool { return f.layouts[i].IsRoot() }

// isParent reports whether a gateway has children and is no root.
func (f *trafficFleet) isParent(i int) bool {
	for tree := range 8 {
		if len(f.layouts[i].Children(tree)) > 0 {
			return !f.isRoot(i)
		}
	}
	return false
}

// Guards against states that do not reach a part of the fleet, or reach it late, because
// gateways that pass them on are dead, frozen, cut off or of the previous version.
func TestStatesArriveAlthoughGatewaysFail(t *testing.T) {
	const zone = "r1-0"
	set := func(set map[int]bool, all []int) {
		for _, i := range all {
			set[i] = true
		}
	}
	tests := []struct {
		name string
		vms  int
		// fault happens after a second. check begins check after it, and with notice after
		// the others have noticed which gateways are dead.
		fault  func(f *trafficFleet)
		check  time.Duration
		notice bool
		// missing bounds the part of arrivals that may be late.
		missing float64
	}{
		{name: "no fault, 28", vms: 28},
		{name: "no fault, 118", vms: 118},
		{name: "a root killed, 28", vms: 28, fault: func(f *trafficFleet) { set(f.dead, f.inZone(zone, f.isRoot)[:1]) }},
		{name: "a root killed, 118", vms: 118, fault: func(f *trafficFleet) { set(f.dead, f.inZone(zone, f.isRoot)[:1]) }},
		{name: "a root killed, 300", vms: 300, fault: func(f *trafficFleet) { set(f.dead, f.inZone(zone, f.isRoot)[:1]) }},
		{name: "a root of one zone of each region killed", vms: 118, fault: func(f *trafficFleet) {
			for _, region := range []string{"r0", "r1", "r2"} {
				set(f.dead, f.inZone(region+"-1", f.isRoot)[:1])
			}
		}},
		// If the roots for an origin are dead in both zones of a region, its states reach the
		// region only once that is noticed.
		{name: "a root of each zone killed", vms: 118, missing: 0.12, fault: func(f *trafficFleet) {
			for i := range 6 {
				set(f.dead, f.inZone(f.members[i].AvailabilityZone, f.isRoot)[:1])
			}
		}},
		{name: "a parent killed", vms: 118, fault: func(f *trafficFleet) { set(f.dead, f.inZone(zone, f.isParent)[:1]) }},
		{name: "a parent killed, 300", vms: 300, fault: func(f *trafficFleet) { set(f.dead, f.inZone(zone, f.isParent)[:1]) }},
		{name: "a root frozen", vms: 118, fault: func(f *trafficFleet) { set(f.frozen, f.inZone(zone, f.isRoot)[:1]) }},
		{name: "a root that cannot send", vms: 118, fault: func(f *trafficFleet) { set(f.mute, f.inZone(zone, f.isRoot)[:1]) }},
		{name: "a root that cannot receive", vms: 118, fault: func(f *trafficFleet) { set(f.deaf, f.inZone(zone, f.isRoot)[:1]) }},
		{name: "a parent that cannot send", vms: 118, fault: func(f *trafficFleet) { set(f.mute, f.inZone(zone, f.isParent)[:1]) }},
		{name: "a zone killed", vms: 118, fault: func(f *trafficFleet) { set(f.dead, f.inZone(zone, func(int) bool { return true })) }},
		{name: "half of a zone killed", vms: 118, fault: func(f *trafficFleet) { set(f.dead, f.inZone(zone, func(i int) bool { return i/6%2 == 0 })) }},
		{name: "all roots of a zone killed, and noticed", vms: 118, check: 600 * time.Millisecond, notice: true, fault: func(f *trafficFleet) {
			set(f.dead, f.inZone(zone, f.isRoot))
		}},
		{name: "one in five of the previous version", vms: 118, check: time.Second, fault: func(f *trafficFleet) {
			set(f.old, f.some(func(i int) bool { return i/6%5 == 2 }))
		}},
		{name: "a zone of the previous version", vms: 118, check: time.Second, fault: func(f *trafficFleet) {
			set(f.old, f.inZone(zone, func(int) bool { return true }))
		}},
		{name: "all but one of each zone of the previous version", vms: 118, check: time.Second, fault: func(f *trafficFleet) {
			set(f.old, f.some(func(i int) bool { return i >= 6 }))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTrafficFleet(tt.vms, 3)
				f.used = 3
				f.run(time.Second)
				if tt.fault != nil {
					tt.fault(f)
				}
				if tt.notice {
					f.run(3 * time.Second)
					f.noticed = f.dead
				}
				f.run(tt.check)
				f.arrivals = map[fgrelay.ID]map[int]time.Duration{}
				from := time.Now()
				f.run(1200 * time.Millisecond)
				until := time.Now()
				f.run(maxStateDelay + 10*time.Millisecond)
				f.checkArrivals(t, from, until, tt.missing)
			})
		})
	}
}

func (f *trafficFleet) some(accept func(i int) bool) []int {
	var all []int
	for i := range f.members {
		if accept(i) {
			all = append(all, i)
		}
	}
	return all
}

// checkArrivals checks the states that were sent within a time. missing is the part of
// arrivals that may be late.
func (f *trafficFleet) checkArrivals(t *testing.T, from, until time.Time, missing float64) {
	t.Helper()
	var delays []time.Duration
	want, late := 0, 0
	lateOf := map[string]int{}
	for id, sent := range f.sent {
		origin := f.index[id.VM]
		if sent.Before(from) || sent.After(until) || f.mute[origin] {
			continue
		}
		for to := range f.members {
			if to == origin || f.dead[to] || f.frozen[to] || f.deaf[to] {
				continue
			}
			want++
			d, ok := f.arrivals[id][to]
			if !ok || d > maxStateDelay {
				late++
				lateOf[f.members[origin].AvailabilityZone+" to "+f.members[to].AvailabilityZone]++
				continue
			}
			delays = append(delays, d)
		}
	}
	slices.Sort(delays)
	if len(delays) == 0 {
		t.Fatal("no state arrived")
	}
	t.Logf("%d of %d arrivals late; of the others, median %s, latest %s", late, want, delays[len(delays)/2], delays[len(delays)-1])
	if float64(late) > missing*float64(want) {
		t.Errorf("%d of %d arrivals are later than %s: %v", late, want, maxStateDelay, lateOf)
	}
}
