package fggateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgpath"
	"github.com/filbertgap/filbertgap/internal/coordination/fgquota"
	"github.com/filbertgap/filbertgap/internal/protocol/fgmessage"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// linkFault is how an upstreamLink fails.
type linkFault int32

const (
	linkWorks linkFault = iota
	// linkHangs swallows what is sent and lets new connections time out.
	linkHangs
	// linkResets ends open connections and refuses new ones.
	linkResets
	// linkRefuses refuses new connections, while open ones live on.
	linkRefuses
)

func (f linkFault) String() string {
	return [...]string{"works", "hangs", "resets", "refuses new connections"}[f]
}

// upstreamLink is the path of one gateway to all upstreams.
type upstreamLink struct {
	fault atomic.Int32
	mu    sync.Mutex
	conns []net.Conn
}

func (l *upstreamLink) get() linkFault { return linkFault(l.fault.Load()) }

func (l *upstreamLink) set(f linkFault) {
	l.fault.Store(int32(f))
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == linkResets {
		for _, c := range l.conns {
			_ = c.Close()
		}
	}
}

func (l *upstreamLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.get() {
	case linkHangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case linkResets, linkRefuses:
		return nil, syscall.ECONNREFUSED
	case linkWorks:
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return linkedConn{Conn: c, link: l}, nil
}

// linkedConn is a connection over an upstreamLink.
type linkedConn struct {
	net.Conn

	link *upstreamLink
}

func (c linkedConn) Write(b []byte) (int, error) {
	if c.link.get() == linkHangs {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// strandedEnv is a fleet of which the first gateways have a link that a test can cut.
func strandedEnv(t *testing.T, stranded, gateways int, h http.HandlerFunc) (*testEnv, []*testGateway) {
	t.Helper()
	env := newTestEnv(t)
	for i := range env.policy.Routes {
		env.policy.Routes[i].Sticky = true
	}
	env.putPolicy()
	for i := range 4 {
		env.upstream(fmt.Sprint("u", i), h)
	}
	var all []*testGateway
	for i := range gateways {
		vm := fmt.Sprint("vm-", i)
		if i < stranded {
			env.links[vm] = &upstreamLink{}
		}
		all = append(all, env.gateway(vm, 4))
	}
	for _, g := range all {
		env.eventually("the gateways have heard each other", func() bool {
			for _, other := range all {
				if other != g && !g.peers.takesDetours(other.settings.Self.VM, g.silentTimeout()) {
					return false
				}
			}
			return len(g.mirror.View().Members()) == gateways
		})
	}
	return env, all
}

// cut gives the gateway's link a fault and sends requests until it is noticed.
func (env *testEnv) cut(g *testGateway, f linkFault) {
	env.t.Helper()
	var calls sync.WaitGroup
	defer calls.Wait()
	env.links[g.settings.Self.VM].set(f)
	n := 0
	env.eventually("the lost path is noticed", func() bool {
		n++
		id := fmt.Sprint("cut-", n)
		if n%20 == 0 {
			calls.Go(func() { _, _ = g.call(env.t, http.MethodGet, "/short/x", "T-Id", id, "T-Object", id) })
		}
		return g.path.Status() != fgpath.Open
	})
}

// Guards against requests that fail at a gateway which has lost its path to the upstreams,
// while the other gateways reach them, and against requests that run twice on the way
// through another one, or for another workspace.
func TestStrandedGatewayServes(t *testing.T) {
	for _, f := range []linkFault{linkHangs, linkResets, linkRefuses} {
		t.Run(f.String(), func(t *testing.T) {
			var mu sync.Mutex
			runs := map[string]int{}
			env, gateways := strandedEnv(t, 1, 3, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				runs[r.Header.Get("T-Id")]++
				mu.Unlock()
				if r.Header.Get("T-Key") != "" || r.Header.Get("T-Workspace") != "w" || r.Header.Get(detourHeader) != "" {
					t.Errorf("an upstream got the header %v", r.Header)
				}
				respond(w, r)
			})
			g := gateways[0]
			g.mustCall(t, http.MethodGet, "/read/x", "T-Id", "before")
			if f != linkHangs {
				// The first request finds out by itself.
				env.links["vm-0"].set(f)
				if res := g.mustCall(t, http.MethodPost, "/write/x", "T-Id", "first"); res.status != http.StatusOK {
					t.Errorf("the first request got %+v", res)
				}
			}
			env.cut(g, f)
			const requests = 60
			served := 0
			for i := range requests {
				method, path := http.MethodGet, "/read/x"
				if i%2 == 0 {
					method, path = http.MethodPost, "/write/x"
				}
				id := fmt.Sprint("a", i)
				res := g.mustCall(t, method, path, "T-Id", id, "T-Object", id)
				if res.status == http.StatusOK && res.header.Get("T-Signed") != "" {
					served++
				}
				mu.Lock()
				if runs[id] != 1 {
					t.Errorf("request %s ran %d times, response %+v", id, runs[id], res)
				}
				mu.Unlock()
			}
			if served != requests {
				t.Errorf("%d of %d requests were served", served, requests)
			}
			env.eventually("look-ups of all gateways leave it out", func() bool {
				for _, other := range gateways {
					if slices.Contains(other.addresses(other.mirror.View(), fgmessage.Lookup{Region: "east"}), g.settings.Self.CallerAddress) {
						return false
					}
				}
				return true
			})
			env.links["vm-0"].set(linkWorks)
			env.eventually("the path is back", func() bool { return g.path.Status() == fgpath.Open })
			before := g.peerPool.Opened() + g.peerPool.Reused()
			if res := g.mustCall(t, http.MethodPost, "/write/x", "T-Id", "after"); res.status != http.StatusOK {
				t.Errorf("after the cut: %+v", res)
			}
			if g.peerPool.Opened()+g.peerPool.Reused() != before {
				t.Error("a request went through another gateway after the cut")
			}
		})
	}
}

// Guards against requests that travel between gateways without a path, and against look-ups
// that name none of them.
func TestAllGatewaysStranded(t *testing.T) {
	env, gateways := strandedEnv(t, 2, 2, respond)
	for _, g := range gateways {
		env.cut(g, linkResets)
	}
	env.eventually("both know of each other", func() bool { return gateways[0].peers.hasNoPath("vm-1") && gateways[1].peers.hasNoPath("vm-0") })
	connections := func() int64 { return gateways[0].peerPool.Opened() + gateways[1].peerPool.Opened() }
	start, before := time.Now(), connections()
	res := gateways[0].mustCall(t, http.MethodPost, "/write/x", "T-Id", "a")
	if res.status != http.StatusServiceUnavailable || res.retryAfter == "" {
		t.Errorf("got %+v, want a refusal with a time to come back", res)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the refusal took %s", took)
	}
	if got := gateways[0].addresses(gateways[0].mirror.View(), fgmessage.Lookup{Region: "east"}); len(got) != 2 {
		t.Errorf("a look-up names %v, want both gateways", got)
	}
	if n := connections() - before; n != 0 {
		t.Errorf("%d new connections between the gateways", n)
	}
}

// Guards against requests through another gateway that count twice towards a rate, and
// against a refusal of that gateway that is not passed on as it is.
func TestDetourIsCountedOnce(t *testing.T) {
	env, gateways := strandedEnv(t, 1, 2, respond)
	g, peer := gateways[0], gateways[1]
	setRate := func(version int64, rate float64) {
		env.policy.Version = version
		env.policy.Workspaces[0].Rate, env.policy.Workspaces[0].Burst = rate, rate
		env.putPolicy()
		env.eventually("the rate is known", func() bool {
			return g.mirror.View().Policy().Version() == version && peer.mirror.View().Policy().Version() == version
		})
	}
	// A high rate has tokens at once.
	setRate(2, 1e6)
	env.cut(g, linkResets)
	use := func(g *testGateway) fgquota.Use {
		for range 100 {
			for _, u := range g.limiter.Tick(time.Millisecond) {
				return u
			}
		}
		return fgquota.Use{}
	}
	own, others := use(g), use(peer)
	const requests = 30
	for i := range requests {
		if res := g.mustCall(t, http.MethodPost, "/write/x", "T-Id", fmt.Sprint("a", i)); res.status != http.StatusOK {
			t.Errorf("got %+v", res)
		}
	}
	ownAfter, othersAfter := use(g), use(peer)
	if n := othersAfter.Admitted - others.Admitted; n != requests || ownAfter.Admitted != own.Admitted || ownAfter.Demand > own.Demand {
		t.Errorf("%d requests counted at the other gateway, want %d; here %+v, want what was before: %+v", n, requests, ownAfter, own)
	}
	setRate(3, 1e-3)
	var last callResult
	refused := 0
	for i := range requests {
		if last = g.mustCall(t, http.MethodPost, "/write/x", "T-Id", fmt.Sprint("late", i)); last.status == http.StatusTooManyRequests {
			refused++
		}
	}
	if last.status != http.StatusTooManyRequests || last.retryAfter == "" {
		t.Errorf("got %+v, want a refusal with a time to come back", last)
	}
	if n := len(env.logs.find(`"code":"peer-refused"`, `"peers":["vm-1"]`)); n != refused {
		t.Errorf("%d of %d refusals came from the other gateway", n, refused)
	}
}

// respondWith returns a function that sends a response to what it has read, and closes the
// connection.
func respondWith(response string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte(response))
		_ = c.Close()
	}
}

