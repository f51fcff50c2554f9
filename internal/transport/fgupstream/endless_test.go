package fgupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// maxTakenBytes is how much of an endless response may be taken from an upstream.
const maxTakenBytes = 2 << 20

// Guards against an upstream in trouble whose bytes never end: they would be read
// and held in memory until the deadline.
func TestEndlessResponses(t *testing.T) {
	tests := []struct{ name, start, next string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"field", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\n", "X: yyyyyyyy\r\n"},
		{"no HTTP", "", "\x00\x01garbage"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\nRequest-Not-Run: true\r\n\r\n", "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			endless, err := fgstandin.ListenEndless(tt.start, tt.next)
			if err != nil {
				t.Fatal(err)
			}
			defer endless.Close()
			c := New(Options{})
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, outcome, err := c.RoundTrip(ctx, endless.Address(), newRequest(t, http.MethodPost, "1", "order"))
			if tt.name == "refusal" {
				if outcome != Refused {
					t.Errorf("outcome %v, error %v", outcome, err)
				}
			} else if outcome != Lost {
				t.Errorf("outcome %v, error %v, want Lost", outcome, err)
			}
			if ctx.Err() != nil {
				t.Error("the response was read until the deadline")
			}
			if n := endless.Taken(); n > maxTakenBytes {
				t.Errorf("%d bytes were taken, want at most %d", n, maxTakenBytes)
			}
		})
	}
}

// Guards against a second copy of a response that arrives late, on a connection that
// is in use again, and reaches the next caller.
func TestLateCopyOfResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	respond := func(c net.Conn, id, body string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+HeaderSendID+": "+id+"\r\nContent-Length: 3\r\n\r\n"+body)
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				last := ""
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					id := q.Header.Get(HeaderSendID)
					if last != "" {
						respond(c, last, "old")
					}
					respond(c, id, "new")
					last = id
				}
			}()
		}
	}()
	c := New(Options{})
	defer c.Close()
	send := func(id string) (string, Outcome, error) {
		res, outcome, err := c.RoundTrip(t.Context(), listener.Addr().String(), newRequest(t, http.MethodPost, id, "order"))
		if err != nil {
			return "", outcome, err
		}
		defer func() { _ = res.Body.Close() }()
		body, err := io.ReadAll(res.Body)
		if res.Header.Get(HeaderSendID) != "" {
			t.Errorf("the response still has %s", HeaderSendID)
		}
		return string(body), outcome, err
	}
	if body, outcome, err := send("1"); body != "new" || outcome != Answered || err != nil {
		t.Fatalf("the first request got %q, %v, %v", body, outcome, err)
	}
	if body, outcome, err := send("2"); outcome != Lost || !errors.Is(err, ErrOtherResponse) {
		t.Errorf("the second request got %q, %v, %v; want Lost and ErrOtherResponse", body, outcome, err)
	}
	if body, outcome, err := send("3"); body != "new" || outcome != Answered || err != nil {
		t.Errorf("the third request got %q, %v, %v", body, outcome, err)
	}
}
