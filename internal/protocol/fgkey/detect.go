package fgkey

import (
	"encoding/base64"
	"strings"
)

const (
	// length is the number of bytes of a key.
	length = len(Prefix) + 2*idBytes + 1 + 2*secretBytes

	// maxDepth bounds how many encodings within each other are undone. Text
	// that is still encoded after that counts as a key, so that a deeper
	// nesting cannot hide one.
	maxDepth = 4

	// minBase64 is the length of the shortest base64 text that can hold the
	// beginning of a key: the prefix, one character of the id, the separator
	// and one character of the secret.
	minBase64 = (len(Prefix) + 3) * 4 / 3

	base64Group = 4
)

// Contains reports whether text contains something of a key's form, plain or
// percent- or base64-encoded, in any letter case. A cut key counts as well: an
// id, the separator and the beginning of a secret are enough.
func Contains(text string) bool { return contains(text, maxDepth) }

func contains(text string, depth int) bool {
	if containsPlain(text) {
		return true
	}
	if decoded, ok := percentDecode(text); ok {
		return depth == 0 || contains(decoded, depth-1)
	}
	return containsBase64(text, depth)
}

// containsPlain looks for fgk_<alphanumerics>_<alphanumeric>.
func containsPlain(text string) bool {
	for i := 0; i+len(Prefix) < len(text); i++ {
		if text[i]|0x20 != Prefix[0] || !strings.EqualFold(text[i:i+len(Prefix)], Prefix) {
			continue
		}
		id := 0
		rest := text[i+len(Prefix):]
		for id < len(rest) && isAlphanumeric(rest[id]) {
			id++
		}
		if id > 0 && id+1 < len(rest) && rest[id] == '_' && isAlphanumeric(rest[id+1]) {
			return true
		}
	}
	return false
}

func isAlphanumeric(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z'
}

// percentDecode undoes one level of percent encoding. It leaves invalid
// escapes as they are, because upstreams differ in how they read them, and
// reports false when there was nothing to undo.
func percentDecode(text string) (string, bool) {
	if strings.IndexByte(text, '%') < 0 {
		return text, false
	}
	out := make([]byte, 0, len(text))
	changed := false
	for i := 0; i < len(text); i++ {
		high, low := -1, -1
		if text[i] == '%' && i+2 < len(text) {
			high, low = hexValue(text[i+1]), hexValue(text[i+2])
		}
		if high < 0 || low < 0 {
			out = append(out, text[i])
			continue
		}
		out = append(out, byte(high<<4|low))
		changed = true
		i += 2
	}
	return string(out), changed
}

func hexValue(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	default:
		return -1
	}
}

// containsBase64 decodes each run of base64 characters of either alphabet. A
// run may begin with characters that are not part of the encoded text, so it is
// decoded at each of the four alignments.
func containsBase64(text string, depth int) bool {
	for start := 0; start < len(text); {
		end := start
		for end < len(text) && isBase64(text[end]) {
			end++
		}
		if end-start >= minBase64 && runContains(text[start:end], depth) {
			return true
		}
		start = end + 1
	}
	return false
}

func runContains(run string, depth int) bool {
	if depth == 0 {
		return false
	}
	standard := strings.NewReplacer("-", "+", "_", "/").Replace(run)
	for offset := range base64Group {
		part := standard[offset:]
		if len(part)%base64Group == 1 {
			part = part[:len(part)-1]
		}
		decoded, err := base64.RawStdEncoding.DecodeString(part)
		if err == nil && mayHoldKey(decoded) && contains(string(decoded), depth-1) {
			return true
		}
	}
	return false
}

// mayHoldKey skips decoded runs that are not text around a key, so that random
// tokens are not searched for further encodings.
func mayHoldKey(decoded []byte) bool {
	printable := 0
	for _, c := range decoded {
		if ' ' <= c && c <= '~' {
			printable++
			if printable >= len(Prefix)+3 {
				return true
			}
			continue
		}
		printable = 0
	}
	return false
}

func isBase64(c byte) bool {
	return isAlphanumeric(c) || c == '+' || c == '/' || c == '-' || c == '_'
}
