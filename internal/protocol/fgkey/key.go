// Package fgkey defines the format of callers' keys, their digests, and their
// removal from what upstreams receive.
package fgkey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

const (
	// Prefix begins every key, so that keys can be recognised in any text.
	Prefix = "fgk_"

	idBytes     = 8
	secretBytes = 24
	bearer      = "Bearer "
)

// Sentinel errors of presented keys.
var (
	ErrMissing   = merry.Sentinel("no key")
	ErrMalformed = merry.Sentinel("malformed key")
)

// Key is a credential as its caller presents it. Its secret has no accessor
// and does not appear when the value is formatted.
type Key struct {
	id     string
	secret string
}

// New returns a random key.
func New() Key {
	return Key{id: randomHex(idBytes), secret: randomHex(secretBytes)}
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// ID returns the public part, which names the key as a resource.
func (k Key) ID() string { return k.id }

// Reveal returns the whole key, to be shown once to the operator who issues it.
func (k Key) Reveal() string { return Prefix + k.id + "_" + k.secret }

// String returns the public part only.
func (k Key) String() string { return Prefix + k.id }

// Digest returns the lower-case hex SHA-256 of the secret.
func (k Key) Digest() string {
	sum := sha256.Sum256([]byte(k.secret))
	return hex.EncodeToString(sum[:])
}

// Matches compares the key with a digest in constant time.
func (k Key) Matches(digest string) bool {
	return subtle.ConstantTimeCompare([]byte(k.Digest()), []byte(digest)) == 1
}

// Parse reads a key in the form fgk_<id>_<secret>.
func Parse(text string) (Key, error) {
	rest, ok := strings.CutPrefix(text, Prefix)
	if !ok {
		return Key{}, ErrMalformed
	}
	id, secret, ok := strings.Cut(rest, "_")
	if !ok || len(text) != length || matchKey([]byte(text)) != length {
		return Key{}, ErrMalformed
	}
	return Key{id: id, secret: secret}, nil
}

// FromHeader reads the key of a request's Authorization header.
func FromHeader(h http.Header) (Key, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return Key{}, ErrMissing
	}
	text, ok := strings.CutPrefix(values[0], bearer)
	if len(values) > 1 || !ok {
		return Key{}, ErrMalformed
	}
	return Parse(strings.TrimSpace(text))
}
