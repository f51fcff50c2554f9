// Package fgquota admits requests within the rates of workspaces, which count
// the requests of all VMs together.
//
// Each VM estimates the tokens that are left of every rate: it spends its own
// requests at once and those of the others as they report them. Between two
// reports it spends no more than its part of these tokens, which is its part of
// the demand. Many VMs that see the same last tokens therefore do not all spend
// them, and what one spends too much is missing from the estimate of all. Tokens
// that no other VM is likely to spend unseen are not divided, and those of a
// workspace well below its rate are spent by any VM, within a bound.
package fgquota

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = time.Second
	// leastDemand is the demand per second that a VM without any counts for, so
	// that its first requests find an allowance.
	leastDemand = 0.5
	// silentAfter is how long a peer may be silent before it is taken to spend
	// its part of each rate unheard. In a large fleet, whose reports are rare, it is
	// silentIntervals of them.
	silentAfter     = 800 * time.Millisecond
	silentIntervals = 1.4
	// forgetAfter removes a silent peer that is not registered any more.
	forgetAfter = 5 * time.Second
	// wholeEvery is the number of reports of which one names all uses. A VM that
	// lost a report hears of it with the next change or then.
	wholeEvery = 10
	// demandChange is the part by which demand must change to be reported.
	demandChange = 0.25
	// unseenIntervals is how many intervals of reports of the others' demand may be
	// spent unseen: one until the report, and the way to another region. One more
	// request of each VM is added.
	unseenIntervals = 1.5
	// maxGap is the longest time that refills a rate at once. A VM that was paused
	// for longer does not know what the others have spent meanwhile, and begins
	// without tokens like a new one.
	maxGap = time.Second
	// slackMost is the part of the allowed excess that is added to the burst of the
	// smallest rates, whose few tokens are spread over all VMs. It falls by
	// slackFall for each request per second, down to slackLeast: what is spent too
	// much when VMs fail grows with the rate.
	slackMost  = 0.5
	slackFall  = 0.01
	slackLeast = 0.1
)

// Meter counts the requests of workspaces. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// slack is what a workspace may exceed its rate by in a window.
	slack  int
	limits map[string]*limit
	// byHash finds the limits that peers report on.
	byHash  map[uint32]*limit
	peers   map[string]*peer
	members int
	// reports counts calls of Tick.
	reports int
}

// limit is one workspace's rate as this VM sees it.
type limit struct {
	name        string
	rate, burst float64
	// tokens estimates what is left for all VMs, allowance what this VM may
	// spend of it before the next reports.
	tokens, allowance float64
	refilled          time.Time
	// admitted counts this VM's requests, demand averages what was asked.
	admitted int64
	demand   float64
	asked    float64
	// share is this VM's part of the demand.
	share float64
	// unseen is what the other VMs may spend before this one hears of it; without
	// bound if it hears too few of them.
	unseen float64
	// toldAdmitted and toldDemand are what was last reported.
	toldAdmitted int64
	toldDemand   float64
}

// peer is what another VM reported.
type peer struct {
	incarnation uint64
	sequence    uint64
	heard       time.Time
	uses        map[uint32]*use
}

type use struct {
	admitted int64
	demand   float64
	// assumed is what was spent for the peer since its last report.
	assumed float64
}

// Use is one VM's use of a workspace's rate.
type Use struct {
	Workspace uint32
	Admitted  int64
	Demand    float64
}

// New returns a meter that knows no rates.
func New() *Meter {
	return &Meter{limits: map[string]*limit{}, byHash: map[uint32]*limit{}, peers: map[string]*peer{}, members: 1}
}

// SetSlack tells how many requests a workspace may exceed its rate by in a
// window. It is used from the next policy on.
func (m *Meter) SetSlack(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slack = n
}

// Hash returns the name under which workspaces stand in reports.
func Hash(workspace string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workspace))
	return h.Sum32()
}

// SetPolicy takes over the declared rates. A new rate begins without tokens,
// since they may have been spent by an earlier process.
func (m *Meter) SetPolicy(p *fgsteer.Policy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	limits := map[string]*limit{}
	m.byHash = map[uint32]*limit{}
	for _, w := range p.Workspaces() {
		if w.Rate <= 0 {
			continue
		}
		l := m.limits[w.Name]
		if l == nil {
			l = &limit{name: w.Name, refilled: now, share: 1 / float64(max(1, m.members))}
		}
		l.rate, l.burst = w.Rate, w.Burst+max(slackLeast, slackMost-slackFall*w.Rate)*float64(m.slack)
		l.tokens = min(l.tokens, l.burst)
		limits[w.Name] = l
		m.byHash[Hash(w.Name)] = l
	}
	m.limits = limits
}

// SetMembers tells which VMs are registered.
func (m *Meter) SetMembers(vms []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = max(1, len(vms))
	registered := map[string]bool{}
	for _, vm := range vms {
		registered[vm] = true
	}
	for vm, p := range m.peers {
		if !registered[vm] && time.Since(p.heard) > forgetAfter {
			delete(m.peers, vm)
		}
	}
}

// Decision tells whether a request may run, and the numbers that decided it.
type Decision struct {
	Allowed bool
	// Tokens and Allowance are what was left before the request.
	Tokens, Allowance float64
	Share             float64
	// RetryAfter is when the request may be repeated.
	RetryAfter time.Duration
}

// Admit counts a request of a workspace, if its rate allows it.
func (m *Meter) Admit(workspace string) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.limits[workspace]
	if l == nil {
		return Decision{Allowed: true}
	}
	l.refill(time.Now())
	l.asked++
	d := Decision{Tokens: l.tokens, Allowance: l.allowance, Share: l.share}
	if l.tokens >= 1 && (l.allowance >= 1 || l.tokens-l.unseen >= 1) {
		l.tokens--
		l.allowance = max(0, l.allowance-1)
		l.admitted++
		d.Allowed = true
		return d
	}
	d.RetryAfter = l.wait()
	return d
}

