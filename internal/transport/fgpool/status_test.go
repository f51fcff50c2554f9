package fgpool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against a response with an invalid status that is passed on, taken for an interim
// response so that its body is read as the response, or waited for.
func TestInvalidStatus(t *testing.T) {
	const fields = "\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
	tests := []struct {
		name, response string
		want           error
	}{
		{"000", "HTTP/1.1 000 None" + fields, ErrMalformed},
		{"000 without a body", "HTTP/1.1 000 None\r\nId: 1\r\n\r\n", ErrMalformed},
		{"000 with a response as its body", "HTTP/1.1 000 None\r\nId: 1\r\n\r\n" + encodeResponse("1", "no"), ErrMalformed},
		{"000 after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None" + fields, ErrMalformed},
		{"000 after a response to another request", encodeResponse("9", "old") + "HTTP/1.1 000 None" + fields, ErrMalformed},
		{"000, HTTP/1.0", "HTTP/1.0 000 None" + fields, ErrMalformed},
		{"099", "HTTP/1.1 099 None" + fields, ErrMalformed},
		{"sign", "HTTP/1.1 +20 OK" + fields, ErrMalformed},
		{"negative zero", "HTTP/1.1 -00 OK" + fields, ErrMalformed},
		{"101, which was not asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + encodeResponse("1", "no"), ErrMalformed},
		{"600", "HTTP/1.1 600 None" + fields, ErrMalformed},
		{"999", "HTTP/1.1 999 None" + fields, ErrMalformed},
		{"control character in the reason", "HTTP/1.1 200 O\x00K" + fields, ErrMalformed},
		{"HTTP/2.0", "HTTP/2.0 200 OK" + fields, ErrMalformed},
		{"HTTP/0.9", "HTTP/0.9 200 OK" + fields, ErrMalformed},
		{"HTTP/1.2", "HTTP/1.2 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nyes", nil},
		{"599", "HTTP/1.1 599 Broken\r\nId: 1\r\nContent-Length: 3\r\n\r\nyes", nil},
		{"no reason", "HTTP/1.1 200\r\nId: 1\r\nContent-Length: 3\r\n\r\nyes", nil},
		{"two interim responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 2) + encodeResponse("1", "yes"), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)
			target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, tt.response)
				<-done
			})
			p := &Pool{}
			body, err := sendAndRead(t, p, target, "1")
			if !errors.Is(err, tt.want) || tt.want == nil && (err != nil || body != "yes") {
				t.Errorf("got %q, error %v; want error %v", body, err, tt.want)
			}
			if tt.want != nil && !errors.Is(err, ErrNoResponse) {
				t.Errorf("error %v does not say that the request may have run", err)
			}
			if tt.want != nil && len(p.idle) != 0 {
				t.Error("the connection was kept")
			}
		})
	}
}
