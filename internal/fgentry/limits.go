package fgentry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/filbertgap/filbertgap/internal/coordination/fgledger"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgshare"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

const (
	// capBurstDivisor is the ratio of a regional cap's rate per second to its
	// burst.
	capBurstDivisor = 10
	// defaultRetryAfter is used when this process holds no share and so cannot
	// compute when it will have a token.
	defaultRetryAfter = time.Second
	// maxPacedReadBytes is the largest piece of a paced body.
	maxPacedReadBytes = 16 << 10
	// paceRetryInterval separates attempts to get the tokens for a piece.
	paceRetryInterval = 20 * time.Millisecond

	bitsPerByte = 8
)

// regionPair is an ordered pair of regions.
type regionPair struct{ from, to string }

// limitNames maps the attributes of a request to names of limits, so that
// routing a request builds no strings. It is immutable.
type limitNames struct {
	workspaces  map[string]string
	slots       map[string]string
	capRequests map[regionPair]string
	capBits     map[regionPair]string
}

// declaredLimits returns the limits of a configuration and their names.
func declaredLimits(s *fgconfig.Snapshot) (*limitNames, fgledger.DeclaredLimits) {
	names := &limitNames{
		workspaces: map[string]string{}, slots: map[string]string{},
		capRequests: map[regionPair]string{}, capBits: map[regionPair]string{},
	}
	limits := map[string]fgledger.DeclaredLimit{}
	for _, r := range s.All() {
		switch spec := r.Spec.(type) {
		case *fgapi.WorkspaceSpec:
			name := "workspace/" + r.Metadata.Name
			names.workspaces[r.Metadata.Name] = name
			limits[name] = fgledger.NewDeclaredLimit(fgshare.Rate(spec.RequestsPerSecond, spec.Burst), "")
		case *fgapi.RegionalCapSpec:
			pair := regionPair{from: spec.From, to: spec.To}
			prefix := "cap/" + spec.From + "/" + spec.To
			names.capRequests[pair] = prefix + "/requests"
			names.capBits[pair] = prefix + "/bits"
			limits[prefix+"/requests"] = fgledger.NewDeclaredLimit(newCapLimit(spec.RequestsPerSecond), "")
			limits[prefix+"/bits"] = fgledger.NewDeclaredLimit(newCapLimit(int64(spec.BitsPerSecond)), "")
		case *fgapi.UpstreamSpec:
			if spec.Slots > 0 {
				name := "slots/" + r.Metadata.Name
				names.slots[r.Metadata.Name] = name
				limits[name] = fgledger.NewDeclaredLimit(fgshare.Slots(spec.Slots), spec.Region)
			}
		}
	}
	return names, fgledger.NewDeclaredLimits(s.Generation(), limits)
}

// newCapLimit returns the limit of a regional cap. A cap of 0 admits nothing.
func newCapLimit(perSecond int64) fgshare.Limit {
	if perSecond == 0 {
		return fgshare.Rate(0, 0)
	}
	return fgshare.Rate(perSecond, max(1, perSecond/capBurstDivisor))
}

// admitWorkspace takes one request from the workspace's rate limit.
func (e *Entry) admitWorkspace(ctx context.Context, c *call) error {
	if c.workspace == "" {
		return nil
	}
	return e.limits.takeToken(ctx, e.limits.names.Load().workspaces[c.workspace], "the workspace exceeds its request rate")
}

// refundWorkspace refunds the token that admitWorkspace took, for a call that
// was not sent in time and is about to be admitted again. A call that was
// queued is then charged once, as if it had arrived when it was sent.
func (e *Entry) refundWorkspace(c *call) {
	if r := e.limits.holder.Rate(e.limits.names.Load().workspaces[c.workspace]); r != nil {
		r.Refund(fgshare.Token)
	}
}

// admitRegionalCap takes one request from the cap between two regions. The
// placer sends nothing to another region without a declared cap.
func (e *Entry) admitRegionalCap(ctx context.Context, from, to string) error {
	name, ok := e.limits.names.Load().capRequests[regionPair{from: from, to: to}]
	if !ok {
		return nil
	}
	return e.limits.takeToken(ctx, name, "the request cap between the regions is exceeded")
}

func (l *limits) takeToken(ctx context.Context, name, detail string) error {
	r := l.holder.Rate(name)
	if r == nil {
		return rateExceeded(detail, defaultRetryAfter)
	}
	if l.borrower.Take(ctx, name, r, fgshare.Token) {
		return nil
	}
	wait, ok := r.TimeUntil(fgshare.Token)
	if !ok {
		wait = defaultRetryAfter
	}
	return rateExceeded(detail, wait)
}

func rateExceeded(detail string, wait time.Duration) error {
	return fgproblem.New(http.StatusTooManyRequests, fgproblem.CodeRateExceeded, detail).WithRetryAfter(max(wait, 1))
}

// pace limits a body that crosses from one region to another to the cap's bits
// per second.
func (e *Entry) pace(ctx context.Context, from, to string, body io.Reader) io.Reader {
	name, ok := e.limits.names.Load().capBits[regionPair{from: from, to: to}]
	if !ok {
		return body
	}
	return &pacedReader{ctx: ctx, limits: e.limits, name: name, body: body}
}

// pacedReader returns bytes once it has taken the tokens for their bits.
type pacedReader struct {
	ctx    context.Context
	limits *limits
	name   string
	body   io.Reader
}

// Read reads a piece and waits for its tokens.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.body.Read(b[:min(len(b), maxPacedReadBytes)])
	if n == 0 {
		return n, err
	}
	if takeErr := p.takeTokens(int64(n) * bitsPerByte * fgshare.Token); takeErr != nil {
		return 0, takeErr
	}
	return n, err
}

func (p *pacedReader) takeTokens(amount int64) error {
	for {
		if r := p.limits.holder.Rate(p.name); r != nil {
			amount -= p.limits.borrower.TakeUpTo(p.ctx, p.name, r, amount)
		}
		if amount == 0 {
			return nil
		}
		timer := time.NewTimer(paceRetryInterval)
		select {
		case <-p.ctx.Done():
			timer.Stop()
			return p.ctx.Err()
		case <-timer.C:
		}
	}
}

// acquirePermit takes one slot of an upstream. The returned function releases
// it; calling it again has no effect.
func (e *Entry) acquirePermit(u *fgconfig.Upstream) (release func(), ok bool) {
	if u.Spec().Slots == 0 {
		return func() {}, true
	}
	s := e.limits.holder.Slots(e.limits.names.Load().slots[u.Name()])
	if s == nil || !s.Acquire() {
		return nil, false
	}
	return sync.OnceFunc(s.Release), true
}

// runLimits keeps this process's shares of the limits up to date until the
// context ends.
func (e *Entry) runLimits(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { e.limits.holder.WatchLedger(ctx, e.limits.store) })
	wg.Go(func() { e.limits.rebalancer.Run(ctx, e.limits.wake) })
	for ctx.Err() == nil {
		config, members := e.config.Changed(), e.members.Changed()
		e.limits.applyConfig(e.config.State())
		e.limits.triggerRebalance()
		select {
		case <-ctx.Done():
		case <-config:
		case <-members:
		}
	}
}
