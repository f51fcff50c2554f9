package fgstore

import "cmp"

// Position is a point in the history of the platform's store. When the store is restored
// from an older copy of itself, a new era begins, in which revisions are given out again.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare orders positions by era and then by revision.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is an earlier position than o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }
