package fgclient

import (
	"testing"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// Guards against a VM in trouble whose response never ends and is held in memory.
func TestEndlessResponses(t *testing.T) {
	tests := []struct{ name, start, next string }{
		{"head", "HTTP/1.1 200 OK\r\n", "X: yyyyyyyy\r\n"},
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
			if lookup, err := c.Lookup(t.Context()); err == nil {
				t.Errorf("the look-up returned %d VMs", len(lookup.VMs))
			}
			// A look-up response of 1 MB is read before it is given up.
			if n := endless.Taken(); n > 4<<20 {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}
