package fgaffinity

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxLoadReports bounds the size of a state: a report takes up to 18 bytes of it, and
	// the datagram should stay below the usual MTU.
	maxLoadReports = 40
	// maxLoadReportAge is the age from which a load is not reported to other VMs. Its
	// weight in their estimates would be small.
	maxLoadReportAge = time.Second
	// knownTime is how long a reported load counts as known. The load has then decayed to
	// a quarter.
	knownTime = 2 * loadHalfLife
	// recentSends is the number of sends to an upstream whose times are kept. More sends
	// within the age of a report are rare, since an upstream refuses what it cannot queue.
	recentSends = 8
	// slowdownHalfLife is the time in which half of what an upstream has told about its
	// machine is lost: other programs change their load several times a second.
	slowdownHalfLife = 300 * time.Millisecond
	// slowdownWindow is the time constant of an upstream's average slowdown.
	slowdownWindow = 4 * time.Second
	// slowdownToldTime is how long after a report with a slowdown the upstreams of a group
	// are chosen by expected time.
	slowdownToldTime = time.Minute
)

// Report is what an upstream's response tells about the upstream.
type Report struct {
	// Load is the number of running and waiting requests. If the upstream ran the
	// request, it is included.
	Load int
	// Slowdown is how many times as long as usual work takes on the upstream's machine.
	// Zero means that it is not known.
	Slowdown float64
	// Refused means that the upstream did not run the request, Failed that it refused the
	// request or failed to run it.
	Refused, Failed bool
}

// LoadReport is what a VM has heard of an upstream's load.
type LoadReport struct {
	// Upstream is the lower half of the hash of the upstream's instance.
	Upstream uint32
	// Load is the number of requests that the upstream had after its response.
	Load int
	// Slowdown is as in Report.
	Slowdown float64
	// Age is the time since the response.
	Age time.Duration
	// Failed means that the upstream failed or refused the request with a free slot.
	Failed bool
}

// ownReport is the latest report to this VM, which it passes on to other VMs.
type ownReport struct {
	load     int
	slowdown float64
	at       int64
	failed   bool
	pending  bool
}

// toldSlowdown is what an upstream has told about the speed of its machine. The zero
// value means nothing.
type toldSlowdown struct {
	latestBits, averageBits atomic.Uint64
	told                    atomic.Int64
}

// record records a slowdown that was told at a time. groupMean is the average of the
// group, with which a new upstream's average starts.
func (t *toldSlowdown) record(slowdown, groupMean float64, at int64) {
	told := t.told.Load()
	average := groupMean
	if told != 0 {
		average = math.Float64frombits(t.averageBits.Load())
	}
	// A single report stands for no more than the time in which it loses half its value.
	elapsed := min(float64(at-told), float64(slowdownHalfLife))
	average += (1 - math.Exp(-elapsed/float64(slowdownWindow))) * (slowdown - average)
	t.averageBits.Store(math.Float64bits(average))
	t.latestBits.Store(math.Float64bits(slowdown))
	t.told.Store(at)
}

// at returns the slowdown expected at a time: the latest one at first, later the average.
func (t *toldSlowdown) at(now int64) float64 {
	told := t.told.Load()
	if told == 0 {
		return 1
	}
	average, latest := math.Float64frombits(t.averageBits.Load()), math.Float64frombits(t.latestBits.Load())
	return average + (latest-average)*math.Exp2(-float64(max(0, now-told))/float64(slowdownHalfLife))
}

// recordSend records the time of a send to the upstream.
func (u *Upstream) recordSend(now int64) {
	u.sends[u.sendCount.Add(1)%recentSends].Store(now)
}

// sendsSince returns the number of recent sends after a time.
func (u *Upstream) sendsSince(at int64) int64 {
	n := int64(0)
	for i := range u.sends {
		if u.sends[i].Load() > at {
			n++
		}
	}
	return n
}

// RecordLoad records the number of requests that an upstream has reported to have.
func (b *Balancer) RecordLoad(u *Upstream, total int) { b.RecordReport(u, Report{Load: total}) }

