package fgpool

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
)

// startEarly starts an upstream that responds while the request is still being written.
func startEarly(t *testing.T, end fgstandin.EarlyEnd, response string) (*fgstandin.Early, Target) {
	t.Helper()
	e, err := fgstandin.ListenEarly(end, func(http.Header) string { return response })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, Target{ID: "u", Address: e.Address()}
}

// longRequest returns a request whose body does not fit into the buffers of a connection.
func longRequest() Request {
	r := request("1")
	for range 256 {
		r.Body = append(r.Body, make([]byte, 64<<10))
	}
	return r
}

// Guards against a response without a length that looks complete although its connection was
// reset: the kernel reports the reset once, and the write of the request may get the report.
// A response that ended in order before its request was written is complete.
func TestResponseDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	tests := []struct {
		name, response string
		end            fgstandin.EarlyEnd
		whole          bool
	}{
		{"no length, reset", head + "\r\npart", fgstandin.EndReset, false},
		{"no length, reset, HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\npart", fgstandin.EndReset, false},
		{"no length and no body, reset", head + "\r\n", fgstandin.EndReset, false},
		{"after an interim response, reset", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\npart", fgstandin.EndReset, false},
		{"short of its length, reset", head + "Content-Length: 9\r\n\r\npart", fgstandin.EndReset, false},
		{"short of its chunk, reset", head + "Transfer-Encoding: chunked\r\n\r\n9\r\npart", fgstandin.EndReset, false},
		{"without a last chunk, reset", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", fgstandin.EndReset, false},
		{"within its trailer, reset", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nT: x\r\n", fgstandin.EndReset, false},
		{"length, reset", head + "Content-Length: 4\r\n\r\npart", fgstandin.EndReset, true},
		{"chunks, reset", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", fgstandin.EndReset, true},
		{"no length, in order", head + "\r\npart", fgstandin.EndInOrder, true},
		{"no length, in order, HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\npart", fgstandin.EndInOrder, true},
		{"length, kept open", head + "Content-Length: 4\r\n\r\npart", fgstandin.KeepOpen, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, target := startEarly(t, tt.end, tt.response)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			p := &Pool{}
			res, err := p.Send(ctx, target, longRequest())
			if err != nil {
				t.Fatal(err)
			}
			if tt.end == fgstandin.EndReset {
				// The write gets the report of the reset, since nothing is being read.
				waitForWrite(t, ctx, res)
			}
			body, err := io.ReadAll(res.Body)
			res.Close(err == nil, time.Minute)
			if (err == nil) != tt.whole || string(body) != "part" && tt.whole {
				t.Errorf("got %q, error %v; want a whole response: %t", body, err, tt.whole)
			}
			if len(p.idle) != 0 {
				t.Error("the connection was kept although its request was not written")
			}
		})
	}
}

// waitForWrite waits until the write of a request has ended.
func waitForWrite(t *testing.T, ctx context.Context, res *Response) {
	t.Helper()
	select {
	case err := <-res.written:
		result := make(chan error, 1)
		result <- err
		res.written = result
	case <-ctx.Done():
		t.Fatal("the write goes on after the reset")
	}
}
