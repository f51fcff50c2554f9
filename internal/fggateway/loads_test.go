package fggateway

import (
	"encoding/hex"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// Guards against loads that are paid for between availability zones, that the gateways of
// the own zone do not get, or that a relay passes on to other regions.
func TestLoadsStayInTheirZone(t *testing.T) {
	env := newTestEnv(t)
	peers := env.addPeers(2)
	near, far := peers["east-0"], peers["east-1"]
	near.spec.AvailabilityZone = ""
	env.put("member/east-0", near.spec)
	env.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("T-Load", "1 2 4 2.5")
		respond(rw, r)
	})
	g := env.gateway("vm-1", 1)
	env.eventually("the gateways are known", func() bool { return len(g.mirror.View().Members()) == 7 })
	if res := g.mustCall(t, http.MethodGet, "/read/x"); res.status != http.StatusOK {
		t.Errorf("got %+v", res)
	}
	loads := 0
	for _, s := range near.receive(t, time.Second) {
		for _, l := range s.GetLoads() {
			loads++
			if l.GetLoad() != 2 || l.GetSlowdownPercent() != 250 {
				t.Errorf("got %v", l)
			}
		}
	}
	if loads != 1 {
		t.Errorf("%d loads reached the own zone, want 1", loads)
	}
	states := far.receive(t, 300*time.Millisecond)
	if len(states) == 0 {
		t.Error("no state reached the other zone")
	}
	for _, s := range states {
		if len(s.GetLoads()) != 0 {
			t.Error("another zone got loads")
		}
	}
	received := &fgwire.GatewayState{Vm: "east-0", Incarnation: 7, Sequence: 1, Loads: []*fgwire.UpstreamLoad{{Upstream: 1, Load: 1}}}
	g.receiveState(received, near.spec.PeerAddress)
	if len(received.GetLoads()) != 0 {
		t.Error("a state keeps its loads when it is passed on")
	}
	if text := g.scrape(t); !strings.Contains(text, `gateway_load_reports_total{direction="out"} 1`+"\n") {
		t.Error("the metrics do not count the load")
	}
	if text := g.scrape(t); !strings.Contains(text, `gateway_placements_total{candidate="preferred",group="g"} 1`+"\n") {
		t.Error("the metrics do not count the placement")
	}
}

// Guards against a state of this version that the previous one cannot read, and the
// reverse.
func TestLoadsInStatesOfOtherVersions(t *testing.T) {
	data, err := proto.Marshal(&fgwire.GatewayState{Vm: "vm-2", Incarnation: 7, Sequence: 3, Leaving: true, Loads: []*fgwire.UpstreamLoad{{Upstream: 9, Load: 4, SlowdownPercent: 250, AgeMs: 30}}})
	if err != nil {
		t.Fatal(err)
	}
	file := protodesc.ToFileDescriptorProto(fgwire.File_internal_protocol_fgwire_gateway_proto)
	for _, m := range file.GetMessageType() {
		if m.GetName() != "GatewayState" {
			continue
		}
		var known []*descriptorpb.FieldDescriptorProto
		for _, f := range m.GetField() {
			if f.GetNumber() <= 12 {
				known = append(known, f)
			}
		}
		m.Field = known
	}
	old, err := protodesc.NewFile(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	message := dynamicpb.NewMessage(old.Messages().ByName("GatewayState"))
	if err := proto.Unmarshal(data, message); err != nil {
		t.Fatal(err)
	}
	field := func(name protoreflect.Name) protoreflect.Value {
		return message.Get(message.Descriptor().Fields().ByName(name))
	}
	if field("vm").String() != "vm-2" || field("sequence").Uint() != 3 || !field("leaving").Bool() {
		t.Errorf("the previous version reads %v", message)
	}
	// A state of the previous version: vm-2, incarnation 7, sequence 3, leaving.
	data, err = hex.DecodeString("0a04766d2d32" + "110700000000000000" + "1803" + "3001")
	if err != nil {
		t.Fatal(err)
	}
	state := &fgwire.GatewayState{}
	if err := proto.Unmarshal(data, state); err != nil {
		t.Fatal(err)
	}
	if state.GetVm() != "vm-2" || state.GetSequence() != 3 || !state.GetLeaving() || len(state.GetLoads()) != 0 {
		t.Errorf("got %v", state)
	}
}
