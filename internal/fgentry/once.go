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

// requests is what an entry keeps about requests after their placement.
type requests struct {
	store    fgstore.Store
	peers    *fgupstream.Client
	dedupe   fgdedupe.Table
	suspects fgsuspect.Table
	bodies   bodyBudget
	foreign  writeBudget
	// forwarded are the requests of peers in flight here.
	forwarded requestGroup
}

// serveOnce runs a call that must not run twice. It recognises repeats by the
// call's Idempotency-Key.
func (e *Entry) serveOnce(w http.ResponseWriter, r *http.Request, c *call) error {
	if c.idempotencyKey == "" {
		// Without a key, each arrival is a request of its own.
		return e.run(&recorder{ResponseWriter: w, long: true}, r, c)
	}
	id, err := fgrequest.ParseID(c.idempotencyKey)
	if err != nil {
		return e.serveForeign(w, r, c)
	}
	c.upstreamID = c.idempotencyKey
	if id.Incarnation() != e.incarnation {
		return e.sendToOwner(w, r, c, id.Incarnation().String())
	}
	return e.serveOwnID(w, r, c, id)
}

// serveOwned serves a call that a peer forwarded because its id, or its record
// in the platform, names this process.
func (e *Entry) serveOwned(w http.ResponseWriter, r *http.Request, c *call) error {
	if c.foreign {
		return e.serveOwnedForeign(w, r, c)
	}
	id, err := fgrequest.ParseID(c.upstreamID)
	if err != nil || id.Incarnation() != e.incarnation {
		c.settled = true
		return ownerGone()
	}
	return e.serveOwnID(w, r, c, id)
}

func (e *Entry) serveOwnID(w http.ResponseWriter, r *http.Request, c *call, id fgrequest.ID) error {
	c.settled = true
	k := fgdedupe.NewKey(c.workspace, id.String(), id.Window())
	claim, first, err := e.dedupe.Begin(k, c.repeatDigest(r), time.Now())
	if err != nil {
		return beginProblem(err)
	}
	if !first {
		return repeat(w, r, claim)
	}
	return e.runClaimed(w, r, c, claimed{key: k, claim: claim})
}

// repeatDigest identifies what the caller asks for, to recognise an id that is
// used for another request.
func (c *call) repeatDigest(r *http.Request) fgdedupe.Digest {
	return digestOf(r.Method, r.URL.EscapedPath(), r.URL.RawQuery, string(c.bodyDigest[:]))
}

func beginProblem(err error) error {
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

func ownerGone() *fgproblem.Problem {
	return outcomeUnknown("the process that the id names is gone or cannot be reached; an earlier attempt may have run")
}

// claimed is a call that this process runs.
type claimed struct {
	key   fgdedupe.Key
	claim *fgdedupe.Claim
	// retain keeps the id after a refusal, because its record in the platform
	// stays.
	retain bool
}

// runClaimed runs a call and keeps its outcome.
func (e *Entry) runClaimed(w http.ResponseWriter, r *http.Request, c *call, d claimed) error {
	return e.keepOutcome(w, d, func(w http.ResponseWriter) error { return e.run(w, r, c) })
}

// keepOutcome ends a claim with the outcome of serving it.
func (e *Entry) keepOutcome(w http.ResponseWriter, d claimed, serve func(http.ResponseWriter) error) error {
	rec := &recorder{ResponseWriter: w}
	ended := false
	defer func() {
		if !ended {
			e.dedupe.Finish(d.key, d.claim, fgdedupe.Unknown{})
		}
	}()
	err := serve(rec)
	var p *fgproblem.Problem
	refused := errors.As(err, &p)
	ended = true
	switch {
	case err == nil:
		e.dedupe.Finish(d.key, d.claim, rec.outcome())
	case refused && p.Outcome() == fgproblem.NotRun && d.retain:
		e.dedupe.Retain(d.claim, p)
	case refused && p.Outcome() == fgproblem.NotRun:
		e.dedupe.Release(d.key, d.claim, p)
	case refused && p.Outcome() == fgproblem.Ran:
		e.dedupe.Finish(d.key, d.claim, fgdedupe.ResponseNotStored{})
	default:
		e.dedupe.Finish(d.key, d.claim, fgdedupe.Unknown{})
	}
	return err
}

// repeat waits for the first arrival of a call and answers as it ended.
func repeat(w http.ResponseWriter, r *http.Request, claim *fgdedupe.Claim) error {
	select {
	case <-claim.Done():
	case <-r.Context().Done():
		return deadlinePassed(r.Context()).WithOutcome(fgproblem.Unknown)
	}
	switch o := claim.Outcome().(type) {
	case fgdedupe.Response:
		writeStored(w, o)
		return nil
	case fgdedupe.ResponseNotStored:
		return fgproblem.New(http.StatusConflict, fgproblem.CodeAlreadyRan, "the request ran, and its answer was not kept").
			WithOutcome(fgproblem.Ran)
	case fgdedupe.NotRun:
		return o.Reason()
	default:
		return outcomeUnknown("the first attempt's outcome is not known")
	}
}

// sendToOwner sends a call to the process that alone may run it. When that
// process does not answer, the outcome is unknown even if nothing was sent: an
// earlier attempt may have run.
func (e *Entry) sendToOwner(w http.ResponseWriter, r *http.Request, c *call, incarnation string) error {
	c.settled = true
	m, ok := e.members.State().ByIncarnation(incarnation)
	if !ok {
		return ownerGone()
	}
	res, outcome, _ := e.forward(r.Context(), r, c, m, hopID)
	if outcome != fgupstream.Answered {
		return ownerGone()
	}
	if res.Header.Get(headerOutcome) != "" {
		_, err := peerRefusal(res)
		return err
	}
	e.logDecision(c, destination{peer: m.VM}, outcomeRan, "id-names-peer")
	defer func() { _ = res.Body.Close() }()
	return copyAnswer(w, res)
}

// truthful corrects a refusal that came before earlier arrivals of the same id
// were looked up: one of them may have run.
func (e *Entry) truthful(c *call, err error) error {
	var p *fgproblem.Problem
	if !errors.As(err, &p) || p.Outcome() != fgproblem.NotRun {
		return err
	}
	if c.settled || c.idempotencyKey == "" || c.hop == hopPlace || c.route != nil && !c.once {
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
