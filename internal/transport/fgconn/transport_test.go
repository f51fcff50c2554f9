package fgconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
)

// get sends a request to a server that sends the given response, and returns the body. kept
// means that the connection has carried another request with a valid response.
func get(t *testing.T, response string, kept bool) (string, error) {
	t.Helper()
	early, err := fgstandin.ListenEarly(fgstandin.KeepOpen, func(h http.Header) string {
		if h.Get("First") != "" {
			return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
		}
		return response
	})
	if err != nil {
		t.Fatal(err)
	}
	defer early.Close()
	base := &http.Transport{}
	defer base.CloseIdleConnections()
	transport := NewTransport(base)
	if kept {
		if body, err := send(t, transport, early.Address(), http.Header{"First": {"1"}}); err != nil || body != "first" {
			t.Fatal(body, err)
		}
	}
	return send(t, transport, early.Address(), http.Header{})
}

func send(t *testing.T, transport Transport, address string, h http.Header) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header = h
	res, err := transport.RoundTrip(r)
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
		{"control character in the reason", "HTTP/1.1 200 O\x01K" + fields, false},
		{"HTTP/2.0 without TLS", "HTTP/2.0 200 OK" + fields, false},
		{"200", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", true},
		{"599, HTTP/1.0", "HTTP/1.0 599 Broken\r\nContent-Length: 3\r\n\r\nyes", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body, err := get(t, tt.response, false)
			if tt.valid && (err != nil || body != "yes") || !tt.valid && !errors.Is(err, fgheader.ErrInvalid) {
				t.Errorf("got %q, error %v; want a valid response: %t", body, err, tt.valid)
			}
		})
	}
}

// Guards against clients of net/http that take a response with an invalid field, or read its
// body otherwise than it was sent, also on a connection that was used before.
func TestInvalidFields(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\nno"
	tests := []struct{ name, response string }{
		{"space before the colon", "HTTP/1.1 200 OK\r\nX : y\r\n" + length},
		{"space after a length", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length : 2\r\n\r\nno"},
		{"space before a length", "HTTP/1.1 200 OK\r\nConnection: close\r\nX: y\r\n Content-Length: 2\r\n\r\nno"},
		{"coding, HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
		{"in an interim response", "HTTP/1.1 103 Early Hints\r\nX : y\r\n\r\nHTTP/1.1 200 OK\r\n" + length},
		{"folded in an interim response", "HTTP/1.1 103 Early Hints\r\nX: y\r\n z\r\n\r\nHTTP/1.1 200 OK\r\n" + length},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n z\r\n" + length},
		{"space in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nT : x\r\n\r\n"},
	}
	for _, tt := range tests {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection %t", tt.name, kept), func(t *testing.T) {
				if body, err := get(t, tt.response, kept); !errors.Is(err, fgheader.ErrInvalid) {
					t.Errorf("got %q, error %v", body, err)
				}
			})
		}
	}
	for _, kept := range []bool{false, true} {
		if body, err := get(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nT: x\r\n\r\n", kept); err != nil || body != "yes" {
			t.Errorf("a valid response, kept connection %t: got %q, error %v", kept, body, err)
		}
	}
}
