package fgplacement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
)

const (
	// reportLifetime is how long a peer's reported free capacity is used.
	reportLifetime = 5 * time.Second
	// maxSampledPeers bounds the peers compared for one request, so that the
	// cost of a placement does not grow with the fleet.
	maxSampledPeers = 8
	// capBackoff is the time between probes of a cap that has refused a
	// request.
	capBackoff = 10 * time.Millisecond
	// shortageGain is the weight of a new report in the moving average of a
	// VM's shortage. At two reports per second the average covers about 10 s,
	// so that look-up responses change little during their lifetime.
	shortageGain = 0.05
)

// Load is a VM's free capacity and number of queued requests for one upstream
// group.
type Load struct {
	Group  string
	Free   int64
	Queued int64
}

// Report is the state of a VM as it reports it to its peers.
type Report struct {
	VM          string
	Incarnation string
	Loads       []Load
	// Leaving names upstreams that the VM itself found to be leaving.
	Leaving []string
}

// peer is the state of one VM according to its reports.
type peer struct {
	member   atomic.Pointer[fgmember.Member]
	loads    map[string]*peerLoad
	shortage float64
}

// peerLoad is a peer's free capacity for one upstream group.
type peerLoad struct {
	owner *peer
	group *group
	// regionLink is nil for a peer in this VM's region.
	regionLink *regionLink
	// free is the reported capacity minus the requests sent since the report.
	free atomic.Int64
	// generation counts the reports.
	generation atomic.Int64
	reportedAt atomic.Int64
}

func (l *peerLoad) update(free int64, now instant) {
	l.free.Store(free)
	l.generation.Add(1)
	l.reportedAt.Store(int64(now))
}

