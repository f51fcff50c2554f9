package fggateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Guards against gateways that fetch whole copies of the store from each other
// while all follow it: one that has just reached a revision is always behind a
// peer that is a moment ahead.
func TestGatewayThatFollowsIsNotBehind(t *testing.T) {
	w := newWorld(t)
	g := w.gateway("vm-1", 0)
	for range 12 {
		next := g.mirror.Revision() + 1
		g.hear(&fgwire.GatewayState{Vm: "vm-2", StoreRevision: next})
		if source, behind := g.behindPeer(); behind {
			t.Fatalf("behind %s", source)
		}
		w.put("up/u1", fgsteer.UpstreamSpec{ID: "u1", Group: "g", Address: "127.0.0.1:1", Slots: 4, Region: "east"})
		w.eventually("the change is known", func() bool { return g.mirror.Revision() >= next })
	}
	g.hear(&fgwire.GatewayState{Vm: "vm-2", StoreRevision: g.mirror.Revision() + 5})
	w.eventually("a gateway that does not follow is behind", func() bool {
		source, behind := g.behindPeer()
		return behind && source == "vm-2"
	})
}

// Guards against a gateway that takes the whole of a rate and of a cold upstream
// until its own entry has come back from the store.
func TestGatewayCountsItself(t *testing.T) {
	w := newWorld(t)
	w.policy.Workspaces[0].Rate, w.policy.Workspaces[0].Burst = 100, 100
	g := w.gateway("vm-1", 0)
	v := fgsteer.NewView(fgsteer.ViewSpec{Policy: fgsteer.NewPolicy(w.policy), Members: []fgsteer.MemberSpec{{VM: "vm-2"}}})
	g.update(v)
	g.meter.Tick(time.Second)
	if share := g.meter.Admit("w").Share; share > 0.5 {
		t.Errorf("a share of %.2f beside another gateway", share)
	}
}

// Guards against a withdrawn key that goes on working at a gateway which the
// store turns away while it serves the others.
func TestStoreTurnsOneGatewayAway(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", whole)
	a, b := w.gateway("vm-1", 1), w.gateway("vm-2", 1)
	w.eventually("the gateways know each other", func() bool { return len(a.mirror.View().Members()) == 2 && len(b.mirror.View().Members()) == 2 })
	// From here on only a peer can tell b.
	values, revision := w.feed.Values()
	w.policy.Version = 2
	w.policy.Workspaces[0].Keys = []string{"new"}
	data, err := json.Marshal(w.policy)
	if err != nil {
		t.Fatal(err)
	}
	w.feed.Fail(errors.New("turned away"))
	for i := range values {
		if values[i].Key == "policy" {
			values[i].Data, values[i].Revision = data, revision+1
		}
	}
	a.mirror.Replace(values, revision+1, false)
	w.eventually("the other gateway refuses the old key", func() bool { return b.mustCall(t, http.MethodGet, "/read/x").status == 401 })
	if got := b.mustCall(t, http.MethodGet, "/read/x", "T-Key", "new"); got.status != 200 {
		t.Errorf("the new key got %+v", got)
	}
}
