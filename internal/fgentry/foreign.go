package fgentry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/state/fgdedupe"
)

const (
	// idemPrefix begins the platform's keys of foreign Idempotency-Keys.
	idemPrefix = "idem/"
	// fleetIdemWrites is the fleet's budget of record writes per second. The
	// platform serves several hundred writes/s in all.
	fleetIdemWrites = 100
	// maxRecordTries bounds the attempts to learn whether a record was written.
	maxRecordTries = 3
	foreignHint    = "; this arrival was not run, but an earlier one with the key may have. Ids that begin with a look-up answer's idPrefix need no record"
)

// idemRecord is the platform's record of a foreign Idempotency-Key.
type idemRecord struct {
	// Incarnation is the process that alone may run the request.
	Incarnation string `json:"incarnation"`
	// Attempt tells this process's write from an earlier one of its own.
	Attempt string `json:"attempt"`
}

// writeBudget is a token bucket with a burst of one second.
type writeBudget struct {
	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func (b *writeBudget) take(perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.filled.IsZero() {
		b.tokens = perSecond
	}
	b.tokens = min(max(perSecond, 1), b.tokens+perSecond*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// serveForeign runs a call whose Idempotency-Key names no process. A record in
// the platform names the one that may run it.
func (e *Entry) serveForeign(w http.ResponseWriter, r *http.Request, c *call) error {
	c.settled = true
	c.upstreamID = hexDigest(c.workspace, c.idempotencyKey)
	claim, k, first, err := e.beginForeign(r, c)
	if err != nil {
		return beginProblem(err)
	}
	if !first {
		return repeat(w, r, claim)
	}
	if claim.Reclaimed() {
		return e.runClaimed(w, r, c, claimed{key: k, claim: claim, retain: true})
	}
	owner, err := e.claimRecord(r.Context(), c.upstreamID)
	if err != nil || owner != "" {
		return e.keepOutcome(w, claimed{key: k, claim: claim}, func(w http.ResponseWriter) error {
			return e.serveElsewhere(w, r, c, owner, err)
		})
	}
	return e.runClaimed(w, r, c, claimed{key: k, claim: claim, retain: true})
}

func (e *Entry) beginForeign(r *http.Request, c *call) (*fgdedupe.Claim, fgdedupe.Key, bool, error) {
	now := time.Now()
	k, ok := e.dedupe.Find(c.workspace, c.upstreamID, now)
	if !ok {
		k = fgdedupe.NewKey(c.workspace, c.upstreamID, fgdedupe.WindowAt(now))
	}
	claim, first, err := e.dedupe.Begin(k, c.repeatDigest(r), now)
	return claim, k, first, err
}

// serveElsewhere serves a call whose record this process did not write now.
func (e *Entry) serveElsewhere(w http.ResponseWriter, r *http.Request, c *call, owner string, err error) error {
	switch {
	case err != nil:
		return err
	case owner == e.incarnation.String():
		// The entry was dropped with its window, or the record was written by a
		// call whose answer was lost.
		return outcomeUnknown("the key was used before, and its outcome is no longer kept")
	default:
		c.foreign = true
		return e.sendToOwner(w, r, c, owner)
	}
}

// serveOwnedForeign serves a foreign key that a peer's record names this
// process for. It never runs an id that this process does not hold.
func (e *Entry) serveOwnedForeign(w http.ResponseWriter, r *http.Request, c *call) error {
	c.settled = true
	k, ok := e.dedupe.Find(c.workspace, c.upstreamID, time.Now())
	if !ok {
		return outcomeUnknown("the key was used before, and its outcome is no longer kept")
	}
	claim, first, err := e.dedupe.Begin(k, c.repeatDigest(r), time.Now())
	switch {
	case err != nil:
		return beginProblem(err)
	case !first:
		return repeat(w, r, claim)
	case !claim.Reclaimed():
		// The entry was released between the two calls.
		return e.keepOutcome(w, claimed{key: k, claim: claim}, func(http.ResponseWriter) error {
			return outcomeUnknown("the key's first attempt is not kept")
		})
	default:
		return e.runClaimed(w, r, c, claimed{key: k, claim: claim, retain: true})
	}
}

// claimRecord writes the record of a foreign key. It returns no owner when
// this call wrote it, so that this process may run the request, and the owner
// that the record names otherwise.
func (e *Entry) claimRecord(ctx context.Context, digest string) (string, error) {
	mine := idemRecord{Incarnation: e.incarnation.String(), Attempt: fgrequest.NewTraceID()}
	data, err := json.Marshal(mine)
	if err != nil {
		return "", err
	}
	key := idemPrefix + digest
	for range maxRecordTries {
		if !e.foreign.take(fleetIdemWrites / float64(max(1, len(e.members.State().All())))) {
			return e.readRecord(ctx, key, mine, noRecord("the fleet's budget for foreign Idempotency-Keys is spent"))
		}
		_, err := e.store.CompareAndSwap(ctx, key, 0, data)
		switch {
		case err == nil:
			return "", nil
		case errors.Is(err, fgstore.ErrUnavailable):
			return "", noRecord("the platform takes no record of a foreign Idempotency-Key")
		case errors.Is(err, fgstore.ErrConflict):
			return e.readRecord(ctx, key, mine, outcomeUnknown("the record of the Idempotency-Key cannot be read"))
		}
		// The answer was lost: the write may have taken effect, or may do so
		// later. The next write conflicts with it in both cases.
	}
	return e.readRecord(ctx, key, mine, noRecord("the platform does not answer"))
}

// readRecord returns the owner that a record names, or none when this call
// wrote it. Without a record it returns the refusal.
func (e *Entry) readRecord(ctx context.Context, key string, mine idemRecord, refusal error) (string, error) {
	v, err := e.store.Get(ctx, key)
	if err != nil {
		return "", refusal
	}
	var found idemRecord
	if err := json.Unmarshal(v.Data, &found); err != nil {
		return "", outcomeUnknown("the record of the Idempotency-Key is not readable")
	}
	if found == mine {
		return "", nil
	}
	return found.Incarnation, nil
}

// noRecord refuses a call that no record can be written for. Its outcome is
// unknown, because another process may have run an earlier arrival of the key.
func noRecord(reason string) error {
	return outcomeUnknown(reason + foreignHint).WithRetryAfter(submitRetryAfter)
}
