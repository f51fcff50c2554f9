package fggateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// pipelineLog records which requests reached an upstream, and blocks those whose id begins
// with "block" until release is closed.
type pipelineLog struct {
	release chan struct{}

	mu  sync.Mutex
	ids []string
}

func (l *pipelineLog) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("T-Id")
	l.mu.Lock()
	l.ids = append(l.ids, id)
	l.mu.Unlock()
	w.Header().Set("T-Signed", "s")
	switch {
	case strings.HasPrefix(id, "block"):
		select {
		case <-l.release:
		case <-r.Context().Done():
		}
	case strings.HasPrefix(id, "slow"):
		time.Sleep(200 * time.Millisecond)
	case strings.HasPrefix(id, "cut"):
		// The body is longer than what the gateway buffers, so that the caller has
		// the beginning of the response when it is cut off.
		_, _ = w.Write(make([]byte, 2*bufferedBytes))
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, id)
}

func (l *pipelineLog) received() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ids)
}

// pipelined returns the bytes of a request whose id is also its body.
func pipelined(id, header string) string {
	return fmt.Sprintf("PUT /read/x HTTP/1.1\r\nHost: h.example\r\nT-Id: %s\r\nT-Key: k\r\nContent-Length: %d\r\n%s\r\n%s", id, len(id), header, id)
}

// Guards against responses that are out of order or belong to another request, and against
// requests that run although their response can't be sent, because an earlier one closed
// the connection.
func TestPipelinedRequests(t *testing.T) {
	tests := []struct {
		name     string
		requests []string
		// responses are the ids in the whole responses, and passed those at the upstream.
		responses, passed []string
	}{
		{"in order", []string{pipelined("slow-1", ""), pipelined("2", ""), pipelined("slow-3", ""), pipelined("4", "")}, []string{"slow-1", "2", "slow-3", "4"}, []string{"slow-1", "2", "slow-3", "4"}},
		{"caller closes", []string{pipelined("slow-1", ""), pipelined("2", "Connection: close\r\n"), pipelined("3", "")}, []string{"slow-1", "2"}, []string{"slow-1", "2"}},
		{"response is cut off", []string{pipelined("slow-1", ""), pipelined("cut-2", ""), pipelined("3", "")}, []string{"slow-1"}, []string{"slow-1", "cut-2"}},
		{"malformed request", []string{pipelined("slow-1", ""), "PUT\r\n\r\n", pipelined("3", "")}, []string{"slow-1", "400 Bad Request"}, []string{"slow-1"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			env, l := newTestEnv(t), &pipelineLog{}
			env.upstream("u1", l.serve)
			g := env.gateway("vm-1", 1)
			c, err := net.Dial("tcp", g.settings.Self.CallerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.WriteString(c, strings.Join(tc.requests, "")); err != nil {
				t.Fatal(err)
			}
			var responses []string
			for r := bufio.NewReader(c); len(responses) < len(tc.requests); {
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				body, err := io.ReadAll(res.Body)
				if err != nil {
					break
				}
				responses = append(responses, string(body))
			}
			if !slices.Equal(responses, tc.responses) {
				t.Errorf("got the responses %q, want %q", responses, tc.responses)
			}
			time.Sleep(200 * time.Millisecond)
			if passed := l.received(); !slices.Equal(passed, tc.passed) {
				t.Errorf("the upstream got %q, want %q", passed, tc.passed)
			}
		})
	}
}

// Guards against a gateway that reads requests ahead without a bound, and so holds what it
// does not count as memory of bodies.
func TestPipelinedRequestsAreReadAheadWithinBound(t *testing.T) {
	// bound is the size of the buffer of a connection in net/http, and some more.
	const bound = 8 << 10
	env, l := newTestEnv(t), &pipelineLog{release: make(chan struct{})}
	env.upstream("u1", l.serve)
	g := env.gateway("vm-1", 1)
	servers := newCallerServers(g.sockets.callers, http.HandlerFunc(g.serveCaller), g.callerLimits, g.logger)
	// A pipe has no buffer, so that what is written was read by the gateway.
	caller, conn := net.Pipe()
	defer func() { _ = caller.Close() }()
	s := servers.server(g.callerLimits())
	defer func() { _ = s.http.Close(); <-s.ended }()
	s.listener.Deliver(conn)
	ahead, written := pipelined("block", ""), 0
	for i := range 1000 {
		ahead += pipelined(fmt.Sprint("after-", i), "")
	}
	_ = caller.SetWriteDeadline(time.Now().Add(time.Second))
	written, err := io.WriteString(caller, ahead)
	if err == nil || written > bound {
		t.Errorf("the gateway read %d of %d bytes while the first request ran, error %v", written, len(ahead), err)
	}
	if got := l.received(); len(got) != 1 {
		t.Errorf("the upstream got %d requests before the first response", len(got))
	}
	close(l.release)
}

// Guards against pipelined requests that are passed on after their caller has left, and
// against a running one that is not cancelled. There are more of them than net/http reads
// ahead, so that it does not notice the end of the connection.
func TestPipelinedCallerLeaves(t *testing.T) {
	env, l := newTestEnv(t), &pipelineLog{release: make(chan struct{})}
	env.upstream("u1", l.serve)
	g := env.gateway("vm-1", 1)
	c, err := net.Dial("tcp", g.settings.Self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	requests := pipelined("block", "")
	for i := range 200 {
		requests += pipelined(fmt.Sprint("slow-", i), "")
	}
	if _, err := io.WriteString(c, requests); err != nil {
		t.Fatal(err)
	}
	env.eventually("the first request runs", func() bool { return len(l.received()) == 1 })
	_ = c.Close()
	time.Sleep(600 * time.Millisecond)
	if len(env.logs.find("request ended", `"block"`, string(codeCallerLeft))) != 1 {
		t.Error("the running request did not end when its caller left")
	}
	close(l.release)
	time.Sleep(time.Second)
	if got := l.received(); len(got) != 1 {
		t.Errorf("the upstream got %q after the caller had left", got[1:])
	}
}
