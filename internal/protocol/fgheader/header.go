// Package fgheader handles the HTTP header fields that matter to a proxy.
package fgheader

import (
	"net/http"
	"strings"
)

// MaxResponseBytes is the largest head of a response, in bytes, that clients of this
// module read. Heads have some hundred bytes; a peer in trouble may send one without
// end.
const MaxResponseBytes = 64 << 10

// hopByHop lists the header fields that concern one connection only, from
// RFC 9110, section 7.6.1, and from older specifications.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the header fields that concern one connection only,
// including those that the Connection field lists.
func RemoveHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for field := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(field))
		}
	}
	for _, field := range hopByHop {
		delete(h, field)
	}
}
