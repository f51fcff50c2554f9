package fgadmission

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Guards against requests that wait at an upstream although they can't be in time, less
// urgent ones that take the room of more urgent ones, callers that wait for room that comes
// too late, and a stricter limit than the old one where no load is known.
func TestDecide(t *testing.T) {
	const run, objective = 100 * time.Millisecond, 400 * time.Millisecond
	shared := Competition{UrgentDemand: 0.5, UrgentBlocked: 0.1, InTimeDemand: 1, Pressure: 0.6, RoomRate: 20}
	starved := shared
	starved.Starved = true
	full := shared
	full.QueueFull = true
	crowded := shared
	crowded.Ahead = 7
	refusing := shared
	refusing.Unserved = 0.8
	vain := shared
	vain.WaitSuccess = 0.1
	costly, costlyShared := Competition{Costly: true, RoomRate: 20}, shared
	costlyShared.Costly, costlyShared.UrgentDemand = true, 0
	hot := Competition{OverShare: true, Pressure: 0.6, RoomRate: 20}
	strained := Competition{Pressure: 0.6, RoomRate: 20}
	alone := Competition{RoomRate: 20}
	tests := []struct {
		name        string
		elapsed     time.Duration
		load        float64
		unknown     bool
		competition Competition
		want        Decision
	}{
		{"free slot", 0, 0.75, false, alone, Send{}},
		{"waits at the upstream within the objective", 0, 1.9, false, alone, Send{}},
		{"no time left to wait at the upstream", 250 * time.Millisecond, 1.9, false, alone, Wait{Longest: 50 * time.Millisecond}},
		{"upstream that would reject it", 0, 2, false, alone, Wait{Longest: 300 * time.Millisecond}},
		{"late request takes a free slot", 350 * time.Millisecond, 0.9, false, alone, Send{}},
		{"late request has the old limit while others find room", 350 * time.Millisecond, 1.4, false, alone, Send{}},
		{"late request at the old limit", 350 * time.Millisecond, 1.5, false, alone, Refuse{Cause: TooLate, RetryAfter: minRetryAfter}},
		{"late request does not wait where others lack room", 350 * time.Millisecond, 1, false, strained, Refuse{Cause: TooLate, RetryAfter: 125 * time.Millisecond}},
		{"late request leaves slots to others", 350 * time.Millisecond, 0.75, false, shared, Refuse{Cause: TooLate, RetryAfter: 125 * time.Millisecond}},
		{"less urgent request leaves a margin", 0, 1.2, false, shared, Wait{Longest: 300 * time.Millisecond}},
		{"starved request competes on equal terms", 0, 1.4, false, starved, Send{}},
		{"workspace above its share", 0, 1.2, false, hot, Wait{Longest: 300 * time.Millisecond}},
		{"room comes too late", 0, 1.2, false, crowded, Refuse{Cause: NoRoom, RetryAfter: 1000 * time.Millisecond}},
		{"most of the kind is refused", 0, 1.2, false, refusing, Refuse{Cause: NoRoom, RetryAfter: 125 * time.Millisecond}},
		{"most waits are in vain", 0, 1.2, false, vain, Refuse{Cause: NoRoom, RetryAfter: 125 * time.Millisecond}},
		{"wait makes it late, others find room", 180 * time.Millisecond, 1.4, false, alone, Send{}},
		{"cold run in a free slot", 0, 0.9, false, costly, Send{}},
		{"cold run leaves slots to others", 0, 0.75, false, costlyShared, Wait{Longest: 300 * time.Millisecond}},
		{"late cold run in an idle group", 350 * time.Millisecond, 0.4, false, costly, Send{}},
		{"late cold run", 350 * time.Millisecond, 0.1, false, costlyShared, Refuse{Cause: TooLate, RetryAfter: 125 * time.Millisecond}},
		{"queue is full", 0, 1.2, false, full, Refuse{Cause: QueueFull, RetryAfter: 125 * time.Millisecond}},
		{"old limit without a known load", 0, 1.4, true, alone, Send{}},
		{"no wait without a known load", 0, 1.5, true, alone, Refuse{Cause: NoRoom, RetryAfter: minRetryAfter}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			r := Request{Objective: objective, Start: now.Add(-tt.elapsed), Deadline: now.Add(time.Second)}
			e := fgaffinity.Estimate{LoadPerSlot: tt.load, Wait: time.Duration(max(0, tt.load-1) * float64(run)), Run: run, Known: !tt.unknown}
			if got := Decide(r, e, tt.competition, now); got != tt.want {
				t.Errorf("got %#v, want %#v", got, tt.want)
			}
		})
	}
}

// Guards against a margin that does not grow with the demand and the refusals of more
// urgent requests.
func TestMarginGrows(t *testing.T) {
	previous := float64(maxUrgentLoad)
	for _, c := range []Competition{{UrgentDemand: 0.1}, {UrgentDemand: 0.1, UrgentBlocked: 0.1}, {UrgentDemand: 0.4, UrgentBlocked: 0.1}, {UrgentDemand: 0.4, UrgentBlocked: 0.2}} {
		limit := c.loadLimit(false)
		if limit >= previous {
			t.Errorf("%+v: got a limit of %.2f after %.2f, want a lower one", c, limit, previous)
		}
		previous = limit
	}
}

// Guards against deployments with neither the setting and routes of different priority on a
// group, nor upstreams that tell a slowdown, that are not served as before.
func TestEnabled(t *testing.T) {
	var c Controller
	on := func(g string) []fgsteer.WeightedGroup { return []fgsteer.WeightedGroup{{Group: g, Weight: 1}} }
	c.Update(fgsteer.NewView(fgsteer.ViewSpec{Policy: fgsteer.NewPolicy(fgsteer.PolicySpec{Routes: []fgsteer.RouteSpec{
		{Name: "a", Priority: 1, Groups: on("shared")}, {Name: "b", Priority: 2, Groups: on("shared")},
		{Name: "c", Priority: 1, Groups: on("equal")}, {Name: "d", Priority: 1, Groups: on("equal")}, {Name: "e", Groups: on("slow")},
	}})}))
	c.RecordLoad("equal", 1, 0)
	c.RecordLoad("slow", 1, 1)
	for _, tt := range []struct {
		group string
		want  bool
	}{{"shared", true}, {"equal", false}, {"slow", true}, {"other", false}} {
		c.SetSharedGroups(true)
		if got := c.Begin(Request{Group: tt.group}) != nil; got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.group, got, tt.want)
		}
		c.SetSharedGroups(false)
		if got, want := c.Begin(Request{Group: tt.group}) != nil, tt.group == "slow"; got != want {
			t.Errorf("%s without the setting: got %v, want %v", tt.group, got, want)
		}
	}
}

// Guards against memory that grows with the workspaces of callers.
func TestWorkspacesAreBounded(t *testing.T) {
	var c Controller
	c.RecordLoad("g", 1, 1)
	for i := range 3 * maxWorkspaces {
		c.Begin(Request{Group: "g", Workspace: fmt.Sprint(i)})
	}
	if n := len(c.groups["g"].kinds[0].workspaces); n > maxWorkspaces {
		t.Errorf("got %d workspaces, want at most %d", n, maxWorkspaces)
	}
}
