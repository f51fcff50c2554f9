// Package fgquota is a distributed rate limiter: the rate of a workspace bounds
// its requests on all VMs together.
//
// Each VM estimates the tokens left in every workspace's token bucket. It
// subtracts its own requests at once, and those of other VMs when they report
// them. Between two reports it spends at most its share of these tokens, which
// equals its share of the demand. VMs that see the same last tokens therefore do
// not all spend them, and an excess of one VM is subtracted from the estimate of
// all. Tokens are not divided if the other VMs are unlikely to spend them before
// their next reports. Any VM may spend the tokens of a lightly loaded workspace,
// up to a bound.
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
	// minDemand, in requests per second, is assumed for a VM with less demand, so
	// that an allowance is available for its first requests.
	minDemand = 0.5
	// A peer that has sent no report for silentTimeout, or for silentIntervals
	// report intervals if that is longer, is assumed to spend its share of each rate
	// without reporting it. Report intervals are longer in a large fleet.
	silentTimeout   = 800 * time.Millisecond
	silentIntervals = 1.4
	// peerRetention is how long the last report of an unregistered peer is kept.
	peerRetention = 5 * time.Second
	// One in fullReportTicks reports includes all workspaces in use. A VM that missed
	// a report catches up with the next change or with the next full report.
	fullReportTicks = 10
	// minDemandChange is the relative change of demand that is reported.
	minDemandChange = 0.25
	// unreportedIntervals is for how many report intervals the other VMs may spend
	// tokens before this VM learns of it: one until their reports, plus the latency
	// from another region. One more request of each VM is added.
	unreportedIntervals = 1.5
	// maxRefillGap is the longest time for which a bucket is refilled at once. A VM
	// that was paused for longer has not counted what the others have spent in the
	// meantime, and starts without tokens like a new process.
	maxRefillGap = time.Second
	// maxSlackFraction is the fraction of the allowed excess that is added to the
	// burst of the lowest rates, whose few tokens are spread over all VMs. The
	// fraction falls by slackFractionStep for each request per second of the rate,
	// down to minSlackFraction, since the excess when VMs fail grows with the rate.
	maxSlackFraction  = 0.5
	slackFractionStep = 0.01
	minSlackFraction  = 0.1
)

// Limiter admits requests within the rates of their workspaces. It is safe for
// concurrent use.
type Limiter struct {
	mu sync.Mutex
	// slack is the number of requests by which a workspace may exceed its rate in
	// a window.
	slack   int
	buckets map[string]*bucket
	// byHash indexes the buckets by WorkspaceHash, for the reports of peers.
	byHash  map[uint32]*bucket
	peers   map[string]*peer
	members int
	// ticks counts calls of Tick.
	ticks int
}

// bucket is the token bucket of one workspace, as estimated by this VM.
type bucket struct {
	name        string
	rate, burst float64
	// tokens estimates the tokens left for all VMs. allowance is how many of them
	// this VM may spend before the next reports.
	tokens, allowance float64
	refilled          time.Time
	// admitted counts all requests that this VM admitted, requested those it received
	// since the last tick. demand is the moving average of requested per second.
	admitted  int64
	demand    float64
	requested float64
	// share is this VM's fraction of the demand of all VMs.
	share float64
	// unreported is how many tokens the other VMs may spend before their next
	// reports arrive. It is infinite while too few of them report.
	unreported float64
	// reportedAdmitted and reportedDemand are the values of the last report.
	reportedAdmitted int64
	reportedDemand   float64
}

// peer is the state that another VM reported.
type peer struct {
	incarnation uint64
	sequence    uint64
	lastReport  time.Time
	uses        map[uint32]*peerUse
}

type peerUse struct {
	admitted int64
	demand   float64
	// assumed is the number of tokens subtracted for the peer since its last report.
	assumed float64
}

// Use is one VM's use of a workspace's rate. Workspace is the hash of its name,
// Admitted the number of requests that the VM has admitted since its start, and
// Demand its requests per second, including refused ones.
type Use struct {
	Workspace uint32
	Admitted  int64
	Demand    float64
}

