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
	// spreadTimeout bounds how long an answer waits for peers to learn of a
	// suspect. They know it before the caller can send the request again.
	broadcastTimeout = 300 * time.Millisecond
	// probeWait separates the attempts to connect to an upstream whose
	// connections broke: its listener may close a little later.
	probeInterval = 20 * time.Millisecond
	probeAttempts = 4
)

// Suspect takes over what a peer found out about requests.
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
		return fgsuspect.Convicted
	case m.GetCleared():
		return fgsuspect.Clear
	default:
		return fgsuspect.Suspect
	}
}

// detectCrash makes suspects of the requests in flight at an upstream whose
// connection broke, if it refuses new connections. It reports whether it does.
func (e *Entry) detectCrash(u *fgconfig.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeAttempts*probeInterval+broadcastTimeout)
	defer cancel()
	for try := range probeAttempts {
		if try > 0 {
			_ = fgtimer.Wait(ctx, probeInterval)
		}
		if !fgupstream.RefusesConnections(ctx, u.Spec().Address) {
			continue
		}
		states := e.suspects.Crash(u.Name())
		e.logger.Info("upstream crashed", "upstream", u.Name(), "suspects", len(states))
		e.broadcastSuspects(states)
		return true
	}
	return false
}

// suspectOwner returns the VM that runs all suspects of this region, unless it
// is this one. With one VM in charge, two suspects never share an upstream; when
// each VM ran its own, a crash by one convicted an innocent one beside it.
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

// sendSuspect sends a suspected call to the VM that runs the region's suspects.
// When that VM cannot take it, it is refused rather than run here.
func (e *Entry) sendToSuspectOwner(w http.ResponseWriter, r *http.Request, c *call, owner fgmember.Member, tried map[string]bool) (sendResult, error) {
	if tried[owner.Incarnation] {
		return sendResult{}, suspectInProgress()
	}
	return e.sendPeer(w, r, c, peerTarget{member: owner, done: func(result) {}}), nil
}

// spreadSuspects tells the region's peers, and returns when they know.
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
			Fingerprint: f[:], Convicted: s.Status() == fgsuspect.Convicted, Cleared: s.Status() == fgsuspect.Clear,
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
