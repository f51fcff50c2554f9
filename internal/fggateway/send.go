package fggateway

import (
	"context"
	"net/http"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/transport/fgpool"
)

// upstreamSend is one send of a request to an upstream. The fields from meta to next are set
// by exchange.
type upstreamSend struct {
	upstream *fgaffinity.Upstream
	// expected is what the balancer expects of the send. It is zero for an upstream that
	// the watch for overdue responses has chosen.
	expected fgaffinity.Estimate
	request  fgpool.Request
	start    time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	watch    *overdueWatch

	meta     fgmessage.Response
	response *upstreamResponse
	err      error
	// took is the time to the head of the response. inTime means that it was not overdue.
	took   time.Duration
	inTime bool
	// next is the upstream for the retry if the send was abandoned. retry is the same for a
	// send that a hedgedSend owns.
	next, retry *fgaffinity.Upstream
	// second means that the send began beside another one. Admission knows nothing of it.
	second bool
}

// send sends a request to one upstream.
func (g *Gateway) send(ctx context.Context, r *http.Request, q *request, u *fgaffinity.Upstream) sendOutcome {
	s := g.prepareSend(ctx, r, q, u, q.header, nil)
	s.exchange(g)
	return g.endSend(r, q, s)
}

// prepareSend returns a send that exchange carries out. overdue may be nil.
func (g *Gateway) prepareSend(ctx context.Context, r *http.Request, q *request, u *fgaffinity.Upstream, header http.Header, overdue chan<- overdueResponse) *upstreamSend {
	f := fgmessage.Forward{RemainingTime: time.Until(q.deadline), UpstreamID: u.Spec().ID}
	if q.workspace != nil {
		f.Workspace = q.workspace.Name
	}
	g.dialect.WriteForward(header, f)
	s := &upstreamSend{upstream: u, expected: q.expected, start: time.Now()}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.request = fgpool.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: header, Body: q.body, Abandoned: r.Context(),
		Accept: func(res *http.Response, reused bool) bool {
			g.path.RecordResponse()
			s.meta = g.dialect.ReadResponse(res)
			// A refusal may name no request. On a reused connection it may be a late
			// copy that belongs to an earlier one, while this request runs.
			return s.meta.AttemptID == q.AttemptID || s.meta.AttemptID == "" && s.meta.NotRun && !reused
		},
	}
	s.watch = g.watchOverdue(q, s, overdue)
	return s
}

// exchange sends the request and reads the head of the response. It does not change the
// request, so that two sends of one request may be under way.
func (s *upstreamSend) exchange(g *Gateway) {
	response, err := g.pool.Send(s.ctx, upstreamTarget(s.upstream.Spec()), s.request)
	s.took = time.Since(s.start)
	s.inTime, s.next = s.watch.stop()
	if err != nil {
		s.err = err
		s.cancel()
		return
	}
	s.response = &upstreamResponse{Response: response, meta: s.meta, upstream: s.upstream, cancel: s.cancel}
}

// endSend records the end of a send and returns its outcome.
func (g *Gateway) endSend(r *http.Request, q *request, s *upstreamSend) sendOutcome {
	if s.err != nil {
		result := g.recordSendFailure(r, q, s.upstream, s.start, s.next != nil, s.err)
		return sendOutcome{result: result, refusal: q.failureRefusal(s.next != nil, s.err), next: s.next, final: result == fgaffinity.Left}
	}
	if s.next != nil {
		// The response arrived while the send was being abandoned.
		g.release(q, s.next)
	}
	g.recordHead(q, s)
	refused := g.classify(q, s.response)
	if !s.second {
		g.recordAdmission(q, s.response, s.start)
	}
	if s.response.result == fgaffinity.Lost && r.Context().Err() == nil && time.Until(q.deadline) > 0 && g.stopping.ended.Err() == nil {
		// The upstream may have crashed within its response, unless the read was ended here.
		g.checkForCrash(r, q, s.upstream, s.start)
	}
	return sendOutcome{response: s.response, result: s.response.result, refusal: refused}
}

// recordHead records what the head of a response tells about its upstream.
func (g *Gateway) recordHead(q *request, s *upstreamSend) {
	u, meta, status := s.upstream, s.meta, s.response.StatusCode
	if s.inTime {
		g.balancer.RecordInTime(u, s.took)
	}
	q.sends++
	g.recordLoad(u, status, meta)
	if !meta.NotRun && status < http.StatusInternalServerError {
		g.balancer.RecordRun(u, s.expected, s.took, meta.Load.Slowdown)
	}
	if meta.ColdDuration > 0 {
		g.balancer.RecordCold(u, meta.ColdDuration)
	} else if meta.Signed {
		g.balancer.RecordWarm(u)
	}
	g.recordLimit(q, u, meta)
	g.recordSignals(q, u, meta)
}
