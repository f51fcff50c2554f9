package fgadmission

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
)

// BenchmarkAccept measures a decision about one candidate in a group with two kinds and 64
// workspaces.
func BenchmarkAccept(b *testing.B) {
	var c Controller
	c.RecordLoad("g", 1, 1)
	var a *Attempt
	for i := range 256 {
		now := time.Now()
		a = c.Begin(Request{Group: "g", Route: "r", Workspace: fmt.Sprint(i % 64), Priority: i % 2, Objective: time.Second, Start: now, Deadline: now.Add(time.Hour)})
		a.Sent()
	}
	e := fgaffinity.Estimate{LoadPerSlot: 0.9, Run: 100 * time.Millisecond, Known: true}
	b.ReportAllocs()
	for b.Loop() {
		a.accept(4, e)
	}
}
