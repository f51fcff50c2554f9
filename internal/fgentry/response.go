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

// copyBufferBytes is how much of a response body is read at a time.
const copyBufferBytes = 16 << 10

var (
	// errTruncatedResponse means that a response broke off after a part was
	// passed on. The caller's connection must be closed, so that the response
	// does not look complete.
	errTruncatedResponse = merry.Sentinel("the response was truncated")
	// errCallerDisconnected means that the caller no longer reads its response.
	errCallerDisconnected = merry.Sentinel("the caller disconnected")
)

// removeHopByHop removes the hop-by-hop fields and the fields that VMs exchange
// with each other.
func removeHopByHop(h http.Header) {
	fgheader.RemoveHopByHop(h)
	for field := range h {
		if strings.HasPrefix(field, headerInternalPrefix) {
			delete(h, field)
		}
	}
}

// copyResponse copies a response to the caller. It does not close the
// response's body.
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
				return merry.Wrap(errCallerDisconnected)
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

// responseRecorder passes a response on and stores it for duplicates of the
// request. It continues to store the response after the caller has
// disconnected.
type responseRecorder struct {
	http.ResponseWriter

	status             int
	header             http.Header
	body               []byte
	tooLong            bool
	callerDisconnected bool
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader stores the header and passes it on.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.header = r.Header().Clone()
	r.header.Del(headerRequestID)
	r.ResponseWriter.WriteHeader(status)
}

// Write never fails, because the outcome must be known even if the caller has
// disconnected.
func (r *responseRecorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.tooLong = r.tooLong || len(r.body)+len(b) > fgdedupe.MaxResponseBytes
	if !r.tooLong {
		r.body = append(r.body, b...)
	}
	if !r.callerDisconnected {
		_, err := r.ResponseWriter.Write(b)
		r.callerDisconnected = err != nil
	}
	return len(b), nil
}

// outcome returns the response as it is stored.
func (r *responseRecorder) outcome() fgdedupe.Outcome {
	if r.tooLong || r.status == 0 {
		return fgdedupe.ResponseNotStored{}
	}
	return fgdedupe.NewResponse(r.status, r.header, r.body)
}

// writeStoredResponse sends a stored response. The response to a HEAD request
// keeps the Content-Length that the upstream declared.
func writeStoredResponse(w http.ResponseWriter, stored fgdedupe.Response) {
	for field, values := range stored.Header() {
		w.Header()[field] = values
	}
	w.WriteHeader(stored.Status())
	_, _ = w.Write(stored.Body())
}
