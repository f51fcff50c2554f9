package fgentry

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/transport/fgpeer"
	"github.com/filbertgap/filbertgap/internal/transport/fgupstream"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// headerOwnPrefix begins the fields by which VMs talk to each other and to
// upstreams. They are removed from what callers and upstreams send.
const headerOwnPrefix = "Filbertgap-"

// The fields of a forwarded request, besides Filbertgap-Workspace and
// Filbertgap-Request-Id.
const (
	headerHop     = "Filbertgap-Hop"
	headerOwner   = "Filbertgap-Owner"
	headerKeyID   = "Filbertgap-Key-Id"
	headerRegion  = "Filbertgap-From-Region"
	headerOnce    = "Filbertgap-Once"
	headerForeign = "Filbertgap-Foreign-Id"
	// headerOutcome marks a refusal by a peer, and tells it from an answer of
	// an upstream.
	headerOutcome = "Filbertgap-Outcome"
)

// hop tells why a peer forwarded a request.
type hop string

// The hops of a request.
const (
	hopNone hop = ""
	// hopID leads to the process that the request's id names.
	hopID hop = "id"
	// hopPlace leads to a VM of the upstream's region that has capacity.
	hopPlace hop = "place"
)

type readCloser struct {
	io.Reader
	io.Closer
}

// newPeerClient returns a client of forwarded requests.
func newPeerClient(d *fgpeer.Dialer) *fgupstream.Client {
	return fgupstream.New(fgupstream.Options{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
		return d.Dial(ctx, address, fgpeer.ProtocolHTTP)
	}})
}

// forward sends a call to a peer. The caller's key stays here.
func (e *Entry) forward(ctx context.Context, r *http.Request, c *call, m fgmember.Member, to hop) (*http.Response, fgupstream.Outcome, error) {
	out := c.outgoing(r)
	out.Header.Set(headerHop, string(to))
	out.Header.Set(headerOwner, m.Incarnation)
	out.Header.Set(headerRegion, e.settings.raw.Region)
	if c.key != nil {
		out.Header.Set(headerKeyID, c.key.ID())
	}
	if c.once {
		out.Header.Set(headerOnce, "true")
	}
	if c.upstreamID != "" {
		out.Header.Set(fgupstream.HeaderRequestID, c.upstreamID)
	}
	if c.foreign {
		out.Header.Set(headerForeign, "true")
	}
	if m.Region != e.settings.raw.Region && out.Body != http.NoBody {
		out.Body = readCloser{Reader: e.pace(ctx, e.settings.raw.Region, m.Region, out.Body), Closer: out.Body}
	}
	return e.peers.RoundTrip(ctx, m.PeerAddress, out)
}

// sendPeer sends a call to the peer that has capacity for it.
func (e *Entry) sendPeer(w http.ResponseWriter, r *http.Request, c *call, t peerTarget) attempt {
	a := attempt{names: []string{t.member.VM, t.member.Incarnation}, result: resultCancelled}
	defer func() { t.done(a.result) }()
	if a.err = e.readmit(r.Context(), c); a.err != nil {
		return a
	}
	res, outcome, cause := e.forward(c.sendContext, r, c, t.member, hopPlace)
	if outcome != fgupstream.Answered {
		a.result, a.err = e.unanswered(c, outcome, cause)
		return a
	}
	if res.Header.Get(headerOutcome) != "" {
		a.result, a.err = peerRefusal(res)
		return a
	}
	e.logDecision(c, destination{peer: t.member.VM}, outcomeRan, "placed-at-peer")
	a.result, a.err = e.passAnswer(w, c, res)
	return a
}

// peerRefusal returns a peer's refusal. One for lack of capacity counts as
// shed, so that the call may be placed elsewhere.
func peerRefusal(res *http.Response) (result, error) {
	defer func() { _ = res.Body.Close() }()
	p, err := fgproblem.Read(res)
	if err != nil {
		return resultLost, fgproblem.New(http.StatusBadGateway, fgproblem.CodeUpstreamLost, "the peer's refusal is not readable").
			WithOutcome(fgproblem.Unknown)
	}
	switch {
	case p.Outcome() == fgproblem.NotRun && p.Status() == http.StatusServiceUnavailable:
		return resultShed, p
	case p.Outcome() == fgproblem.Unknown && p.Code() == fgproblem.CodeUpstreamLost:
		return resultLost, p
	default:
		return resultCancelled, p
	}
}

func (e *Entry) forwardedHandler() http.Handler { return http.HandlerFunc(e.handleForwarded) }

// handleForwarded serves a request that a peer forwarded.
func (e *Entry) handleForwarded(w http.ResponseWriter, r *http.Request) {
	e.forwarded.enter()
	defer e.forwarded.leave()
	c := e.newCall(w, r)
	c.hop = hop(r.Header.Get(headerHop))
	e.finish(w, r, c, e.serveForwarded(w, r, c))
}

func (e *Entry) serveForwarded(w http.ResponseWriter, r *http.Request, c *call) error {
	if c.hop != hopID && c.hop != hopPlace {
		return fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "the hop is unknown")
	}
	c.fromRegion = r.Header.Get(headerRegion)
	c.upstreamID = r.Header.Get(fgupstream.HeaderRequestID)
	if c.hop == hopID {
		c.foreign = r.Header.Get(headerForeign) != ""
		c.idempotencyKey = c.upstreamID
	}
	if r.Header.Get(headerOwner) != e.incarnation.String() {
		return e.notAddressed(c)
	}
	if err := c.matchRoute(r); err != nil {
		return err
	}
	c.once = c.once || r.Header.Get(headerOnce) != ""
	if err := c.identify(r.Header); err != nil {
		return err
	}
	return e.serveIdentified(w, r, c)
}

// notAddressed refuses a request that was meant for an earlier process at this
// address.
func (e *Entry) notAddressed(c *call) error {
	if c.hop == hopID {
		c.settled = true
		return ownerGone()
	}
	return noCapacity("the VM was restarted")
}

// identify takes over the workspace and the key id that the forwarding VM has
// checked. The key must still be in force here.
func (c *call) identify(h http.Header) error {
	c.workspace = h.Get(headerWorkspace)
	if c.route.Spec().Access == fgapi.AccessOpen {
		return nil
	}
	key, ok := c.snapshot.Key(h.Get(headerKeyID))
	if !ok || expired(key) || key.Spec().Workspace != c.workspace {
		return keyInvalid()
	}
	c.key = key
	return nil
}
