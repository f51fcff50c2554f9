package fggateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
)

// Guards against a request that crashes one upstream after the other because its
// caller retries it through any gateway, and against harmless requests that are
// refused as well.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	tests := []struct {
		name string
		// begin is called before the upstream crashes.
		begin func(rw http.ResponseWriter)
	}{
		{"before its response", func(http.ResponseWriter) {}},
		{"within its response", func(rw http.ResponseWriter) {
			rw.Header().Set("Content-Length", "100")
			_, _ = rw.Write([]byte("begin"))
			_ = http.NewResponseController(rw).Flush()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { testCrashingRequest(t, tt.begin) })
	}
}

func testCrashingRequest(t *testing.T, begin func(rw http.ResponseWriter)) {
	env := newTestEnv(t)
	const upstreams = 6
	var crashed counter
	for i := range upstreams {
		var s *httptest.Server
		s = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("T-Id", r.Header.Get("T-Id"))
			if r.URL.Path != "/write/bomb" {
				respond(rw, r)
				return
			}
			begin(rw)
			crashed.add()
			_ = s.Listener.Close()
			s.CloseClientConnections()
		}))
		t.Cleanup(s.Close)
		id := fmt.Sprint("u", i)
		env.put("up/"+id, fgsteer.UpstreamSpec{ID: id, Group: "g", Address: s.Listener.Addr().String(), Slots: 4, Region: "east"})
	}
	gateways := []*testGateway{env.gateway("vm-1", upstreams), env.gateway("vm-2", upstreams)}
	env.eventually("both gateways are listed", func() bool {
		return len(gateways[0].mirror.View().Members()) == 2 && len(gateways[1].mirror.View().Members()) == 2
	})
	hash := fgsuspect.RequestHash(http.MethodPut, "/write/bomb", "w", []byte("body"))
	for i := 1; i <= 3; i++ {
		if res := gateways[i%2].mustCall(t, http.MethodPut, "/write/bomb", "T-Id", fmt.Sprint("bomb", i)); res.status != http.StatusBadGateway {
			t.Fatalf("call %d: status %d", i, res.status)
		}
		env.eventually("both gateways know of the crash", func() bool {
			a, _ := gateways[0].crashes.Blocked(hash)
			b, _ := gateways[1].crashes.Blocked(hash)
			return a == i && b == i
		})
	}
	for i := range 4 {
		res := gateways[i%2].mustCall(t, http.MethodPut, "/write/bomb", "T-Id", fmt.Sprint("again", i))
		if res.status != http.StatusServiceUnavailable || res.retryAfter == "" {
			t.Errorf("status %d, retry after %q", res.status, res.retryAfter)
		}
	}
	if n := crashed.get(); n != 3 {
		t.Errorf("%d upstreams crashed", n)
	}
	if res := gateways[0].mustCall(t, http.MethodPut, "/write/other"); res.status != http.StatusOK {
		t.Errorf("another request: status %d", res.status)
	}
	if len(env.logs.find("upstream exited while it ran a request")) != 3 {
		t.Error("the crashes are not logged")
	}
}

// Guards against counting a crash for a request that the gateway itself ended within a
// response, because its time was over, when the upstream happens to refuse connections.
func TestResponseEndedAtDeadlineIsNoCrash(t *testing.T) {
	env := newTestEnv(t)
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Id", r.Header.Get("T-Id"))
		rw.Header().Set("Content-Length", "100")
		_, _ = rw.Write([]byte("begin"))
		_ = http.NewResponseController(rw).Flush()
		_ = s.Listener.Close()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	env.put("up/u", fgsteer.UpstreamSpec{ID: "u", Group: "g", Address: s.Listener.Addr().String(), Slots: 4, Region: "east"})
	g := env.gateway("vm-1", 1)
	if res := g.mustCall(t, http.MethodGet, "/short/x"); res.status < http.StatusInternalServerError {
		t.Errorf("status %d", res.status)
	}
	// A check would begin before the caller gets its response.
	if !g.crashes.Empty() {
		t.Error("the upstream is checked for a crash")
	}
}
