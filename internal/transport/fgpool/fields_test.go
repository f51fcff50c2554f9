package fgpool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// invalidFields are heads of which the end or the body of the response would be read otherwise
// than it was sent.
var invalidFields = []struct{ name, response string }{
	{"space before the colon", "HTTP/1.1 200 OK\r\nId: 1\r\nX : y\r\nContent-Length: 2\r\n\r\nno"},
	{"space after a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 2\r\n\r\nno"},
	{"space after a coding", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
	{"space in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nX Y: z\r\nContent-Length: 2\r\n\r\nno"},
	{"space before a name", "HTTP/1.1 200 OK\r\nId: 1\r\nZ: z\r\n X: y\r\nContent-Length: 2\r\n\r\nno"},
	{"space before a length", "HTTP/1.1 200 OK\r\nId: 1\r\nZ: z\r\n Content-Length: 2\r\n\r\nno"},
	{"space before the first name", "HTTP/1.1 200 OK\r\n Id: 1\r\nContent-Length: 2\r\n\r\nno"},
	{"tab before a name", "HTTP/1.1 200 OK\r\nId: 1\r\nZ: z\r\n\tContent-Length: 2\r\n\r\nno"},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length\t: 2\r\n\r\nno"},
	{"control character in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nX\x01Y: z\r\nContent-Length: 2\r\n\r\nno"},
	{"control character in a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-\x0bLength: 2\r\n\r\nno"},
	{"NUL", "HTTP/1.1 200 OK\r\nId: 1\r\nX\x00: z\r\nContent-Length: 2\r\n\r\nno"},
	{"DEL", "HTTP/1.1 200 OK\r\nId: 1\r\nX\x7f: z\r\nContent-Length: 2\r\n\r\nno"},
	{"carriage return in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nX\rY: z\r\nContent-Length: 2\r\n\r\nno"},
	{"no name", "HTTP/1.1 200 OK\r\nId: 1\r\n: z\r\nContent-Length: 2\r\n\r\nno"},
	{"no colon", "HTTP/1.1 200 OK\r\nId: 1\r\nX\r\nContent-Length: 2\r\n\r\nno"},
	{"control character in a value", "HTTP/1.1 200 OK\r\nId: 1\r\nX: y\x00\r\nContent-Length: 2\r\n\r\nno"},
	{"space in a name, HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length : 2\r\n\r\nno"},
	{"coding, HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
	{"coding and length, HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 2\r\ntransfer-encoding: chunked\r\n\r\nno"},
	{"in an interim response", "HTTP/1.1 103 Early Hints\r\nX : y\r\n\r\n" + encodeResponse("1", "no")},
	{"folded in an interim response", "HTTP/1.1 103 Early Hints\r\nX: y\r\n z\r\n\r\n" + encodeResponse("1", "no")},
	{"after an interim response", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nX: y\r\n Content-Length: 2\r\n\r\nno"},
	{"in a response to another request", "HTTP/1.1 200 OK\r\nId: 9\r\nX : y\r\nContent-Length: 2\r\n\r\nno" + encodeResponse("1", "no")},
	{"after a response to another request", encodeResponse("9", "no") + "HTTP/1.1 200 OK\r\nId: 1\r\nX: y\r\n Content-Length: 2\r\n\r\nno"},
	{"space in a trailer", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nT : x\r\n\r\n"},
	{"space before a trailer", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n T: x\r\n\r\n"},
	{"control character in a trailer", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nT\x01: x\r\n\r\n"},
}

// Guards against a response with an invalid field that is passed on, or whose body is read
// otherwise than it was sent. The heads arrive whole, or byte by byte.
func TestInvalidFields(t *testing.T) {
	for _, tt := range invalidFields {
		for _, slow := range []bool{false, true} {
			name := tt.name
			if slow {
				name += ", byte by byte"
			}
			t.Run(name, func(t *testing.T) {
				target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
					_, _ = readRequest(r)
					writeInParts(c, tt.response, slow)
				})
				p := &Pool{}
				body, err := sendAndRead(t, p, target, "1")
				if err == nil {
					t.Errorf("got %q", body)
				}
				if inHead := !strings.Contains(tt.name, "trailer"); inHead && (!errors.Is(err, ErrNoResponse) || !errors.Is(err, ErrMalformed)) {
					t.Errorf("error %v, want ErrNoResponse and ErrMalformed", err)
				}
				if len(p.idle) != 0 {
					t.Error("the connection was kept")
				}
			})
		}
	}
}

// writeInParts writes a text at once, or byte by byte.
func writeInParts(w io.Writer, text string, slow bool) {
	if !slow {
		_, _ = io.WriteString(w, text)
		return
	}
	for i := range len(text) {
		_, _ = io.WriteString(w, text[i:i+1])
		if i%8 == 0 {
			time.Sleep(50 * time.Microsecond)
		}
	}
}

// Guards against a valid response that is refused.
func TestValidFields(t *testing.T) {
	tests := []struct{ name, response string }{
		{"no space after the colon", "HTTP/1.1 200 OK\r\nId:1\r\nContent-Length:3\r\n\r\nyes"},
		{"tabs and bytes above 127 in a value", "HTTP/1.1 200 OK\r\nId: 1\r\nX:\ty\tz\xe9 \r\nContent-Length: 3\r\n\r\nyes"},
		{"unusual name", "HTTP/1.1 200 OK\r\nId: 1\r\n!#$%&'*+-.^_`|~09: y\r\nContent-Length: 3\r\n\r\nyes"},
		{"empty value", "HTTP/1.1 200 OK\r\nId: 1\r\nX:\r\nContent-Length: 3\r\n\r\nyes"},
		{"lines that end with a line feed", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 3\n\nyes"},
		{"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nyes"},
		{"trailer", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nT: x\r\n\r\n"},
		{"folded line in the body", "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 8\r\n\r\nA: b\r\n c" + encodeResponse("1", "yes")},
	}
	for _, tt := range tests {
		for _, slow := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
					_, _ = readRequest(r)
					writeInParts(c, tt.response, slow)
				})
				if body, err := sendAndRead(t, &Pool{}, target, "1"); err != nil || body != "yes" {
					t.Errorf("got %q, error %v", body, err)
				}
			})
		}
	}
}
