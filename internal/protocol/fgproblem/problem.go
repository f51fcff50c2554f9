// Package fgproblem defines refusals: error responses to callers and operators
// with a stable code, in the format of RFC 9457.
package fgproblem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome reports whether the refused request ran.
type Outcome string

// The outcomes of a refused request.
const (
	// NotRun means that no upstream ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
	// Ran means that the request ran, but its response was not stored.
	Ran Outcome = "ran"
)

// Code identifies the reason for a refusal. Codes are part of the interface and
// are never renamed.
type Code string

// The reasons for refusals.
const (
	CodeNoRoute          Code = "no-route"
	CodeMethodNotAllowed Code = "method-not-allowed"
	CodeKeyMissing       Code = "key-missing"
	CodeKeyInvalid       Code = "key-invalid"
	CodeKeyInURL         Code = "key-in-url"
	CodeKeyInBody        Code = "key-in-body"
	CodeRateExceeded     Code = "rate-exceeded"
	CodeNoCapacity       Code = "no-capacity"
	CodeNoUpstream       Code = "no-upstream"
	CodeUpstreamLost     Code = "upstream-lost"
	CodeDeadline         Code = "deadline-exceeded"
	CodeStale            Code = "stale-configuration"
	CodeCrashes          Code = "request-crashes-upstreams"
	CodeAlreadyRan       Code = "already-ran"
	CodeIDReused         Code = "id-reused"
	CodeOutcomeUnknown   Code = "outcome-unknown"
	CodeLeaving          Code = "vm-leaving"
	CodeBadRequest       Code = "bad-request"
	CodeUnauthorized     Code = "unauthorized"
	CodeInvalid          Code = "invalid-resource"
	CodeConflict         Code = "conflict"
	CodeNotFound         Code = "not-found"
	CodePlatform         Code = "platform-unavailable"
	CodeNotContact       Code = "not-a-contact"
)

// Codes returns every code. Metrics use it to export counters that are still
// zero, and tests compare it with the documentation.
func Codes() []Code {
	return []Code{
		CodeNoRoute, CodeMethodNotAllowed, CodeKeyMissing, CodeKeyInvalid, CodeKeyInURL, CodeKeyInBody,
		CodeRateExceeded, CodeNoCapacity, CodeNoUpstream, CodeUpstreamLost, CodeDeadline, CodeStale,
		CodeCrashes, CodeAlreadyRan, CodeIDReused, CodeNotContact, CodeOutcomeUnknown, CodeLeaving, CodeBadRequest, CodeUnauthorized,
		CodeInvalid, CodeConflict, CodeNotFound, CodePlatform,
	}
}

// contentType is the media type that RFC 9457 defines.
const contentType = "application/problem+json"

// Problem is a refusal. Write encodes it in the format of RFC 9457.
type Problem struct {
	status     int
	code       Code
	outcome    Outcome
	detail     string
	retryAfter time.Duration
}

// New returns a refusal with the outcome NotRun.
func New(status int, code Code, detail string) *Problem {
	return &Problem{status: status, code: code, outcome: NotRun, detail: detail}
}

// WithOutcome returns a copy with the given outcome.
func (p Problem) WithOutcome(o Outcome) *Problem {
	p.outcome = o
	return &p
}

// WithRetryAfter returns a copy that sends d, rounded up to seconds, in the
// Retry-After header.
func (p Problem) WithRetryAfter(d time.Duration) *Problem {
	p.retryAfter = d
	return &p
}

// Status returns the HTTP status.
func (p *Problem) Status() int { return p.status }

// Code returns the reason.
func (p *Problem) Code() Code { return p.code }

// Outcome returns whether the request ran.
func (p *Problem) Outcome() Outcome { return p.outcome }

// Detail returns the human-readable explanation.
func (p *Problem) Detail() string { return p.detail }

// Error returns the code and the explanation.
func (p *Problem) Error() string { return string(p.code) + ": " + p.detail }

// document is the JSON body of a refusal.
type document struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Code      Code    `json:"code"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"requestId,omitempty"`
}

// Write sends the refusal as the response. The request ID may be empty.
func (p *Problem) Write(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", contentType)
	if p.retryAfter > 0 {
		seconds := int(math.Ceil(p.retryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(document{
		Type:      "about:blank",
		Title:     http.StatusText(p.status),
		Status:    p.status,
		Detail:    p.detail,
		Code:      p.code,
		Outcome:   p.outcome,
		RequestID: requestID,
	})
}
