package fggateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgadmission"
	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
)

// Guards against less urgent requests that take the last room of an upstream from more
// urgent ones, and against groups without routes of different priority, and without
// upstreams that tell a slowdown, that are not served as before.
func TestAdmissionOfKinds(t *testing.T) {
	tests := []struct {
		name         string
		readPriority int
		load         string
		// decided means that admission decides about the group.
		decided bool
		// readYields means that reads are refused, or wait for room, beside writes that are
		// served at once.
		readYields bool
	}{
		{"different priorities", 1, "8 0 4 0", true, true},
		{"one priority", 0, "7 0 4 0", false, false},
		{"one priority, slowdown told", 0, "7 0 4 1.5", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			for i := range env.policy.Routes {
				if env.policy.Routes[i].Name != "write" {
					env.policy.Routes[i].Priority = tt.readPriority
				}
			}
			env.putPolicy()
			env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
				// At 4 slots, the 6 or 7 requests of others are 1.5 or 1.75 per slot, and fewer with
				// time.
				rw.Header().Set("T-Load", tt.load)
				respond(rw, r)
			})
			g := env.gateway("vm-1", 1)
			g.admission.SetSharedGroups(true)
			writes := 0
			write := func() {
				if res := g.mustCall(t, http.MethodPut, "/write/x"); res.status == http.StatusOK {
					writes++
				}
			}
			write()
			q := &request{view: g.mirror.View(), route: &g.mirror.View().Policy().Routes()[0], group: "g"}
			q.attempt = g.beginAdmission(q)
			if got := q.attempt != nil; got != tt.decided {
				t.Errorf("got admission %v, want %v", got, tt.decided)
			}
			if c := q.criteria(); (c.Accept != nil) != tt.decided || c.MaxLoadPerSlot != maxLoadPerSlot {
				t.Errorf("got criteria %+v, want the limit of %.1f, and Accept only with admission", c, maxLoadPerSlot)
			}
			for range 20 {
				write()
				start := time.Now()
				res := g.mustCall(t, http.MethodGet, "/read/x")
				refused := res.status == http.StatusServiceUnavailable
				switch yields := refused || time.Since(start) > 100*time.Millisecond; {
				case refused && res.retryAfter == "":
					t.Errorf("got %+v without a retry time", res)
				case yields && tt.readYields:
					return
				case refused:
					t.Fatalf("got %+v, want all served", res)
				}
			}
			if tt.readYields {
				t.Errorf("got no read that was refused or waited beside %d writes", writes)
			}
			if writes != 21 {
				t.Errorf("got %d writes served, want 21", writes)
			}
		})
	}
}

// Guards against requests that wait on when the gateway stops, loses its path or their
// caller leaves, and against upstreams that then stay reserved for them.
func TestWaitEnds(t *testing.T) {
	tests := []struct {
		name string
		// end ends the wait; choose then returns an upstream if hasRoom is set.
		end     func(env *testEnv, g *testGateway, leave context.CancelFunc)
		hasRoom bool
		want    error
	}{
		{"room", func(*testEnv, *testGateway, context.CancelFunc) {}, true, nil},
		{"stop", func(_ *testEnv, g *testGateway, _ context.CancelFunc) { g.admission.Stop() }, false, fgadmission.Refuse{Cause: fgadmission.Stopped, RetryAfter: 100 * time.Millisecond}},
		{"path lost", func(_ *testEnv, g *testGateway, _ context.CancelFunc) {
			g.path.SetUpstreams(1)
			g.path.RecordFailed("u1")
		}, false, errPathLost},
		{"no upstream is left", func(env *testEnv, g *testGateway, _ context.CancelFunc) {
			env.feed.Remove("up/u1")
			env.eventually("the view has no upstream", func() bool { return len(g.mirror.View().Upstreams("g")) == 0 })
		}, true, fgaffinity.ErrNoUpstream},
		{"caller left", func(_ *testEnv, _ *testGateway, leave context.CancelFunc) { leave() }, false, context.Canceled},
		{"caller left while an upstream was chosen", func(_ *testEnv, _ *testGateway, leave context.CancelFunc) { leave() }, true, context.Canceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.policy.Routes[0].Priority = 1
			env.putPolicy()
			env.upstream("u1", respond)
			g := env.gateway("vm-1", 1)
			g.admission.SetSharedGroups(true)
			now := time.Now()
			q := &request{view: g.mirror.View(), route: &g.mirror.View().Policy().Routes()[0], group: "g", start: now, deadline: now.Add(time.Minute)}
			q.attempt = g.beginAdmission(q)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			u := g.upstream(t)
			var ended atomic.Bool
			first := make(chan bool, 1)
			choose := func(q *request) (fgaffinity.Placement, error) {
				select {
				case first <- true:
				default:
				}
				if tt.hasRoom && ended.Load() {
					return g.choose(q)
				}
				if tt.name == "caller left while an upstream was chosen" {
					tt.end(env, g, leave)
					return g.choose(q)
				}
				q.attempt.Reset()
				q.attempt.Accept(u, fgaffinity.Estimate{LoadPerSlot: 3, Run: time.Millisecond, Known: true})
				return fgaffinity.Placement{}, fgaffinity.ErrFull
			}
			type result struct {
				u   *fgaffinity.Upstream
				err error
			}
			results := make(chan result, 1)
			go func() {
				p, err := g.waitForRoom(ctx, q, fgadmission.Wait{Longest: 20 * time.Second}, choose)
				results <- result{p.Upstream, err}
			}()
			<-first
			tt.end(env, g, leave)
			ended.Store(true)
			r := <-results
			if !errors.Is(r.err, tt.want) {
				t.Errorf("got error %v, want %v", r.err, tt.want)
			}
			if r.u != nil {
				g.release(q, r.u)
			}
			if got := u.InFlight(); got != 0 {
				t.Errorf("got %d requests reserved at the upstream, want 0", got)
			}
		})
	}
}

// upstream returns the only upstream of a gateway.
func (r *testGateway) upstream(t *testing.T) *fgaffinity.Upstream {
	t.Helper()
	u, err := r.balancer.Choose(fgaffinity.Criteria{Group: "g", MaxLoadPerSlot: 100})
	if err != nil {
		t.Fatal(err)
	}
	r.balancer.Done(u, fgaffinity.Left)
	return u
}

// Guards against a request that the balancer counts each time that it is tried.
func TestRequestIsCountedOnce(t *testing.T) {
	env := newTestEnv(t)
	env.upstream("u1", respond)
	g := env.gateway("vm-1", 1)
	q := &request{view: g.mirror.View(), route: &g.mirror.View().Policy().Routes()[0], group: "g"}
	for i, want := range []bool{false, true, true} {
		if got := q.criteria().Counted; got != want {
			t.Errorf("try %d: got Counted %v, want %v", i, got, want)
		}
		if p, err := g.choose(q); err == nil {
			g.release(q, p.Upstream)
		}
	}
}