// RecordReport records what a response to this VM tells about an upstream. Only such
// reports count towards the load of its region: a missing response may have been lost
// and does not show that the upstream is overloaded.
func (b *Balancer) RecordReport(u *Upstream, r Report) {
	now := int64(time.Since(b.epoch))
	slots := u.Spec().Slots
	own := u.inFlight.Load()
	after := max(0, r.Load-1)
	g := b.state.Load().groups[u.Spec().Group]
	if g == nil {
		return
	}
	g.recordSlowdown(u, r.Slowdown, now)
	timed := b.isTimed(g, now)
	if timed && r.Refused {
		// The load does not include the request, which is still counted as in flight.
		own, after = own-1, r.Load
	}
	u.otherLoad.Store(max(0, int64(r.Load)-own))
	u.loadObserved.Store(now)
	u.reported.Store(now)
	u.reportedLoad.Store(int64(r.Load))
	if !timed {
		g.regionWeights.add(u.region.Load(), float64(r.Load)/float64(slots), now)
	}
	if timed {
		g.regionWeights.addUpstreams(g.upstreams, now)
		u.mu.Lock()
		u.own = ownReport{load: after, slowdown: r.Slowdown, at: now, failed: r.Failed && after < slots, pending: true}
		u.mu.Unlock()
	}
}

// LoadReports returns the loads that upstreams have reported to this VM since the last
// call, newest first, and as many as fit into a state.
func (b *Balancer) LoadReports() []LoadReport {
	var reports []LoadReport
	now := int64(time.Since(b.epoch))
	for instance, u := range b.state.Load().instances {
		u.mu.Lock()
		if age := time.Duration(now - u.own.at); u.own.pending && age < maxLoadReportAge {
			reports = append(reports, LoadReport{Upstream: uint32(instance), Load: u.own.load, Slowdown: u.own.slowdown, Age: age, Failed: u.own.failed})
		}
		u.own.pending = false
		u.mu.Unlock()
	}
	slices.SortFunc(reports, func(a, b LoadReport) int { return cmp.Compare(a.Age, b.Age) })
	return reports[:min(len(reports), maxLoadReports)]
}

// ApplyLoadReports applies the reports of another VM and returns how many were newer than
// what this VM knew.
func (b *Balancer) ApplyLoadReports(reports []LoadReport) int {
	applied := 0
	now, s := int64(time.Since(b.epoch)), b.state.Load()
	for _, r := range reports {
		u := s.reporters[r.Upstream]
		if u == nil {
			continue
		}
		g := s.groups[u.Spec().Group]
		at := now - int64(r.Age)
		if g == nil || at <= u.loadObserved.Load() {
			continue
		}
		applied++
		// What this VM had sent before the report is included in it.
		ownThen := max(0, u.inFlight.Load()-u.sendsSince(at))
		u.otherLoad.Store(max(0, int64(r.Load)-ownThen))
		u.loadObserved.Store(at)
		u.reported.Store(at)
		g.recordSlowdown(u, r.Slowdown, at)
		u.reportedLoad.Store(int64(r.Load))
		u.mu.Lock()
		u.failing.record(r.Failed, now)
		u.mu.Unlock()
		g.regionWeights.addUpstreams(g.upstreams, now)
	}
	return applied
}

// recordSlowdown records the slowdown that an upstream of the group has told.
func (g *group) recordSlowdown(u *Upstream, slowdown float64, at int64) {
	if slowdown <= 0 {
		return
	}
	g.slowdownTold.Store(at)
	mean := g.meanSlowdown.add(slowdown)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowdown.record(slowdown, mean, at)
}

// isTimed reports whether the upstreams of a group are chosen by expected time.
func (b *Balancer) isTimed(g *group, now int64) bool {
	return b.loadAware.Load() || g.tellsSlowdown(now)
}

// tellsSlowdown reports whether upstreams of the group have lately told a slowdown. Their
// loads are then shared between VMs, and they are chosen by expected time.
func (g *group) tellsSlowdown(now int64) bool {
	told := g.slowdownTold.Load()
	return told != 0 && now-told < int64(slowdownToldTime)
}
