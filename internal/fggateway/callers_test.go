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

// Guards against callers' connections that are kept for longer than operators
// declare, until a VM has no descriptors left, and against a changed limit that
// cuts open ones.
func TestCallerLimitsFollowThePolicy(t *testing.T) {
	w := newWorld(t)
	w.policy.Limits.IdleTimeout = 300 * time.Millisecond
	w.policy.Limits.MaxHeaderBytes = 16 << 10
	w.putPolicy()
	w.upstream("u1", whole)
	g := w.gateway("vm-1", 1)
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
	began := time.Now()
	_ = first.SetReadDeadline(began.Add(10 * time.Second))
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection after %v: %v", time.Since(began), err)
	}
	w.policy.Version, w.policy.Limits.IdleTimeout = 2, time.Minute
	w.putPolicy()
	w.eventually("the new policy is in force", func() bool { return g.callerLimits().IdleTimeout == time.Minute })
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

// Guards against a token that is lost with a request whose caller left before it
// was sent.
func TestCallerThatLeavesUnsentGivesItsTokenBack(t *testing.T) {
	w := newWorld(t)
	w.policy.Workspaces[0].Rate, w.policy.Workspaces[0].Burst = 1, 1
	w.putPolicy()
	g := w.gateway("vm-1", 0)
	w.eventually("a token is there", func() bool {
		d := g.meter.Admit("w")
		if d.Allowed {
			g.meter.GiveBack("w")
		}
		return d.Allowed
	})
	q := &request{route: &fgsteer.RouteSpec{Name: "read", Timeout: time.Second, Groups: []fgsteer.WeightedGroup{{Group: "g", Weight: 1}}}, workspace: &w.policy.Workspaces[0], deadline: time.Now().Add(time.Second)}
	if no := g.meterRequest(q); no != nil {
		t.Fatal(no.reason)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	left := httptest.NewRequestWithContext(ctx, http.MethodGet, "/read/x", nil)
	func() {
		defer func() { _ = recover() }()
		g.forward(httptest.NewRecorder(), left, q)
	}()
	if !g.meter.Admit("w").Allowed {
		t.Error("the token was not given back")
	}
}
