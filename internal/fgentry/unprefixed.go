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
	// idemPrefix is the prefix of the platform keys that hold the records of
	// unprefixed Idempotency-Keys.
	idemPrefix = "idem/"
	// fleetRecordWritesPerSecond limits the record writes of the whole fleet.
	// The platform serves several hundred writes/s in all.
	fleetRecordWritesPerSecond = 100
	// maxRecordWrites bounds how often the write of a record is sent while the
	// result of each write is unknown.
	maxRecordWrites   = 3
	unprefixedKeyHint = "; this attempt was not run, but an earlier one with the key may have been. Ids that begin with the idPrefix of a look-up response need no record"
)

// idemRecord is the platform's record of an unprefixed Idempotency-Key, which
// does not begin with an idPrefix and so names no entry process.
type idemRecord struct {
	// Incarnation identifies the only process that may run the request.
	Incarnation string `json:"incarnation"`
	// Attempt distinguishes this write from earlier writes by the same process.
	Attempt string `json:"attempt"`
}

// writeBudget is a token bucket. Its burst is one second's tokens, but at least
// one token.
type writeBudget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

func (b *writeBudget) take(perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.refilledAt.IsZero() {
		b.tokens = perSecond
	}
	b.tokens = min(max(perSecond, 1), b.tokens+perSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// serveUnprefixed runs a call whose Idempotency-Key names no process. A record
// in the platform names the only process that may run it.
func (e *Entry) serveUnprefixed(w http.ResponseWriter, r *http.Request, c *call) error {
	c.duplicatesChecked = true
	c.upstreamID = hexDigest(c.workspace, c.idempotencyKey)
	claim, k, first, err := e.beginUnprefixed(r, c)
	if err != nil {
		return claimRefusal(err)
	}
	if !first {
		return serveDuplicate(w, r, claim)
	}
	if claim.Reclaimed() {
		return e.runClaimed(w, r, c, claimedCall{key: k, claim: claim, retain: true})
	}
	owner, err := e.claimRecord(r.Context(), c.upstreamID)
	if err != nil || owner != "" {
		return e.recordOutcome(w, claimedCall{key: k, claim: claim}, func(w http.ResponseWriter) error {
			return e.serveExistingRecord(w, r, c, owner, err)
		})
	}
	return e.runClaimed(w, r, c, claimedCall{key: k, claim: claim, retain: true})
}

func (e *Entry) beginUnprefixed(r *http.Request, c *call) (*fgdedupe.Claim, fgdedupe.Key, bool, error) {
	now := time.Now()
	k, ok := e.dedupe.Find(c.workspace, c.upstreamID, now)
	if !ok {
		k = fgdedupe.NewKey(c.workspace, c.upstreamID, fgdedupe.WindowAt(now))
	}
	claim, first, err := e.dedupe.Begin(k, c.requestDigest(r), now)
	return claim, k, first, err
}

// serveExistingRecord serves a call for which this process did not write the
// record just now: the record exists already, or the write failed with err.
func (e *Entry) serveExistingRecord(w http.ResponseWriter, r *http.Request, c *call, owner string, err error) error {
	switch {
	case err != nil:
		return err
	case owner == e.incarnation.String():
		// The deduplication entry was removed with its time window, or the
		// record was written by a call that did not receive the platform's
		// response.
		return outcomeUnknown("the key was used before, and its outcome is no longer stored")
	default:
		c.unprefixed = true
		return e.sendToOwner(w, r, c, owner)
	}
}

// serveOwnedUnprefixed serves an unprefixed Idempotency-Key whose record names
// this process. It never runs a key that is not in the deduplication table.
func (e *Entry) serveOwnedUnprefixed(w http.ResponseWriter, r *http.Request, c *call) error {
	c.duplicatesChecked = true
	k, ok := e.dedupe.Find(c.workspace, c.upstreamID, time.Now())
	if !ok {
		return outcomeUnknown("the key was used before, and its outcome is no longer stored")
	}
	claim, first, err := e.dedupe.Begin(k, c.requestDigest(r), time.Now())
	switch {
	case err != nil:
		return claimRefusal(err)
	case !first:
		return serveDuplicate(w, r, claim)
	case !claim.Reclaimed():
		// The entry was released between Find and Begin.
		return e.recordOutcome(w, claimedCall{key: k, claim: claim}, func(http.ResponseWriter) error {
			return outcomeUnknown("the outcome of the key's first attempt is no longer stored")
		})
	default:
		return e.runClaimed(w, r, c, claimedCall{key: k, claim: claim, retain: true})
	}
}

// claimRecord writes the record of an unprefixed Idempotency-Key. It returns an
// empty owner if this call wrote the record, so that this process may run the
// request, and otherwise the incarnation that the record names.
func (e *Entry) claimRecord(ctx context.Context, digest string) (string, error) {
	own := idemRecord{Incarnation: e.incarnation.String(), Attempt: fgrequest.NewTraceID()}
	data, err := json.Marshal(own)
	if err != nil {
		return "", err
	}
	key := idemPrefix + digest
	for range maxRecordWrites {
		if !e.recordWrites.take(fleetRecordWritesPerSecond / float64(max(1, len(e.members.State().All())))) {
			return e.readRecord(ctx, key, own, recordUnavailable("the fleet's write budget for records of Idempotency-Keys without an idPrefix is used up"))
		}
		_, err := e.store.CompareAndSwap(ctx, key, 0, data)
		switch {
		case err == nil:
			return "", nil
		case errors.Is(err, fgstore.ErrUnavailable):
			return "", recordUnavailable("the platform is unavailable, so no record of the Idempotency-Key was written")
		case errors.Is(err, fgstore.ErrConflict):
			return e.readRecord(ctx, key, own, outcomeUnknown("the record of the Idempotency-Key cannot be read"))
		}
		// The result of the write is unknown: it may have taken effect, or may
		// do so later. In both cases, the next write conflicts with it.
	}
	return e.readRecord(ctx, key, own, recordUnavailable("the platform does not respond"))
}

// readRecord returns the incarnation that a record names, or an empty one if
// this call wrote the record. It returns the given refusal if there is no
// record.
func (e *Entry) readRecord(ctx context.Context, key string, own idemRecord, refusal error) (string, error) {
	v, err := e.store.Get(ctx, key)
	if err != nil {
		return "", refusal
	}
	var found idemRecord
	if err := json.Unmarshal(v.Data, &found); err != nil {
		return "", outcomeUnknown("the record of the Idempotency-Key cannot be decoded")
	}
	if found == own {
		return "", nil
	}
	return found.Incarnation, nil
}

// recordUnavailable returns the refusal of a call for which no record can be
// written. Its outcome is unknown, because another process may have run an
// earlier attempt with the key.
func recordUnavailable(reason string) error {
	return outcomeUnknown(reason + unprefixedKeyHint).WithRetryAfter(submitRetryAfter)
}
