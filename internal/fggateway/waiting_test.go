package fggateway

import (
	"bytes"
	"context"
	"encoding/hex"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertgap/filbertgap/internal/coordination/fgadmission"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Guards against states that versions with and without waiting requests in them can't read
// from each other.
func TestStateWithWaitingRequests(t *testing.T) {
	const (
		// vm "v", incarnation 1 and sequence 2, as the version without field 20 encodes them.
		withoutWaiting = "0a0176" + "110100000000000000" + "1802"
		// Field 20, length-delimited: group 7 and 3 requests.
		waiting = "a20107" + "0d07000000" + "1003"
	)
	decode := func(text string) *fgwire.GatewayState {
		data, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		s := &fgwire.GatewayState{}
		if err := proto.Unmarshal(data, s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	old := decode(withoutWaiting)
	if old.GetVm() != "v" || old.GetSequence() != 2 || len(old.GetWaiting()) != 0 {
		t.Errorf("got %v of the version without waiting requests", old)
	}
	current := decode(withoutWaiting + waiting)
	if w := current.GetWaiting(); len(w) != 1 || w[0].GetGroup() != 7 || w[0].GetRequests() != 3 {
		t.Errorf("got %v, want 3 waiting requests in group 7", current)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(current)
	if err != nil {
		t.Fatal(err)
	}
	// The other version skips field 20 and reads the rest.
	known, _ := hex.DecodeString(withoutWaiting)
	unknown, _ := hex.DecodeString(waiting)
	if !bytes.Equal(data, append(known, unknown...)) {
		t.Errorf("got the encoded state %x", data)
	}
}

// Guards against room that gateways of other zones, or gateways without waiting requests,
// count as shared with them, and reports that are not sent.
func TestWaitingReports(t *testing.T) {
	env := newTestEnv(t)
	env.policy.Routes[0].Priority = 1
	env.putPolicy()
	env.put("member/near", fgsteer.MemberSpec{VM: "near", Region: "east", PeerAddress: "127.0.0.1:1"})
	env.put("member/far", fgsteer.MemberSpec{VM: "far", Region: "west", PeerAddress: "127.0.0.1:1"})
	g := env.gateway("vm-1", 0)
	g.admission.SetSharedGroups(true)
	env.eventually("the members are known", func() bool { return len(g.mirror.View().Members()) == 3 })
	report := []*fgwire.GroupWaiting{{Group: fgadmission.GroupHash("g"), Requests: 2}}
	for i, tt := range []struct {
		vm      string
		waiting []*fgwire.GroupWaiting
		want    float64
	}{{"far", report, 1}, {"unknown", report, 1}, {"near", report, 5}, {"near", nil, 1}} {
		g.applyState(&fgwire.GatewayState{Vm: tt.vm, Sequence: uint64(i), Waiting: tt.waiting}, "")
		if got := g.admission.Contenders("g"); got != tt.want {
			t.Errorf("state %d of %s: got %.1f contenders, want %.1f", i, tt.vm, got, tt.want)
		}
	}
	ctx, leave := context.WithCancel(t.Context())
	attempt := g.admission.Begin(fgadmission.Request{Group: "g", Deadline: time.Now().Add(time.Minute)})
	ended := make(chan error, 1)
	go func() {
		ended <- g.admission.Wait(ctx, attempt, fgadmission.Wait{Longest: time.Minute}, 0, func() fgadmission.Outcome { return fgadmission.Waits })
	}()
	env.eventually("the waiting request is reported", func() bool {
		w := g.waitingReports()
		return len(w) == 1 && w[0].GetGroup() == report[0].GetGroup() && w[0].GetRequests() == 1
	})
	leave()
	<-ended
	if w := g.waitingReports(); len(w) != 0 {
		t.Errorf("got the reports %v after the request has left", w)
	}
}
