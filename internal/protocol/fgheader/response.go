package fgheader

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid means that the head of a response is not valid HTTP.
var ErrInvalid = merry.Sentinel("the head of the response is not valid")

// The valid statuses, from RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckResponse returns an error that wraps ErrInvalid if net/http has accepted a response
// whose head is not valid. A response with status 101 is not valid, since no client of this
// module asks for another protocol.
func CheckResponse(res *http.Response) error {
	switch {
	case res.StatusCode < minStatus || res.StatusCode > maxStatus || res.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %q", ErrInvalid, res.Status)
	case strings.ContainsFunc(res.Status, isControl):
		return fmt.Errorf("%w: control byte in status %q", ErrInvalid, res.Status)
	case !hasKnownVersion(res):
		return fmt.Errorf("%w: version %q", ErrInvalid, res.Proto)
	}
	return nil
}

// isControl reports whether a character is a control character other than a tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// hasKnownVersion reports whether a response is of HTTP/1, or of HTTP/2 after TLS. A
// http.RoundTripper that is not of net/http may name no version.
func hasKnownVersion(res *http.Response) bool {
	return res.ProtoMajor == 1 || res.ProtoMajor == 2 && res.TLS != nil || res.Proto == ""
}
