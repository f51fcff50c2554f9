package fgentry

import (
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/state/fgdedupe"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
	"github.com/filbertgap/filbertgap/internal/transport/fgupstream"
)

// requestState holds what an entry needs to send requests to peers and to track
// duplicates, suspects and buffered bodies.
type requestState struct {
	store    fgstore.Store
	peers    *fgupstream.Client
	dedupe   fgdedupe.Table
	suspects fgsuspect.Table
	bodies   bodyBudget
	// recordWrites limits how often records of unprefixed Idempotency-Keys are
	// written.
	recordWrites writeBudget
	// forwarded counts the requests of peers that are in flight here.
	forwarded requestGroup
}

// serveNonIdempotent runs a call that must not run twice. Duplicates are
// recognised by the call's Idempotency-Key.
func (e *Entry) serveNonIdempotent(w http.ResponseWriter, r *http.Request, c *call) error {
	if c.idempotencyKey == "" {
		// Without a key, duplicates cannot be recognised: each arrival is a new
		// request, and its response is not stored.
		return e.admitAndSend(&responseRecorder{ResponseWriter: w, tooLong: true}, r, c)
	}
	id, err := fgrequest.ParseID(c.idempotencyKey)
	if err != nil {
		return e.serveUnprefixed(w, r, c)
	}
	c.upstreamID = c.idempotencyKey
	if id.Incarnation() != e.incarnation {
		return e.sendToOwner(w, r, c, id.Incarnation().String())
	}
	return e.serveOwnID(w, r, c, id)
}

// serveAsOwner serves a call that a peer forwarded because its id, or its
// record in the platform, names this process.
func (e *Entry) serveAsOwner(w http.ResponseWriter, r *http.Request, c *call) error {
	if c.unprefixed {
		return e.serveOwnedUnprefixed(w, r, c)
	}
	id, err := fgrequest.ParseID(c.upstreamID)
	if err != nil || id.Incarnation() != e.incarnation {
		c.duplicatesChecked = true
		return ownerUnavailable()
	}
	return e.serveOwnID(w, r, c, id)
}

func (e *Entry) serveOwnID(w http.ResponseWriter, r *http.Request, c *call, id fgrequest.ID) error {
	c.duplicatesChecked = true
	k := fgdedupe.NewKey(c.workspace, id.String(), id.Window())
	claim, first, err := e.dedupe.Begin(k, c.requestDigest(r), time.Now())
	if err != nil {
		return claimRefusal(err)
	}
	if !first {
		return serveDuplicate(w, r, claim)
	}
	return e.runClaimed(w, r, c, claimedCall{key: k, claim: claim})
}

// requestDigest identifies the content of a request, to detect that an id is
// reused for a different request.
func (c *call) requestDigest(r *http.Request) fgdedupe.Digest {
	return digestOf(r.Method, r.URL.EscapedPath(), r.URL.RawQuery, string(c.bodyDigest[:]))
}

func claimRefusal(err error) error {
	switch {
	case errors.Is(err, fgdedupe.ErrReused):
		return fgproblem.New(http.StatusUnprocessableEntity, fgproblem.CodeIDReused, err.Error())
	case errors.Is(err, fgdedupe.ErrFull):
		return noCapacity(err.Error())
	default:
		return outcomeUnknown(err.Error())
	}
}

func outcomeUnknown(detail string) *fgproblem.Problem {
	return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeOutcomeUnknown, detail).WithOutcome(fgproblem.Unknown)
}

func ownerUnavailable() *fgproblem.Problem {
	return outcomeUnknown("the process that the id names has ended or is unreachable; an earlier attempt may have run")
}

// claimedCall is a call that this process runs under an id.
type claimedCall struct {
	key   fgdedupe.Key
	claim *fgdedupe.Claim
	// retain keeps the id after a refusal, because its record in the platform
	// stays.
	retain bool
}

// runClaimed runs a call and records its outcome.
func (e *Entry) runClaimed(w http.ResponseWriter, r *http.Request, c *call, claimed claimedCall) error {
	return e.recordOutcome(w, claimed, func(w http.ResponseWriter) error { return e.admitAndSend(w, r, c) })
}

