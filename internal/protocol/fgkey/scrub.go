package fgkey

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
)

// removedFields are the header fields that concern one connection only, carry
// credentials, or name previous hops.
var removedFields = [...]string{
	"Authorization", "Connection", "Forwarded", "Http2-Settings", "Keep-Alive",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Via", "X-Real-Ip",
}

// removedPrefixes are the prefixes of further header fields that are removed:
// callers must not be able to forge the fields that identify the caller to an
// upstream.
var removedPrefixes = [...]string{"Proxy-", "X-Forwarded-", "Filbertgap-"}

// CheckURL returns a refusal if the path, query, host or user information of a
// request contains a key. URLs are written to logs and Referer headers, so an
// upstream must not receive one with a key, and removing the key would change
// the requested resource.
func CheckURL(r *http.Request) error {
	parts := [...]string{r.URL.Path, r.URL.RawPath, r.URL.RawQuery, r.URL.Opaque, r.URL.Fragment, r.URL.Host, r.Host, r.RequestURI}
	for _, part := range parts {
		if Contains(part) {
			return keyInURLRefusal()
		}
	}
	if r.URL.User != nil && Contains(r.URL.User.String()) {
		return keyInURLRefusal()
	}
	return nil
}

// keyInURLRefusal returns the refusal for a key in a URL.
func keyInURLRefusal() error {
	return fgproblem.New(http.StatusBadRequest, fgproblem.CodeKeyInURL, "the URL contains a key; send it as Authorization: Bearer fgk_... only, and withdraw this one")
}

// Scrub removes keys from a request before it is sent to an upstream. It modifies
// the request, so callers pass a clone. Header fields that are added for the
// upstream must be set after Scrub. Trailers are dropped.
func Scrub(r *http.Request) {
	r.Header = scrubHeader(r.Header)
	r.Trailer = nil
	r.URL.User = nil
	r.Body = newScannedBody(r.Body)
}

// scrubHeader returns a copy of h without the removed fields, the fields that
// Connection names, and the fields and cookies that contain a key.
func scrubHeader(h http.Header) http.Header {
	hopByHop := connectionFields(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if isRemoved(canonical) || hopByHop[canonical] || Contains(name) {
			continue
		}
		if canonical == "Cookie" {
			values = scrubCookies(values)
		}
		if len(values) > 0 && !anyContainsKey(values) {
			out[canonical] = append(out[canonical], values...)
		}
	}
	// Check again: fields whose names differ only in case have been merged.
	for name, values := range out {
		if anyContainsKey(values) {
			delete(out, name)
		}
	}
	return out
}

// connectionFields returns the header fields that Connection lists as hop-by-hop.
func connectionFields(h http.Header) map[string]bool {
	out := map[string]bool{}
	for name, values := range h {
		if !strings.EqualFold(name, "Connection") {
			continue
		}
		for _, item := range strings.Split(strings.Join(values, ","), ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(item))] = true
		}
	}
	return out
}

func isRemoved(canonical string) bool {
	for _, name := range removedFields {
		if canonical == name {
			return true
		}
	}
	for _, prefix := range removedPrefixes {
		if len(canonical) >= len(prefix) && strings.EqualFold(canonical[:len(prefix)], prefix) {
			return true
		}
	}
	return false
}

// scrubCookies removes the cookies that contain a key and keeps the others.
func scrubCookies(values []string) []string {
	if !anyContainsKey(values) {
		return values
	}
	var out []string
	for _, value := range values {
		var kept []string
		for _, cookie := range strings.Split(value, ";") {
			if !Contains(cookie) {
				kept = append(kept, strings.TrimSpace(cookie))
			}
		}
		if len(kept) > 0 {
			out = append(out, strings.Join(kept, "; "))
		}
	}
	return out
}

// anyContainsKey reports whether one of the values contains a key, or all of them
// joined, because an upstream may join them.
func anyContainsKey(values []string) bool {
	for _, value := range values {
		if Contains(value) {
			return true
		}
	}
	return len(values) > 1 && Contains(strings.Join(values, ""))
}
