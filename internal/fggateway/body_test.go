package fggateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// Guards against concurrent large bodies that exhaust a small VM's memory, and
// against reserved memory that is not released.
func TestBodyMemoryIsLimited(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	var arrived counter
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		arrived.add()
		<-release
		respond(rw, r)
	})
	g := env.gateway("vm-1", 1)
	g.bodies.limit = 300 << 10
	send := func(id string, body io.Reader) (int, string) {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+g.settings.Self.CallerAddress+"/write/x", body)
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		q.Host = "h.example"
		q.Header.Set("T-Id", id)
		q.Header.Set("T-Key", "k")
		res, err := http.DefaultTransport.RoundTrip(q)
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode, res.Header.Get("Retry-After")
	}
	large := strings.Repeat("x", 200<<10)
	first := make(chan int, 1)
	go func() {
		status, _ := send("first", strings.NewReader(large))
		first <- status
	}()
	env.eventually("the first body has arrived", func() bool { return arrived.get() == 1 })
	for name, body := range map[string]io.Reader{"with a length": strings.NewReader(large), "in chunks": io.MultiReader(strings.NewReader(large))} {
		if status, retryAfter := send(name, body); status != http.StatusServiceUnavailable || retryAfter == "" {
			t.Errorf("a second body %s: status %d, retry after %q", name, status, retryAfter)
		}
	}
	if n := arrived.get(); n != 1 {
		t.Errorf("%d requests arrived", n)
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("the first body: status %d", status)
	}
	env.eventually("the memory is released", func() bool { return g.bodies.used.Load() == 0 })
	if status, _ := send("third", io.MultiReader(strings.NewReader(large))); status != http.StatusOK {
		t.Errorf("a third body: status %d", status)
	}
}

// Guards against a large error response of an upstream that reaches the caller
// truncated, or is truncated without being detectable.
func TestLargeErrorResponseIsComplete(t *testing.T) {
	large := strings.Repeat("x", 3*bufferedBytes)
	cases := []struct {
		name   string
		length bool
	}{{"with a length", true}, {"in chunks", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.upstream("u1", func(rw http.ResponseWriter, _ *http.Request) {
				if c.length {
					rw.Header().Set("Content-Length", strconv.Itoa(len(large)))
				}
				rw.Header().Set("T-Signed", "s")
				rw.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(rw, large)
			})
			g := env.gateway("vm-1", 1)
			res, err := g.call(t, http.MethodPut, "/write/x")
			if err != nil || res.status != http.StatusInternalServerError || res.body != large {
				t.Errorf("status %d, %d bytes of %d, error %v", res.status, len(res.body), len(large), err)
			}
		})
	}
}

// Guards against a chunked body that uses more memory than it reserves, a short one that
// uses as much as a large one, and against parts that are lost or a body that is cut off
// and taken for a whole one.
func TestChunkedBodyUsesWhatItReserves(t *testing.T) {
	tests := []struct{ size, reserved int64 }{
		{0, 4 << 10}, {10, 4 << 10}, {4<<10 - 1, 4 << 10}, {4 << 10, 12 << 10}, {100 << 10, 124 << 10}, {8<<20 + 1000, 8<<20 + 60<<10},
	}
	for _, tt := range tests {
		var g Gateway
		var reserved int64
		body := bytes.Repeat([]byte("0123456789"), int(tt.size/10+1))[:tt.size]
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		parts, err := g.receiveBody(bytes.NewReader(body), -1, 16<<20, &reserved)
		runtime.ReadMemStats(&after)
		if err != nil || !bytes.Equal(bytes.Join(parts, nil), body) {
			t.Errorf("%d bytes: error %v, or the body is changed", tt.size, err)
		}
		if reserved != tt.reserved {
			t.Errorf("%d bytes: %d bytes were reserved, want %d", tt.size, reserved, tt.reserved)
		}
		// The list of the parts, and what the test framework allocates meanwhile.
		const slack = 256 << 10
		if used := int64(after.TotalAlloc - before.TotalAlloc); used > reserved+slack {
			t.Errorf("%d bytes: %d bytes were allocated, %d reserved", tt.size, used, reserved)
		}
	}
	var g Gateway
	var reserved int64
	for _, size := range []int64{10, 1000, 100 << 10} {
		cut := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := g.receiveBody(cut, -1, 16<<20, &reserved); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("a body that is cut off after %d bytes: error %v", size, err)
		}
	}
}

// Guards against a caller that stops within its body and gets no response: net/http waits for
// the rest before it sends one.
func TestUnfinishedBodyIsRefused(t *testing.T) {
	const head = "POST /write/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\nT-Key: k\r\nT-Patience: 300\r\n"
	tests := []struct{ name, request string }{
		{"length", head + "Content-Length: 4\r\n\r\nbo"},
		{"chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n"},
	}
	env := newTestEnv(t)
	env.upstream("u1", respond)
	g := env.gateway("vm-1", 1)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := g.dialCaller(t)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			c.send(tt.request)
			if res := c.response(); res.status != http.StatusRequestTimeout {
				t.Errorf("got %+v, want status 408", res)
			}
		})
	}
}