// recordOutcome serves a claimed call and ends the claim with the outcome.
func (e *Entry) recordOutcome(w http.ResponseWriter, claimed claimedCall, serve func(http.ResponseWriter) error) error {
	rec := &responseRecorder{ResponseWriter: w}
	ended := false
	defer func() {
		if !ended {
			e.dedupe.Finish(claimed.key, claimed.claim, fgdedupe.Unknown{})
		}
	}()
	err := serve(rec)
	var p *fgproblem.Problem
	refused := errors.As(err, &p)
	ended = true
	switch {
	case err == nil:
		e.dedupe.Finish(claimed.key, claimed.claim, rec.outcome())
	case refused && p.Outcome() == fgproblem.NotRun && claimed.retain:
		e.dedupe.Retain(claimed.claim, p)
	case refused && p.Outcome() == fgproblem.NotRun:
		e.dedupe.Release(claimed.key, claimed.claim, p)
	case refused && p.Outcome() == fgproblem.Ran:
		e.dedupe.Finish(claimed.key, claimed.claim, fgdedupe.ResponseNotStored{})
	default:
		e.dedupe.Finish(claimed.key, claimed.claim, fgdedupe.Unknown{})
	}
	return err
}

// serveDuplicate waits for the first attempt of a call to end. It then writes
// the stored response or returns a refusal with the first attempt's outcome.
func serveDuplicate(w http.ResponseWriter, r *http.Request, claim *fgdedupe.Claim) error {
	select {
	case <-claim.Done():
	case <-r.Context().Done():
		return deadlinePassed(r.Context()).WithOutcome(fgproblem.Unknown)
	}
	switch o := claim.Outcome().(type) {
	case fgdedupe.Response:
		writeStoredResponse(w, o)
		return nil
	case fgdedupe.ResponseNotStored:
		return fgproblem.New(http.StatusConflict, fgproblem.CodeAlreadyRan, "the request ran, but its response was not stored").
			WithOutcome(fgproblem.Ran)
	case fgdedupe.NotRun:
		return o.Reason()
	default:
		return outcomeUnknown("the outcome of the first attempt is unknown")
	}
}

// sendToOwner forwards a call to the only process that may run it. If that
// process does not respond, the outcome is unknown even if nothing was sent,
// because an earlier attempt may have run.
func (e *Entry) sendToOwner(w http.ResponseWriter, r *http.Request, c *call, incarnation string) error {
	c.duplicatesChecked = true
	m, ok := e.members.State().ByIncarnation(incarnation)
	if !ok {
		return ownerUnavailable()
	}
	res, outcome, _ := e.forward(r.Context(), r, c, m, hopID)
	if outcome != fgupstream.Answered {
		return ownerUnavailable()
	}
	if res.Header.Get(headerOutcome) != "" {
		_, err := readPeerRefusal(res)
		return err
	}
	e.logDecision(c, destination{peer: m.VM}, outcomeRan, "id-names-peer")
	defer func() { _ = res.Body.Close() }()
	return copyResponse(w, res)
}

// correctOutcome corrects a refusal that was made before the id was looked up:
// an earlier attempt with the same id may have run.
func (e *Entry) correctOutcome(c *call, err error) error {
	var p *fgproblem.Problem
	if !errors.As(err, &p) || p.Outcome() != fgproblem.NotRun {
		return err
	}
	if c.duplicatesChecked || c.idempotencyKey == "" || c.hop == hopPlacement || c.route != nil && !c.nonIdempotent {
		return err
	}
	id, parseErr := fgrequest.ParseID(c.idempotencyKey)
	if parseErr == nil && id.Incarnation() == e.incarnation && !e.dedupe.Seen(id.String(), id.Window(), time.Now()) {
		return err
	}
	return p.WithOutcome(fgproblem.Unknown)
}

func hexDigest(texts ...string) string {
	sum := digestOf(texts...)
	return hex.EncodeToString(sum[:])
}
