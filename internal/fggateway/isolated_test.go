package fggateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

// Guards against a gateway that takes itself for informed of starts of upstreams although
// it is cut off, or whose requests are limited although it is not.
func TestIsolated(t *testing.T) {
	const timeout = minSilentTimeout
	own := fgstore.Position{Revision: 10}
	tests := []struct {
		name     string
		copyAge  time.Duration
		received map[string]time.Duration
		ahead    string
		others   int
		want     bool
	}{
		{"current copy, alone", time.Second, nil, "", 2, false},
		{"old copy, alone", isolatedCopyAge, nil, "", 2, true},
		{"old copy, others were heard long ago", isolatedCopyAge, map[string]time.Duration{"a": timeout, "b": timeout}, "", 2, true},
		{"old copy, another has no newer one", isolatedCopyAge, map[string]time.Duration{"a": time.Second, "b": timeout}, "", 2, false},
		{"old copy, another has a newer one", isolatedCopyAge, map[string]time.Duration{"a": time.Second, "b": 0}, "b", 2, true},
		{"current copy, another has a newer one", time.Second, map[string]time.Duration{"a": time.Second}, "a", 2, false},
		{"old copy, cut off with a few others", isolatedCopyAge, map[string]time.Duration{"a": time.Second, "b": timeout}, "", 6, true},
		{"old copy, half of the others are heard", isolatedCopyAge, map[string]time.Duration{"a": 0, "b": 0, "c": 0}, "", 6, false},
		{"current copy, cut off with a few others", time.Second, map[string]time.Duration{"a": time.Second}, "", 6, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := peers{states: map[string]peerState{}}
				for vm, age := range tt.received {
					s := peerState{received: time.Now().Add(-age), position: own}
					if vm == tt.ahead {
						s.position.Revision++
					}
					p.states[vm] = s
				}
				if got := p.isolated(tt.copyAge, own, timeout, tt.others); got != tt.want {
					t.Errorf("isolated %v, want %v", got, tt.want)
				}
			})
		})
	}
}
