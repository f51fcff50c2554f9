// Package fgheader handles the header fields of HTTP that concern a proxy.
package fgheader

import (
	"net/http"
	"strings"
)

// hopByHop lists the header fields that belong to one connection (RFC 9110,
// section 7.6.1, and older ones).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the fields that belong to one connection, and those
// that Connection names.
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
