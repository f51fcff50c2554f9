// Package fgkey defines the format and the digests of callers' keys, and removes
// keys from the requests that upstreams receive.
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
	// Prefix is the start of every key, so that keys can be found in any text.
	Prefix = "fgk_"

	idBytes      = 8
	secretBytes  = 24
	bearerScheme = "Bearer "
)

// Errors of FromHeader and Parse.
var (
	ErrMissing   = merry.Sentinel("no key")
	ErrMalformed = merry.Sentinel("malformed key")
)

// Key is a caller's credential. Only Reveal returns its secret; formatting the
// value does not show it.
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

// ID returns the public part, which is the name of the key's resource.
func (k Key) ID() string { return k.id }

// Reveal returns the whole key, which is shown once to the operator who issues
// it.
func (k Key) Reveal() string { return Prefix + k.id + "_" + k.secret }

// String returns the prefix and the public part, without the secret.
func (k Key) String() string { return Prefix + k.id }

// Digest returns the lower-case hex SHA-256 of the secret.
func (k Key) Digest() string {
	sum := sha256.Sum256([]byte(k.secret))
	return hex.EncodeToString(sum[:])
}

// Matches reports whether the key has the given digest. It takes constant time.
func (k Key) Matches(digest string) bool {
	return subtle.ConstantTimeCompare([]byte(k.Digest()), []byte(digest)) == 1
}

// Parse parses a key of the form fgk_<id>_<secret>.
func Parse(text string) (Key, error) {
	rest, ok := strings.CutPrefix(text, Prefix)
	if !ok {
		return Key{}, ErrMalformed
	}
	id, secret, ok := strings.Cut(rest, "_")
	if !ok || len(text) != keyLength || matchKey([]byte(text)) != keyLength {
		return Key{}, ErrMalformed
	}
	return Key{id: id, secret: secret}, nil
}

// FromHeader returns the key in a request's Authorization header.
func FromHeader(h http.Header) (Key, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return Key{}, ErrMissing
	}
	text, ok := strings.CutPrefix(values[0], bearerScheme)
	if len(values) > 1 || !ok {
		return Key{}, ErrMalformed
	}
	return Parse(strings.TrimSpace(text))
}
