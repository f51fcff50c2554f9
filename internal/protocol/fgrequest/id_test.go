package fgrequest

import (
	"errors"
	"testing"
)

// Guards against two texts for the same ID, and against accepting an idempotency
// key of another format as an ID.
func TestParseID(t *testing.T) {
	tests := []struct {
		text string
		ok   bool
	}{
		{"00000000000000ff-12-a", true},
		{"00000000000000ff-12-a-b", true},
		{"00000000000000FF-12-a", false},
		{"00000000000000ff-012-a", false},
		{"00000000000000ff-+12-a", false},
		{"00000000000000ff-12-", false},
		{"00000000000000ff-12-a b", false},
		{"00000000000000ff-12-a\n", false},
		{"ff-12-a", false},
		{"order-12-a", false},
	}
	for _, tt := range tests {
		if _, err := ParseID(tt.text); (err == nil) != tt.ok || err != nil && !errors.Is(err, ErrInvalidID) {
			t.Errorf("ParseID(%q): error %v, want ok %v", tt.text, err, tt.ok)
		}
	}
}

// FuzzParseID guards against panics of the parser, and against accepting a text
// that String does not reproduce.
func FuzzParseID(f *testing.F) {
	for _, text := range []string{"00000000000000ff-12-a", "00000000000000ff-18446744073709551615-x", "--", "0-0-0", ""} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		if err != nil {
			return
		}
		if id.String() != text || len(id.Suffix()) > MaxSuffixBytes {
			t.Errorf("ParseID(%q) = %q", text, id)
		}
	})
}
