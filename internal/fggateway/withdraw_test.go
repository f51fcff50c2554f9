package fggateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// heldUpstream is an upstream in zone z behind a link whose partitions hold bytes back.
type heldUpstream struct {
	network           fgstandin.Network
	gateway, upstream netip.Addr

	mu       sync.Mutex
	received map[string]bool
}

func (h *heldUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("T-Id")
	h.mu.Lock()
	h.received[id] = true
	h.mu.Unlock()
	w.Header().Set("T-Id", id)
	if strings.HasPrefix(id, "slow") {
		time.Sleep(600 * time.Millisecond)
	}
	respond(w, r)
}

func (h *heldUpstream) has(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received[id]
}

func (h *heldUpstream) partition(on bool) { h.network.SetPartitioned(h.gateway, h.upstream, on) }

// heldEnv returns a gateway whose only upstream is a heldUpstream.
func heldEnv(t *testing.T) (*testEnv, *testGateway, *heldUpstream) {
	t.Helper()
	h := &heldUpstream{gateway: netip.MustParseAddr("10.0.0.1"), upstream: netip.MustParseAddr("10.0.0.2"), received: map[string]bool{}}
	listener, err := h.network.Host(h.upstream).Listen("tcp", "10.0.0.2:80")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close(); <-served })
	env := newTestEnv(t)
	env.dial = h.network.Host(h.gateway).DialContext
	env.put("up/u1", fgsteer.UpstreamSpec{ID: "u1", Group: "g", Address: "10.0.0.2:80", Slots: 4, Region: "east", AvailabilityZone: "z"})
	return env, env.gateway("vm-1", 1), h
}

// Guards against requests that reach a drained zone when a partition ends, and against the
// end of requests that run there.
func TestDrainWithdrawsHeldRequests(t *testing.T) {
	for _, path := range []string{"/read/x", "/write/x"} {
		t.Run(path, func(t *testing.T) {
			env, g, h := heldEnv(t)
			if res := g.mustCall(t, http.MethodPut, path, "T-Id", "warm"); res.status != http.StatusOK {
				t.Fatalf("status %d before the partition", res.status)
			}
			slow := make(chan int, 1)
			go func() {
				res, _ := g.call(t, http.MethodPut, path, "T-Id", "slow")
				slow <- res.status
			}()
			env.eventually("the slow request runs", func() bool { return h.has("slow") })
			if res := g.mustCall(t, http.MethodPut, path, "T-Id", "warm2"); res.status != http.StatusOK {
				t.Fatalf("status %d before the partition", res.status)
			}
			h.partition(true)
			held := make(chan int, 1)
			start := time.Now()
			go func() {
				res, _ := g.call(t, http.MethodPut, path, "T-Id", "held")
				held <- res.status
			}()
			time.Sleep(50 * time.Millisecond)
			env.feed.Put("drain/z", "{}")
			if status := <-held; status < 500 {
				t.Errorf("the held request got status %d", status)
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("the held request was given up after %v", took)
			}
			h.partition(false)
			if status := <-slow; status != http.StatusOK {
				t.Errorf("the running request got status %d", status)
			}
			time.Sleep(200 * time.Millisecond)
			if h.has("held") {
				t.Error("the held request reached the drained zone")
			}
		})
	}
}

// Guards against a non-idempotent request that is passed on after its caller has left:
// one that had not been sent, and one that a partition held back.
func TestCallerLeavesBeforeSend(t *testing.T) {
	for _, warm := range []bool{false, true} {
		env, g, h := heldEnv(t)
		// Nothing but the caller's leaving ends the request within 3 s.
		g.pool.SetConnectTimeout(3 * time.Second)
		if warm {
			if res := g.mustCall(t, http.MethodPut, "/write/x", "T-Id", "warm"); res.status != http.StatusOK {
				t.Fatalf("status %d before the partition", res.status)
			}
		}
		h.partition(true)
		ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer leave()
		q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+g.settings.Self.CallerAddress+"/write/x", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "h.example"
		q.Header.Set("T-Id", "left")
		q.Header.Set("T-Key", "k")
		if res, err := http.DefaultTransport.RoundTrip(q); err == nil {
			_ = res.Body.Close()
			t.Fatalf("status %d through the partition", res.StatusCode)
		}
		left := time.Now()
		env.eventually("the request has ended", func() bool { return len(env.logs.find("request ended", `"left"`, string(codeCallerLeft))) == 1 })
		if took := time.Since(left); took > 2*time.Second {
			t.Errorf("warm %v: the request ended %v after its caller had left", warm, took)
		}
		h.partition(false)
		time.Sleep(100 * time.Millisecond)
		if h.has("left") {
			t.Errorf("warm %v: the request ran after its caller had left", warm)
		}
	}
}