// takeFree reduces the free capacity by one request, if there is any.
func (l *peerLoad) takeFree() bool {
	for {
		n := l.free.Load()
		if n <= 0 {
			return false
		}
		if l.free.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

func (l *peerLoad) returnFree() { l.free.Add(1) }

// recordResult updates the free capacity after a request. A refusal or a
// failure means that the report is outdated, so nothing is sent until the
// next report.
func (l *peerLoad) recordResult(r Result, generation, taken int64) {
	switch r {
	case Answered, Failed, Cancelled:
		l.free.Add(taken)
	case Shed, Draining, Unreached, OutcomeUnknown:
		if l.generation.Load() == generation {
			l.free.Store(0)
		}
	default:
	}
}

// regionLink is the state of the traffic cap from this VM's region to another
// one. After the cap has refused a request, only one request at a time probes
// it.
type regionLink struct {
	to string
	// backingOff mirrors refusing for readers that do not hold the lock.
	backingOff atomic.Bool

	mu       sync.Mutex
	refusing bool
	probing  bool
	retryAt  instant
}

// allow reports whether a request may use the link now. While the cap
// refuses, it allows one probe after each backoff.
func (l *regionLink) allow(now instant) bool {
	if !l.backingOff.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refusing {
		return true
	}
	if l.probing || now < l.retryAt {
		return false
	}
	l.probing = true
	return true
}

// blocked reports whether allow would return false.
func (l *regionLink) blocked(now instant) bool {
	if !l.backingOff.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusing && (l.probing || now < l.retryAt)
}

// cancelProbe ends a probe that did not reach the cap.
func (l *regionLink) cancelProbe() {
	if !l.backingOff.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
}

// recordAdmitted ends a probe that the cap admitted. While requests are
// queued, they still probe one at a time, so that they keep their order if the
// cap refuses again.
func (l *regionLink) recordAdmitted(waiting bool) {
	if !l.backingOff.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusing, l.probing = waiting, false
	l.backingOff.Store(waiting)
}

// recordRefused starts a backoff. It returns false if one is already in
// effect.
func (l *regionLink) recordRefused(now instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	starts := now >= l.retryAt
	l.refusing, l.probing = true, false
	l.backingOff.Store(true)
	if starts {
		l.retryAt = now.add(capBackoff)
	}
	return starts
}

// choosePeer picks a random peer, weighted by free capacity, and takes
// capacity for one request. Peers without a report within
// fgmember.AliveTimeout are used only if no other peer has free capacity.
func (p *Placer) choosePeer(list []*peerLoad, r *Request, now instant) *peerLoad {
	n := len(list)
	if n == 0 {
		return nil
	}
	var weights [maxSampledPeers]int64
	var alive, silent int64
	start := p.options.Random(n)
	count := min(n, maxSampledPeers)
	for i := range count {
		w := list[(start+i)%n].weight(r, now)
		weights[i] = w
		if w > 0 {
			alive += w
		} else {
			silent -= w
		}
	}
	sign, total := int64(1), alive
	if alive == 0 {
		sign, total = -1, silent
	}
	if total == 0 {
		return nil
	}
	point := int64(p.options.Random(int(total)))
	for i := range count {
		w := sign * weights[i]
		if w <= 0 {
			continue
		}
		if point >= w {
			point -= w
			continue
		}
		return list[(start+i)%n].acquire(now)
	}
	return nil
}

// anyPeer returns a random peer that reported recently, whatever its
// capacity.
func (p *Placer) anyPeer(list []*peerLoad, r *Request, now instant) *peerLoad {
	if len(list) == 0 {
		return nil
	}
	start := p.options.Random(len(list))
	for i := range min(len(list), maxSampledPeers) {
		l := list[(start+i)%len(list)]
		age := time.Duration(int64(now) - l.reportedAt.Load())
		if age <= fgmember.AliveTimeout && !r.Exclude[l.owner.member.Load().VM] {
			return l
		}
	}
	return nil
}

// acquire takes capacity for one request from the peer, if the link to its
// region allows the request. It returns nil if it took none.
func (l *peerLoad) acquire(now instant) *peerLoad {
	if l.regionLink != nil && !l.regionLink.allow(now) {
		return nil
	}
	if l.takeFree() {
		return l
	}
	if l.regionLink != nil {
		l.regionLink.cancelProbe()
	}
	return nil
}

// weight returns the free capacity, as a negative number for a peer without a
// report within fgmember.AliveTimeout.
func (l *peerLoad) weight(r *Request, now instant) int64 {
	free := l.free.Load()
	age := time.Duration(int64(now) - l.reportedAt.Load())
	if free <= 0 || age > reportLifetime {
		return 0
	}
	if l.regionLink != nil && l.regionLink.blocked(now) {
		return 0
	}
	if len(r.Exclude) > 0 && r.Exclude[l.owner.member.Load().VM] {
		return 0
	}
	if age > fgmember.AliveTimeout {
		return -free
	}
	return free
}

// ApplyReport applies a VM's report.
func (p *Placer) ApplyReport(r Report) {
	now := p.now()
	p.mu.Lock()
	v := p.view.Load()
	p.applyLeaving(r, now)
	var toWake []*group
	reporter := p.peers[r.VM]
	if reporter != nil && reporter.member.Load().Incarnation == r.Incarnation {
		reporter.updateShortage(r.Loads)
		if r.VM != p.options.VM {
			toWake = p.applyLoads(v, reporter, r.Loads, now)
		}
	}
	p.mu.Unlock()
	for _, g := range toWake {
		p.wakeGroup(g)
	}
}

func (p *Placer) applyLeaving(r Report, now instant) {
	if r.VM == p.options.VM {
		return
	}
	for _, name := range r.Leaving {
		if u := p.upstreams[name]; u != nil {
			u.applyLeavingReport(now)
		}
	}
}

// applyLoads stores a peer's loads. Groups that the report does not contain
// have no free capacity. It returns the groups whose queues to wake.
func (p *Placer) applyLoads(v *view, reporter *peer, loads []Load, now instant) []*group {
	var toWake []*group
	for _, l := range reporter.loads {
		l.free.Store(0)
	}
	for _, in := range loads {
		g := p.groups[in.Group]
		if g == nil {
			continue
		}
		l := reporter.loads[in.Group]
		if l == nil {
			l = &peerLoad{owner: reporter, group: g, regionLink: p.linkTo(reporter.member.Load().Region)}
			reporter.loads[in.Group] = l
			g.addPeer(l, v)
		}
		l.update(max(0, in.Free), now)
		if in.Free > 0 {
			toWake = append(toWake, g)
		}
	}
	return toWake
}

func (p *peer) updateShortage(loads []Load) {
	sample := 0.0
	for _, l := range loads {
		if l.Queued > 0 && l.Free <= 0 {
			sample = 1
		}
	}
	p.shortage += shortageGain * (sample - p.shortage)
}

// linkTo returns the link to a region, or nil for this VM's own region.
func (p *Placer) linkTo(region string) *regionLink {
	if region == p.options.Region {
		return nil
	}
	l := p.links[region]
	if l == nil {
		l = &regionLink{to: region}
		p.links[region] = l
	}
	return l
}
