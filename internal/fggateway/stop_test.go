package fggateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// stopGrace is the grace period of the stops of these tests. Requests are taken without
// conditions in its first half.
const stopGrace = 4 * time.Second

// Guards against a stop that cuts requests without a response when the grace period ends:
// those that came early and last long, those that came late, those that arrive slowly, and
// uploads that never end. What has not been passed on is refused as not run.
func TestStopAnswersAllRequests(t *testing.T) {
	const (
		head  = "T-Key: k\r\nHost: h.example\r\nT-Id: "
		write = "POST /write/x HTTP/1.1\r\n" + head
		read  = "GET /read/x HTTP/1.1\r\n" + head
	)
	// Times are counted from the stop signal. early is within the first half of the grace
	// period, late is after it.
	const early, late = 200 * time.Millisecond, 2700 * time.Millisecond
	tests := []struct {
		name string
		// first is sent at the time at, rest at the time restAt.
		first, rest string
		at, restAt  time.Duration
		status      int
		sent        bool
	}{
		{"early, not idempotent", write + "ID\r\nContent-Length: 0\r\n\r\n", "", early, early, http.StatusGatewayTimeout, true},
		{"early, idempotent", read + "ID\r\n\r\n", "", early, early, http.StatusGatewayTimeout, true},
		{"late, not idempotent", write + "ID\r\nContent-Length: 0\r\n\r\n", "", late, late, http.StatusServiceUnavailable, false},
		{"late, idempotent", read + "ID\r\n\r\n", "", late, late, http.StatusServiceUnavailable, false},
		{"late, in time for its caller", write + "ID\r\nT-Patience: 300\r\nContent-Length: 0\r\n\r\n", "", late, late, http.StatusGatewayTimeout, true},
		{"late, answered at once", write + "ID\r\nT-Fast: 1\r\nT-Patience: 300\r\nContent-Length: 0\r\n\r\n", "", late, late, http.StatusOK, true},
		{"slow head", write + "ID\r\nContent-", "Length: 0\r\n\r\n", early, late, http.StatusServiceUnavailable, false},
		{"slow body", write + "ID\r\nContent-Length: 4\r\n\r\nbo", "dy", early, late, http.StatusServiceUnavailable, false},
		{"body that never ends", write + "ID\r\nContent-Length: 4\r\n\r\nbo", "", early, early, http.StatusRequestTimeout, false},
		{"body in chunks that never ends", write + "ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", "", early, early, http.StatusRequestTimeout, false},
	}
	env := newTestEnv(t)
	arrived := make(chan string, 2*len(tests))
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get("T-Id")
		if r.Header.Get("T-Fast") != "" {
			respond(rw, r)
			return
		}
		blockUntilDisconnect(rw, r)
	})
	g := env.gateway("vm-1", 1)
	g.SetBounds(Bounds{Grace: stopGrace})
	start := time.Now()
	g.cancel()
	env.eventually("the gateway is leaving", g.leaving.Load)
	responses := make([]chan callResult, len(tests))
	for i, tt := range tests {
		responses[i] = make(chan callResult, 1)
		go func() {
			// The connection is accepted in the first half of the grace period. The first byte
			// keeps it open until the rest comes.
			time.Sleep(time.Until(start.Add(early)))
			c := g.dialCaller(t)
			c.send(tt.first[:1])
			time.Sleep(time.Until(start.Add(tt.at)))
			c.send(strings.Replace(tt.first[1:], "ID", strconv.Itoa(i), 1))
			time.Sleep(time.Until(start.Add(tt.restAt)))
			c.send(tt.rest)
			responses[i] <- c.response()
		}()
	}
	results := make([]callResult, len(tests))
	for i := range tests {
		results[i] = <-responses[i]
	}
	if err := <-g.done; err != nil {
		t.Error(err)
	}
	g.done <- nil
	if took := time.Since(start); took > stopGrace {
		t.Errorf("stopped after %s, want at most %s", took, stopGrace)
	}
	sent := map[string]bool{}
	for len(arrived) > 0 {
		sent[<-arrived] = true
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res := results[i]
			if res.status != tt.status {
				t.Errorf("got %+v, want status %d", res, tt.status)
			}
			if got := sent[strconv.Itoa(i)]; got != tt.sent {
				t.Errorf("passed on: %t, want %t", got, tt.sent)
			}
			if res.status == http.StatusServiceUnavailable && res.retryAfter == "" {
				t.Error("the refusal has no Retry-After")
			}
		})
	}
}