// Guards against a non-idempotent request that is sent again because the connection to
// the other gateway broke or its response is not valid, and against one that fails because
// that gateway cannot be reached.
func TestDetourFails(t *testing.T) {
	tests := []struct {
		name string
		// serve handles the connections of the gateway that fails.
		serve  func(c net.Conn)
		listen bool
		want   int
	}{
		{"the connection breaks", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			_ = c.Close()
		}, true, http.StatusBadGateway},
		{"the head of the response breaks off", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nT-Signed: yes\r\nContent-Le"))
			_ = c.Close()
		}, true, http.StatusBadGateway},
		{"status 000", respondWith("HTTP/1.1 000 None\r\nT-Signed: yes\r\nContent-Length: 2\r\n\r\nno"), true, http.StatusBadGateway},
		{"space in a name", respondWith("HTTP/1.1 200 OK\r\nT-Signed: yes\r\nX : y\r\nContent-Length: 2\r\n\r\nno"), true, http.StatusBadGateway},
		{"refusal with a space in a name", respondWith("HTTP/1.1 503 Busy\r\nContent-Length : 2\r\n\r\nno"), true, http.StatusBadGateway},
		{"refusal with a folded line", respondWith("HTTP/1.1 503 Busy\r\nX: y\r\n z\r\nContent-Length: 2\r\n\r\nno"), true, http.StatusBadGateway},
		{"no process listens", nil, false, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var runs counter
			env, gateways := strandedEnv(t, 1, 2, func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.Header.Get("T-Id"), "a") {
					runs.add()
				}
				respond(w, r)
			})
			g := gateways[0]
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			if !tt.listen {
				_ = l.Close()
			}
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go tt.serve(c)
				}
			}()
			env.put("member/vm-9", fgsteer.MemberSpec{VM: "vm-9", Region: "east", CallerAddress: l.Addr().String(), PeerAddress: "127.0.0.1:1", Capacity: 1e12})
			env.eventually("the third gateway is known", func() bool { return len(g.mirror.View().Members()) == 3 })
			env.cut(g, linkResets)
			g.applyState(&fgwire.GatewayState{Vm: "vm-9", Sequence: 1}, "")
			if res := g.mustCall(t, http.MethodPost, "/write/x", "T-Id", "a"); res.status != tt.want {
				t.Errorf("got %+v, want status %d", res, tt.want)
			}
			wantRuns := 0
			if tt.want == http.StatusOK {
				wantRuns = 1
			}
			if runs.get() != wantRuns {
				t.Errorf("the request ran %d times, want %d", runs.get(), wantRuns)
			}
		})
	}
}

