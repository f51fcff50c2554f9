package fgpath

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against gateways that take upstreams that have crashed, or failures of long ago,
// for a lost path, and against a lost path that is not noticed.
func TestStatus(t *testing.T) {
	fail := func(n int) func(*Tracker) {
		return func(t *Tracker) {
			for i := range n {
				t.RecordFailed(fmt.Sprint("u", i))
			}
		}
	}
	respond, connect := (*Tracker).RecordResponse, (*Tracker).RecordConnected
	wait := func(d time.Duration) func(*Tracker) { return func(*Tracker) { time.Sleep(d) } }
	tests := []struct {
		name      string
		upstreams int
		steps     []func(*Tracker)
		want      Status
	}{
		{"nothing known", 20, nil, Open},
		{"one upstream has crashed", 20, []func(*Tracker){fail(1), fail(1), fail(1), wait(silenceTimeout)}, Open},
		{"all connections fail, the open ones are silent", 20, []func(*Tracker){respond, wait(silenceTimeout), fail(3)}, Lost},
		{"all connections fail, the open ones respond", 20, []func(*Tracker){fail(3), respond}, NoNewConnections},
		{"a connection is opened between failures", 20, []func(*Tracker){fail(2), connect, fail(2)}, Open},
		{"a connection is opened again", 20, []func(*Tracker){fail(9), connect}, Open},
		{"failures of long ago", 20, []func(*Tracker){fail(9), wait(failureWindow + 1)}, Open},
		{"fewer upstreams", 2, []func(*Tracker){fail(2)}, Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var tracker Tracker
				tracker.SetUpstreams(tt.upstreams)
				for _, step := range tt.steps {
					step(&tracker)
				}
				if got := tracker.Status(); got != tt.want {
					t.Errorf("status %v, want %v", got, tt.want)
				}
			})
		})
	}
}
