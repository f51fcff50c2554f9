package fggateway

import (
	"encoding/hex"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgquota"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// Guards against a state that gateways of the previous version cannot read, or a state
// of theirs that this one misreads.
func TestRatesInStatesOfOtherVersions(t *testing.T) {
	// A state of gateway vm-2 of the previous version: incarnation 7, sequence 3, and a
	// use of workspace 5 with 9 admitted requests and a demand of 2 per second.
	const previous = "0a04766d2d3211070000000000000018033a090d0500000010121814"
	encoded, err := hex.DecodeString(previous)
	if err != nil {
		t.Fatal(err)
	}
	var s fgwire.GatewayState
	if err := proto.Unmarshal(encoded, &s); err != nil {
		t.Fatal(err)
	}
	want := fgquota.Report{VM: "vm-2", Incarnation: 7, Sequence: 3, Uses: []fgquota.Use{{Workspace: 5, Admitted: 9, Demand: 2}}}
	if got := rateReport(&s); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	// The fields of the previous version stand unchanged before the new ones.
	s.Workspaces[0].Earlier, s.Unheard, s.UnheardBits, s.Spenders, s.WorkspacesComplete = 4, []uint32{1}, []byte{2}, 3, true
	changed, err := proto.MarshalOptions{Deterministic: true}.Marshal(&s)
	if err != nil {
		t.Fatal(err)
	}
	const current = "0a04766d2d3211070000000000000018033a0b0d050000001012181420086a0401000000720102780380" + "0101"
	if got := hex.EncodeToString(changed); got != current {
		t.Errorf("got %s, want %s", got, current)
	}
}

// Guards against a gateway that does not tell the others whom it has not heard, which
// lets both sides of a cut in one direction spend the same tokens.
func TestStateNamesUnheardGateways(t *testing.T) {
	env := newTestEnv(t)
	g := env.gateway("vm-1", 0)
	g.limiter.SetMembers([]string{"vm-1", "vm-2", "vm-3"})
	g.applyState(&fgwire.GatewayState{Vm: "vm-2", Incarnation: 1, Sequence: 1}, "")
	var state fgwire.GatewayState
	g.addRates(&state, time.Millisecond)
	if want := []uint32{fgquota.WorkspaceHash("vm-3")}; !slices.Equal(state.GetUnheard(), want) || state.GetSpenders() != 3 {
		t.Errorf("unheard %v of %d, want %v of 3", state.GetUnheard(), state.GetSpenders(), want)
	}
}

// Guards against refusals within the rate that no metric shows.
func TestRefusedWithinRateIsCounted(t *testing.T) {
	env := newTestEnv(t)
	env.policy.Workspaces[0].Rate, env.policy.Workspaces[0].Burst = 0.5, 1
	env.putPolicy()
	g := env.gateway("vm-1", 0)
	if res := g.mustCall(t, http.MethodGet, "/read/x", "T-Id", "a"); res.status != http.StatusTooManyRequests {
		t.Fatalf("got %+v, want a refusal by a gateway without tokens", res)
	}
	if !strings.Contains(g.scrape(t), `filbertgap_gateway_refused_within_rate_total{workspace="w"} 1`+"\n") {
		t.Error("the refusal is not counted")
	}
}
