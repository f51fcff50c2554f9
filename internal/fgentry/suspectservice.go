package fgentry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
	"github.com/filbertgap/filbertgap/internal/transport/fgupstream"
)

const (
	// broadcastTimeout bounds how long a response is delayed until the region's
	// peers have received a suspect. They must have it before the caller can send
	// the request again.
	broadcastTimeout = 300 * time.Millisecond
	// probeInterval separates attempts to connect to an upstream whose
	// connection broke. A crashing process may close its listener shortly after
	// its connections.
	probeInterval = 20 * time.Millisecond
	maxProbes     = 4
)

// Suspect applies a peer's findings about suspected requests.
func (s *peerService) Suspect(_ context.Context, in *fgwire.SuspectRequest) (*fgwire.SuspectAnswer, error) {
	var states []fgsuspect.State
	for _, m := range in.GetStates() {
		var f fgsuspect.Fingerprint
		if copy(f[:], m.GetFingerprint()) != len(f) {
			continue
		}
		states = append(states, fgsuspect.NewState(f, suspectStatus(m)))
	}
	s.entry.suspects.Merge(states)
	return &fgwire.SuspectAnswer{}, nil
}

func suspectStatus(m *fgwire.SuspectState) fgsuspect.Status {
	switch {
	case m.GetConvicted():
		return fgsuspect.Blocked
	case m.GetCleared():
		return fgsuspect.Clear
	default:
		return fgsuspect.Suspect
	}
}

// detectCrash reports whether an upstream whose connection broke during a request has
// crashed, which is the case if it refuses new connections. The requests in flight at a
// crashed upstream become suspects. The peers know of the request when it returns, even if
// the crash was recorded for another one, whose report may still be under way.
func (e *Entry) detectCrash(u *fgconfig.Upstream, request fgsuspect.Fingerprint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), maxProbes*probeInterval+broadcastTimeout)
	defer cancel()
	for probe := range maxProbes {
		if probe > 0 {
			_ = fgtimer.Wait(ctx, probeInterval)
		}
		if !fgupstream.RefusesConnections(ctx, u.Spec().Address) {
			continue
		}
		states := e.suspects.RecordCrash(u.Name())
		isRequest := func(s fgsuspect.State) bool { return s.Fingerprint() == request }
		if status := e.suspects.Status(request); status != fgsuspect.Clear && !slices.ContainsFunc(states, isRequest) {
			states = append(states, fgsuspect.NewState(request, status))
		}
		e.logger.Info("upstream crashed", "upstream", u.Name(), "suspects", len(states))
		e.broadcastSuspects(states)
		return true
	}
	return false
}

// suspectOwner returns the VM that runs all suspects of this region, unless it
// is this one. With one VM in charge, two suspects never share an upstream.
// When each VM ran its own suspects, the crash caused by one led to an unrelated
// request on the same upstream being blocked.
func (e *Entry) suspectOwner(c *call) (fgmember.Member, bool) {
	region := e.settings.raw.Region
	isLocal := func(u *fgconfig.Upstream) bool { return u.Spec().Region == region }
	if !slices.ContainsFunc(c.snapshot.Upstreams(c.route.Spec().UpstreamGroup), isLocal) {
		return fgmember.Member{}, false
	}
	var owner fgmember.Member
	var lowestHash uint64
	for _, m := range e.members.State().All() {
		self := m.Incarnation == e.incarnation.String()
		if m.Region != region || !self && (m.Leaving || !e.reports.Alive(m.Incarnation)) {
			continue
		}
		if hash := xxhash.Sum64String(m.Incarnation); owner.VM == "" || hash < lowestHash {
			owner, lowestHash = m, hash
		}
	}
	return owner, owner.VM != "" && owner.Incarnation != e.incarnation.String()
}

// sendToSuspectOwner sends a suspected call to the VM that runs the region's
// suspects. If that VM cannot take the call, it is refused and not run here. So is a call
// that a peer placed here: it may have become a suspect here, and the peer sends it to
// the owner. When it ran here, beside a suspect of the owner on the same upstream, the
// crash caused by one blocked the other.
func (e *Entry) sendToSuspectOwner(w http.ResponseWriter, r *http.Request, c *call, owner fgmember.Member, exclude map[string]bool) (sendResult, error) {
	if c.hop == hopPlacement || exclude[owner.Incarnation] {
		return sendResult{}, suspectInProgress()
	}
	s := e.sendPeer(w, r, c, peerTarget{member: owner, done: func(result) {}})
	if s.result == resultAnswered || s.result == resultFailed {
		// The owner reports the completion only if it is a suspect there. Here it may have
		// become one by a report that arrived after an earlier completion.
		e.broadcastSuspects(e.suspects.RecordCompletion(c.fingerprint))
	}
	return s, nil
}

// broadcastSuspects sends the states of suspects to the region's peers and
// returns when they have received them, or after broadcastTimeout.
func (e *Entry) broadcastSuspects(states []fgsuspect.State) {
	if len(states) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	in := &fgwire.SuspectRequest{}
	for _, s := range states {
		f := s.Fingerprint()
		in.States = append(in.States, &fgwire.SuspectState{
			Fingerprint: f[:], Convicted: s.Status() == fgsuspect.Blocked, Cleared: s.Status() == fgsuspect.Clear,
		})
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, m := range e.members.State().All() {
		if m.Incarnation == e.incarnation.String() || m.Region != e.settings.raw.Region {
			continue
		}
		wg.Go(func() {
			client := fgwire.NewDRPCPeerClient(e.dialer.RPC(ctx, m.PeerAddress))
			if _, err := client.Suspect(ctx, in); err != nil {
				e.logger.V(1).Info("suspects not sent", "peer", m.VM, "error", err.Error())
			}
		})
	}
}
