package fgkey

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
)

// removedHeaders are the headers that concern one connection only, carry
// credentials, or name earlier hops.
var removedHeaders = [...]string{
	"Authorization", "Connection", "Forwarded", "Http2-Settings", "Keep-Alive",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Via", "X-Real-Ip",
}

// removedPrefixes begin the names of further headers that are removed. Only the
// system itself may tell an upstream who the caller is.
var removedPrefixes = [...]string{"Proxy-", "X-Forwarded-", "Filbertgap-"}

// CheckURL refuses a request that has a key in its path, query, host or user
// information: URLs end up in logs and Referer headers, so the upstream must
// not receive one and cutting it out would change what is requested.
func CheckURL(r *http.Request) error {
	parts := [...]string{r.URL.Path, r.URL.RawPath, r.URL.RawQuery, r.URL.Opaque, r.URL.Fragment, r.URL.Host, r.Host, r.RequestURI}
	for _, part := range parts {
		if Contains(part) {
			return inURL()
		}
	}
	if r.URL.User != nil && Contains(r.URL.User.String()) {
		return inURL()
	}
	return nil
}

func inURL() error {
	return fgproblem.New(http.StatusBadRequest, fgproblem.CodeKeyInURL, "the URL contains a key; send it as Authorization: Bearer fgk_... only, and withdraw this one")
}

// Scrub removes every trace of a key from a request that goes to an upstream.
// It changes the request's header and body, so it takes a clone. Headers that
// the system adds for the upstream are set afterwards. Trailers are not passed
// on.
func Scrub(r *http.Request) {
	r.Header = scrubHeader(r.Header)
	r.Trailer = nil
	r.URL.User = nil
	r.Body = newScannedBody(r.Body)
}

func scrubHeader(h http.Header) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if isRemoved(canonical) || named[canonical] || Contains(name) {
			continue
		}
		if canonical == "Cookie" {
			values = scrubCookies(values)
		}
		if len(values) > 0 && !anyContains(values) {
			out[canonical] = append(out[canonical], values...)
		}
	}
	// Values of one header in several letter cases have been merged.
	for name, values := range out {
		if anyContains(values) {
			delete(out, name)
		}
	}
	return out
}

// connectionNames returns the headers that Connection declares as meant for
// this hop.
func connectionNames(h http.Header) map[string]bool {
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
	for _, name := range removedHeaders {
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
	if !anyContains(values) {
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

// anyContains looks at the values one by one and joined, because an upstream
// may join them.
func anyContains(values []string) bool {
	for _, value := range values {
		if Contains(value) {
			return true
		}
	}
	return len(values) > 1 && Contains(strings.Join(values, ""))
}
