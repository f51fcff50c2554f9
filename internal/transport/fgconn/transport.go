package fgconn

import (
	"context"
	"net"
	"net/http"

	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
)

// Transport is an http.RoundTripper that returns an error instead of a response whose head is
// not valid.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := fgheader.CheckResponse(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
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
