// Package fgmessage holds what a gateway reads from and adds to the requests
// and answers that it passes on, apart from their spelling on the wire.
package fgmessage

import (
	"net/http"
	"time"
)

// Request is what a caller's header says about its request.
type Request struct {
	// AttemptID names this attempt of the caller. A repeat has another one.
	AttemptID string
	// Object names what the request is about. Empty: nothing in particular.
	Object string
	// Patience is how long the caller waits. Zero: it does not say.
	Patience time.Duration
	// Key is the caller's credential. Empty: none was sent.
	Key string
}

// Forward is what a gateway tells an upstream besides the caller's header.
type Forward struct {
	// Left is how long the caller still waits. Zero: it does not say.
	Left time.Duration
	// UpstreamID is the start of the program that alone may run the request.
	UpstreamID string
	// Workspace owns the caller's key. Empty: the route is open.
	Workspace string
}

// Load is an upstream's own account of its slots.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is what an upstream's header says about its answer.
type Answer struct {
	AttemptID string
	// NotRun means that the upstream vouches that it did not run the request.
	NotRun bool
	// OtherUpstream means that another program now has the address.
	OtherUpstream bool
	// Signed means that the upstream signed the answer.
	Signed bool
	Load   Load
	// HasLoad tells whether Load was sent.
	HasLoad bool
	// ColdFor is how long the upstream stays cold, if it says so.
	ColdFor time.Duration
	// IdleFor is how long the connection may stay idle. Zero: not said.
	IdleFor time.Duration
}

// Lookup is a caller's question for gateways.
type Lookup struct {
	Host, Region, AvailabilityZone string
}

// LookupAnswer tells a caller where to connect, and for how long it may keep
// the answer.
type LookupAnswer struct {
	Addresses []string
	Lifetime  time.Duration
}

// Dialect spells messages as callers and upstreams expect them.
type Dialect interface {
	// ReadRequest reads a caller's header.
	ReadRequest(h http.Header) Request
	// WriteForward changes a copy of a caller's header into one for an upstream.
	WriteForward(h http.Header, f Forward)
	// ReadAnswer reads the header of an upstream's answer.
	ReadAnswer(r *http.Response) Answer
	// Ready returns the method and path of the readiness check.
	Ready() (method, path string)
	// Lookup returns the method, the path and the codec of callers' look-ups.
	Lookup() LookupCodec
}

// LookupCodec spells look-ups and their answers.
type LookupCodec struct {
	Method, Path string
	Read         func(*http.Request) Lookup
	Write        func(http.ResponseWriter, LookupAnswer) error
}
