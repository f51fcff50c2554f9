package fggateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
)

// Guards against a request that crashes one upstream after the other, as its
// caller sends it again through any gateway, and against innocent requests that
// are refused with it.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	w := newWorld(t)
	const upstreams = 6
	var crashed counter
	for i := range upstreams {
		var s *httptest.Server
		s = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("T-Id", r.Header.Get("T-Id"))
			if r.URL.Path != "/write/bomb" {
				whole(rw, r)
				return
			}
			crashed.add()
			_ = s.Listener.Close()
			s.CloseClientConnections()
		}))
		t.Cleanup(s.Close)
		id := fmt.Sprint("u", i)
		w.put("up/"+id, fgsteer.UpstreamSpec{ID: id, Group: "g", Address: s.Listener.Addr().String(), Slots: 4, Region: "east"})
	}
	gateways := []*run{w.gateway("vm-1", upstreams), w.gateway("vm-2", upstreams)}
	w.eventually("both gateways are listed", func() bool {
		return len(gateways[0].mirror.View().Members()) == 2 && len(gateways[1].mirror.View().Members()) == 2
	})
	hash := fgsuspect.RequestHash(http.MethodPut, "/write/bomb", "w", []byte("body"))
	for i := 1; i <= 3; i++ {
		if a := gateways[i%2].mustCall(t, http.MethodPut, "/write/bomb", "T-Id", fmt.Sprint("bomb", i)); a.status != http.StatusBadGateway {
			t.Fatalf("call %d: status %d", i, a.status)
		}
		w.eventually("both gateways know of the crash", func() bool {
			a, _ := gateways[0].crashes.Blocked(hash)
			b, _ := gateways[1].crashes.Blocked(hash)
			return a == i && b == i
		})
	}
	for i := range 4 {
		a := gateways[i%2].mustCall(t, http.MethodPut, "/write/bomb", "T-Id", fmt.Sprint("again", i))
		if a.status != http.StatusServiceUnavailable || a.retryAfter == "" {
			t.Errorf("status %d, retry after %q", a.status, a.retryAfter)
		}
	}
	if n := crashed.get(); n != 3 {
		t.Errorf("%d upstreams crashed", n)
	}
	if a := gateways[0].mustCall(t, http.MethodPut, "/write/other"); a.status != http.StatusOK {
		t.Errorf("another request: status %d", a.status)
	}
	if len(w.logs.find("upstream ended while it ran a request")) != 3 {
		t.Error("the crashes are not logged")
	}
}