// New returns a limiter without rates, which admits every request.
func New() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, byHash: map[uint32]*bucket{}, peers: map[string]*peer{}, members: 1}
}

// SetSlack sets by how many requests a workspace may exceed its rate in a window.
// It takes effect with the next call of SetPolicy.
func (l *Limiter) SetSlack(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slack = n
}

// WorkspaceHash returns the hash that identifies a workspace in reports.
func WorkspaceHash(workspace string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workspace))
	return h.Sum32()
}

// SetPolicy applies the rates that a policy declares. A new bucket starts empty,
// since an earlier process may have spent its tokens.
func (l *Limiter) SetPolicy(p *fgsteer.Policy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	buckets := map[string]*bucket{}
	l.byHash = map[uint32]*bucket{}
	for _, w := range p.Workspaces() {
		if w.Rate <= 0 {
			continue
		}
		b := l.buckets[w.Name]
		if b == nil {
			b = &bucket{name: w.Name, refilled: now, share: 1 / float64(max(1, l.members))}
		}
		b.rate, b.burst = w.Rate, w.Burst+max(minSlackFraction, maxSlackFraction-slackFractionStep*w.Rate)*float64(l.slack)
		b.tokens = min(b.tokens, b.burst)
		buckets[w.Name] = b
		l.byHash[WorkspaceHash(w.Name)] = b
	}
	l.buckets = buckets
}

// SetMembers sets the registered VMs.
func (l *Limiter) SetMembers(vms []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = max(1, len(vms))
	registered := map[string]bool{}
	for _, vm := range vms {
		registered[vm] = true
	}
	for vm, p := range l.peers {
		if !registered[vm] && time.Since(p.lastReport) > peerRetention {
			delete(l.peers, vm)
		}
	}
}

// Decision states whether a request may run, and the state of the bucket that
// decided it.
type Decision struct {
	Allowed bool
	// Tokens and Allowance are the values before the request.
	Tokens, Allowance float64
	Share             float64
	// RetryAfter is how long the caller of a refused request should wait before it
	// sends the request again.
	RetryAfter time.Duration
}

// Admit takes a token for a request of a workspace, if one is available.
func (l *Limiter) Admit(workspace string) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[workspace]
	if b == nil {
		return Decision{Allowed: true}
	}
	b.refill(time.Now())
	b.requested++
	d := Decision{Tokens: b.tokens, Allowance: b.allowance, Share: b.share}
	if b.tokens >= 1 && (b.allowance >= 1 || b.tokens-b.unreported >= 1) {
		b.tokens--
		b.allowance = max(0, b.allowance-1)
		b.admitted++
		d.Allowed = true
		return d
	}
	d.RetryAfter = b.retryAfter()
	return d
}

// Refund returns the token of a request that did not run.
func (l *Limiter) Refund(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		b.tokens = min(b.tokens+1, b.burst)
		b.allowance++
		b.admitted--
	}
}

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Time) {
	gap := now.Sub(b.refilled)
	b.refilled = now
	if gap > maxRefillGap {
		b.tokens, b.allowance = min(b.tokens, 0), 0
		return
	}
	added := b.rate * gap.Seconds()
	b.tokens = min(b.tokens+added, b.burst)
	b.allowance = min(b.allowance+b.share*added, b.burst)
}

