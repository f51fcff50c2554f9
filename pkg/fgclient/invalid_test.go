package fgclient

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// Guards against a response with an invalid head that a caller or an operator gets as one, or
// after which a request that may have run is sent again.
func TestInvalidResponse(t *testing.T) {
	tests := []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}"},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n{}"},
		{"status 999", "HTTP/1.1 999 None\r\nContent-Length: 2\r\n\r\n{}"},
		{"space before a colon", "HTTP/1.1 200 OK\r\nX : y\r\nContent-Length: 2\r\n\r\n{}"},
		{"space before a length", "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\n\r\n{}"},
		{"control character in a name", "HTTP/1.1 200 OK\r\nX\x01: y\r\nContent-Length: 2\r\n\r\n{}"},
		{"coding, HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
	}
	for _, tt := range tests {
		for _, transport := range []http.RoundTripper{nil, &http.Transport{}} {
			if transport != nil && (strings.Contains(tt.name, "before a length") || strings.Contains(tt.name, "coding")) {
				// Only a connection of the default transport sees what net/http hides.
				continue
			}
			t.Run(tt.name, func(t *testing.T) {
				early, err := fgstandin.ListenEarly(fgstandin.KeepOpen, func(http.Header) string { return tt.response })
				if err != nil {
					t.Fatal(err)
				}
				defer early.Close()
				c, err := NewClient(ClientOptions{Addresses: []string{"http://" + early.Address()}, Transport: transport})
				if err != nil {
					t.Fatal(err)
				}
				vm := VM{VM: "vm-1", Address: early.Address()}
				c.lookup, c.expires = Lookup{VMs: []VM{vm, vm}}, time.Now().Add(time.Hour)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://any/x", strings.NewReader("order"))
				if err != nil {
					t.Fatal(err)
				}
				if res, err := c.Do(r); !errors.Is(err, ErrOutcomeUnknown) {
					t.Errorf("got %+v, error %v; want ErrOutcomeUnknown", res, err)
				}
				if n := early.Requests(); n != 1 {
					t.Errorf("the request was sent %d times", n)
				}
			})
		}
	}
}
