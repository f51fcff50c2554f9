package fgkey

import "strings"

const (
	// keyLength is the length of a key in bytes.
	keyLength = len(Prefix) + 2*idBytes + 1 + 2*secretBytes

	// maxEncodingDepth is how many levels of nested encoding are decoded. Text
	// that is still percent-encoded after that counts as a key, so that deeper
	// nesting cannot hide one.
	maxEncodingDepth = 4

	// minPlainLength is the length of the shortest text that counts as a partial
	// key: the prefix, one character of the ID, the separator and one character of
	// the secret.
	minPlainLength = len(Prefix) + 3

	// minPartialKeyLength is the length of the shortest start of a real key that
	// reveals a part of its secret.
	minPartialKeyLength = len(Prefix) + 2*idBytes + 2
	// minBase64Length is the length of the base64 text of minPartialKeyLength.
	minBase64Length = minPartialKeyLength * 4 / 3

	// decodeBufferBytes is the size of the stack buffer for decoded base64.
	decodeBufferBytes = 512
	base64Group       = 4 // characters that encode three bytes
)

// Contains reports whether text contains a key, in plain text, percent-encoded
// or base64-encoded, in any letter case. A truncated key counts as well: the
// prefix, an ID, the separator and the first character of a secret are enough.
func Contains(text string) bool { return contains(text, maxEncodingDepth) }

// contains implements Contains and decodes up to depth more levels.
func contains(text string, depth int) bool {
	if containsPlain(text) {
		return true
	}
	if decoded, ok := percentDecode(text); ok {
		return depth == 0 || contains(decoded, depth-1)
	}
	return containsBase64(text, depth)
}

// containsPlain reports whether text contains fgk_<alphanumerics>_<alphanumeric>.
func containsPlain[T string | []byte](text T) bool {
	for i := 0; i+minPlainLength <= len(text); i++ {
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

// percentDecode decodes one level of percent-encoding and reports whether it
// changed anything. It leaves invalid escapes as they are, because upstreams
// differ in how they decode them.
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

// hexValue returns the value of a hex digit, or -1.
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

// containsBase64 reports whether a run of base64 characters, of the standard or
// the URL alphabet, encodes a key. A run may begin with characters that are not
// part of the encoded text, so it is decoded at each of the four alignments.
func containsBase64(text string, depth int) bool {
	for start := 0; start < len(text); {
		end := start
		for end < len(text) && isBase64(text[end]) {
			end++
		}
		if end-start >= minBase64Length && base64RunContains(text[start:end], depth) {
			return true
		}
		start = end + 1
	}
	return false
}

// base64RunContains decodes one run of base64 characters and searches the result.
func base64RunContains(run string, depth int) bool {
	if depth == 0 {
		return false
	}
	var stack [decodeBufferBytes]byte
	for offset := range base64Group {
		decoded := decodeBase64Run(stack[:0], run[offset:])
		if containsPlain(decoded) || mayBeEncoded(decoded) && contains(string(decoded), depth-1) {
			return true
		}
	}
	return false
}

// decodeBase64Run appends the decoded bytes of a run to out. It drops the bits
// of an incomplete last byte.
func decodeBase64Run(out []byte, run string) []byte {
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

// base64Value returns the value of a base64 character of either alphabet.
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

// mayBeEncoded reports whether decoded bytes contain a printable run that is long
// enough for another encoding of a key. It avoids further decoding of random
// tokens.
func mayBeEncoded(decoded []byte) bool {
	printable := 0
	for _, c := range decoded {
		if c < ' ' || c > '~' {
			printable = 0
			continue
		}
		if printable++; printable >= minPartialKeyLength {
			return true
		}
	}
	return false
}

func isBase64(c byte) bool {
	return isAlphanumeric(c) || c == '+' || c == '/' || c == '-' || c == '_'
}
