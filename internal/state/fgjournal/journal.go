// Package fgjournal defines a versioned document that is changed by
// compare-and-swap of one stored value. The value holds the newest entries, so
// a change is one write and a reader that follows sees each change.
package fgjournal

import (
	"encoding/json"
	"slices"
)

// MaxRecentIDs is the number of change ids kept to recognise a write whose
// answer was lost.
const MaxRecentIDs = 1024

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

// Head is the stored value of a journal.
type Head struct {
	Generation uint64          `json:"generation"`
	Entries    []Entry         `json:"entries"`
	Recent     []AppliedChange `json:"recent"`
}

// Append returns a head with one more entry. The receiver is unchanged.
func (h Head) Append(changeID string, payload json.RawMessage) Head {
	next := h.Generation + 1
	recent := append(slices.Clone(h.Recent), AppliedChange{ChangeID: changeID, Generation: next})
	if len(recent) > MaxRecentIDs {
		recent = recent[len(recent)-MaxRecentIDs:]
	}
	entries := append(slices.Clone(h.Entries), Entry{Generation: next, ChangeID: changeID, Payload: payload})
	return Head{Generation: next, Entries: entries, Recent: recent}
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
