package fgclient

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// operatorStub is a VM that records the ids of received changes. respond gets the
// number of calls received so far.
type operatorStub struct {
	mu      sync.Mutex
	changes []string
	respond func(http.ResponseWriter, int)
}

func (s *operatorStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c Change
	_ = json.NewDecoder(r.Body).Decode(&c)
	s.mu.Lock()
	s.changes = append(s.changes, c.ChangeID)
	n := len(s.changes)
	s.mu.Unlock()
	s.respond(w, n)
}

func accept(w http.ResponseWriter, _ int) { _, _ = w.Write([]byte(`{"generation":4}`)) }

func drop(http.ResponseWriter, int) { panic(http.ErrAbortHandler) }

func problem(status int, outcome string) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"code":"c","detail":"d","outcome":"` + outcome + `"}`))
	}
}

// closedAddress returns a loopback address that refuses connections.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return "http://" + l.Addr().String()
}

// Guards against a change that is retried under another id or after a refusal,
// and against a lost response that is reported as a refusal.
func TestApplyRetries(t *testing.T) {
	tests := []struct {
		name          string
		first, second func(http.ResponseWriter, int)
		want          error
		unknown       bool
		calls         [2]int
	}{
		{"accepted", accept, accept, nil, false, [2]int{1, 0}},
		{"response lost, then the other VM", drop, accept, nil, false, [2]int{1, 1}},
		{"response lost, then the same VM", func(w http.ResponseWriter, n int) {
			if n == 1 {
				drop(w, n)
			}
			accept(w, n)
		}, drop, nil, false, [2]int{2, 1}},
		{"all responses lost", drop, drop, ErrUnreachable, true, [2]int{maxRounds, maxRounds}},
		{"conflict", problem(http.StatusConflict, "not-run"), accept, ErrConflict, false, [2]int{1, 0}},
		{"invalid", problem(http.StatusUnprocessableEntity, "not-run"), accept, ErrInvalid, false, [2]int{1, 0}},
		{"platform down", problem(http.StatusServiceUnavailable, "not-run"), accept, nil, false, [2]int{1, 1}},
		{"platform response lost", problem(http.StatusServiceUnavailable, "unknown"), problem(http.StatusServiceUnavailable, "unknown"), ErrUnreachable, true, [2]int{maxRounds, maxRounds}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			stubs := []*operatorStub{{respond: tt.first}, {respond: tt.second}}
			addresses := []string{closedAddress(t)}
			for _, s := range stubs {
				server := httptest.NewServer(s)
				defer server.Close()
				addresses = append(addresses, server.URL)
			}
			o, err := NewOperator(OperatorOptions{Addresses: addresses})
			if err != nil {
				t.Fatal(err)
			}
			_, err = o.Apply(t.Context(), Change{ChangeID: "same"})
			if !errors.Is(err, tt.want) || errors.Is(err, ErrOutcomeUnknown) != tt.unknown {
				t.Errorf("error is %v, want %v, unknown outcome %v", err, tt.want, tt.unknown)
			}
			for i, s := range stubs {
				s.mu.Lock()
				defer s.mu.Unlock()
				if len(s.changes) != tt.calls[i] {
					t.Errorf("VM %d received %d calls, want %d", i, len(s.changes), tt.calls[i])
				}
				for _, id := range s.changes {
					if id != "same" {
						t.Errorf("change id is %q", id)
					}
				}
			}
		})
	}
}

// Guards against an ended deadline that is reported as an unreachable VM, and
// against a refused connection that is reported as a lost response.
func TestUnreachableAndTimeout(t *testing.T) {
	o, err := NewOperator(OperatorOptions{Addresses: []string{closedAddress(t)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := o.Status(t.Context(), 0); !errors.Is(err, ErrUnreachable) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("closed port: error is %v", err)
	}
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	if _, err := o.Status(ctx, 0); !errors.Is(err, context.DeadlineExceeded) || errors.Is(err, ErrUnreachable) {
		t.Errorf("deadline passed: error is %v", err)
	}
}

// closableBody is a body that cannot be read after Close, like a file.
type closableBody struct{ io.Reader }

func (b *closableBody) Close() error {
	b.Reader = strings.NewReader("")
	return nil
}

// Guards against a request that is sent again after its response was lost, and
// against a request that fails although another VM accepts connections.
func TestDo(t *testing.T) {
	arrived := make(chan string, 10)
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	down := closedAddress(t)
	mux.HandleFunc("/fg/v1/lookup", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Lookup{LifetimeSeconds: 30, VMs: []VM{
			{Address: down[len("http://"):], IDPrefix: "1-1"}, {Address: server.Listener.Addr().String(), IDPrefix: "2-1"}}})
	})
	mux.HandleFunc("/orders", func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		arrived <- r.Header.Get("Idempotency-Key") + string(body)
		panic(http.ErrAbortHandler)
	})
	c, err := NewClient(ClientOptions{Addresses: []string{down, server.URL}, Key: "k", Transport: &http.Transport{DisableKeepAlives: true}})
	if err != nil {
		t.Fatal(err)
	}
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://x/orders", nil)
	r.GetBody = func() (io.ReadCloser, error) { return &closableBody{Reader: strings.NewReader("frames")}, nil }
	r.Body, _ = r.GetBody()
	if _, err := c.Do(r); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error is %v", err)
	}
	if id := <-arrived; len(arrived) > 0 || len(id) != len("2-1-")+32+len("frames") || !strings.HasSuffix(id, "frames") || id[:4] != "2-1-" {
		t.Errorf("id is %q, and %d further requests arrived", id, len(arrived))
	}
}

// Guards against a watch that returns without a change, or that does not send its
// ETag again.
func TestWatch(t *testing.T) {
	seen := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("If-None-Match") + " " + r.URL.Query().Get("wait")
		if len(seen) < 3 {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", "new")
		_, _ = w.Write([]byte(`[{"kind":"Workspace","metadata":{"name":"a"},"spec":{}}]`))
	}))
	defer server.Close()
	o, err := NewOperator(OperatorOptions{Addresses: []string{server.URL}})
	if err != nil {
		t.Fatal(err)
	}
	resources, etag, err := o.Watch(t.Context(), "Workspace", "a", "old")
	if err != nil || len(resources) != 1 || etag != "new" {
		t.Errorf("got %v, ETag %q, error %v", resources, etag, err)
	}
	for range 3 {
		if got := <-seen; got != "old 3s" {
			t.Errorf("call with %q", got)
		}
	}
}
