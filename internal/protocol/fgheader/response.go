package fgheader

import (
	"errors"
	"fmt"
	"io"
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
		return fmt.Errorf("%w: control character in status %q", ErrInvalid, res.Status)
	case !hasKnownVersion(res):
		return fmt.Errorf("%w: version %q", ErrInvalid, res.Proto)
	}
	return CheckFields(res.Header)
}

// CheckFields returns an error that wraps ErrInvalid if the name of a field contains whitespace
// or a control character. net/http takes such a field for one of another name.
func CheckFields(h http.Header) error {
	for name := range h {
		if strings.ContainsFunc(name, func(r rune) bool { return r == ' ' || r == '\t' || isControl(r) }) {
			return fmt.Errorf("%w: field name %q", ErrInvalid, name)
		}
	}
	return nil
}

// CheckTrailer makes the body of a response end with an error that wraps ErrInvalid, instead
// of io.EOF, if its trailer is not valid.
func CheckTrailer(res *http.Response) {
	if len(res.TransferEncoding) > 0 {
		res.Body = &trailedBody{ReadCloser: res.Body, response: res}
	}
}

// trailedBody is the body of a response that may have a trailer.
type trailedBody struct {
	io.ReadCloser

	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := CheckFields(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}

// isControl reports whether a character is a control character other than a tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// hasKnownVersion reports whether a response is of HTTP/1, or of HTTP/2 after TLS. A
// http.RoundTripper that is not of net/http may name no version.
func hasKnownVersion(res *http.Response) bool {
	return res.ProtoMajor == 1 || res.ProtoMajor == 2 && res.TLS != nil || res.Proto == ""
}
