package fgclient

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// Guards against a response that broke off while the body of its request was being written,
// and that looks complete to a caller.
func TestResponseDuringUpload(t *testing.T) {
	tests := []struct {
		name, response string
		end            fgstandin.EarlyEnd
		whole          bool
	}{
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\npart", fgstandin.EndReset, false},
		{"no length, reset, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart", fgstandin.EndReset, false},
		{"no length, in order", "HTTP/1.1 200 OK\r\n\r\npart", fgstandin.EndInOrder, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			early, err := fgstandin.ListenEarly(tt.end, func(http.Header) string { return tt.response })
			if err != nil {
				t.Fatal(err)
			}
			defer early.Close()
			c, err := NewClient(ClientOptions{Addresses: []string{"http://" + early.Address()}})
			if err != nil {
				t.Fatal(err)
			}
			c.lookup, c.expires = Lookup{VMs: []VM{{VM: "vm-1", Address: early.Address()}}}, time.Now().Add(time.Hour)
			const sends = 100
			whole := 0
			for range sends {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://any/x", strings.NewReader(strings.Repeat("x", 4<<20)))
				if err != nil {
					t.Fatal(err)
				}
				res, err := c.Do(r)
				if err != nil {
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
