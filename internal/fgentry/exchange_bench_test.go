package fgentry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/coordination/fgsync"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
	"github.com/filbertgap/filbertgap/internal/state/fgshare"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// benchEntry returns an entry with the given number of members and limits. All
// limits are in use, and seven processes hold units of each.
func benchEntry(b *testing.B, members, limits int) *Entry {
	platform := &fgstandin.Platform{}
	e := New(Settings{raw: RawSettings{VM: "vm-0000", Region: "region-0"}}, platform, platform, logr.Discard())
	list := []fgmember.Member{{VM: "vm-0000", Incarnation: e.incarnation.String(), Region: "region-0"}}
	for i := 1; i < members; i++ {
		list = append(list, fgmember.Member{
			VM: fmt.Sprintf("vm-%04d", i), Incarnation: fmt.Sprintf("%016x", i), Region: fmt.Sprintf("region-%d", i%8), Contact: i < 40,
		})
	}
	units := map[string]int64{}
	for _, m := range list[:7] {
		units[m.Incarnation] = fgshare.RateUnits / 7
	}
	var change fgconfig.Change
	ledger := fgshare.Ledger{Limits: map[string]fgshare.Share{}}
	for i := range limits {
		name := fmt.Sprintf("workspace-%04d", i)
		change.Put = append(change.Put, resource(name, &fgapi.WorkspaceSpec{RequestsPerSecond: 10_000, Burst: 10_000}))
		ledger.Limits["workspace/"+name] = fgshare.Share{Total: fgshare.RateUnits, Generation: 1, Units: units}
	}
	payload, _ := json.Marshal(change)
	config, err := fgconfig.Apply(fgconfig.Empty(), fgjournal.Entry{Generation: 1, Payload: payload})
	if err != nil {
		b.Fatal(err)
	}
	e.limits.applyConfig(config)
	shares, _ := json.Marshal(ledger)
	head, _ := json.Marshal(fgjournal.Head{Generation: 1})
	snapshot, _ := json.Marshal(list)
	err = errors.Join(
		e.limits.holder.ApplyLedger(fgstore.Value{Data: shares, Revision: 1}),
		e.members.Fetch(b.Context(), func(context.Context, uint64, int) (fgsync.Copy, error) {
			return fgsync.Copy{Head: head, Revision: 1, Snapshot: snapshot, Parts: 1}, nil
		}))
	if err != nil {
		b.Fatal(err)
	}
	for name := range ledger.Limits {
		e.limits.holder.Rate(name).CountRefused(fgshare.Token)
	}
	e.updatePlacement()
	return e
}

// BenchmarkExchange measures one side of an exchange: creating and marshalling
// a state, and unmarshalling and applying a neighbour's. It reports the size of
// a state without the framing of drpc, TCP and IP.
func BenchmarkExchange(b *testing.B) {
	for _, members := range []int{7, 100, 1_000, 4_100} {
		for _, limits := range []int{0, 8, 100, 1_000} {
			name := fmt.Sprintf("members=%d/limits=%d", members, limits)
			b.Run(name, func(b *testing.B) { benchExchange(b, benchEntry(b, members, limits)) })
		}
	}
}

func benchExchange(b *testing.B, e *Entry) {
	state := e.nodeState()
	var messages [][]byte
	for _, m := range e.members.State().Neighbours("vm-0000") {
		state.Vm, state.Incarnation = m.VM, m.Incarnation
		data, _ := proto.Marshal(state)
		messages = append(messages, data)
	}
	size := 0
	b.ReportAllocs()
	for round := 0; b.Loop(); round++ {
		out, err := proto.Marshal(e.nodeState())
		var in fgwire.NodeState
		if err := errors.Join(err, proto.Unmarshal(messages[round%len(messages)], &in)); err != nil {
			b.Fatal(err)
		}
		size = len(out)
		e.applyReport(&in)
	}
	b.ReportMetric(float64(size), "message-B")
}
