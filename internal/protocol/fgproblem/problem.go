// Package fgproblem defines refusals as callers and operators see them.
package fgproblem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether the refused request ran.
type Outcome string

// The outcomes of a refused request.
const (
	// NotRun means that no upstream ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
	// Ran means that the request ran but its answer was not kept.
	Ran Outcome = "ran"
)

// Code is a stable identifier of a reason. Codes are never renamed.
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

// Codes returns every code, for metrics that begin at zero and for the pages.
func Codes() []Code {
	return []Code{
		CodeNoRoute, CodeMethodNotAllowed, CodeKeyMissing, CodeKeyInvalid, CodeKeyInURL, CodeKeyInBody,
		CodeRateExceeded, CodeNoCapacity, CodeNoUpstream, CodeUpstreamLost, CodeDeadline, CodeStale,
		CodeCrashes, CodeAlreadyRan, CodeIDReused, CodeNotContact, CodeOutcomeUnknown, CodeLeaving, CodeBadRequest, CodeUnauthorized,
		CodeInvalid, CodeConflict, CodeNotFound, CodePlatform,
	}
}

// contentType is the media type of RFC 9457.
const contentType = "application/problem+json"

// Problem is a refusal in the form of RFC 9457.
type Problem struct {
	status     int
	code       Code
	outcome    Outcome
	detail     string
	retryAfter time.Duration
}

// New returns a refusal of a request that did not run.
func New(status int, code Code, detail string) *Problem {
	return &Problem{status: status, code: code, outcome: NotRun, detail: detail}
}

// WithOutcome returns a copy with another outcome.
func (p Problem) WithOutcome(o Outcome) *Problem {
	p.outcome = o
	return &p
}

// WithRetryAfter returns a copy that tells the caller when to try again.
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

// Detail returns the explanation for people.
func (p *Problem) Detail() string { return p.detail }

// Error returns the code and the explanation.
func (p *Problem) Error() string { return string(p.code) + ": " + p.detail }

type document struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Code      Code    `json:"code"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"requestId,omitempty"`
}

// Write sends the refusal as an answer.
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
