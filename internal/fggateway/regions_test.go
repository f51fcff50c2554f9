package fggateway

import (
	"testing"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
)

// Guards against requests that move to other regions without a line that says
// why, and against a line for each small change.
func TestFullRegionsAreTold(t *testing.T) {
	var l regionLines
	tests := []struct {
		weight     float64
		full, free int
	}{{1, 0, 0}, {0.6, 0, 0}, {0.4, 1, 0}, {0.3, 0, 0}, {0.7, 0, 0}, {0.95, 0, 1}, {1, 0, 0}, {0.1, 1, 0}}
	for i, tt := range tests {
		full, free := l.changed([]fgaffinity.RegionLoad{{Group: "g", Region: "east", Weight: tt.weight}, {Group: "g", Region: "west", Weight: 1}})
		if len(full) != tt.full || len(free) != tt.free {
			t.Errorf("step %d, weight %.2f: %d lines about full regions, %d about room", i, tt.weight, len(full), len(free))
		}
	}
}
