package fgupstream

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// uploadBytes does not fit into the buffers of a connection.
const uploadBytes = 4 << 20

// Guards against a response without a length that looks complete although its connection was
// reset while the request was being written. Whether the read or the write gets the report of
// the reset differs between sends.
func TestResponseDuringUpload(t *testing.T) {
	tests := []struct {
		name, response string
		end            fgstandin.EarlyEnd
		whole          bool
	}{
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\npart", fgstandin.EndReset, false},
		{"no length, reset, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart", fgstandin.EndReset, false},
		{"without a last chunk, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", fgstandin.EndReset, false},
		{"no length, in order", "HTTP/1.1 200 OK\r\n\r\npart", fgstandin.EndInOrder, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			early, err := fgstandin.ListenEarly(tt.end, func(http.Header) string { return tt.response })
			if err != nil {
				t.Fatal(err)
			}
			defer early.Close()
			c := New(Options{})
			defer c.Close()
			const sends = 100
			whole := 0
			for range sends {
				res, outcome, err := c.RoundTrip(t.Context(), early.Address(), newRequest(t, http.MethodPost, "1", strings.Repeat("x", uploadBytes)))
				if err != nil {
					if outcome != Lost {
						t.Errorf("outcome %v, error %v; want Lost", outcome, err)
					}
					continue
				}
				if _, err := io.ReadAll(res.Body); err == nil {
					whole++
				}
				_ = res.Body.Close()
			}
			if !tt.whole && whole > 0 || tt.whole && whole < sends {
				t.Errorf("%d of %d responses were whole", whole, sends)
			}
		})
	}
}
