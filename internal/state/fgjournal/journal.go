// Package fgjournal holds the versioned document in which a journal is stored:
// its newest entries and a reference to a snapshot of what came before them.
package fgjournal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"

	"github.com/ansel1/merry/v2"
)

const (
	// MaxRecentIDs is the number of change ids kept to recognise a write whose
	// answer was lost.
	MaxRecentIDs = 1024
	// MaxEntriesBytes bounds the payloads in a head. Above it, the older entries
	// are replaced by a snapshot.
	MaxEntriesBytes = 256 << 10
	// keptEntriesBytes bounds the payloads that stay in a head after compaction,
	// so that replicas that lag a little need no snapshot.
	keptEntriesBytes = 64 << 10
	// MaxPayloadBytes bounds one entry. With it, MaxEntriesBytes and the bound on
	// change ids, a head always fits the platform's limit of 1 MiB.
	MaxPayloadBytes = 192 << 10
	// entryOverheadBytes bounds what an entry takes besides its payload and id,
	// so that many tiny entries cannot outgrow the bound.
	entryOverheadBytes = 128
)

// ErrTooLarge means that a change does not fit into one entry.
var ErrTooLarge = merry.Sentinel("the change is too large")

// ErrChangeID means that a change id cannot be stored.
var ErrChangeID = merry.Sentinel("a change id has 1 to 64 characters of a-z, A-Z, 0-9, '.', '_' and '-'")

var changeIDPattern = regexp.MustCompile(`^[a-zA-Z0-9._-]{1,64}$`)

// Entry is one change. Generations count up by one.
type Entry struct {
	Generation uint64          `json:"generation"`
	ChangeID   string          `json:"changeId"`
	Payload    json.RawMessage `json:"payload"`
}

// AppliedChange records the generation that a change id received.
type AppliedChange struct {
	ChangeID   string `json:"changeId"`
	Generation uint64 `json:"generation"`
}

// SnapshotRef names an immutable snapshot of the document at a generation.
type SnapshotRef struct {
	ID         string `json:"id"`
	Generation uint64 `json:"generation"`
	Parts      int    `json:"parts"`
}

// Head is the stored value of a journal.
type Head struct {
	Generation uint64          `json:"generation"`
	Entries    []Entry         `json:"entries"`
	Recent     []AppliedChange `json:"recent"`
	Snapshot   *SnapshotRef    `json:"snapshot,omitempty"`
}

// Normalize checks a change and returns its payload in the form in which it is
// stored. The encoder escapes some characters, so only this form has the
// final size.
func Normalize(changeID string, payload json.RawMessage) (json.RawMessage, error) {
	if !changeIDPattern.MatchString(changeID) {
		return nil, merry.Wrap(ErrChangeID)
	}
	stored, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	if len(stored) > MaxPayloadBytes {
		return nil, fmt.Errorf("%w: it has %d bytes; accepted are %d", ErrTooLarge, len(stored), MaxPayloadBytes)
	}
	return bytes.Clone(stored), nil
}

// Append returns a head with one more entry. The receiver is unchanged.
func (h Head) Append(changeID string, payload json.RawMessage) Head {
	next := h.Generation + 1
	recent := append(slices.Clone(h.Recent), AppliedChange{ChangeID: changeID, Generation: next})
	if len(recent) > MaxRecentIDs {
		recent = recent[len(recent)-MaxRecentIDs:]
	}
	entries := append(slices.Clone(h.Entries), Entry{Generation: next, ChangeID: changeID, Payload: payload})
	return Head{Generation: next, Entries: entries, Recent: recent, Snapshot: h.Snapshot}
}

// Full reports whether a further payload exceeds MaxEntriesBytes, so that the
// head must be compacted first.
func (h Head) Full(payload json.RawMessage) bool {
	return entriesBytes(h.Entries)+len(payload)+entryOverheadBytes > MaxEntriesBytes
}

// Compact returns a head whose older entries are replaced by a snapshot taken
// at the head's generation. The receiver is unchanged.
func (h Head) Compact(ref SnapshotRef) Head {
	kept := h.Entries
	for len(kept) > 0 && entriesBytes(kept) > keptEntriesBytes {
		kept = kept[1:]
	}
	h.Entries = slices.Clone(kept)
	h.Snapshot = &ref
	return h
}

func entriesBytes(entries []Entry) int {
	total := 0
	for _, e := range entries {
		total += len(e.Payload) + len(e.ChangeID) + entryOverheadBytes
	}
	return total
}

// Find returns the generation of a change id, if the head still knows it.
func (h Head) Find(changeID string) (uint64, bool) {
	for _, c := range slices.Backward(h.Recent) {
		if c.ChangeID == changeID {
			return c.Generation, true
		}
	}
	return 0, false
}

// Since returns the entries after a generation, and false when the head no
// longer holds all of them.
func (h Head) Since(generation uint64) ([]Entry, bool) {
	missing := h.Generation - min(generation, h.Generation)
	if missing > uint64(len(h.Entries)) {
		return nil, false
	}
	return h.Entries[len(h.Entries)-int(missing):], true
}

// After returns the part of a head that a replica at a generation lacks, and
// false when the replica needs a snapshot. Extend is its inverse.
func (h Head) After(generation uint64) (Head, bool) {
	entries, ok := h.Since(generation)
	if !ok {
		return Head{}, false
	}
	return Head{Generation: h.Generation, Entries: entries, Snapshot: h.Snapshot}, true
}

// Extend returns the whole head from an older one and the part after it. It
// reports false when the two do not follow each other.
func (h Head) Extend(part Head) (Head, bool) {
	if len(part.Entries) == 0 || part.Entries[0].Generation != h.Generation+1 {
		return Head{}, false
	}
	out := h
	for _, e := range part.Entries {
		if out.Full(e.Payload) && part.Snapshot != nil {
			out = out.Compact(*part.Snapshot)
		}
		out = out.Append(e.ChangeID, e.Payload)
	}
	out.Snapshot = part.Snapshot
	return out, out.Generation == part.Generation
}

// Valid reports whether the generations of the entries count up to the head's.
func (h Head) Valid() bool {
	first := h.Generation - uint64(len(h.Entries)) + 1
	if uint64(len(h.Entries)) > h.Generation {
		return false
	}
	for i, e := range h.Entries {
		if e.Generation != first+uint64(i) {
			return false
		}
	}
	return true
}
