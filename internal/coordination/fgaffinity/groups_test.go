package fgaffinity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

func splitRoute(weights ...int) *fgsteer.RouteSpec {
	r := &fgsteer.RouteSpec{Name: "r"}
	for i, w := range weights {
		r.Groups = append(r.Groups, fgsteer.WeightedGroup{Group: fmt.Sprint("g", i), Weight: w})
	}
	return r
}

// Guards against a key whose requests go to several groups, each of which runs it
// cold, and against VMs that send the same key to different groups.
func TestKeysKeepTheirGroup(t *testing.T) {
	var a, b GroupSelector
	moved, sent := 0, 0
	random := rand.New(rand.NewPCG(5, 5))
	for range 5000 {
		key := fmt.Sprint(random.IntN(300))
		sent++
		if a.Pick(splitRoute(90, 10), key) != b.Pick(splitRoute(90, 10), key) {
			moved++
		}
		b.Pick(splitRoute(90, 10), fmt.Sprint(random.IntN(300)))
	}
	if moved*20 > sent {
		t.Errorf("%d of %d requests went to different groups", moved, sent)
	}
}

// Guards against a changed weight that moves more keys than necessary.
func TestChangedWeightMovesFewKeys(t *testing.T) {
	moved := 0
	for i := range 1000 {
		var before, after GroupSelector
		key := fmt.Sprint(i)
		if before.Pick(splitRoute(90, 10), key) != after.Pick(splitRoute(70, 30), key) {
			moved++
		}
	}
	if moved > 250 {
		t.Errorf("%d of 1000 keys moved, want about 200", moved)
	}
}

// Guards against groups that receive more or fewer requests than their weights specify,
// also with few keys or a single one.
func TestGroupsGetTheirWeights(t *testing.T) {
	tests := []struct {
		name    string
		weights []int
		key     func(*rand.Rand) string
	}{
		{"many keys", []int{90, 10}, func(r *rand.Rand) string { return fmt.Sprint(r.IntN(300)) }},
		{"few keys", []int{50, 50}, func(r *rand.Rand) string { return fmt.Sprint(r.IntN(5)) }},
		{"one key", []int{60, 30, 10}, func(*rand.Rand) string { return "o" }},
		{"no keys", []int{80, 20}, func(*rand.Rand) string { return "" }},
		{"a group without weight", []int{0, 40, 60}, func(r *rand.Rand) string { return fmt.Sprint(r.IntN(30)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g GroupSelector
			r, random := splitRoute(tt.weights...), rand.New(rand.NewPCG(6, 6))
			const sent = 300
			got, total := map[string]int{}, 0
			for range sent {
				got[g.Pick(r, tt.key(random))]++
			}
			for _, w := range tt.weights {
				total += w
			}
			for i, w := range tt.weights {
				share, want := float64(got[fmt.Sprint("g", i)])/sent, float64(w)/float64(total)
				if math.Abs(share-want) > 0.05 || w == 0 && share > 0 {
					t.Errorf("group %d got %.3f of the requests, want %.3f", i, share, want)
				}
			}
		})
	}
}
