package fgkey

import "strings"

const (
	// length is the number of bytes of a key.
	length = len(Prefix) + 2*idBytes + 1 + 2*secretBytes

	// maxDepth bounds how many encodings within each other are undone. Text
	// that is still encoded after that counts as a key, so that a deeper
	// nesting cannot hide one.
	maxDepth = 4

	// minPlain is the length of the shortest text that counts as a key's form.
	minPlain = len(Prefix) + 3

	// minBytes is the length of the shortest beginning of a key that tells
	// something of its secret.
	minBytes = len(Prefix) + 2*idBytes + 2
	// minBase64 is the length of the base64 text of minBytes.
	minBase64 = minBytes * 4 / 3

	// decodedBytes is the size of a decoded run that needs no allocation.
	decodedBytes = 512
	base64Group  = 4
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
func containsPlain[T string | []byte](text T) bool {
	for i := 0; i+minPlain <= len(text); i++ {
		if text[i]|0x20 != Prefix[0] || text[i+1]|0x20 != Prefix[1] || text[i+2]|0x20 != Prefix[2] || text[i+3] != Prefix[3] {
			continue
		}
		id := i + len(Prefix)
		for id < len(text) && isAlphanumeric(text[id]) {
			id++
		}
		if id > i+len(Prefix) && id+1 < len(text) && text[id] == '_' && isAlphanumeric(text[id+1]) {
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
	var stack [decodedBytes]byte
	for offset := range base64Group {
		decoded := decodeRun(stack[:0], run[offset:])
		if containsPlain(decoded) || mayBeEncoded(decoded) && contains(string(decoded), depth-1) {
			return true
		}
	}
	return false
}

// decodeRun decodes base64 of either alphabet without padding. The bits of an
// incomplete last byte are dropped.
func decodeRun(out []byte, run string) []byte {
	bits, count := uint32(0), 0
	for i := range len(run) {
		bits = bits<<6 | uint32(base64Value(run[i]))
		if count += 6; count >= 8 {
			count -= 8
			out = append(out, byte(bits>>count))
		}
	}
	return out
}

func base64Value(c byte) byte {
	switch {
	case 'A' <= c && c <= 'Z':
		return c - 'A'
	case 'a' <= c && c <= 'z':
		return c - 'a' + 26
	case '0' <= c && c <= '9':
		return c - '0' + 52
	case c == '+' || c == '-':
		return 62
	default:
		return 63
	}
}

// mayBeEncoded reports whether decoded bytes hold enough text for a key that is
// encoded once more, so that random tokens are not searched further.
func mayBeEncoded(decoded []byte) bool {
	printable := 0
	for _, c := range decoded {
		if c < ' ' || c > '~' {
			printable = 0
			continue
		}
		if printable++; printable >= minBytes {
			return true
		}
	}
	return false
}

func isBase64(c byte) bool {
	return isAlphanumeric(c) || c == '+' || c == '/' || c == '-' || c == '_'
}
