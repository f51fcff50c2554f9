package fggateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/coordination/fghedge"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgsuspect"
)

// hedgeEnv is a gateway with upstreams on VMs of their own, which serve the first request
// that arrives at any of them by first, and the second one by second.
type hedgeEnv struct {
	*testEnv

	gateway       *testGateway
	first, second http.HandlerFunc

	mu     sync.Mutex
	bodies []string
	// targets are the upstreams to which the requests were sent.
	targets []string
	// secondArrived is closed when the second request arrives, and firstGone and secondGone
	// when the gateway has closed their connections.
	secondArrived, firstGone, secondGone chan struct{}
}

func newHedgeEnv(t *testing.T, upstreams int, limit float64) *hedgeEnv {
	t.Helper()
	h := &hedgeEnv{testEnv: newTestEnv(t), secondArrived: make(chan struct{}), firstGone: make(chan struct{}), secondGone: make(chan struct{})}
	network, self := &fgstandin.Network{}, netip.MustParseAddr("10.0.0.1")
	for i := range upstreams {
		host := netip.AddrFrom4([4]byte{10, 0, 0, byte(2 + i)})
		address := netip.AddrPortFrom(host, 80).String()
		listener, err := network.Host(host).Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: h}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close(); <-served })
		id := fmt.Sprint("u", i)
		h.put("up/"+id, fgsteer.UpstreamSpec{ID: id, Group: "g", Address: address, Slots: 4, Region: "east", AvailabilityZone: id})
	}
	h.dial = network.Host(self).DialContext
	h.policy.Routes[0].MaxAttempts = 3
	h.putPolicy()
	h.maxExtra = limit
	h.gateway = h.testEnv.gateway("vm-1", upstreams)
	for range 50 {
		h.gateway.hedges.CountRequest("g")
		h.gateway.hedges.Record(fghedge.Request{Group: "g", Route: "read", Idempotent: true, MaxAttempts: 3}, 30*time.Millisecond, time.Now())
	}
	return h
}

func (h *hedgeEnv) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	h.mu.Lock()
	h.bodies = append(h.bodies, fmt.Sprint(string(body), err))
	h.targets = append(h.targets, r.Header.Get("T-Upstream"))
	n := len(h.bodies)
	h.mu.Unlock()
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	switch n {
	case 1:
		h.first(w, r)
	case 2:
		close(h.secondArrived)
		h.second(w, r)
	default:
		respond(w, r)
	}
}

func (h *hedgeEnv) arrivals() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.bodies...)
}

// setAttempts sets the MaxAttempts of the route read.
func (h *hedgeEnv) setAttempts(n int) {
	h.policy.Version++
	h.policy.Routes[0].MaxAttempts = n
	h.putPolicy()
	h.eventually("the policy is applied", func() bool { return h.gateway.mirror.View().Policy().Version() == h.policy.Version })
}

// upstreams returns the upstreams that the balancer knows.
func (h *hedgeEnv) upstreams() []*fgaffinity.Upstream {
	var found []*fgaffinity.Upstream
	for {
		u, err := h.gateway.balancer.Choose(fgaffinity.Criteria{Group: "g", Exclude: found, MaxLoadPerSlot: 100})
		if err != nil {
			return found
		}
		h.gateway.balancer.Done(u, fgaffinity.Left)
		found = append(found, u)
	}
}

// metric returns the value of a metric of group g, or "" if there is none.
func (h *hedgeEnv) metric(name, label, value string) string {
	w := httptest.NewRecorder()
	h.gateway.metrics.Handler().ServeHTTP(w, httptest.NewRequestWithContext(h.t.Context(), http.MethodGet, "/metrics", nil))
	prefix := fmt.Sprintf("filbertgap_gateway_%s{%s=%q,group=\"g\"} ", name, label, value)
	if label > "group" {
		prefix = fmt.Sprintf("filbertgap_gateway_%s{group=\"g\",%s=%q} ", name, label, value)
	}
	for line := range strings.Lines(w.Body.String()) {
		if s, ok := strings.CutPrefix(line, prefix); ok {
			return strings.TrimSpace(s)
		}
	}
	return ""
}

// block responds when the gateway has closed the connection, or after 20 s. It closes gone
// in the first case.
func block(gone chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			close(gone)
		case <-time.After(20 * time.Second):
		}
		respond(w, r)
	}
}

