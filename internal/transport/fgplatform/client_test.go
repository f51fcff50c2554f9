package fgplatform

import (
	"errors"
	"net/http"
	"testing"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// Guards against a response of the platform's service that has an invalid head and counts as a
// success, or as an absent or a changed key.
func TestInvalidResponses(t *testing.T) {
	tests := []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}"},
		{"space in a name", "HTTP/1.1 200 OK\r\nX : y\r\nContent-Length: 2\r\n\r\n{}"},
		{"space in a name of a refusal", "HTTP/1.1 404 Not Found\r\nX : y\r\nContent-Length: 2\r\n\r\n{}"},
		{"folded line", "HTTP/1.1 409 Conflict\r\nX: y\r\n z\r\nContent-Length: 2\r\n\r\n{}"},
		{"coding, HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n{}"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			early, err := fgstandin.ListenEarly(fgstandin.KeepOpen, func(http.Header) string { return tt.response })
			if err != nil {
				t.Fatal(err)
			}
			defer early.Close()
			c, err := New("http://" + early.Address())
			if err != nil {
				t.Fatal(err)
			}
			_, getErr := c.Get(t.Context(), "k")
			_, swapErr := c.CompareAndSwap(t.Context(), "k", 1, nil)
			for call, err := range map[string]error{"get": getErr, "swap": swapErr, "delete": c.Delete(t.Context(), "k", 1)} {
				if !errors.Is(err, fgstore.ErrUnknown) {
					t.Errorf("%s: got error %v, want ErrUnknown", call, err)
				}
			}
		})
	}
}
