package fgproblem

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxDocumentBytes is how much of a response body is read.
const maxDocumentBytes = 16 << 10

// Read decodes the refusal in a response. It does not close the body.
func Read(res *http.Response) (*Problem, error) {
	var d document
	if err := json.NewDecoder(io.LimitReader(res.Body, maxDocumentBytes)).Decode(&d); err != nil {
		return nil, fmt.Errorf("decode refusal: %w", err)
	}
	switch d.Outcome {
	case NotRun, Unknown, Ran:
	default:
		return nil, fmt.Errorf("decode refusal: unknown outcome %q", d.Outcome)
	}
	p := &Problem{status: res.StatusCode, code: d.Code, outcome: d.Outcome, detail: d.Detail}
	if seconds, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		p.retryAfter = time.Duration(seconds) * time.Second
	}
	return p, nil
}