// Guards against more sends than the route allows because two gateways count their own.
func TestDetourKeepsMaxAttempts(t *testing.T) {
	tests := []struct {
		sends string
		want  int
	}{{"", 2}, {"0", 2}, {"1", 1}, {"-9", 2}, {"x", 2}}
	for _, tt := range tests {
		t.Run("sends="+tt.sends, func(t *testing.T) {
			env := newTestEnv(t)
			var runs counter
			for i := range 3 {
				env.upstream(fmt.Sprint("u", i), func(http.ResponseWriter, *http.Request) {
					runs.add()
					panic(http.ErrAbortHandler)
				})
			}
			g := env.gateway("vm-1", 3)
			header := []string{"T-Id", "a"}
			if tt.sends != "" {
				header = append(header, detourHeader, tt.sends)
			}
			if res := g.mustCall(t, http.MethodGet, "/read/x", header...); res.status != http.StatusBadGateway || runs.get() != tt.want {
				t.Errorf("got %+v after %d sends, want 502 after %d", res, runs.get(), tt.want)
			}
		})
	}
}

// Guards against requests that are sent to a gateway which cannot serve them, or to a
// region where they must not go.
func TestDetourPeer(t *testing.T) {
	env := newTestEnv(t)
	env.upstream("u1", respond)
	g := env.gateway("vm-0", 1)
	member := func(vm, region string) fgsteer.MemberSpec {
		return fgsteer.MemberSpec{VM: vm, Region: region, PeerAddress: "127.0.0.1:1"}
	}
	tests := []struct {
		name    string
		members []fgsteer.MemberSpec
		// states are those of the members that have reported.
		states  map[string]peerState
		regions []string
		request request
		want    []string
	}{
		{"of the same region", []fgsteer.MemberSpec{member("a", "east"), member("b", "west")}, map[string]peerState{"a": {}, "b": {}}, nil, request{}, []string{"a"}},
		{"of any region if the own is mostly without a path", []fgsteer.MemberSpec{member("a", "east"), member("b", "west"), member("c", "east")},
			map[string]peerState{"a": {}, "b": {}, "c": {noPath: true}}, nil, request{}, []string{"a", "b"}},
		{"of a region where the request may run", []fgsteer.MemberSpec{member("a", "east"), member("b", "west")}, map[string]peerState{"a": {}, "b": {}}, []string{"west"}, request{}, []string{"b"}},
		{"none where the request may run", []fgsteer.MemberSpec{member("a", "east")}, map[string]peerState{"a": {}}, []string{"west"}, request{}, nil},
		{"none that is leaving, silent or without a path", []fgsteer.MemberSpec{member("a", "east"), member("b", "east"), member("c", "east")},
			map[string]peerState{"a": {leaving: true}, "b": {noPath: true}}, nil, request{}, nil},
		{"none that was tried", []fgsteer.MemberSpec{member("a", "east"), member("b", "east")}, map[string]peerState{"a": {}, "b": {}}, nil, request{detours: []string{"a"}}, []string{"b"}},
		{"none after enough were tried", []fgsteer.MemberSpec{member("a", "east"), member("b", "east"), member("c", "east")},
			map[string]peerState{"a": {}, "b": {}, "c": {}}, nil, request{detours: []string{"a", "b"}}, nil},
		{"none for a request from another gateway", []fgsteer.MemberSpec{member("a", "east")}, map[string]peerState{"a": {}}, nil, request{detoured: true}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g.peers.mu.Lock()
			g.peers.states = map[string]peerState{}
			for vm, s := range tt.states {
				s.received = time.Now()
				g.peers.states[vm] = s
			}
			g.peers.mu.Unlock()
			q := tt.request
			q.route = &fgsteer.RouteSpec{Regions: tt.regions}
			q.view = fgsteer.NewView(fgsteer.ViewSpec{Members: append(tt.members, member("vm-0", "east"))})
			found := map[string]bool{}
			for range 100 {
				if m, ok := g.detourPeer(&q); ok {
					found[m.VM] = true
				}
			}
			var got []string
			for vm := range found {
				got = append(got, vm)
			}
			slices.Sort(got)
			if !slices.Equal(got, tt.want) {
				t.Errorf("gateways %v, want %v", got, tt.want)
			}
		})
	}
}
