package fggateway

import (
	"testing"

	"github.com/filbertgap/filbertgap/internal/coordination/fgaffinity"
)

// Guards against requests that move to other regions without a log line with the
// reason, and against a log line for each small change.
func TestOverloadedRegionsAreLogged(t *testing.T) {
	var tracker overloadTracker
	tests := []struct {
		weight                float64
		overloaded, recovered int
	}{{1, 0, 0}, {0.6, 0, 0}, {0.4, 1, 0}, {0.3, 0, 0}, {0.7, 0, 0}, {0.95, 0, 1}, {1, 0, 0}, {0.1, 1, 0}}
	for i, tt := range tests {
		overloaded, recovered := tracker.changed([]fgaffinity.RegionLoad{{Group: "g", Region: "east", Weight: tt.weight}, {Group: "g", Region: "west", Weight: 1}})
		if len(overloaded) != tt.overloaded || len(recovered) != tt.recovered {
			t.Errorf("step %d, weight %.2f: %d lines about overloaded regions, %d about recovered ones", i, tt.weight, len(overloaded), len(recovered))
		}
	}
}
