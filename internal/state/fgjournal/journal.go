// Package fgjournal defines the stored form of a journal, which is a log of changes
// to a document. Its head holds the newest entries and a reference to a snapshot of
// the document that replaces the older ones.
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
	// MaxRecentIDs is the number of change ids kept in a head. They show whether a
	// write without a response took effect.
	MaxRecentIDs = 1024
	// MaxEntriesBytes bounds the size of the entries in a head. Beyond it, the older
	// entries are replaced by a snapshot.
	MaxEntriesBytes = 256 << 10
	// keptEntriesBytes bounds the size of the entries that stay in a head after
	// compaction, so that replicas that lag slightly need no snapshot.
	keptEntriesBytes = 64 << 10
	// MaxPayloadBytes bounds the payload of one entry. Together with MaxEntriesBytes
	// and the bounds on change ids it keeps a head below the platform's limit of
	// 1 MiB.
	MaxPayloadBytes = 192 << 10
	// entryOverheadBytes is an upper bound of an entry's encoded size without its
	// payload and id. It keeps many tiny entries from exceeding MaxEntriesBytes.
	entryOverheadBytes = 128
)

// ErrTooLarge means that the payload of a change exceeds MaxPayloadBytes.
var ErrTooLarge = merry.Sentinel("the change is too large")

// ErrChangeID means that a change id is malformed.
var ErrChangeID = merry.Sentinel("a change id must have 1 to 64 characters of a-z, A-Z, 0-9, '.', '_' and '-'")

var changeIDPattern = regexp.MustCompile(`^[a-zA-Z0-9._-]{1,64}$`)

// Entry is one change. The generations of consecutive entries differ by one.
type Entry struct {
	Generation uint64          `json:"generation"`
	ChangeID   string          `json:"changeId"`
	Payload    json.RawMessage `json:"payload"`
}

// AppliedChange records the generation of the change with an id.
type AppliedChange struct {
	ChangeID   string `json:"changeId"`
	Generation uint64 `json:"generation"`
}

// SnapshotRef refers to an immutable snapshot of the document at a generation, which
// is stored in a number of parts.
type SnapshotRef struct {
	ID         string `json:"id"`
	Generation uint64 `json:"generation"`
	Parts      int    `json:"parts"`
}

// Head is the stored value of a journal. Its methods do not modify it.
type Head struct {
	Generation uint64          `json:"generation"`
	Entries    []Entry         `json:"entries"`
	Recent     []AppliedChange `json:"recent"`
	Snapshot   *SnapshotRef    `json:"snapshot,omitempty"`
}

// Normalize checks a change and returns its payload as it is stored. The JSON
// encoder escapes some characters, so the size limit applies to this form.
func Normalize(changeID string, payload json.RawMessage) (json.RawMessage, error) {
	if !changeIDPattern.MatchString(changeID) {
		return nil, merry.Wrap(ErrChangeID)
	}
	stored, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	if len(stored) > MaxPayloadBytes {
		return nil, fmt.Errorf("%w: its payload has %d bytes, the maximum is %d", ErrTooLarge, len(stored), MaxPayloadBytes)
	}
	return bytes.Clone(stored), nil
}

// Append returns a head with one more entry.
func (h Head) Append(changeID string, payload json.RawMessage) Head {
	next := h.Generation + 1
	recent := append(slices.Clone(h.Recent), AppliedChange{ChangeID: changeID, Generation: next})
	if len(recent) > MaxRecentIDs {
		recent = recent[len(recent)-MaxRecentIDs:]
	}
	entries := append(slices.Clone(h.Entries), Entry{Generation: next, ChangeID: changeID, Payload: payload})
	return Head{Generation: next, Entries: entries, Recent: recent, Snapshot: h.Snapshot}
}

// Full reports whether an entry with a payload would exceed MaxEntriesBytes, so that
// the head must be compacted first.
func (h Head) Full(payload json.RawMessage) bool {
	return entriesBytes(h.Entries)+len(payload)+entryOverheadBytes > MaxEntriesBytes
}

// Compact returns a head whose older entries are replaced by a snapshot, which must
// be of the head's generation.
func (h Head) Compact(ref SnapshotRef) Head {
	remaining := h.Entries
	for len(remaining) > 0 && entriesBytes(remaining) > keptEntriesBytes {
		remaining = remaining[1:]
	}
	h.Entries = slices.Clone(remaining)
	h.Snapshot = &ref
	return h
}

// entriesBytes returns an upper bound of the encoded size of entries.
func entriesBytes(entries []Entry) int {
	total := 0
	for _, e := range entries {
		total += len(e.Payload) + len(e.ChangeID) + entryOverheadBytes
	}
	return total
}

// Find returns the generation of the change with an id, and false if the id is not
// among the recent ones.
func (h Head) Find(changeID string) (uint64, bool) {
	for _, c := range slices.Backward(h.Recent) {
		if c.ChangeID == changeID {
			return c.Generation, true
		}
	}
	return 0, false
}

// Since returns the entries after a generation, and false if the head no longer
// contains all of them.
func (h Head) Since(generation uint64) ([]Entry, bool) {
	missing := h.Generation - min(generation, h.Generation)
	if missing > uint64(len(h.Entries)) {
		return nil, false
	}
	return h.Entries[len(h.Entries)-int(missing):], true
}

// After returns the part of the head that a replica at a generation lacks, and false
// if the replica needs a snapshot instead. The replica applies it with Extend.
func (h Head) After(generation uint64) (Head, bool) {
	entries, ok := h.Since(generation)
	if !ok {
		return Head{}, false
	}
	return Head{Generation: h.Generation, Entries: entries, Snapshot: h.Snapshot}, true
}

// Extend returns the head with a part appended that After returned. It reports false
// if the part does not start at the generation after the receiver's.
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

// Valid reports whether the entries have consecutive generations of which the last
// is the head's.
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
