package fgentry

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
	"github.com/filbertgap/filbertgap/internal/state/fgdedupe"
	"github.com/filbertgap/filbertgap/internal/transport/fgupstream"
)

// copyBufferBytes is read from an upstream at a time.
const copyBufferBytes = 16 << 10

var (
	// errAnswerCut means that an answer broke after a part was passed on. The
	// caller's connection must be closed, so that the answer does not look whole.
	errTruncatedResponse = merry.Sentinel("the answer was cut")
	// errCallerGone means that the caller does not take its answer.
	errCallerGone = merry.Sentinel("the caller is gone")
)

// removeHopByHop removes what belongs to one connection, and the fields by
// which the VMs talk to each other.
func removeHopByHop(h http.Header) {
	fgheader.RemoveHopByHop(h)
	for field := range h {
		if strings.HasPrefix(field, headerInternalPrefix) {
			delete(h, field)
		}
	}
}

// copyAnswer passes an answer on. The answer's body is not closed.
func copyResponse(w http.ResponseWriter, res *http.Response) error {
	removeHopByHop(res.Header)
	res.Header.Del(fgupstream.HeaderNotRun)
	for field, values := range res.Header {
		w.Header()[field] = values
	}
	w.WriteHeader(res.StatusCode)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := res.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return merry.Wrap(errCallerGone)
			}
			if res.ContentLength < 0 {
				_ = http.NewResponseController(w).Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return merry.Wrap(errTruncatedResponse)
		}
	}
}

// recorder passes an answer on and keeps it for repeats. When the caller is
// gone, it goes on keeping.
type responseRecorder struct {
	http.ResponseWriter

	status     int
	header     http.Header
	body       []byte
	tooLong    bool
	callerGone bool
}

// Unwrap returns the writer underneath, for http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader passes the header on and keeps it.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.header = r.Header().Clone()
	r.header.Del(headerRequestID)
	r.ResponseWriter.WriteHeader(status)
}

// Write never fails: the outcome must be known although the caller is gone.
func (r *responseRecorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.tooLong = r.tooLong || len(r.body)+len(b) > fgdedupe.MaxAnswerBytes
	if !r.tooLong {
		r.body = append(r.body, b...)
	}
	if !r.callerGone {
		_, err := r.ResponseWriter.Write(b)
		r.callerGone = err != nil
	}
	return len(b), nil
}

// outcome returns the answer as it is kept.
func (r *responseRecorder) outcome() fgdedupe.Outcome {
	if r.tooLong || r.status == 0 {
		return fgdedupe.Unkept{}
	}
	return fgdedupe.NewAnswer(r.status, r.header, r.body)
}

// writeStored sends a kept answer. A HEAD answer keeps the length that the
// upstream declared.
func writeStoredResponse(w http.ResponseWriter, stored fgdedupe.Answer) {
	for field, values := range stored.Header() {
		w.Header()[field] = values
	}
	w.WriteHeader(stored.Status())
	_, _ = w.Write(stored.Body())
}