// answer responds with a text.
func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Signed", "s")
		_, _ = io.WriteString(w, text)
	}
}

// then calls next once c is closed.
func then(c <-chan struct{}, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-c:
			// The response of the other request is on its way.
			time.Sleep(50 * time.Millisecond)
		case <-r.Context().Done():
		}
		next(w, r)
	}
}

func serverError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Signed", "s")
	w.WriteHeader(http.StatusInternalServerError)
}

// Guards against a slow first response that delays the caller although a second send has
// responded, a loser that runs on or counts as a failure, and results that are recorded
// more or less than once.
func TestSecondSend(t *testing.T) {
	tests := []struct {
		name          string
		first, second func(h *hedgeEnv) http.HandlerFunc
		status        int
		body          string
		end           string
		// gone is the send whose connection must be reset.
		gone    func(h *hedgeEnv) <-chan struct{}
		results map[string]string
	}{
		{
			"second wins", func(h *hedgeEnv) http.HandlerFunc { return block(h.firstGone) }, func(*hedgeEnv) http.HandlerFunc { return answer("second") },
			200, "second", "won", func(h *hedgeEnv) <-chan struct{} { return h.firstGone }, map[string]string{"answered": "1", "left": "1", "lost": "", "silent": ""},
		},
		{
			"first wins", func(h *hedgeEnv) http.HandlerFunc { return then(h.secondArrived, answer("first")) }, func(h *hedgeEnv) http.HandlerFunc { return block(h.secondGone) },
			200, "first", "lost", func(h *hedgeEnv) <-chan struct{} { return h.secondGone }, map[string]string{"answered": "1", "left": "1", "lost": "", "silent": ""},
		},
		{
			"both fail", func(h *hedgeEnv) http.HandlerFunc { return then(h.secondArrived, closeConnection) }, func(*hedgeEnv) http.HandlerFunc { return closeConnection },
			200, "fine", "failed", nil, map[string]string{"lost": "2", "answered": "1", "left": ""},
		},
		{
			"both fail, no attempt left", func(h *hedgeEnv) http.HandlerFunc {
				h.setAttempts(2)
				return then(h.secondArrived, closeConnection)
			}, func(*hedgeEnv) http.HandlerFunc { return closeConnection },
			502, "the connection to the upstream broke; the request may have run\n", "failed", nil, map[string]string{"lost": "2", "answered": "", "left": ""},
		},
		{
			"second refuses", func(h *hedgeEnv) http.HandlerFunc { return then(h.secondArrived, answer("first")) }, func(*hedgeEnv) http.HandlerFunc { return shed },
			200, "first", "failed", nil, map[string]string{"shed": "1", "answered": "1", "left": ""},
		},
		{
			"first fails", func(h *hedgeEnv) http.HandlerFunc { return then(h.secondArrived, closeConnection) },
			func(*hedgeEnv) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) { time.Sleep(200 * time.Millisecond); respond(w, r) }
			},
			200, "fine", "won", nil, map[string]string{"lost": "1", "answered": "1", "left": ""},
		},
		{
			"server error of second", func(h *hedgeEnv) http.HandlerFunc { return then(h.secondArrived, answer("first")) }, func(*hedgeEnv) http.HandlerFunc { return serverError },
			200, "first", "lost", nil, map[string]string{"failed": "1", "answered": "1", "left": ""},
		},
		{
			"server error, then broken", func(h *hedgeEnv) http.HandlerFunc { return then(h.secondArrived, closeConnection) }, func(*hedgeEnv) http.HandlerFunc { return serverError },
			500, "", "won", nil, map[string]string{"failed": "1", "lost": "1", "left": ""},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHedgeEnv(t, 3, 0.2)
			h.first, h.second = tt.first(h), tt.second(h)
			start := time.Now()
			res := h.gateway.mustCall(t, http.MethodGet, "/read/x")
			if took := time.Since(start); took > 4*time.Second {
				t.Errorf("the response took %v, as long as the deadline", took)
			}
			if res.status != tt.status || res.body != tt.body {
				t.Errorf("got %d %q, want %d %q", res.status, res.body, tt.status, tt.body)
			}
			if tt.gone != nil {
				select {
				case <-tt.gone(h):
				case <-time.After(10 * time.Second):
					t.Error("the other send was not reset")
				}
			}
			h.eventually("the second send is recorded", func() bool { return h.metric("second_sends_total", "end", tt.end) == "1" })
			for result, want := range tt.results {
				h.eventually(fmt.Sprintf("%q sends end as %s", want, result), func() bool { return h.metric("sends_total", "result", result) == want })
			}
			for _, body := range h.arrivals() {
				if body != "body<nil>" {
					t.Errorf("an upstream got the body %q", body)
				}
			}
			if res := h.gateway.mustCall(t, http.MethodGet, "/read/x", "T-Id", "a2"); res.status != 200 || res.body != "fine" {
				t.Errorf("the next request got %+v, want its own response", res)
			}
			for _, u := range h.upstreams() {
				if n := u.InFlight(); n != 0 {
					t.Errorf("%d requests count as in flight", n)
				}
			}
		})
	}
}

