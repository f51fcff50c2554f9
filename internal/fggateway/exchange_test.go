package fggateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Guards against gateways that fetch whole copies of the store from each other
// although all of them receive its changes: a gateway is always slightly behind
// peers that have just received the next revision. The gateway's own exchange may
// start a fetch at any time and then no longer counts as behind, so that a fetch is
// recognised by its log line.
func TestUpToDateGatewayIsNotBehind(t *testing.T) {
	env := newTestEnv(t)
	env.put("member/vm-2", fgsteer.MemberSpec{VM: "vm-2", Region: "east", PeerAddress: "127.0.0.1:1"})
	g := env.gateway("vm-1", 0)
	fetches := func() int { return len(env.logs.find(`"msg":"fetching a copy of the store failed"`, `"from":"vm-2"`)) }
	for range 12 {
		next := g.mirror.Revision() + 1
		g.applyState(&fgwire.GatewayState{Vm: "vm-2", StoreRevision: next}, "")
		if g.isBehind() {
			t.Fatal("the gateway counts as behind")
		}
		env.put("up/u1", fgsteer.UpstreamSpec{ID: "u1", Group: "g", Address: "127.0.0.1:1", Slots: 4, Region: "east"})
		env.eventually("the change is known", func() bool { return g.mirror.Revision() >= next })
	}
	before := fetches()
	g.applyState(&fgwire.GatewayState{Vm: "vm-2", StoreRevision: g.mirror.Revision() + 5}, "")
	env.eventually("a gateway without the latest revision fetches it", func() bool { return fetches() > before })
}

// Guards against a gateway that does not share the rates of workspaces and cold
// upstreams with the other gateways until its own entry is in the view.
func TestGatewayCountsItself(t *testing.T) {
	env := newTestEnv(t)
	env.policy.Workspaces[0].Rate, env.policy.Workspaces[0].Burst = 100, 100
	g := env.gateway("vm-1", 0)
	v := fgsteer.NewView(fgsteer.ViewSpec{Policy: fgsteer.NewPolicy(env.policy), Members: []fgsteer.MemberSpec{{VM: "vm-2"}}})
	g.applyView(v)
	g.limiter.Tick(time.Second)
	if share := g.limiter.Admit("w").Share; share > 0.5 {
		t.Errorf("got a share of %.2f with another gateway registered, want at most 0.5", share)
	}
}

// Guards against a withdrawn key that still works at a gateway whose requests the
// store refuses while it serves the other gateways.
func TestGatewayWithoutStoreCopiesPeer(t *testing.T) {
	tests := []struct {
		name string
		// next returns the position of the peer's copy.
		next func(p fgstore.Position) fgstore.Position
	}{
		{"after a change", func(p fgstore.Position) fgstore.Position {
			return fgstore.Position{Era: p.Era, Revision: p.Revision + 1}
		}},
		{"after the store was restored from an older copy", func(p fgstore.Position) fgstore.Position {
			return fgstore.Position{Era: p.Era + 1, Revision: p.Revision - 1}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.upstream("u1", respond)
			a, b := env.gateway("vm-1", 1), env.gateway("vm-2", 1)
			env.eventually("the gateways know each other", func() bool { return len(a.mirror.View().Members()) == 2 && len(b.mirror.View().Members()) == 2 })
			// From here on b can learn of the change only from a peer.
			values, position := env.feed.Values()
			position = tt.next(position)
			env.policy.Version = 2
			env.policy.Workspaces[0].Keys = []string{"new"}
			data, err := json.Marshal(env.policy)
			if err != nil {
				t.Fatal(err)
			}
			env.feed.Fail(errors.New("the store refuses the request"))
			for i := range values {
				if values[i].Key == "policy" {
					values[i].Data, values[i].Revision = data, position.Revision
				}
			}
			a.mirror.Replace(values, position, false)
			env.eventually("the other gateway refuses the old key", func() bool { return b.mustCall(t, http.MethodGet, "/read/x").status == 401 })
			if got := b.mustCall(t, http.MethodGet, "/read/x", "T-Key", "new"); got.status != 200 {
				t.Errorf("the new key got %+v", got)
			}
		})
	}
}
