package fgconn

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
)

// maxInterim is how many interim (1xx) responses may come before a response.
const maxInterim = 5

// Transport is an http.RoundTripper that returns an error instead of a response whose head is
// not valid, and ends a body with an error if its trailer is not valid.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(r.WithContext(withChecks(r.Context())))
	if err != nil {
		return nil, err
	}
	if err := fgheader.CheckResponse(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	fgheader.CheckTrailer(res)
	return res, nil
}

// withChecks returns a context for a request, whose connection checks the response, unless TLS
// hides it. Interim responses, which http.Transport does not return, are checked and counted:
// http.Transport does not limit their number if there is a function for them.
func withChecks(ctx context.Context) context.Context {
	interim := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(interface{ ExpectHead(before []byte) error }); ok {
				_ = c.ExpectHead(nil)
			}
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			if interim++; interim > maxInterim {
				return fmt.Errorf("%w: more than %d interim responses", fgheader.ErrInvalid, maxInterim)
			}
			return fgheader.CheckFields(http.Header(h))
		},
	})
}

// NewTransport returns a Transport that uses t, whose connections become Conns. t must not be
// used otherwise.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
		// http.Transport attempts HTTP/2 unless one of these is set.
		t.ForceAttemptHTTP2 = t.ForceAttemptHTTP2 || t.TLSClientConfig == nil && t.DialTLSContext == nil
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
	return Transport{RoundTripper: t}
}
