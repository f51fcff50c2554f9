package fgconn

import (
	"context"
	"net"
	"net/http"
)

// Transport is an http.Transport whose connections are Conns.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses t, whose DialContext it replaces. t must not be
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
	return Transport{t}
}
