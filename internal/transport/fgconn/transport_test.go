package fgconn

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
)

// get sends a request to a server that sends the given response, and returns the body.
func get(t *testing.T, end fgstandin.EarlyEnd, response string) (string, error) {
	t.Helper()
	early, err := fgstandin.ListenEarly(end, func(http.Header) string { return response })
	if err != nil {
		t.Fatal(err)
	}
	defer early.Close()
	base := &http.Transport{}
	defer base.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+early.Address()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := NewTransport(base).RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// Guards against clients of net/http that take a response with an invalid status line.
func TestInvalidStatus(t *testing.T) {
	const fields = "\r\nContent-Length: 2\r\n\r\nno"
	tests := []struct {
		name, response string
		valid          bool
	}{
		{"000", "HTTP/1.1 000 None" + fields, false},
		{"000 after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None" + fields, false},
		{"099", "HTTP/1.1 099 None" + fields, false},
		{"sign", "HTTP/1.1 +20 OK" + fields, false},
		{"101, which was not asked for", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nno", false},
		{"600", "HTTP/1.1 600 None" + fields, false},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K" + fields, false},
		{"HTTP/2.0 without TLS", "HTTP/2.0 200 OK" + fields, false},
		{"200", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", true},
		{"599, HTTP/1.0", "HTTP/1.0 599 Broken\r\nContent-Length: 3\r\n\r\nyes", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body, err := get(t, fgstandin.KeepOpen, tt.response)
			if tt.valid && (err != nil || body != "yes") || !tt.valid && !errors.Is(err, fgheader.ErrInvalid) {
				t.Errorf("got %q, error %v; want a valid response: %t", body, err, tt.valid)
			}
		})
	}
}
