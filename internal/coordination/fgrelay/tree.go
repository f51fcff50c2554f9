package fgrelay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// A zone has fewTrees trees, or manyTrees with more than fewTreesMembers gateways. More
	// trees divide the work more evenly, but the datagrams that a root collects in a round
	// hold fewer states: with four trees at 118 gateways, each gateway sends a third more
	// datagrams.
	fewTrees        = 2
	fewTreesMembers = 30
	manyTrees       = 4
	// maxDegree bounds the gateways to which one passes on the states of a tree. With
	// manyTrees trees, a gateway passes on 1.5 times what it receives, and three of four
	// gateways have children; with fewTrees three times, and a third of them. At 8 it would
	// be twice and one in two, and the busiest of 300 gateways has 156 kB/s instead of 145.
	maxDegree = 6
)

// zone is an availability zone with its roots.
type zone struct {
	name, region string
	members      []fgsteer.MemberSpec
	// roots are the roots of the zone's trees. passesOn is set unless all of them are of
	// earlier versions, which pass on only what others have passed on to them.
	roots    []fgsteer.MemberSpec
	passesOn bool
	// ranked are the gateways that may have children in a tree, the most capable first.
	ranked []fgsteer.MemberSpec
}

// chooseRoots chooses the available gateways with the highest capacity.
func (z *zone) chooseRoots(status Status) {
	available := keep(z.members, status.IsAvailable)
	if len(available) == 0 {
		available = z.members
	}
	z.ranked = keep(available, status.PassesOn)
	z.passesOn = len(z.ranked) > 0
	if !z.passesOn {
		z.ranked = slices.Clone(available)
	}
	slices.SortFunc(z.ranked, fgsteer.CompareCapacity)
	trees := fewTrees
	if len(z.members) > fewTreesMembers {
		trees = manyTrees
	}
	z.roots = z.ranked[:min(trees, len(z.ranked))]
}

func keep(members []fgsteer.MemberSpec, accept func(vm string) bool) []fgsteer.MemberSpec {
	return slices.DeleteFunc(slices.Clone(members), func(m fgsteer.MemberSpec) bool { return !accept(m.VM) })
}

// treeOf returns the tree that carries an origin's states.
func (z *zone) treeOf(origin string) int {
	return int(xxhash.Sum64String(origin) % uint64(len(z.roots)))
}

// root returns the root of the tree that carries an origin's states.
func (z *zone) root(origin string) fgsteer.MemberSpec { return z.roots[z.treeOf(origin)] }

// backup returns the gateway that fetches an origin's states if their root is dead: the
// next root.
func (z *zone) backup(origin string) (fgsteer.MemberSpec, bool) {
	if !z.passesOn || len(z.roots) < 2 {
		return fgsteer.MemberSpec{}, false
	}
	return z.roots[(z.treeOf(origin)+1)%len(z.roots)], true
}

// last returns the gateway that fetches an origin's states if their root and the next one
// are dead.
func (z *zone) last(origin string) (fgsteer.MemberSpec, bool) {
	i := len(z.roots) + z.treeOf(origin)
	if !z.passesOn || i >= len(z.ranked) {
		return fgsteer.MemberSpec{}, false
	}
	return z.ranked[i], true
}

// tree is one tree of a zone. The children of the gateway at place i of order are those
// from place i*degree+1 to (i+1)*degree.
type tree struct {
	order  []fgsteer.MemberSpec
	degree int
}

// newTree returns one of the zone's trees. A gateway has children in one tree only.
func (z *zone) newTree(index int) tree {
	n := len(z.members)
	parents := []fgsteer.MemberSpec{}
	wanted := max(1, (n-1+maxDegree-1)/maxDegree)
	for i := index; i < len(z.ranked) && len(parents) < wanted; i += len(z.roots) {
		parents = append(parents, z.ranked[i])
	}
	t := tree{order: parents, degree: max(1, (n-1+len(parents)-1)/len(parents))}
	placed := make(map[string]bool, n)
	for _, m := range parents {
		placed[m.VM] = true
	}
	// The next root follows close to this one: it is the first that must notice a gap.
	for _, all := range [][]fgsteer.MemberSpec{{z.roots[(index+1)%len(z.roots)]}, z.ranked, z.members} {
		for _, m := range all {
			if !placed[m.VM] {
				placed[m.VM] = true
				t.order = append(t.order, m)
			}
		}
	}
	return t
}

// mate returns the gateway that the one at a place tells in a round which states it holds. In two
// rounds, each gateway is told by two, which are not below the same parent as itself: the
// gateways below a dead one are next to each other in the order. A tree of one level needs
// none: if its root is dead, the next root fetches the states.
func (t tree) mate(i, round int) (fgsteer.MemberSpec, bool) {
	n := len(t.order)
	if n <= t.degree+1 || i < 0 {
		return fgsteer.MemberSpec{}, false
	}
	offset := n / 2
	if round%2 == 1 {
		offset = n / 3
	}
	return t.order[(i+offset)%n], true
}

// index returns the place of a gateway, or -1.
func (t tree) index(vm string) int {
	return slices.IndexFunc(t.order, func(m fgsteer.MemberSpec) bool { return m.VM == vm })
}

// children returns the gateways to which the one at a place passes on the states of the
// tree.
func (t tree) children(i int) []fgsteer.MemberSpec {
	if i < 0 {
		return nil
	}
	first := min(i*t.degree+1, len(t.order))
	return t.order[first:min(first+t.degree, len(t.order))]
}
