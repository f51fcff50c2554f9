// Package fgrequest defines ids of requests. An id of a non-idempotent request
// names the process that alone may run it, and the time window in which it was
// given out.
package fgrequest

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// MaxSuffixBytes is the longest suffix that a caller may choose.
const MaxSuffixBytes = 64

// ErrForeign marks an id that does not carry a prefix of this system.
var ErrForeign = merry.Sentinel("the id names no process")

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

// String returns 16 hex digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ParseIncarnation reads 16 hex digits.
func ParseIncarnation(text string) (Incarnation, error) {
	if len(text) != 16 {
		return 0, merry.Wrap(ErrForeign)
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, merry.Wrap(ErrForeign)
	}
	return Incarnation(n), nil
}

// ID is the id of a non-idempotent request.
type ID struct {
	incarnation Incarnation
	window      uint64
	suffix      string
}

// Incarnation returns the process that alone may run the request.
func (i ID) Incarnation() Incarnation { return i.incarnation }

// Window returns the number of the window in which the prefix was given out.
func (i ID) Window() uint64 { return i.window }

// Suffix returns the caller's part.
func (i ID) Suffix() string { return i.suffix }

// String returns <incarnation>-<window>-<suffix>.
func (i ID) String() string { return Prefix(i.incarnation, i.window) + "-" + i.suffix }

// Prefix returns the part of an id that a look-up answer gives.
func Prefix(i Incarnation, window uint64) string {
	return i.String() + "-" + strconv.FormatUint(window, 10)
}

// ParseID reads an id. An id of any other form is ErrForeign, also one that
// String would write differently: two texts are never the same id.
func ParseID(text string) (ID, error) {
	parts := strings.SplitN(text, "-", 3)
	if len(parts) != 3 || parts[2] == "" || len(parts[2]) > MaxSuffixBytes {
		return ID{}, merry.Wrap(ErrForeign)
	}
	incarnation, err := ParseIncarnation(parts[0])
	if err != nil {
		return ID{}, err
	}
	window, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ID{}, merry.Wrap(ErrForeign)
	}
	id := ID{incarnation: incarnation, window: window, suffix: parts[2]}
	if id.String() != text || !visible(parts[2]) {
		return ID{}, merry.Wrap(ErrForeign)
	}
	return id, nil
}

// visible reports whether a text can be sent in a header field unchanged.
func visible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// NewTraceID returns a random id for logs, for a request without one.
func NewTraceID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