// Guards against second sends where a limit or the request itself forbids them.
func TestNoSecondSend(t *testing.T) {
	tests := []struct {
		name, path string
		limit      float64
		upstreams  int
		prepare    func(h *hedgeEnv)
		// end is the recorded reason. Empty means none.
		end string
	}{
		{"limit 0", "/read/x", 0, 3, func(*hedgeEnv) {}, ""},
		{"one attempt", "/read/x", 0.2, 3, func(h *hedgeEnv) {
			h.setAttempts(1)
		}, ""},
		{"not idempotent", "/write/x", 0.2, 3, func(*hedgeEnv) {}, ""},
		{"suspected of crashes", "/read/x", 0.2, 3, func(h *hedgeEnv) {
			h.gateway.crashes.BeginCheck(fgsuspect.RequestHash(http.MethodGet, "/read/x", "w", []byte("body")), "10.0.0.9:80", time.Now()).Crashed()
		}, ""},
		{"limit used up", "/read/x", 0.2, 3, func(h *hedgeEnv) {
			for h.gateway.hedges.Take("g") {
			}
		}, "refused-limit"},
		{"retry budget used up", "/read/x", 0.2, 3, func(h *hedgeEnv) {
			h.gateway.retryBudget.SetBounds(0, 0, time.Hour)
			for h.gateway.retryBudget.TakeRetry("g") {
			}
		}, "refused-budget"},
		{"no other upstream", "/read/x", 0.2, 1, func(*hedgeEnv) {}, "refused-room"},
		{"cold upstreams", "/read/x", 0.2, 3, func(h *hedgeEnv) {
			for _, u := range h.upstreams() {
				h.gateway.balancer.RecordCold(u, time.Minute)
			}
		}, "refused-room"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHedgeEnv(t, tt.upstreams, tt.limit)
			if tt.name == "cold upstreams" {
				h.gateway.balancer.SetColdBounds(100, 1000)
				time.Sleep(1600 * time.Millisecond)
			}
			tt.prepare(h)
			h.first = func(w http.ResponseWriter, r *http.Request) { time.Sleep(300 * time.Millisecond); respond(w, r) }
			h.second = respond
			if res := h.gateway.mustCall(t, http.MethodGet, tt.path); res.status != 200 {
				t.Errorf("got %+v", res)
			}
			if n := len(h.arrivals()); n != 1 {
				t.Errorf("%d requests arrived, want 1", n)
			}
			for end := fghedge.Won; end <= fghedge.RefusedRoom; end++ {
				want := ""
				if end.String() == tt.end {
					want = "1"
				}
				if got := h.metric("second_sends_total", "end", end.String()); got != want {
					t.Errorf("got %q second sends %s, want %q", got, end, want)
				}
			}
		})
	}
}

// Guards against sends that go on when the caller of both has left.
func TestCallerLeavesSecondSend(t *testing.T) {
	h := newHedgeEnv(t, 3, 0.2)
	h.first, h.second = block(h.firstGone), block(h.secondGone)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.gateway.settings.Self.CallerAddress+"/read/x", bytes.NewReader([]byte("body")))
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h.example"
	q.Header.Set("T-Key", "k")
	done := make(chan error, 1)
	go func() {
		res, err := http.DefaultTransport.RoundTrip(q)
		if err == nil {
			_ = res.Body.Close()
		}
		done <- err
	}()
	<-h.secondArrived
	leave()
	<-done
	for _, gone := range []<-chan struct{}{h.firstGone, h.secondGone} {
		select {
		case <-gone:
		case <-time.After(10 * time.Second):
			t.Error("a send goes on after its caller has left")
		}
	}
	h.eventually("both sends are recorded", func() bool {
		return h.metric("sends_total", "result", "left") == "2" && h.metric("second_sends_total", "end", "caller-left") == "1"
	})
}

