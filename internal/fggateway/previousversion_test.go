package fggateway

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/filbertgap/filbertgap/internal/coordination/fgrelay"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

// lastPreviousField is the last field of a state in the previous version.
const lastPreviousField = 12

// previousState returns the type of a state in the previous version.
func previousState(t *testing.T) protoreflect.MessageDescriptor {
	t.Helper()
	file := protodesc.ToFileDescriptorProto((&fgwire.GatewayState{}).ProtoReflect().Descriptor().ParentFile())
	file.Service = nil
	for _, m := range file.GetMessageType() {
		if m.GetName() == "GatewayState" {
			m.Field = slices.DeleteFunc(m.GetField(), func(f *descriptorpb.FieldDescriptorProto) bool { return f.GetNumber() > lastPreviousField })
		}
	}
	d, err := protodesc.NewFile(file, &protoregistry.Files{})
	if err != nil {
		t.Fatal(err)
	}
	return d.Messages().ByName("GatewayState")
}

// Guards against gateways of this and the previous version that do not understand each
// other's states, own or passed on.
func TestStatesOfPreviousVersion(t *testing.T) {
	previous := previousState(t)
	own := &fgwire.GatewayState{
		Vm: "a", Incarnation: 7, Sequence: 3, StoreRevision: 9, StoreAgeMs: 20, StoreEra: 1, Leaving: true,
		Workspaces: []*fgwire.WorkspaceUse{{Workspace: 5, Admitted: 6, Demand: 7}},
	}
	g := &Gateway{settings: Settings{}}
	g.settings.Self.VM = "b"
	message := g.encodeMessage(fgrelay.Message[*fgwire.GatewayState]{
		States: []*fgwire.GatewayState{proto.Clone(own).(*fgwire.GatewayState)}, Tree: 2, Held: []fgrelay.Held{{Key: 1, Sequence: 2}}, Wanted: []uint32{3},
	})
	message.Relayed[0].PassesOn = true
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	read := dynamicpb.NewMessage(previous)
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, read); err != nil {
		t.Fatal(err)
	}
	// What the previous version understands, written by it and read by this one.
	if data, err = proto.Marshal(read); err != nil {
		t.Fatal(err)
	}
	s := &fgwire.GatewayState{}
	if err := proto.Unmarshal(data, s); err != nil {
		t.Fatal(err)
	}
	m := decodeMessage(s)
	if s.GetVm() != "b" || s.GetSequence() != 0 || s.GetPassesOn() || m.Tree != 0 || len(m.Held)+len(m.Wanted) != 0 {
		t.Errorf("message %v", s)
	}
	if len(m.States) != 1 || !proto.Equal(m.States[0], own) {
		t.Errorf("states passed on %v, want %v", m.States, own)
	}
}
