package fggateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// Guards against long bodies that fill a small VM's memory together, and against
// memory that is not released.
func TestBodiesShareTheMemory(t *testing.T) {
	w := newWorld(t)
	release := make(chan struct{})
	var arrived counter
	w.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		arrived.add()
		<-release
		whole(rw, r)
	})
	g := w.gateway("vm-1", 1)
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
	long := strings.Repeat("x", 200<<10)
	first := make(chan int, 1)
	go func() {
		status, _ := send("first", strings.NewReader(long))
		first <- status
	}()
	w.eventually("the first body has arrived", func() bool { return arrived.get() == 1 })
	for name, body := range map[string]io.Reader{"with a length": strings.NewReader(long), "in chunks": io.MultiReader(strings.NewReader(long))} {
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
	w.eventually("the memory is released", func() bool { return g.bodies.used.Load() == 0 })
	if status, _ := send("third", io.MultiReader(strings.NewReader(long))); status != http.StatusOK {
		t.Errorf("a third body: status %d", status)
	}
}

// Guards against a long failure of an upstream that reaches its caller cut, or
// looks whole although it is cut.
func TestLongFailureIsWhole(t *testing.T) {
	long := strings.Repeat("x", 3*bufferedBytes)
	cases := []struct {
		name   string
		length bool
	}{{"with a length", true}, {"in chunks", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.upstream("u1", func(rw http.ResponseWriter, _ *http.Request) {
				if c.length {
					rw.Header().Set("Content-Length", strconv.Itoa(len(long)))
				}
				rw.Header().Set("T-Signed", "s")
				rw.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(rw, long)
			})
			g := w.gateway("vm-1", 1)
			a, err := g.call(t, http.MethodPut, "/write/x")
			if err != nil || a.status != http.StatusInternalServerError || a.body != long {
				t.Errorf("status %d, %d bytes of %d, error %v", a.status, len(a.body), len(long), err)
			}
		})
	}
}