// Guards against a third send by the watch for overdue responses while a second one is in
// flight, and against a request that stays at two slow upstreams.
func TestSecondSendAndOverdueWatch(t *testing.T) {
	h := newHedgeEnv(t, 3, 0.2)
	arrivedLater := make(chan int, 1)
	h.first = func(w http.ResponseWriter, r *http.Request) {
		// All upstreams count as slow at their next overdue response.
		for _, u := range h.upstreams() {
			for range 2 {
				h.gateway.balancer.RecordOverdue(u)
			}
		}
		block(h.firstGone)(w, r)
	}
	h.second = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(400 * time.Millisecond)
		arrivedLater <- len(h.arrivals())
		closeConnection(w, r)
	}
	res := h.gateway.mustCall(t, http.MethodGet, "/read/x")
	if res.status != 200 || res.body != "fine" {
		t.Errorf("got %+v, want the response of the third send", res)
	}
	if n := <-arrivedLater; n != 2 {
		t.Errorf("%d sends while the second one was in flight, want 2", n)
	}
	if n := len(h.arrivals()); n != 3 {
		t.Errorf("%d sends, want 3", n)
	}
	if got := h.metric("sends_total", "result", "silent"); got != "1" {
		t.Errorf("%q sends were abandoned, want 1", got)
	}
}

// Guards against a second send to the zone of the first one, which may be slow as a whole,
// while another zone has room.
func TestSecondSendGoesToAnotherZone(t *testing.T) {
	h := newHedgeEnv(t, 4, 0.2)
	zone := func(id string) string { return "zone-" + strconv.Itoa(int(id[1]-'0')/2) }
	for _, u := range h.upstreams() {
		spec := *u.Spec()
		spec.AvailabilityZone = zone(spec.ID)
		h.put("up/"+spec.ID, spec)
	}
	h.eventually("the zones are known", func() bool {
		return !slices.ContainsFunc(h.upstreams(), func(u *fgaffinity.Upstream) bool { return u.Spec().AvailabilityZone != zone(u.Spec().ID) })
	})
	for i := range 5 {
		h.mu.Lock()
		h.bodies, h.targets = nil, nil
		h.firstGone, h.secondArrived = make(chan struct{}), make(chan struct{})
		h.first, h.second = block(h.firstGone), respond
		h.mu.Unlock()
		h.gateway.hedges.Refund("g")
		if res := h.gateway.mustCall(t, http.MethodGet, "/read/x", "T-Id", fmt.Sprint("z", i)); res.status != 200 {
			t.Fatalf("got %+v", res)
		}
		<-h.firstGone
		h.mu.Lock()
		if len(h.targets) != 2 || zone(h.targets[0]) == zone(h.targets[1]) {
			t.Errorf("sent to %v, want two zones", h.targets)
		}
		h.mu.Unlock()
	}
}

// Guards against a send in place of an overdue one of a request that has crashed several
// upstreams meanwhile, and an upstream that stays reserved for it.
func TestOverdueCrashingRequestIsNotSentAgain(t *testing.T) {
	for _, limit := range []float64{0, 0.2} {
		h := newHedgeEnv(t, 3, limit)
		h.first = func(w http.ResponseWriter, r *http.Request) {
			for _, u := range h.upstreams() {
				for range 2 {
					h.gateway.balancer.RecordOverdue(u)
				}
			}
			hash := fgsuspect.RequestHash(http.MethodGet, "/read/x", "w", []byte("body"))
			for i := range 4 {
				h.gateway.crashes.BeginCheck(hash, fmt.Sprintf("10.0.0.%d:80", i), time.Now()).Crashed()
			}
			block(h.firstGone)(w, r)
		}
		h.second = respond
		if res := h.gateway.mustCall(t, http.MethodGet, "/read/x"); res.status != http.StatusGatewayTimeout {
			t.Errorf("limit %.1f: got %+v, want that the request may have run", limit, res)
		}
		if n := len(h.arrivals()); n != 1 {
			t.Errorf("limit %.1f: %d requests arrived, want 1", limit, n)
		}
		for _, u := range h.upstreams() {
			if n := u.InFlight(); n != 0 {
				t.Errorf("limit %.1f: %d requests count as in flight", limit, n)
			}
		}
	}
}
