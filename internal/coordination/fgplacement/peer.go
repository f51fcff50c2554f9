package fgplacement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
)

const (
	// reportLifetime is how long a peer's report of free capacity counts.
	reportLifetime = 5 * time.Second
	// maxSampledPeers bounds the peers compared for one request, so that the
	// cost of a placement does not grow with the fleet.
	maxSampledPeers = 8
	// capRestTime separates attempts at a cap that has just refused.
	capRestTime = 10 * time.Millisecond
	// pressureGain weighs a report in the moving average of a VM's shortage. At
	// two reports per second the average covers about 10 s, so that look-up
	// answers stay alike during their lifetime.
	pressureGain = 0.05
)

// Load is a VM's spare capacity for one upstream group.
type Load struct {
	Group  string
	Free   int64
	Queued int64
}

// Report is what a VM says about its capacity.
type Report struct {
	VM          string
	Incarnation string
	Loads       []Load
	// Leaving names upstreams that the VM found leaving.
	Leaving []string
}

// peer is the state of one VM as its reports describe it.
type peer struct {
	member   atomic.Pointer[fgmember.Member]
	loads    map[string]*peerLoad
	pressure float64
}

// peerLoad is a peer's free capacity for one group.
type peerLoad struct {
	owner *peer
	group *group
	// link is nil for a peer of this VM's region.
	link *link
	// free is the reported capacity, less what was sent since.
	free atomic.Int64
	// generation counts reports.
	generation atomic.Int64
	heardAt    atomic.Int64
}

func (l *peerLoad) hear(free int64, now instant) {
	l.free.Store(free)
	l.generation.Add(1)
	l.heardAt.Store(int64(now))
}

// take reduces the known capacity by one request.
func (l *peerLoad) take() bool {
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

func (l *peerLoad) giveBack() { l.free.Add(1) }

// record learns from the end of a request. A refusal or a failure means that
// the report no longer holds; nothing is sent until the next one.
func (l *peerLoad) record(r Result, generation, taken int64) {
	switch r {
	case Answered, Failed, Cancelled:
		l.free.Add(taken)
	case Shed, Draining, Unreached, Lost:
		if l.generation.Load() == generation {
			l.free.Store(0)
		}
	default:
	}
}

// link is the way to another region with a declared cap. After a refusal by
// the cap, one request at a time tries it.
type link struct {
	to string
	// resting mirrors the state below for readers without the lock.
	resting atomic.Bool

	mu       sync.Mutex
	scarce   bool
	trying   bool
	notUntil instant
}

// enter reports whether a request may try the cap.
func (l *link) enter(now instant) bool {
	if !l.resting.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.scarce {
		return true
	}
	if l.trying || now < l.notUntil {
		return false
	}
	l.trying = true
	return true
}

// blocked reports whether enter would refuse.
func (l *link) blocked(now instant) bool {
	if !l.resting.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scarce && (l.trying || now < l.notUntil)
}

// leave undoes an enter that did not lead to an attempt.
func (l *link) leave() {
	if !l.resting.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trying = false
}

// admitted ends the attempt. While requests wait, the next one of them goes on
// to try alone, so that they keep their order when the cap refuses again.
func (l *link) admitted(waiting bool) {
	if !l.resting.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scarce, l.trying = waiting, false
	l.resting.Store(waiting)
}

// refused begins a rest. It reports false while another rest goes on.
func (l *link) refused(now instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	begins := now >= l.notUntil
	l.scarce, l.trying = true, false
	l.resting.Store(true)
	if begins {
		l.notUntil = now.add(capRestTime)
	}
	return begins
}

// choosePeer takes capacity of a random peer, weighted by free capacity. Peers
// not heard for fgmember.AliveTimeout are used only when no other is free.
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
		return list[(start+i)%n].enter(now)
	}
	return nil
}

// anyPeer returns a random peer that was heard lately, whatever its capacity.
func (p *Placer) anyPeer(list []*peerLoad, r *Request, now instant) *peerLoad {
	if len(list) == 0 {
		return nil
	}
	start := p.options.Random(len(list))
	for i := range min(len(list), maxSampledPeers) {
		l := list[(start+i)%len(list)]
		age := time.Duration(int64(now) - l.heardAt.Load())
		if age <= fgmember.AliveTimeout && !r.Exclude[l.owner.member.Load().VM] {
			return l
		}
	}
	return nil
}

// enter takes capacity of the peer and of the way to it.
func (l *peerLoad) enter(now instant) *peerLoad {
	if l.link != nil && !l.link.enter(now) {
		return nil
	}
	if l.take() {
		return l
	}
	if l.link != nil {
		l.link.leave()
	}
	return nil
}

// weight returns the free capacity, negative for a peer that is silent.
func (l *peerLoad) weight(r *Request, now instant) int64 {
	free := l.free.Load()
	age := time.Duration(int64(now) - l.heardAt.Load())
	if free <= 0 || age > reportLifetime {
		return 0
	}
	if l.link != nil && l.link.blocked(now) {
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

// Hear takes in a VM's report.
func (p *Placer) Hear(r Report) {
	now := p.now()
	p.mu.Lock()
	v := p.view.Load()
	p.hearLeaving(r, now)
	var woken []*group
	o := p.peers[r.VM]
	if o != nil && o.member.Load().Incarnation == r.Incarnation {
		o.hearPressure(r.Loads)
		if r.VM != p.options.VM {
			woken = p.hearLoads(v, o, r.Loads, now)
		}
	}
	p.mu.Unlock()
	for _, g := range woken {
		p.wakeGroup(g)
	}
}

func (p *Placer) hearLeaving(r Report, now instant) {
	if r.VM == p.options.VM {
		return
	}
	for _, name := range r.Leaving {
		if u := p.upstreams[name]; u != nil {
			u.hearLeaving(now)
		}
	}
}

// hearLoads stores a peer's loads. A group that it does not mention has none.
func (p *Placer) hearLoads(v *view, o *peer, loads []Load, now instant) []*group {
	var woken []*group
	for _, l := range o.loads {
		l.free.Store(0)
	}
	for _, in := range loads {
		g := p.groups[in.Group]
		if g == nil {
			continue
		}
		l := o.loads[in.Group]
		if l == nil {
			l = &peerLoad{owner: o, group: g, link: p.linkTo(o.member.Load().Region)}
			o.loads[in.Group] = l
			g.addPeer(l, v)
		}
		l.hear(max(0, in.Free), now)
		if in.Free > 0 {
			woken = append(woken, g)
		}
	}
	return woken
}

func (o *peer) hearPressure(loads []Load) {
	short := 0.0
	for _, l := range loads {
		if l.Queued > 0 && l.Free <= 0 {
			short = 1
		}
	}
	o.pressure += pressureGain * (short - o.pressure)
}

// linkTo returns the way to a region, or nil for this VM's own.
func (p *Placer) linkTo(region string) *link {
	if region == p.options.Region {
		return nil
	}
	l := p.links[region]
	if l == nil {
		l = &link{to: region}
		p.links[region] = l
	}
	return l
}
