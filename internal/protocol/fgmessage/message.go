// Package fgmessage defines the data that a gateway reads from, and adds to, the
// requests and responses that it forwards, independently of their encoding on
// the wire.
package fgmessage

import (
	"net/http"
	"time"
)

// Request holds the data in the header of a caller's request.
type Request struct {
	// AttemptID identifies this attempt of the caller. A retry by the caller has
	// another one.
	AttemptID string
	// AffinityKey makes requests with the same key prefer the same upstream. Empty
	// means that the caller sent none.
	AffinityKey string
	// Timeout is how long the caller waits. Zero means that it sent none.
	Timeout time.Duration
	// Key is the caller's credential. Empty means that it sent none.
	Key string
}

// Forward holds the data that a gateway adds to a request for an upstream.
type Forward struct {
	// RemainingTime is what remains of the caller's timeout. Zero means that the
	// caller sent none.
	RemainingTime time.Duration
	// UpstreamID identifies the only upstream that may run the request, since
	// another one may have taken over its address.
	UpstreamID string
	// Workspace is the owner of the caller's key. Empty means that the route needs
	// no key.
	Workspace string
}

// Load is the load that an upstream reports: its running and waiting requests,
// and how many it can run at a time.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes on the upstream's machine at
	// the moment, because other programs use it too. Zero means that it is not known.
	Slowdown float64
}

// Response holds the data in the header of an upstream's response.
type Response struct {
	AttemptID string
	// NotRun means that the upstream guarantees that it did not run the request.
	NotRun bool
	// Misdirected means that another upstream than the expected one now has the
	// address.
	Misdirected bool
	// Signed means that the response has the upstream's signature.
	Signed bool
	Load   Load
	// HasLoad means that the response has a Load.
	HasLoad bool
	// Limit is the number of requests per second that the upstream takes from all VMs
	// together. HasLimit means that the response has a Limit.
	Limit    float64
	HasLimit bool
	// ColdDuration is how long the upstream will still be cold. Zero means that it
	// sent none.
	ColdDuration time.Duration
	// Leaving means that the upstream is about to stop.
	Leaving bool
	// Pause is how long the upstream, which refused the request, wants no further requests
	// from this VM. Zero means that it sent none.
	Pause time.Duration
	// IdleTimeout is the connection's idle timeout. Zero means that the upstream
	// sent none.
	IdleTimeout time.Duration
}

// Lookup is a caller's request for the addresses of gateways.
type Lookup struct {
	Host, Region, AvailabilityZone string
}

// LookupResponse holds the addresses to which a caller may connect, and how long it
// may cache them.
type LookupResponse struct {
	Addresses []string
	TTL       time.Duration
}

// Dialect encodes and decodes messages as callers and upstreams expect them.
type Dialect interface {
	// ReadRequest decodes the header of a caller's request.
	ReadRequest(h http.Header) Request
	// WriteForward modifies h, a copy of a caller's header, for an upstream.
	WriteForward(h http.Header, f Forward)
	// WriteRemainingTime sets what remains of the caller's timeout in h, a copy of a
	// caller's header, for another gateway.
	WriteRemainingTime(h http.Header, remaining time.Duration)
	// ReadResponse decodes the header of an upstream's response.
	ReadResponse(r *http.Response) Response
	// Ready returns the method and path of readiness checks.
	Ready() (method, path string)
	// Lookup returns the codec of callers' look-ups.
	Lookup() LookupCodec
}

// LookupCodec encodes and decodes look-ups and their responses.
type LookupCodec struct {
	Method, Path string
	Read         func(*http.Request) Lookup
	Write        func(http.ResponseWriter, LookupResponse) error
}
