// Package fgrequest defines request IDs. The ID of a non-idempotent request names
// the only process that may run the request, and the time window in which the
// ID's prefix was issued.
package fgrequest

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// MaxSuffixBytes is the maximum length of the suffix that a caller chooses.
const MaxSuffixBytes = 64

// ErrInvalidID means that an ID does not have the format of this system.
var ErrInvalidID = merry.Sentinel("the request id has an unknown format")

// Incarnation identifies one run of an entry process.
type Incarnation uint64

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	var n uint64
	for _, c := range b {
		n = n<<8 | uint64(c)
	}
	return Incarnation(n)
}

// String returns the incarnation as 16 lower-case hex digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ParseIncarnation parses 16 hex digits.
func ParseIncarnation(text string) (Incarnation, error) {
	if len(text) != 16 {
		return 0, merry.Wrap(ErrInvalidID)
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, merry.Wrap(ErrInvalidID)
	}
	return Incarnation(n), nil
}

// ID is the ID of a non-idempotent request.
type ID struct {
	incarnation Incarnation
	window      uint64
	suffix      string
}

// Incarnation returns the only process that may run the request.
func (i ID) Incarnation() Incarnation { return i.incarnation }

// Window returns the number of the time window in which the prefix was issued.
func (i ID) Window() uint64 { return i.window }

// Suffix returns the part that the caller has chosen.
func (i ID) Suffix() string { return i.suffix }

// String returns <incarnation>-<window>-<suffix>.
func (i ID) String() string { return Prefix(i.incarnation, i.window) + "-" + i.suffix }

// Prefix returns the start of an ID, <incarnation>-<window>, which a look-up
// response contains.
func Prefix(i Incarnation, window uint64) string {
	return i.String() + "-" + strconv.FormatUint(window, 10)
}

// ParseID parses an ID. It returns ErrInvalidID for any other format, and also if
// String would return a different text, so that no two texts denote the same ID.
func ParseID(text string) (ID, error) {
	parts := strings.SplitN(text, "-", 3)
	if len(parts) != 3 || parts[2] == "" || len(parts[2]) > MaxSuffixBytes {
		return ID{}, merry.Wrap(ErrInvalidID)
	}
	incarnation, err := ParseIncarnation(parts[0])
	if err != nil {
		return ID{}, err
	}
	window, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ID{}, merry.Wrap(ErrInvalidID)
	}
	id := ID{incarnation: incarnation, window: window, suffix: parts[2]}
	if id.String() != text || !isVisibleASCII(parts[2]) {
		return ID{}, merry.Wrap(ErrInvalidID)
	}
	return id, nil
}

// isVisibleASCII reports whether text has only visible ASCII characters, so that a
// header field can carry it unchanged.
func isVisibleASCII(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// NewTraceID returns a random ID that identifies a request in logs if the caller
// has sent none.
func NewTraceID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
