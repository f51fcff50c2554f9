package fggateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/coordination/fgpath"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

const (
	// detourHeader marks a request that another gateway passes on because it does not
	// reach the upstreams itself. Its value is the number of sends so far.
	detourHeader = "Filbertgap-Detour"
	// maxDetours is how many other gateways are tried for one request.
	maxDetours = 2
	// unreachedBeforeDetour is how many upstreams in a row must be unreachable for one
	// request before it is sent through another gateway.
	unreachedBeforeDetour = 2
	// detourMargin is the part of the remaining time that is kept for the response of the
	// other gateway to arrive.
	detourMargin = 20 * time.Millisecond
)

// way is how a request reaches an upstream: direct or detour.
type way interface{ isWay() }

// direct sends a request to an upstream.
type direct struct{ upstream *fgaffinity.Upstream }

// detour sends a request to another gateway, which chooses the upstream. The other gateway
// admits the request like a caller's, so that its rate and retries are counted there.
type detour struct{ peer fgsteer.MemberSpec }

func (direct) isWay() {}
func (detour) isWay() {}

// chooseWay returns the way of the next send, after a wait for room if the group lacks it.
// The wait ends with ctx. reserved is the upstream that was chosen for it before, or nil; it
// is released if the request goes another way. unreached is the number of upstreams that
// could not be reached for this request.
func (g *Gateway) chooseWay(ctx context.Context, q *request, reserved *fgaffinity.Upstream, unreached int) (way, error) {
	status := g.path.Status()
	var peer fgsteer.MemberSpec
	hasPeer := false
	if status != fgpath.Open || unreached >= unreachedBeforeDetour {
		peer, hasPeer = g.detourPeer(q)
	}
	if hasPeer && (status == fgpath.Lost || unreached >= unreachedBeforeDetour) {
		g.release(q, reserved)
		return detour{peer}, nil
	}
	u := reserved
	q.expected = fgaffinity.Estimate{}
	if u == nil {
		p, err := g.place(ctx, q)
		if err != nil {
			if errors.Is(err, errPathLost) {
				peer, hasPeer = g.detourPeer(q)
			}
			if hasPeer {
				return detour{peer}, nil
			}
			return nil, err
		}
		u, q.expected = p.Upstream, p.Expected
	}
	if hasPeer && !g.pool.HasIdle(upstreamTarget(u.Spec())) {
		g.release(q, u)
		return detour{peer}, nil
	}
	return direct{u}, nil
}

// release gives up an upstream that was chosen for a request, if there is one.
func (g *Gateway) release(q *request, u *fgaffinity.Upstream) {
	if u != nil {
		g.finishSend(u, q.group, fgaffinity.Left)
	}
}

// detourPeer chooses a gateway that reaches the upstreams, at random by capacity: one of
// this region, unless it has more gateways without a path than with one. It returns false
// if there is none where the request may go, or if enough were tried.
func (g *Gateway) detourPeer(q *request) (fgsteer.MemberSpec, bool) {
	if q.detoured || len(q.detours) >= maxDetours {
		return fgsteer.MemberSpec{}, false
	}
	var region, all []fgsteer.MemberSpec
	without := 0
	regions := q.regions()
	for _, m := range q.view.Members() {
		own := m.Region == g.settings.Self.Region
		if own && (m.VM == g.settings.Self.VM || g.peers.hasNoPath(m.VM)) {
			without++
		}
		if m.VM == g.settings.Self.VM || !g.peers.takesDetours(m.VM, g.silentTimeout()) || slices.Contains(q.detours, m.VM) ||
			len(regions) > 0 && !slices.Contains(regions, m.Region) {
			continue
		}
		all = append(all, m)
		if own {
			region = append(region, m)
		}
	}
	if len(region) > 0 && len(region) >= without {
		all = region
	}
	return pickByCapacity(all)
}

// pickByCapacity returns one of the members at random, with its capacity as its weight.
func pickByCapacity(members []fgsteer.MemberSpec) (fgsteer.MemberSpec, bool) {
	total := 0.0
	for _, m := range members {
		total += max(1, m.Capacity)
	}
	position := rand.Float64() * total
	for _, m := range members {
		if position -= max(1, m.Capacity); position < 0 {
			return m, true
		}
	}
	return fgsteer.MemberSpec{}, false
}

