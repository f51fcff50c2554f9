package fgaffinity

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minLimitWindow is the shortest window in which requests to an upstream that names
	// a limit are counted. The window is extended to a whole number of requests.
	minLimitWindow = 4 * time.Second
	// maxLimitWindow is the longest window. A lower limit is treated as zero.
	maxLimitWindow = time.Minute
	// limitBurst is how many times faster than its quota a VM may send for a moment.
	limitBurst = 2
	// localLimitWeight is the weight of VMs in the upstream's region when its limit is
	// divided: most requests to an upstream come from its own region.
	localLimitWeight = 4
	// limitReportTime is how long after a response that named a limit a VM reports it.
	limitReportTime = 5 * time.Second
	// limitProbeDelay is the time without a word of a limit after which a VM without
	// quota sends a request, whose response shows whether the limit still holds. It is
	// longer than limitReportTime, so that usually no such request is needed.
	limitProbeDelay = limitReportTime + time.Second
	// maxLimitReports bounds the size of a report.
	maxLimitReports = 24
)

// LimitReport is a limit that a VM has heard from an upstream.
type LimitReport struct {
	// Upstream is the hash of the upstream's instance.
	Upstream uint64
	// Rate is the limit in requests per second for all VMs together.
	Rate float64
	// Age is the time since the response that named it.
	Age time.Duration
}

// namedLimit is the limit that an upstream has named, and this VM's quota of it. No VM
// knows what others send, so the requests of a window are divided between the VMs.
type namedLimit struct {
	// set means that the upstream names a limit.
	set atomic.Bool
	// responded is when this VM last got a response, in nanoseconds after the balancer's
	// epoch.
	responded atomic.Int64

	mu   sync.Mutex
	rate float64
	// named is when a response to this VM last named the limit, and heard when this VM
	// last heard it in a response or a report.
	named, heard time.Time
	// sends are the times of requests within the window.
	sends []time.Time
	// quota is the number of requests that this VM may send in a window. It was computed
	// for the members of a state and for a rate.
	quota      int
	quotaState *state
	quotaRate  float64
}

// RecordLimit records whether a response of an upstream named a limit, and its rate in
// requests per second for all VMs together. It reports whether the upstream has begun or
// ceased to name one.
func (b *Balancer) RecordLimit(u *Upstream, rate float64, named bool) (changed bool) {
	l, now := &u.limit, time.Now()
	l.responded.Store(int64(now.Sub(b.epoch)))
	if !named && !l.set.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !named {
		l.sends = nil
		return l.set.Swap(false)
	}
	l.rate, l.named, l.heard = rate, now, now
	return !l.set.Swap(true)
}

// LimitReports returns limits that this VM has lately heard from their upstreams. If
// there are too many for one report, each call returns others, as maps have no order.
func (b *Balancer) LimitReports() []LimitReport {
	var reports []LimitReport
	now := time.Now()
	for instance, u := range b.state.Load().instances {
		l := &u.limit
		if !l.set.Load() {
			continue
		}
		l.mu.Lock()
		if age := now.Sub(l.named); age < limitReportTime {
			reports = append(reports, LimitReport{Upstream: instance, Rate: l.rate, Age: age})
		}
		l.mu.Unlock()
		if len(reports) == maxLimitReports {
			break
		}
	}
	return reports
}

// ApplyLimitReports applies the reports of another VM and returns the upstreams that were
// not known to name a limit. A response that this VM got later takes precedence.
func (b *Balancer) ApplyLimitReports(reports []LimitReport) []*Upstream {
	var limited []*Upstream
	now, s := time.Now(), b.state.Load()
	for _, r := range reports {
		u := s.instances[r.Upstream]
		if u == nil {
			continue
		}
		l, at := &u.limit, now.Add(-r.Age)
		if int64(at.Sub(b.epoch)) <= l.responded.Load() {
			continue
		}
		l.mu.Lock()
		if at.After(l.heard) {
			l.rate, l.heard = r.Rate, at
			if !l.set.Swap(true) {
				limited = append(limited, u)
			}
		}
		l.mu.Unlock()
	}
	return limited
}

// LimitedUpstreams returns the number of upstreams that name a limit.
func (b *Balancer) LimitedUpstreams() int {
	n := 0
	for _, u := range b.state.Load().instances {
		if u.limit.set.Load() {
			n++
		}
	}
	return n
}

// withinLimit reports whether this VM may send a request to an upstream that names a
// limit.
func (b *Balancer) withinLimit(s *state, u *Upstream, now time.Time) bool {
	u.limit.mu.Lock()
	defer u.limit.mu.Unlock()
	return b.hasQuota(s, u, now)
}

// reserveLimitedSend counts a request to an upstream that names a limit, unless this VM
// may not send one.
func (b *Balancer) reserveLimitedSend(s *state, u *Upstream, now time.Time) bool {
	l := &u.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if !b.hasQuota(s, u, now) {
		return false
	}
	l.sends = append(l.sends, now)
	return true
}

// hasQuota reports whether the quota allows another request. u.limit.mu is held.
func (b *Balancer) hasQuota(s *state, u *Upstream, now time.Time) bool {
	l := &u.limit
	window, total := limitWindow(l.rate)
	for len(l.sends) > 0 && now.Sub(l.sends[0]) >= window {
		l.sends = l.sends[1:]
	}
	sinceLast := window
	if n := len(l.sends); n > 0 {
		sinceLast = now.Sub(l.sends[n-1])
	}
	if l.quotaState != s || l.quotaRate != l.rate {
		l.quota, l.quotaState, l.quotaRate = b.limitQuota(s, u, total), s, l.rate
	}
	if l.quota == 0 {
		return now.Sub(l.heard) >= limitProbeDelay && len(l.sends) == 0
	}
	return len(l.sends) < l.quota && sinceLast >= window/time.Duration(limitBurst*l.quota)
}

// limitWindow returns the window in which requests are counted for a rate, and how many
// all VMs may send in it.
func limitWindow(rate float64) (window time.Duration, total int) {
	requests := math.Ceil(rate * minLimitWindow.Seconds())
	if seconds := requests / rate; requests > 0 && seconds <= maxLimitWindow.Seconds() {
		return time.Duration(seconds * float64(time.Second)), int(min(requests, math.MaxInt32))
	}
	return minLimitWindow, 0
}

// limitQuota returns this VM's part of the requests to an upstream. VMs in its region get
// localLimitWeight times as many as others, and what cannot be divided goes to single VMs,
// those in its region first. VMs with the same members divide the requests equally.
func (b *Balancer) limitQuota(s *state, u *Upstream, total int) int {
	region := u.Spec().Region
	isLocal, ownHash := b.options.Region == region, u.vmHash(b.options.VM)
	local, remote, before := 0, 0, 0
	for _, m := range s.members {
		memberIsLocal := m.region == region
		if memberIsLocal {
			local++
		} else {
			remote++
		}
		if m.vm != b.options.VM && (memberIsLocal && !isLocal || memberIsLocal == isLocal && u.vmHash(m.vm) < ownHash) {
			before++
		}
	}
	weights := max(1, localLimitWeight*local+remote)
	localQuota, quota := total*localLimitWeight/weights, total/weights
	rest := total - local*localQuota - remote*quota
	if isLocal {
		quota = localQuota
	}
	// The rest may exceed the number of VMs, as both quotas are rounded down.
	vms := max(1, local+remote)
	quota += rest / vms
	if before < rest%vms {
		quota++
	}
	return quota
}
