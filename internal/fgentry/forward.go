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

// headerInternalPrefix is the prefix of the header fields that VMs exchange
// with each other and send to upstreams. They are removed from callers'
// requests and upstreams' responses.
const headerInternalPrefix = "Filbertgap-"

// The header fields of a forwarded request, besides Filbertgap-Workspace and
// Filbertgap-Request-Id.
const (
	headerHop        = "Filbertgap-Hop"
	headerOwner      = "Filbertgap-Owner"
	headerKeyID      = "Filbertgap-Key-Id"
	headerRegion     = "Filbertgap-From-Region"
	headerOnce       = "Filbertgap-Once"
	headerUnprefixed = "Filbertgap-Foreign-Id"
	// headerOutcome marks a response as the refusal of a peer, to distinguish
	// it from an upstream's response.
	headerOutcome = "Filbertgap-Outcome"
)

// hop is the reason why a peer forwarded a request.
type hop string

// The reasons for forwarding a request.
const (
	hopNone hop = ""
	// hopID means that the request's id, or the id's record in the platform,
	// names the process that the request is forwarded to.
	hopID hop = "id"
	// hopPlacement means that the request is forwarded to a VM of the
	// upstream's region that has capacity.
	hopPlacement hop = "place"
)

type readCloser struct {
	io.Reader
	io.Closer
}

// newPeerClient returns a client that forwards requests to peers.
func newPeerClient(d *fgpeer.Dialer) *fgupstream.Client {
	return fgupstream.New(fgupstream.Options{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
		return d.Dial(ctx, address, fgpeer.ProtocolHTTP)
	}})
}

// forward sends a call to a peer. The caller's key is not sent.
func (e *Entry) forward(ctx context.Context, r *http.Request, c *call, m fgmember.Member, to hop) (*http.Response, fgupstream.Outcome, error) {
	out := c.outgoing(r)
	out.Header.Set(headerHop, string(to))
	out.Header.Set(headerOwner, m.Incarnation)
	out.Header.Set(headerRegion, e.settings.raw.Region)
	if c.key != nil {
		out.Header.Set(headerKeyID, c.key.ID())
	}
	if c.nonIdempotent {
		out.Header.Set(headerOnce, "true")
	}
	if c.upstreamID != "" {
		out.Header.Set(fgupstream.HeaderRequestID, c.upstreamID)
	}
	if c.unprefixed {
		out.Header.Set(headerUnprefixed, "true")
	}
	if m.Region != e.settings.raw.Region && out.Body != http.NoBody {
		out.Body = readCloser{Reader: e.pace(ctx, e.settings.raw.Region, m.Region, out.Body), Closer: out.Body}
	}
	return e.peers.RoundTrip(ctx, m.PeerAddress, out)
}

// sendPeer sends a call to the peer that has capacity for it.
func (e *Entry) sendPeer(w http.ResponseWriter, r *http.Request, c *call, t peerTarget) sendResult {
	s := sendResult{targetNames: []string{t.member.VM, t.member.Incarnation}, result: resultCancelled}
	defer func() { t.done(s.result) }()
	if s.err = e.readmit(r.Context(), c); s.err != nil {
		return s
	}
	res, outcome, cause := e.forward(c.sendContext, r, c, t.member, hopPlacement)
	if outcome != fgupstream.Answered {
		s.result, s.err = e.refusalWithoutResponse(c, outcome, cause)
		return s
	}
	if res.Header.Get(headerOutcome) != "" {
		s.result, s.err = readPeerRefusal(res)
		return s
	}
	e.logDecision(c, destination{peer: t.member.VM}, outcomeRan, "placed-at-peer")
	s.result, s.err = e.passResponse(w, c, res)
	return s
}

// readPeerRefusal decodes a peer's refusal. A refusal for lack of capacity
// counts as shed, so that the call may be placed elsewhere.
func readPeerRefusal(res *http.Response) (result, error) {
	defer func() { _ = res.Body.Close() }()
	p, err := fgproblem.Read(res)
	if err != nil {
		return resultLost, fgproblem.New(http.StatusBadGateway, fgproblem.CodeUpstreamLost, "the peer's refusal cannot be decoded").
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

// handleForwarded serves a request that a peer has forwarded.
func (e *Entry) handleForwarded(w http.ResponseWriter, r *http.Request) {
	e.forwarded.add()
	defer e.forwarded.done()
	c := e.newCall(w, r)
	c.hop = hop(r.Header.Get(headerHop))
	e.finish(w, r, c, e.serveForwarded(w, r, c))
}

func (e *Entry) serveForwarded(w http.ResponseWriter, r *http.Request, c *call) error {
	if c.hop != hopID && c.hop != hopPlacement {
		return fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "the Filbertgap-Hop header is missing or unknown")
	}
	c.fromRegion = r.Header.Get(headerRegion)
	c.upstreamID = r.Header.Get(fgupstream.HeaderRequestID)
	if c.hop == hopID {
		c.unprefixed = r.Header.Get(headerUnprefixed) != ""
		c.idempotencyKey = c.upstreamID
	}
	if r.Header.Get(headerOwner) != e.incarnation.String() {
		return e.refuseWrongIncarnation(c)
	}
	if err := c.matchRoute(r); err != nil {
		return err
	}
	c.nonIdempotent = c.nonIdempotent || r.Header.Get(headerOnce) != ""
	if err := c.loadForwardedIdentity(r.Header); err != nil {
		return err
	}
	return e.serveIdentified(w, r, c)
}

// refuseWrongIncarnation refuses a request that was addressed to an earlier
// process at this address.
func (e *Entry) refuseWrongIncarnation(c *call) error {
	if c.hop == hopID {
		c.duplicatesChecked = true
		return ownerUnavailable()
	}
	return noCapacity("the VM's entry process was restarted")
}

// loadForwardedIdentity sets the call's workspace and key as checked by the
// forwarding VM. The key must still be valid here.
func (c *call) loadForwardedIdentity(h http.Header) error {
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
