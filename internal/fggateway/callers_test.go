package fggateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Guards against idle connections of callers that are kept longer than the policy
// allows, until a VM has no file descriptors left, and against a changed limit that
// closes open connections.
func TestCallerLimitsFollowThePolicy(t *testing.T) {
	env := newTestEnv(t)
	env.policy.Limits.IdleTimeout = 300 * time.Millisecond
	env.policy.Limits.MaxHeaderBytes = 16 << 10
	env.putPolicy()
	env.upstream("u1", respond)
	g := env.gateway("vm-1", 1)
	open := func() net.Conn {
		c, err := net.Dial("tcp", g.settings.Self.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	send := func(c net.Conn, header string) (int, error) {
		_, _ = io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: h.example\r\nT-Id: a\r\nT-Key: k\r\n"+header+"\r\n")
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, res.Body)
		return res.StatusCode, err
	}
	first := open()
	if status, err := send(first, ""); status != http.StatusOK || err != nil {
		t.Fatalf("status %d, error %v", status, err)
	}
	if status, _ := send(open(), "X-Long: "+strings.Repeat("x", 32<<10)+"\r\n"); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a header of twice the limit: status %d", status)
	}
	start := time.Now()
	_ = first.SetReadDeadline(start.Add(10 * time.Second))
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection after %v: %v", time.Since(start), err)
	}
	env.policy.Version, env.policy.Limits.IdleTimeout = 2, time.Minute
	env.putPolicy()
	env.eventually("the new policy is in force", func() bool { return g.callerLimits().IdleTimeout == time.Minute })
	second := open()
	if status, err := send(second, ""); status != http.StatusOK || err != nil {
		t.Fatalf("status %d, error %v", status, err)
	}
	_ = second.SetReadDeadline(time.Now().Add(time.Second))
	var timeout net.Error
	if _, err := second.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("a connection under the longer limit ended: %v", err)
	}
}

// Guards against a token that stays spent although the caller disconnected before
// its request was sent.
func TestDisconnectBeforeSendRefundsToken(t *testing.T) {
	env := newTestEnv(t)
	env.policy.Workspaces[0].Rate, env.policy.Workspaces[0].Burst = 1, 1
	env.putPolicy()
	g := env.gateway("vm-1", 0)
	env.eventually("a token is available", func() bool {
		d := g.limiter.Admit("w")
		if d.Allowed {
			g.limiter.Refund("w")
		}
		return d.Allowed
	})
	q := &request{route: &fgsteer.RouteSpec{Name: "read", Timeout: time.Second, Groups: []fgsteer.WeightedGroup{{Group: "g", Weight: 1}}}, workspace: &env.policy.Workspaces[0], deadline: time.Now().Add(time.Second)}
	if refused := g.takeToken(q); refused != nil {
		t.Fatal(refused.reason)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cancelled := httptest.NewRequestWithContext(ctx, http.MethodGet, "/read/x", nil)
	func() {
		defer func() { _ = recover() }()
		g.forward(httptest.NewRecorder(), cancelled, q)
	}()
	if !g.limiter.Admit("w").Allowed {
		t.Error("the token was not refunded")
	}
}
