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
//
// VMs that do not hear each other divide the tokens, see division.go.
package fgquota

import (
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
	// One in fullReportTicks reports includes all workspaces in use. A VM that missed
	// a report catches up with the next change or with the next full report.
	fullReportTicks = 10
	// minDemandChange is the relative change of demand that is reported.
	minDemandChange = 0.25
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
	self    string
	peers   map[string]*peer
	members map[string]bool
	contact contact
	// ticks counts calls of Tick, ticked is when the last one was, and interval the time
	// between the last two.
	// reportAll means that the next report names all uses, complete that the last one did.
	ticks               int
	ticked              time.Time
	interval            time.Duration
	reportAll, complete bool
}

// bucket is the token bucket of one workspace, as estimated by this VM.
type bucket struct {
	name        string
	hash        uint32
	rate, burst float64
	// fraction is the part of rate and burst that the VMs in touch may spend. tokens
	// estimates the tokens left for them. allowance is how many of them this VM may
	// spend before the next reports.
	fraction          float64
	tokens, allowance float64
	refilled, divided time.Time
	// resumed is when this VM last continued after a pause.
	resumed time.Time
	// admitted counts all requests that this VM admitted, requested those it received
	// since the last tick. demand is the moving average of requested per second.
	admitted  int64
	demand    float64
	requested float64
	// share is this VM's fraction of the demand of the VMs in touch. knownDemand is the
	// demand of all VMs that was known at the last tick.
	share       float64
	knownDemand float64
	// unreported is how many tokens the other VMs in touch may spend before their next
	// reports arrive.
	unreported float64
	// recent is how many tokens this VM has spent since the last tick.
	recent float64
	// idle is for how many ticks the known demand has been far below the rate.
	idle int
	// spent counts the tokens that the VMs in touch spent. samples are earlier states.
	spent   float64
	samples []sample
	// reportedAdmitted and reportedDemand are the values of the last report.
	reportedAdmitted int64
	reportedDemand   float64
}

// Use is one VM's use of a workspace's rate. Workspace is the hash of its name,
// Admitted the number of requests that the VM has admitted since its start, Earlier
// the part of them that was in an earlier report, and Demand its requests per second,
// including refused ones.
type Use struct {
	Workspace uint32
	Admitted  int64
	Earlier   int64
	Demand    float64
}

// Report is one VM's report to the others. Uses are those that changed since the last
// report, or all of the VM if Complete is set. Unheard are the VMs that it has not heard lately, and Members the number of
// VMs that it counts among those that may spend.
type Report struct {
	VM          string
	Incarnation uint64
	Sequence    uint64
	Uses        []Use
	Complete    bool
	Unheard     Unheard
	Members     int
}

// New returns a limiter without rates, which admits every request.
func New() *Limiter {
	return &Limiter{
		buckets: map[string]*bucket{}, byHash: map[uint32]*bucket{}, peers: map[string]*peer{},
		ticked:  time.Now(),
		contact: contact{vms: 1, inTouch: 1, anchored: time.Now()},
	}
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
	return hashName(workspace)
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
			b = &bucket{name: w.Name, hash: WorkspaceHash(w.Name), refilled: now, divided: now, share: 1, fraction: 1 / float64(l.contact.vms)}
		}
		b.rate, b.burst = w.Rate, w.Burst+max(minSlackFraction, maxSlackFraction-slackFractionStep*w.Rate)*float64(l.slack)
		b.tokens = min(b.tokens, b.capacity())
		buckets[w.Name] = b
		l.byHash[b.hash] = b
	}
	l.buckets = buckets
}

// Decision states whether a request may run, and the state of the bucket that
// decided it.
type Decision struct {
	Allowed bool
	// Tokens and Allowance are the values before the request.
	Tokens, Allowance float64
	// Share is the part of the rate that this VM may spend.
	Share float64
	// WithinRate means that the request was refused although all VMs together were asked
	// for no more than the rate, as far as this one knows.
	WithinRate bool
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
	now := time.Now()
	l.checkContact(now)
	b.refill(now)
	b.requested++
	d := Decision{Tokens: b.tokens, Allowance: b.allowance, Share: b.share * b.fraction}
	if b.tokens >= 1 && (b.allowance >= 1 || b.tokens-b.unreported >= 1) {
		b.tokens--
		b.allowance = max(0, b.allowance-1)
		b.admitted++
		b.spent++
		b.recent++
		d.Allowed = true
		return d
	}
	d.RetryAfter, d.WithinRate = b.retryAfter(), b.isWithinRate(now.Sub(l.ticked))
	return d
}

