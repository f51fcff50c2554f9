package fggateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// Request bodies in flight may use the process's memory limit divided by
	// bodyMemoryDivisor. Earlier bodies that are not yet garbage collected need the
	// same amount again.
	bodyMemoryDivisor = 4
	// Bodies of requests that wait for room in a group may use the memory of all bodies
	// divided by waitingMemoryDivisor.
	waitingMemoryDivisor = 4
	// A body of unknown length is read in parts, and their memory is reserved as they
	// are read. Each part is twice as large as the one before, up to bodyChunkBytes:
	// most bodies are short, and the memory of large ones is known within 64 KB.
	firstChunkBytes = 4 << 10
	bodyChunkBytes  = 64 << 10
	// memoryRetryAfter is the Retry-After value for requests that are refused because
	// the bodies in flight use all of their memory: transferring a large body takes
	// seconds.
	memoryRetryAfter = 500 * time.Millisecond
)

// errNoMemory means that the bodies in flight have used up the memory limit.
var errNoMemory = errors.New("the memory limit of request bodies is reached")

// bodyMemory limits the memory of bodies in flight. The zero value sets no limit.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes, and reports whether the limit allows it.
func (m *bodyMemory) reserve(n int64) bool {
	if used := m.used.Add(n); m.limit > 0 && used > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

// readBody reads the caller's body into memory, so that it can be sent to another
// upstream if one refuses it. The caller of readBody releases the memory at the end
// of the request.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(q.deadline)
	detach := context.AfterFunc(g.stopping.ended, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	body, err := g.receiveBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, &q.reserved)
	if !detach() && err == nil {
		return q.stopRefusal()
	}
	if err == nil {
		// If the read deadline passed later, net/http would treat it as a disconnect of
		// the caller. Without the rest of the body, the deadline stays: net/http reads on
		// before it sends the response.
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, code: codeBodyLarge, reason: "the body is too large"}
	case errors.Is(err, errNoMemory):
		return &refusal{
			status: http.StatusServiceUnavailable, code: codeNoMemory, retryAfter: memoryRetryAfter,
			reason: fmt.Sprintf("%v: %d of %d bytes are in use", err, g.bodies.used.Load(), g.bodies.limit),
		}
	case err != nil:
		return &refusal{status: http.StatusRequestTimeout, code: codeBodyMissing, reason: "reading the body failed: " + err.Error()}
	}
	q.body = body
	return nil
}

// receiveBody reads a body. A negative length means that it is unknown. Such a body is
// returned in parts of up to bodyChunkBytes, because a slice that grows needs up to three times
// the memory while it is copied. The number of reserved bytes is added to reserved.
func (g *Gateway) receiveBody(body io.Reader, length, limit int64, reserved *int64) ([][]byte, error) {
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
		return [][]byte{data}, err
	}
	var parts [][]byte
	for size := int64(firstChunkBytes); ; size = min(2*size, bodyChunkBytes) {
		if err := reserve(size); err != nil {
			return nil, err
		}
		part := make([]byte, size)
		n, err := readUntilFull(body, part)
		parts = append(parts, part[:n])
		if errors.Is(err, io.EOF) {
			return parts, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readUntilFull reads until b is full or reading fails. Unlike io.ReadFull, it returns the
// reader's own error, which tells the end of a body from one that was cut off.
func readUntilFull(r io.Reader, b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m, err := r.Read(b[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