// takesDetours reports whether a gateway has reported lately, is not leaving and reaches
// the upstreams.
func (p *peers) takesDetours(vm string, timeout time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[vm]
	return ok && time.Since(s.received) < timeout && !s.leaving && !s.noPath
}

// hasNoPath reports whether a gateway has last reported that it does not reach the
// upstreams.
func (p *peers) hasNoPath(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[vm].noPath
}

// sendDetour sends a request through another gateway.
func (g *Gateway) sendDetour(ctx context.Context, r *http.Request, q *request, peer fgsteer.MemberSpec) sendOutcome {
	q.detours = append(q.detours, peer.VM)
	header := forwardedHeader(r.Header)
	g.dialect.WriteRemainingTime(header, time.Until(q.deadline)-detourMargin)
	header.Set(detourHeader, strconv.Itoa(q.sends))
	ctx, cancel := context.WithCancel(ctx)
	// A restarted gateway has other connections.
	target := fgpool.Target{ID: peer.VM + "/" + strconv.FormatUint(peer.Incarnation, 10), Address: peer.CallerAddress}
	response, err := g.peerPool.Send(ctx, target, fgpool.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: header, Body: q.body, Abandoned: r.Context()})
	if errors.Is(err, fgpool.ErrNotSent) {
		cancel()
		return g.detourFailed(q, peer, fgaffinity.Unreached, q.unservedRefusal(codeUnreached, "no other gateway is reachable"), err)
	}
	// From here on the other gateway counts the request.
	if q.tokenTaken {
		q.tokenTaken = false
		g.limiter.Refund(q.workspace.Name)
	}
	if err != nil {
		cancel()
		q.mayHaveRun = true
		refused := &refusal{status: http.StatusBadGateway, code: codeLost, reason: "the connection to the other gateway broke; the request may have run"}
		if errors.Is(err, errStopped) {
			refused = q.stopRefusal()
		}
		return g.detourFailed(q, peer, fgaffinity.Lost, refused, err)
	}
	res := &upstreamResponse{Response: response, meta: g.dialect.ReadResponse(response.Response), cancel: cancel}
	res.meta.IdleTimeout = q.view.Policy().Limits().IdleTimeout
	if refused := classifyDetour(q, res); refused != nil {
		res.close(false)
		return g.detourFailed(q, peer, res.result, refused, nil)
	}
	return sendOutcome{response: res, result: res.result}
}

// detourFailed records a detour without a response to pass on.
func (g *Gateway) detourFailed(q *request, peer fgsteer.MemberSpec, result fgaffinity.Result, refused *refusal, err error) sendOutcome {
	g.metrics.DetourEnded(result.String())
	if skipped, ok := g.logSamplers.failed.Allow(time.Now()); ok {
		reason := refused.reason
		if err != nil {
			reason = err.Error()
		}
		g.logger.Info("sending through another gateway failed", "attempt", q.AttemptID, "peer", peer.VM, "result", result.String(), "error", reason, "skippedLines", skipped)
	}
	return sendOutcome{result: result, refusal: refused}
}

// classifyDetour reads the beginning of the response of another gateway and sets its
// result. It returns a refusal if the response must not be passed on.
func classifyDetour(q *request, res *upstreamResponse) *refusal {
	res.body, res.complete = readPrefix(res.Body)
	ranBefore := q.mayHaveRun
	// Without an upstream's signature, these statuses mean that the other gateway has not
	// run the request and never will.
	refused := !res.meta.Signed && slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, res.StatusCode)
	switch {
	case res.body == nil, res.StatusCode < 300 && !res.meta.Signed:
		q.mayHaveRun = true
		res.result = fgaffinity.Lost
		return &refusal{status: http.StatusBadGateway, code: codeNotWhole, reason: "the other gateway's response is truncated or unsigned"}
	case refused && ranBefore:
		res.result = fgaffinity.Shed
		return q.unservedRefusal(codeShed, "the other gateway refused the request")
	case refused:
		res.result = fgaffinity.Shed
	default:
		q.recordRun(res)
	}
	return nil
}

// readDetour reads whether another gateway has sent the request on a detour.
func (q *request) readDetour(h http.Header) {
	value := h.Get(detourHeader)
	if value == "" {
		return
	}
	q.detoured = true
	if n, err := strconv.Atoi(value); err == nil {
		q.sends = max(0, n)
	}
}
