// Package fgupstream sends requests to upstreams over HTTP and tells whether
// an upstream can have received any part of one.
package fgupstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	connectTimeout  = time.Second
	idleConnTimeout = 5 * time.Second
	maxIdlePerHost  = 64
)

// Client sends requests to upstreams.
type Client struct {
	transport *http.Transport
}

// New returns a client with its own connections.
func New() *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	}}
}

// RoundTrip sends a request to an upstream's address.
func (c *Client) RoundTrip(ctx context.Context, address string, r *http.Request) (*http.Response, error) {
	out := r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.RequestURI = ""
	return c.transport.RoundTrip(out)
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
