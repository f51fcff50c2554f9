package fgentry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
)

const (
	// maxNonIdempotentBodyBytes bounds the body of a non-idempotent request. It
	// is read completely before the request runs, because its digest is
	// compared with that of duplicates.
	maxNonIdempotentBodyBytes = 1 << 20
	// maxRetryBodyBytes is how much of an idempotent request's body is buffered
	// for a retry. Longer bodies are streamed and sent once.
	maxRetryBodyBytes = 64 << 10
	// maxBufferedBodyBytes bounds the memory of all buffered bodies of the
	// process.
	maxBufferedBodyBytes = 64 << 20
)

// bodyBudget limits the memory of buffered bodies.
type bodyBudget struct {
	used atomic.Int64
}

func (b *bodyBudget) take(n int64) bool {
	if b.used.Add(n) > maxBufferedBodyBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

// requestBody is a request's body: a buffered head, and a tail that can be read
// once. complete means that the head is the entire body, and streamed that open
// has returned the tail, which cannot be sent again.
type requestBody struct {
	head     []byte
	tail     io.Reader
	complete bool
	streamed bool
	length   int64
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.complete || !b.streamed }

// open returns the body for one send.
func (b *requestBody) open() io.ReadCloser {
	if b.complete {
		return io.NopCloser(bytes.NewReader(b.head))
	}
	b.streamed = true
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), b.tail))
}

// readBody buffers the head of a call's body. The returned function releases
// its memory.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, c *call) (func(), error) {
	limit := int64(maxRetryBodyBytes)
	if c.nonIdempotent {
		limit = maxNonIdempotentBodyBytes
	}
	if c.nonIdempotent && r.ContentLength > limit {
		return nil, bodyTooLong()
	}
	size := limit
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	if !e.bodies.take(size) {
		return nil, fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeNoCapacity, "too many request bodies are buffered").
			WithRetryAfter(shedRetryAfter)
	}
	release := func() { e.bodies.release(size) }
	if err := c.readHead(w, r, limit); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func (c *call) readHead(w http.ResponseWriter, r *http.Request, limit int64) error {
	control := http.NewResponseController(w)
	if deadline, ok := r.Context().Deadline(); ok && r.ContentLength != 0 {
		_ = control.SetReadDeadline(deadline)
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return bodyUnreadable(r.Context(), err)
	}
	c.body = &requestBody{head: head, tail: r.Body, complete: int64(len(head)) <= limit, length: r.ContentLength}
	if c.nonIdempotent && !c.body.complete {
		return bodyTooLong()
	}
	if err := fgkey.CheckBody(head); err != nil {
		return err
	}
	if c.body.complete {
		c.body.length = int64(len(head))
	}
	if c.body.complete && r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Time{})
	}
	c.bodyDigest = sha256.Sum256(head)
	return nil
}

func bodyTooLong() error {
	return fgproblem.New(http.StatusRequestEntityTooLarge, fgproblem.CodeBadRequest, "the body of a non-idempotent request is longer than 1 MiB")
}

// bodyUnreadable returns the refusal of a request whose body could not be read.
func bodyUnreadable(ctx context.Context, err error) error {
	var p *fgproblem.Problem
	if errors.As(err, &p) {
		return p
	}
	if ctx.Err() != nil {
		return deadlinePassed(ctx)
	}
	return fgproblem.New(http.StatusBadRequest, fgproblem.CodeBadRequest, "the request body was truncated")
}