// isWithinRate reports whether the known demand is within the rate, and the requests
// that this VM got since the last tick within rate and burst.
func (b *bucket) isWithinRate(sinceTick time.Duration) bool {
	return b.knownDemand <= b.rate && b.requested <= b.burst+b.rate*sinceTick.Seconds()
}

// Refund returns the token of a request that did not run.
func (l *Limiter) Refund(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		b.tokens = min(b.tokens+1, b.capacity())
		b.allowance++
		b.admitted--
		b.spent--
		b.recent = max(0, b.recent-1)
	}
}

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Time) {
	gap := now.Sub(b.refilled)
	b.refilled = now
	if gap > maxRefillGap {
		b.tokens, b.allowance, b.resumed = min(b.tokens, 0), 0, now
		return
	}
	added := b.rate * b.fraction * gap.Seconds()
	b.tokens = min(b.tokens+added, b.capacity())
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
	return min(max(time.Duration(missing/(b.rate*b.share*b.fraction)*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// report returns the use to report. A demand below minDemand is reported as zero,
// since peers would otherwise count it until the next full report.
func (b *bucket) report() Use {
	u := Use{Workspace: b.hash, Admitted: b.admitted, Earlier: b.reportedAdmitted}
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
	l.ticked, l.interval = now, elapsed
	l.updateContact(now, elapsed)
	full := l.reportAll || l.ticks%fullReportTicks == 0
	l.reportAll, l.complete = false, full
	uses := make([]Use, 0, len(l.buckets))
	for _, b := range l.buckets {
		b.demand += weight * (b.requested/max(elapsed.Seconds(), 1e-3) - b.demand)
		b.requested = 0
		b.refill(now)
		l.divide(b, now)
		l.renewAllowance(b, elapsed)
		b.remember(now)
		if full && (b.admitted != 0 || b.demand > minDemand) || b.changed() {
			uses = append(uses, b.report())
			b.reportedAdmitted, b.reportedDemand = b.admitted, b.demand
		}
	}
	return uses
}

// ApplyReport subtracts the tokens that another VM has spent since its last report.
// A report that arrives after a later one of the same process is ignored.
func (l *Limiter) ApplyReport(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.checkContact(now)
	p := l.peers[r.VM]
	if p == nil || p.incarnation != r.Incarnation {
		p = l.replacePeer(r, now)
	} else if r.Sequence <= p.sequence {
		return
	}
	first := p.lastReport.IsZero()
	p.sequence, p.lastReport, p.members = r.Sequence, now, r.Members
	p.deaf = l.self != "" && r.Unheard.contains(hashName(l.self))
	if !p.deaf {
		p.lastMutual = now
		l.reportAll = p.meet(now) || l.reportAll
	}
	for _, reported := range r.Uses {
		u := p.use(reported.Workspace)
		if !u.reported {
			u.reported = true
			// The peer may have spent these tokens long before this VM first heard of
			// it. Earlier versions do not tell old use from new after the first report.
			u.admitted = reported.Earlier
			if first {
				u.admitted = reported.Admitted
			}
		}
		if b := l.byHash[reported.Workspace]; b != nil {
			b.spend(p, u, float64(reported.Admitted-u.admitted), now)
		}
		u.admitted, u.demand = reported.Admitted, reported.Demand
	}
	if r.Complete {
		l.settleUnused(p, now)
	}
}

// settleUnused returns what was held for a peer of the buckets of which it has used
// nothing, according to its complete report.
func (l *Limiter) settleUnused(p *peer, now time.Time) {
	for hash, b := range l.byHash {
		if u := p.uses[hash]; u != nil && !u.reported && u.isApart() {
			b.spend(p, u, 0, now)
		}
	}
}

// replacePeer records a peer that is heard for the first time, or a new process of it.
// What was held for the earlier process counts as spent.
func (l *Limiter) replacePeer(r Report, now time.Time) *peer {
	p := &peer{incarnation: r.Incarnation, uses: map[uint32]*peerUse{}}
	if !l.members[r.VM] {
		p.unregistered = now
	}
	l.peers[r.VM] = p
	l.reportAll = true
	return p
}

// LastComplete reports whether the uses that Tick last returned were all of this VM.
func (l *Limiter) LastComplete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}
