package fgkey

import (
	"io"
	"net/http"

	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
)

// scanBytes is how much of a body is read at once.
const scanBytes = 32 << 10

// scannedBody passes a body on up to the first key. It holds back the bytes
// that may be the beginning of a key until more of the body has arrived.
type scannedBody struct {
	source  io.ReadCloser
	buffer  []byte
	release int
	err     error
}

func newScannedBody(source io.ReadCloser) io.ReadCloser {
	if source == nil || source == http.NoBody {
		return source
	}
	return &scannedBody{source: source}
}

// Read returns bytes that are not part of a key, or the refusal when the next
// ones are.
func (b *scannedBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for b.release == 0 && b.err == nil {
		b.fill()
	}
	if b.release == 0 {
		return 0, b.err
	}
	n := copy(p, b.buffer[:b.release])
	b.release -= n
	b.buffer = b.buffer[:copy(b.buffer, b.buffer[n:])]
	return n, nil
}

// fill reads once and decides how many of the held bytes may pass.
func (b *scannedBody) fill() {
	held := len(b.buffer)
	if cap(b.buffer) == 0 {
		b.buffer = make([]byte, 0, scanBytes+length)
	}
	n, err := b.source.Read(b.buffer[held : held+scanBytes])
	b.buffer = b.buffer[:held+n]
	b.err = err
	start, whole := findKey(b.buffer)
	switch {
	case whole:
		b.release, b.err = start, inBody()
	case err != nil:
		b.release = len(b.buffer)
	default:
		b.release = start
	}
}

// Close closes the source.
func (b *scannedBody) Close() error { return b.source.Close() }

// CheckBody refuses a body, or its first part, that contains a key before any
// of it is sent.
func CheckBody(data []byte) error {
	if _, whole := findKey(data); whole {
		return fgproblem.New(http.StatusBadRequest, fgproblem.CodeKeyInBody, "the body contains a key")
	}
	return nil
}

func inBody() error {
	return fgproblem.New(http.StatusBadRequest, fgproblem.CodeKeyInBody,
		"the body contains a key; the request was cut before it").WithOutcome(fgproblem.Unknown)
}

// findKey returns where the first key begins and true, or where the first
// beginning of a key that reaches the end of data starts, else len(data).
func findKey(data []byte) (int, bool) {
	for i := range data {
		if data[i]|0x20 != Prefix[0] {
			continue
		}
		n := matchKey(data[i:])
		if n == length {
			return i, true
		}
		if i+n == len(data) {
			return i, false
		}
	}
	return len(data), false
}

// matchKey returns how many of the leading bytes have a key's form.
func matchKey(data []byte) int {
	const separator = len(Prefix) + 2*idBytes
	for i := range min(len(data), length) {
		var ok bool
		switch {
		case i == len(Prefix)-1, i == separator:
			ok = data[i] == '_'
		case i < len(Prefix):
			ok = data[i]|0x20 == Prefix[i]
		default:
			ok = hexValue(data[i]) >= 0
		}
		if !ok {
			return i
		}
	}
	return min(len(data), length)
}