// The bounds of Decision.RetryAfter.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// retryAfter estimates when a token will be available to this VM.
func (b *bucket) retryAfter() time.Duration {
	missing := max(1-b.tokens, 1-b.allowance)
	return min(max(time.Duration(missing/(b.rate*b.share)*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// report returns the use to report. A demand below minDemand is reported as zero,
// since peers would otherwise count it until the next full report.
func (b *bucket) report() Use {
	u := Use{Workspace: WorkspaceHash(b.name), Admitted: b.admitted}
	if b.demand > minDemand {
		u.Demand = b.demand
	}
	return u
}

// changed reports whether the use has changed enough to be reported.
func (b *bucket) changed() bool {
	return b.admitted != b.reportedAdmitted || b.demand > minDemand && math.Abs(b.demand-b.reportedDemand) > minDemandChange*b.reportedDemand ||
		b.demand <= minDemand && b.reportedDemand > minDemand
}

// Tick renews the allowances and returns the uses to report: the changed ones, or
// all of them in one of fullReportTicks calls, for VMs that missed a report. It
// must be called once before each report; elapsed is the time since the last call.
func (l *Limiter) Tick(elapsed time.Duration) []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	l.ticks++
	full := l.ticks%fullReportTicks == 0
	uses := make([]Use, 0, len(l.buckets))
	for _, b := range l.buckets {
		b.demand += weight * (b.requested/max(elapsed.Seconds(), 1e-3) - b.demand)
		b.requested = 0
		b.refill(now)
		l.assumeSpending(b, now, elapsed)
		l.renewAllowance(b, elapsed)
		if full && (b.admitted != 0 || b.demand > minDemand) || b.changed() {
			uses = append(uses, b.report())
			b.reportedAdmitted, b.reportedDemand = b.admitted, b.demand
		}
	}
	return uses
}

// assumeSpending subtracts tokens for silent peers, which may still serve callers.
func (l *Limiter) assumeSpending(b *bucket, now time.Time, elapsed time.Duration) {
	timeout := max(silentTimeout, time.Duration(silentIntervals*float64(elapsed)))
	for _, p := range l.peers {
		u := p.uses[WorkspaceHash(b.name)]
		if u == nil || now.Sub(p.lastReport) < timeout {
			continue
		}
		spent := min(u.demand, b.rate*u.demand/max(l.totalDemand(b), minDemand)) * elapsed.Seconds()
		u.assumed += spent
		b.tokens -= spent
	}
}

// totalDemand returns the demand of all VMs.
func (l *Limiter) totalDemand(b *bucket) float64 {
	total := max(b.demand, minDemand)
	known := 1
	hash := WorkspaceHash(b.name)
	for _, p := range l.peers {
		known++
		if u := p.uses[hash]; u != nil {
			total += max(u.demand, minDemand)
		} else {
			total += minDemand
		}
	}
	// Members that have never reported may have as much demand as this VM.
	return total + max(b.demand, minDemand)*float64(max(0, l.members-known))
}

// renewAllowance sets this VM's share and its allowance of the tokens left.
func (l *Limiter) renewAllowance(b *bucket, elapsed time.Duration) {
	total := l.totalDemand(b)
	b.share = max(b.demand, minDemand) / total
	b.unreported = math.Inf(1)
	if l.hasRecentReports() {
		b.unreported = unreportedIntervals*total*(1-b.share)*elapsed.Seconds() + float64(l.members-1)
	}
	b.allowance = b.share * b.tokens
	if b.burst < float64(l.members)/2 {
		b.allowance = roundUpRandomly(b.allowance)
	}
	if l.isLightlyLoaded(b) {
		b.allowance = max(b.allowance, lightBaseAllowance+lightDemandIntervals*b.demand*elapsed.Seconds())
	}
	switch n := float64(l.members); {
	case b.tokens >= n/2:
		b.allowance = max(2, b.allowance)
	case b.tokens >= max(1, n/4):
		b.allowance = max(1, b.allowance)
	}
}

// ApplyReport subtracts the tokens that another VM has spent since its last report.
// A report that arrives after a later one of the same process is ignored.
func (l *Limiter) ApplyReport(vm string, incarnation, sequence uint64, uses []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[vm]
	if p == nil || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, uses: map[uint32]*peerUse{}}
		l.peers[vm] = p
	} else if sequence <= p.sequence {
		return
	}
	first := p.lastReport.IsZero()
	p.sequence, p.lastReport = sequence, time.Now()
	for _, reported := range uses {
		b := l.byHash[reported.Workspace]
		u := p.uses[reported.Workspace]
		if u == nil {
			u = &peerUse{}
			p.uses[reported.Workspace] = u
			if first {
				// The peer may have spent these tokens long before its first report
				// reached this VM.
				u.admitted = reported.Admitted
			}
		}
		if b != nil {
			b.tokens -= float64(reported.Admitted-u.admitted) - u.assumed
			b.tokens = min(b.tokens, b.burst)
		}
		u.admitted, u.demand, u.assumed = reported.Admitted, reported.Demand, 0
	}
}
