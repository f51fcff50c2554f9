package fgmember

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

// Guards against an overlay network that is not a full mesh in a small fleet, or that
// has too many neighbours or takes too many hops in a large one.
func TestNeighbours(t *testing.T) {
	tests := []struct{ members, sources, neighbours, maxHops int }{
		{1, 1, 0, 0}, {7, 1, 6, 1}, {9, 1, 8, 1}, {10, 1, 8, 2}, {64, 1, 8, 4}, {4100, 1, 8, 11}, {4100, 40, 8, 7},
	}
	for _, tt := range tests {
		var c Change
		for i := range tt.members {
			c.Put = append(c.Put, Member{VM: fmt.Sprintf("vm-%d", i)})
		}
		payload, _ := json.Marshal(c)
		s, err := Apply(EmptySet(), fgjournal.Entry{Payload: payload})
		if err != nil {
			t.Fatal(err)
		}
		hops := map[string]int{}
		var queue []string
		for i := range tt.sources {
			queue = append(queue, c.Put[i].VM)
			hops[c.Put[i].VM] = 0
		}
		for ; len(queue) > 0; queue = queue[1:] {
			neighbours := s.Neighbours(queue[0])
			if len(neighbours) != tt.neighbours {
				t.Fatalf("%d members: %d neighbours, want %d", tt.members, len(neighbours), tt.neighbours)
			}
			for _, m := range neighbours {
				if _, ok := hops[m.VM]; !ok {
					hops[m.VM] = hops[queue[0]] + 1
					queue = append(queue, m.VM)
				}
			}
		}
		hopsNeeded := 0
		for _, n := range hops {
			hopsNeeded = max(hopsNeeded, n)
		}
		if len(hops) != tt.members || hopsNeeded > tt.maxHops {
			t.Errorf("%d members: %d were reached within %d hops", tt.members, len(hops), hopsNeeded)
		}
		t.Logf("%d members, %d sources: %d hops", tt.members, tt.sources, hopsNeeded)
	}
}
