package fgkey

import (
	"io"
	"net/http"

	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
)

// readBytes is the maximum size of a single read from a body.
const readBytes = 32 << 10

// scannedBody is a request body that ends with an error at the first key. It
// buffers bytes that may be the start of a key until more of the body has
// arrived.
type scannedBody struct {
	source     io.ReadCloser
	buffer     []byte
	releasable int // number of buffered bytes that Read may return
	err        error
}

func newScannedBody(source io.ReadCloser) io.ReadCloser {
	if source == nil || source == http.NoBody {
		return source
	}
	return &scannedBody{source: source}
}

// Read returns bytes that are not part of a key. At the first key, it returns a
// refusal.
func (b *scannedBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for b.releasable == 0 && b.err == nil {
		b.fill()
	}
	if b.releasable == 0 {
		return 0, b.err
	}
	n := copy(p, b.buffer[:b.releasable])
	b.releasable -= n
	b.buffer = b.buffer[:copy(b.buffer, b.buffer[n:])]
	return n, nil
}

// fill reads from the source once and updates how many buffered bytes may be
// returned.
func (b *scannedBody) fill() {
	buffered := len(b.buffer)
	if cap(b.buffer) == 0 {
		b.buffer = make([]byte, 0, readBytes+keyLength)
	}
	n, err := b.source.Read(b.buffer[buffered : buffered+readBytes])
	b.buffer = b.buffer[:buffered+n]
	b.err = err
	start, complete := findKey(b.buffer)
	switch {
	case complete:
		b.releasable, b.err = start, keyInBodyRefusal()
	case err != nil:
		b.releasable = len(b.buffer)
	default:
		b.releasable = start
	}
}

// Close closes the source.
func (b *scannedBody) Close() error { return b.source.Close() }

// CheckBody returns a refusal if data contains a key. It is called with the whole
// body, or with the start of it, before any of it is sent to an upstream.
func CheckBody(data []byte) error {
	if _, complete := findKey(data); complete {
		return fgproblem.New(http.StatusBadRequest, fgproblem.CodeKeyInBody, "the body contains a key")
	}
	return nil
}

// keyInBodyRefusal returns the refusal for a key that was found after a part of
// the body had been sent.
func keyInBodyRefusal() error {
	return fgproblem.New(http.StatusBadRequest, fgproblem.CodeKeyInBody,
		"the body contains a key; the request was cut before it").WithOutcome(fgproblem.Unknown)
}

// findKey returns the index of the first key and true. Without a key, it returns
// false and the index of the first partial key that extends to the end of data,
// or len(data) if there is none.
func findKey(data []byte) (int, bool) {
	for i := range data {
		if data[i]|0x20 != Prefix[0] {
			continue
		}
		n := matchKey(data[i:])
		if n == keyLength {
			return i, true
		}
		if i+n == len(data) {
			return i, false
		}
	}
	return len(data), false
}

// matchKey returns how many leading bytes of data match the format of a key.
func matchKey(data []byte) int {
	const separator = len(Prefix) + 2*idBytes
	for i := range min(len(data), keyLength) {
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
	return min(len(data), keyLength)
}
