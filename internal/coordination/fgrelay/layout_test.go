package fgrelay

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// known is what all gateways of a test know about each other.
type known struct{ gone, old map[string]bool }

func (k known) IsAvailable(vm string) bool { return !k.gone[vm] }
func (k known) PassesOn(vm string) bool    { return !k.old[vm] }

// testMembers returns n gateways in two zones of each region. One in nine has seven times
// the capacity of the others.
func testMembers(n, regions int) []fgsteer.MemberSpec {
	var members []fgsteer.MemberSpec
	for i := range n {
		m := fgsteer.MemberSpec{VM: fmt.Sprintf("vm-%d", i), Region: fmt.Sprintf("r%d", i%regions), Capacity: 1}
		m.AvailabilityZone = fmt.Sprintf("%s-%d", m.Region, i/regions%2)
		if i/regions/2%9 == 0 {
			m.Capacity = 7
		}
		members = append(members, m)
	}
	return members
}

// capable returns the number of gateways with the higher capacity.
func capable(members []fgsteer.MemberSpec) int {
	n := 0
	for _, m := range members {
		if m.Capacity == 7 {
			n++
		}
	}
	return n
}

// Guards against gateways that see different trees, roots that are dead, leave or are less
// capable than others, and gateways without a place in a tree or with children in several.
func TestTrees(t *testing.T) {
	tests := []struct {
		name          string
		vms, regions  int
		gone, old     func(i int) bool
		maxChildren   int
		maxParentRole int
	}{
		{name: "28 gateways", vms: 28, regions: 3, maxChildren: 4, maxParentRole: 1},
		{name: "118 gateways", vms: 118, regions: 3, maxChildren: maxDegree, maxParentRole: 1},
		{name: "300 gateways", vms: 300, regions: 3, maxChildren: maxDegree, maxParentRole: 1},
		{name: "4,100 gateways", vms: 4100, regions: 8, maxChildren: maxDegree, maxParentRole: 1},
		{name: "one in three lost", vms: 300, regions: 3, gone: func(i int) bool { return i/6%3 == 0 }, maxChildren: maxDegree + 1, maxParentRole: 1}, // 33 instead of 36 parents
		{name: "one in seven of this version", vms: 300, regions: 3, old: func(i int) bool { return i/6%7 != 0 }, maxChildren: 25, maxParentRole: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := testMembers(tt.vms, tt.regions)
			status := known{map[string]bool{}, map[string]bool{}}
			for i, m := range members {
				status.gone[m.VM] = tt.gone != nil && tt.gone(i)
				status.old[m.VM] = tt.old != nil && tt.old(i)
			}
			roots := map[string]string{}
			for i := range min(len(members), 24) {
				m := members[i]
				l := NewLayout(m, members, status)
				entries, old := l.entries("vm-0", nil)
				if len(old) > 0 {
					t.Fatalf("zones without a root of this version: %v", old)
				}
				for _, e := range entries {
					if status.gone[e.VM] || status.old[e.VM] {
						t.Errorf("%s is a root", e.VM)
					}
					if before, ok := roots[e.AvailabilityZone]; ok && before != e.VM {
						t.Errorf("roots of zone %s: %s and %s", e.AvailabilityZone, before, e.VM)
					}
					roots[e.AvailabilityZone] = e.VM
					if z := l.zoneOf[e.VM]; tt.old == nil && tt.gone == nil && capable(z.members) > capable(z.roots) && capable(z.roots) < len(z.roots) {
						t.Errorf("roots of zone %s: %v", z.name, z.roots)
					}
				}
				if len(entries) != 2*tt.regions-1 {
					t.Errorf("%d other zones", len(entries))
				}
			}
			// All gateways of one zone.
			l := NewLayout(members[0], members, status)
			for _, m := range l.own.members[:min(5, len(l.own.members))] {
				if other := NewLayout(m, members, status); !reflect.DeepEqual(other.trees, l.trees) {
					t.Errorf("%s sees other trees", m.VM)
				}
			}
			parentRoles := map[string]int{}
			for tree := range l.trees {
				reached := map[string]bool{}
				next := l.own.roots[tree : tree+1]
				for len(next) > 0 {
					m := next[0]
					next = next[1:]
					if reached[m.VM] {
						t.Fatalf("%s has two parents in tree %d", m.VM, tree)
					}
					reached[m.VM] = true
					children := l.trees[tree].children(l.trees[tree].index(m.VM))
					if len(children) > 0 {
						parentRoles[m.VM]++
						if status.gone[m.VM] || status.old[m.VM] {
							t.Errorf("%s has children", m.VM)
						}
					}
					if len(children) > tt.maxChildren {
						t.Errorf("%s has %d children", m.VM, len(children))
					}
					next = append(append([]fgsteer.MemberSpec{}, next...), children...)
				}
				if len(reached) != len(l.own.members) {
					t.Errorf("tree %d reaches %d of %d gateways", tree, len(reached), len(l.own.members))
				}
			}
			for vm, n := range parentRoles {
				if n > tt.maxParentRole {
					t.Errorf("%s has children in %d trees", vm, n)
				}
			}
		})
	}
}
