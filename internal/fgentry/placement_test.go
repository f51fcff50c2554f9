package fgentry

import (
	"net/http"
	"testing"

	"github.com/filbertgap/filbertgap/internal/transport/fgupstream"
)

// Guards against a misclassified response: an upstream that is about to stop
// must get no new requests, a full one must back off, and the fast responses of
// a failing one must not count as good performance.
func TestResultOf(t *testing.T) {
	notRun := http.Header{fgupstream.HeaderNotRun: []string{"true"}}
	for _, test := range []struct {
		status int
		header http.Header
		closes bool
		want   result
	}{
		{http.StatusOK, nil, false, resultAnswered},
		{http.StatusOK, nil, true, resultAnswered},
		{http.StatusNotFound, nil, false, resultAnswered},
		{http.StatusInternalServerError, nil, true, resultFailed},
		{http.StatusServiceUnavailable, nil, false, resultFailed},
		{http.StatusServiceUnavailable, notRun, false, resultShed},
		{http.StatusServiceUnavailable, notRun, true, resultDraining},
		{http.StatusServiceUnavailable, nil, true, resultDraining},
	} {
		got := resultOf(&http.Response{StatusCode: test.status, Header: test.header, Close: test.closes})
		if got != test.want {
			t.Errorf("status %d, header %v, closes %v: result %d, want %d", test.status, test.header, test.closes, got, test.want)
		}
	}
}