// GiveBack returns the token of a request that did not run.
func (m *Meter) GiveBack(workspace string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.limits[workspace]; l != nil {
		l.tokens = min(l.tokens+1, l.burst)
		l.allowance++
		l.admitted--
	}
}

// refill adds what time has brought.
func (l *limit) refill(now time.Time) {
	gap := now.Sub(l.refilled)
	l.refilled = now
	if gap > maxGap {
		l.tokens, l.allowance = min(l.tokens, 0), 0
		return
	}
	more := l.rate * gap.Seconds()
	l.tokens = min(l.tokens+more, l.burst)
	l.allowance = min(l.allowance+l.share*more, l.burst)
}

// The times after which refused requests may come back.
const (
	leastWait = 200 * time.Millisecond
	mostWait  = 2 * time.Second
)

// wait returns when a token will be left for this VM.
func (l *limit) wait() time.Duration {
	missing := max(1-l.tokens, 1-l.allowance)
	return min(max(time.Duration(missing/(l.rate*l.share)*float64(time.Second)), leastWait), mostWait)
}

// use returns what to report. A demand below the least is reported as none, since
// it would stand until the next report of all uses.
func (l *limit) use() Use {
	u := Use{Workspace: Hash(l.name), Admitted: l.admitted}
	if l.demand > leastDemand {
		u.Demand = l.demand
	}
	return u
}

// changed reports whether the others must be told of this VM's use.
func (l *limit) changed() bool {
	return l.admitted != l.toldAdmitted || l.demand > leastDemand && math.Abs(l.demand-l.toldDemand) > demandChange*l.toldDemand ||
		l.demand <= leastDemand && l.toldDemand > leastDemand
}

// Tick renews the allowances, and returns what to report: what has changed, and
// now and then everything, for VMs that missed a report. It is called once before
// each report; elapsed is the time since the last call.
func (m *Meter) Tick(elapsed time.Duration) []Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	m.reports++
	whole := m.reports%wholeEvery == 0
	uses := make([]Use, 0, len(m.limits))
	for _, l := range m.limits {
		l.demand += weight * (l.asked/max(elapsed.Seconds(), 1e-3) - l.demand)
		l.asked = 0
		l.refill(now)
		m.assume(l, now, elapsed)
		m.renew(l, elapsed)
		if whole && (l.admitted != 0 || l.demand > leastDemand) || l.changed() {
			uses = append(uses, l.use())
			l.toldAdmitted, l.toldDemand = l.admitted, l.demand
		}
	}
	return uses
}

// assume spends the rate of peers that have been silent for a while: they may
// still serve callers.
func (m *Meter) assume(l *limit, now time.Time, elapsed time.Duration) {
	silent := max(silentAfter, time.Duration(silentIntervals*float64(elapsed)))
	for _, p := range m.peers {
		u := p.uses[Hash(l.name)]
		if u == nil || now.Sub(p.heard) < silent {
			continue
		}
		spent := min(u.demand, l.rate*u.demand/max(m.totalDemand(l), leastDemand)) * elapsed.Seconds()
		u.assumed += spent
		l.tokens -= spent
	}
}

// totalDemand returns the demand of all VMs.
func (m *Meter) totalDemand(l *limit) float64 {
	total := max(l.demand, leastDemand)
	known := 1
	hash := Hash(l.name)
	for _, p := range m.peers {
		known++
		if u := p.uses[hash]; u != nil {
			total += max(u.demand, leastDemand)
		} else {
			total += leastDemand
		}
	}
	// Those that were never heard may ask for as much as this one.
	return total + max(l.demand, leastDemand)*float64(max(0, m.members-known))
}

// renew gives this VM its part of the tokens that are left.
func (m *Meter) renew(l *limit, elapsed time.Duration) {
	total := m.totalDemand(l)
	l.share = max(l.demand, leastDemand) / total
	l.unseen = math.Inf(1)
	if m.hearsMost() {
		l.unseen = unseenIntervals*total*(1-l.share)*elapsed.Seconds() + float64(m.members-1)
	}
	l.allowance = l.share * l.tokens
	if l.burst < float64(m.members)/2 {
		l.allowance = wholePart(l.allowance)
	}
	if m.isCalm(l) {
		l.allowance = max(l.allowance, calmLeast+calmAhead*l.demand*elapsed.Seconds())
	}
	switch n := float64(m.members); {
	case l.tokens >= n/2:
		l.allowance = max(2, l.allowance)
	case l.tokens >= max(1, n/4):
		l.allowance = max(1, l.allowance)
	}
}

// Hear takes in another VM's report.
func (m *Meter) Hear(vm string, incarnation, sequence uint64, uses []Use) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[vm]
	if p == nil || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, uses: map[uint32]*use{}}
		m.peers[vm] = p
	} else if sequence <= p.sequence {
		return
	}
	first := p.heard.IsZero()
	p.sequence, p.heard = sequence, time.Now()
	for _, one := range uses {
		l := m.byHash[one.Workspace]
		u := p.uses[one.Workspace]
		if u == nil {
			u = &use{}
			p.uses[one.Workspace] = u
			if first {
				// What was spent before this VM knew the peer is not known to be
				// recent.
				u.admitted = one.Admitted
			}
		}
		if l != nil {
			l.tokens -= float64(one.Admitted-u.admitted) - u.assumed
			l.tokens = min(l.tokens, l.burst)
		}
		u.admitted, u.demand, u.assumed = one.Admitted, one.Demand, 0
	}
}
