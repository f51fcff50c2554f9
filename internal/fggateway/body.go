package fggateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// bodyPart is the part of the VM's memory, as a divisor, that bodies of
	// callers may fill. The garbage of earlier ones needs as much again.
	bodyPart = 4
	// bodyStep is how much is reserved at a time for a body of unknown length.
	bodyStep = 64 << 10
	// memoryRetryAfter is told to callers whose body finds no memory: a large body
	// takes seconds to arrive and leave.
	memoryRetryAfter = 500 * time.Millisecond
)

// errNoMemory means that the bodies in flight fill their part of the memory.
var errNoMemory = errors.New("no memory is left for the body")

// bodyMemory bounds the memory of bodies in flight. The zero value sets no bound.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve counts bytes of a body, if there is room.
func (m *bodyMemory) reserve(n int64) bool {
	if used := m.used.Add(n); m.limit > 0 && used > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

// readBody reads the caller's body, which is needed whole to send it again to
// another upstream when one has refused it. The memory is released by the end
// of the request.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(q.deadline)
	body, err := g.receive(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, &q.reserved)
	// A deadline that passes later would look like the caller's leaving.
	_ = c.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, code: codeBodyLarge, reason: "the body is too large"}
	case errors.Is(err, errNoMemory):
		return &refusal{
			status: http.StatusServiceUnavailable, code: codeNoMemory, retryAfter: memoryRetryAfter,
			reason: fmt.Sprintf("%v: %d of %d bytes are in use", err, g.bodies.used.Load(), g.bodies.limit),
		}
	case err != nil:
		return &refusal{status: http.StatusRequestTimeout, code: codeBodyMissing, reason: "the body did not arrive: " + err.Error()}
	}
	q.body = body
	return nil
}

// receive reads a body of a length, or of an unknown one if that is negative. It
// adds what it reserves to reserved.
func (g *Gateway) receive(body io.Reader, length, limit int64, reserved *int64) ([]byte, error) {
	reserve := func(n int64) error {
		if !g.bodies.reserve(n) {
			return errNoMemory
		}
		*reserved += n
		return nil
	}
	if length >= 0 && length <= limit {
		if err := reserve(length); err != nil {
			return nil, err
		}
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err
	}
	var data []byte
	for {
		if err := reserve(bodyStep); err != nil {
			return nil, err
		}
		part, err := io.ReadAll(io.LimitReader(body, bodyStep))
		data = append(data, part...)
		if err != nil || len(part) < bodyStep {
			return data, err
		}
	}
}
