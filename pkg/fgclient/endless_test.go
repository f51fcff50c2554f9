package fgclient

import (
	"net/http"
	"testing"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
	"github.com/filbertgap/filbertgap/internal/transport/fgconn"
)

// Guards against a VM in trouble whose response never ends and is held in memory.
func TestEndlessResponses(t *testing.T) {
	tests := []struct{ name, start, next string }{
		{"head", "HTTP/1.1 200 OK\r\n", "X: yyyyyyyy\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"refusal", "HTTP/1.1 401 Unauthorized\r\n\r\n{\"detail\":\"", "x"},
		{"look-up", "HTTP/1.1 200 OK\r\n\r\n{\"vms\":[", `{"vm":"x"},`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			endless, err := fgstandin.ListenEndless(tt.start, tt.next)
			if err != nil {
				t.Fatal(err)
			}
			defer endless.Close()
			c, err := NewClient(ClientOptions{Addresses: []string{"http://" + endless.Address()}})
			if err != nil {
				t.Fatal(err)
			}
			var dialer fgstandin.CountingDialer
			c.client.Transport.(fgconn.Transport).RoundTripper.(*http.Transport).DialContext = dialer.DialContext
			if lookup, err := c.Lookup(t.Context()); err == nil {
				t.Errorf("the look-up returned %d VMs", len(lookup.VMs))
			}
			// Of a response, the head, the body and what fills the read buffer are read.
			if n := dialer.BytesRead(); n > maxLookupBytes+2*fgheader.MaxResponseBytes {
				t.Errorf("%d bytes were read, want at most %d", n, maxLookupBytes+2*fgheader.MaxResponseBytes)
			}
		})
	}
}
