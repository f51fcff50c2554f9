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
	errAnswerCut = merry.Sentinel("the answer was cut")
	// errCallerGone means that the caller does not take its answer.
	errCallerGone = merry.Sentinel("the caller is gone")
)

// removeHopByHop removes what belongs to one connection, and the fields by
// which the VMs talk to each other.
func removeHopByHop(h http.Header) {
	fgheader.RemoveHopByHop(h)
	for field := range h {
		if strings.HasPrefix(field, headerOwnPrefix) {
			delete(h, field)
		}
	}
}

// copyAnswer passes an answer on. The answer's body is not closed.
func copyAnswer(w http.ResponseWriter, res *http.Response) error {
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
			return merry.Wrap(errAnswerCut)
		}
	}
}

// recorder passes an answer on and keeps it for repeats. When the caller is
// gone, it goes on keeping.
type recorder struct {
	http.ResponseWriter

	status int
	header http.Header
	body   []byte
	long   bool
	gone   bool
}

// Unwrap returns the writer underneath, for http.ResponseController.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader passes the header on and keeps it.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.header = r.Header().Clone()
	r.header.Del(headerRequestID)
	r.ResponseWriter.WriteHeader(status)
}

// Write never fails: the outcome must be known although the caller is gone.
func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.long = r.long || len(r.body)+len(b) > fgdedupe.MaxResponseBytes
	if !r.long {
		r.body = append(r.body, b...)
	}
	if !r.gone {
		_, err := r.ResponseWriter.Write(b)
		r.gone = err != nil
	}
	return len(b), nil
}

// outcome returns the answer as it is kept.
func (r *recorder) outcome() fgdedupe.Outcome {
	if r.long || r.status == 0 {
		return fgdedupe.ResponseNotStored{}
	}
	return fgdedupe.NewResponse(r.status, r.header, r.body)
}

// writeStored sends a kept answer. A HEAD answer keeps the length that the
// upstream declared.
func writeStored(w http.ResponseWriter, a fgdedupe.Response) {
	for field, values := range a.Header() {
		w.Header()[field] = values
	}
	w.WriteHeader(a.Status())
	_, _ = w.Write(a.Body())
}
