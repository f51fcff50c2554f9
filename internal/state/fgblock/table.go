// Package fgblock maps the addresses of callers to the sites that serve them.
// A table is immutable; a change makes a new table that shares the unchanged
// shards with the old one.
package fgblock

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/ansel1/merry/v2"
)

const (
	// shardCount is the number of shards per address family: one for each value of
	// an address's first byte.
	shardCount = 256
	// minPrefixBits is the length of the shortest accepted prefix. Shorter ones
	// would span several shards.
	minPrefixBits = 8
	// maxPrefixBits6 is the length of the longest accepted IPv6 prefix. Networks of
	// callers are /64 or larger, and 64 bits keep an entry small.
	maxPrefixBits6 = 64
)

// Sentinel errors of blocks.
var (
	// ErrPrefix means that a prefix is invalid, too short or too long.
	ErrPrefix = merry.Sentinel("invalid prefix")
	// ErrDuplicate means that a change contains a block twice.
	ErrDuplicate = merry.Sentinel("duplicate block")
)

// Policy is the index of an ordered list of sites.
type Policy uint32

// Block assigns a policy to an address prefix.
type Block struct {
	prefix netip.Prefix
	policy Policy
}

// NewBlock returns a block, or ErrPrefix unless the prefix has at least 8 bits and,
// for IPv6, at most 64.
func NewBlock(p netip.Prefix, policy Policy) (Block, error) {
	p = p.Masked()
	switch {
	case !p.IsValid():
		return Block{}, fmt.Errorf("%w: %s", ErrPrefix, p)
	case p.Bits() < minPrefixBits:
		return Block{}, fmt.Errorf("%w: %s is shorter than /%d; use the default policy", ErrPrefix, p, minPrefixBits)
	case p.Addr().Is6() && p.Bits() > maxPrefixBits6:
		return Block{}, fmt.Errorf("%w: %s is longer than /%d", ErrPrefix, p, maxPrefixBits6)
	}
	return Block{prefix: p, policy: policy}, nil
}

// Prefix returns the block's address prefix.
func (b Block) Prefix() netip.Prefix { return b.prefix }

// Policy returns the block's policy.
func (b Block) Policy() Policy { return b.policy }

// Table finds the block with the longest prefix that contains an address. It is
// immutable and safe for concurrent use. The zero value is empty.
type Table struct {
	v4            [shardCount]*shard[uint32]
	v6            [shardCount]*shard[uint64]
	defaultPolicy Policy
	hasDefault    bool
	blocks        int
}

// WithDefault returns a copy of the table in which addresses without a block have
// policy p.
func (t *Table) WithDefault(p Policy) *Table {
	next := *t
	next.defaultPolicy = p
	next.hasDefault = true
	return &next
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.blocks }

// Lookup returns the policy for an address, and false if there is none. It does
// not allocate.
func (t *Table) Lookup(a netip.Addr) (Policy, bool) {
	a = a.Unmap()
	var p Policy
	var ok bool
	if a.Is4() {
		k := key4(a)
		p, ok = t.v4[k>>24].lookup(k)
	} else if a.Is6() {
		k := key6(a)
		p, ok = t.v6[k>>56].lookup(k)
	}
	if ok {
		return p, true
	}
	return t.defaultPolicy, t.hasDefault
}

// key4 returns an IPv4 address as an integer.
func key4(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// key6 returns the first 64 bits of an IPv6 address as an integer.
func key6(a netip.Addr) uint64 {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// Change is a set of blocks to add or replace, and of prefixes to remove.
type Change struct {
	Put    []Block
	Remove []netip.Prefix
}

// Apply returns the table after a change. Only the shards that contain changed
// blocks are rebuilt; the others are shared with the old table.
func (t *Table) Apply(c Change) (*Table, error) {
	next := *t
	edits4 := map[uint8][]edit[uint32]{}
	edits6 := map[uint8][]edit[uint64]{}
	add := func(p netip.Prefix, policy Policy, remove bool) {
		bits := uint8(p.Bits())
		if p.Addr().Is4() {
			k := key4(p.Addr())
			edits4[uint8(k>>24)] = append(edits4[uint8(k>>24)], edit[uint32]{entry[uint32]{k, bits, policy}, remove})
			return
		}
		k := key6(p.Addr())
		edits6[uint8(k>>56)] = append(edits6[uint8(k>>56)], edit[uint64]{entry[uint64]{k, bits, policy}, remove})
	}
	for _, p := range c.Remove {
		add(p.Masked(), 0, true)
	}
	for _, b := range c.Put {
		add(b.prefix, b.policy, false)
	}
	if err := applyEdits(&next.v4, edits4, &next.blocks); err != nil {
		return nil, err
	}
	if err := applyEdits(&next.v6, edits6, &next.blocks); err != nil {
		return nil, err
	}
	return &next, nil
}

// applyEdits applies the edits of each shard, by index, and updates the number of
// blocks.
func applyEdits[K key](shards *[shardCount]*shard[K], edits map[uint8][]edit[K], blocks *int) error {
	for i, e := range edits {
		old := shards[i]
		s, err := old.apply(e)
		if err != nil {
			return err
		}
		*blocks += s.len() - old.len()
		shards[i] = s
	}
	return nil
}

// key is the significant part of an address: 32 bits for IPv4, 64 for IPv6.
type key interface{ uint32 | uint64 }

// entry is a block in the form in which a shard stores it.
type entry[K key] struct {
	start  K
	bits   uint8
	policy Policy
}

// edit adds, replaces or removes one block of a shard.
type edit[K key] struct {
	entry  entry[K]
	remove bool
}

// noParent is the parent index of a block that no other block contains.
const noParent = ^uint32(0)

// shard holds the blocks that share the first address byte, sorted by start and
// then by prefix length. Each field has its own slice, so that a binary search
// reads only the starts and no memory is wasted on padding.
type shard[K key] struct {
	starts   []K
	bits     []uint8
	policies []Policy
	// parents holds for each block the index of the smallest other block that
	// contains it, or noParent.
	parents []uint32
}

func (s *shard[K]) len() int {
	if s == nil {
		return 0
	}
	return len(s.starts)
}

// lookup finds the last block that starts at or before an address by binary
// search, then follows the parents to the first block that contains the address.
func (s *shard[K]) lookup(k K) (Policy, bool) {
	if s.len() == 0 {
		return 0, false
	}
	low, high := 0, len(s.starts)
	for low < high {
		mid := int(uint(low+high) >> 1)
		if s.starts[mid] <= k {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low == 0 {
		return 0, false
	}
	for i := uint32(low - 1); i != noParent; i = s.parents[i] {
		if contains(s.starts[i], s.bits[i], k) {
			return s.policies[i], true
		}
	}
	return 0, false
}

// contains reports whether the block of a start and prefix length contains k.
func contains[K key](start K, bits uint8, k K) bool {
	return (start^k)>>(width[K]()-uint(bits)) == 0
}

// width returns the number of bits of a key type.
func width[K key]() uint {
	var zero K
	return uint(bits.Len64(uint64(^zero)))
}

// apply returns the shard after edits, which may be in any order. The receiver may
// be nil.
func (s *shard[K]) apply(edits []edit[K]) (*shard[K], error) {
	changes := make(map[entry[K]]edit[K], len(edits))
	for _, e := range edits {
		id := entry[K]{start: e.entry.start, bits: e.entry.bits}
		if old, ok := changes[id]; ok && !old.remove {
			return nil, fmt.Errorf("%w: the change contains a prefix of length /%d twice", ErrDuplicate, e.entry.bits)
		}
		changes[id] = e
	}
	sorted := slices.SortedFunc(maps.Values(changes), func(a, b edit[K]) int { return compareEntries(a.entry, b.entry) })
	return newShard(s.merge(sorted)), nil
}

// merge returns the shard's entries after edits, which must be sorted. The existing
// entries are sorted already, so a single merge pass suffices.
func (s *shard[K]) merge(edits []edit[K]) []entry[K] {
	entries := make([]entry[K], 0, s.len()+len(edits))
	for i := range s.len() {
		old := entry[K]{s.starts[i], s.bits[i], s.policies[i]}
		for len(edits) > 0 && compareEntries(edits[0].entry, old) < 0 {
			entries = appendEdit(entries, edits[0])
			edits = edits[1:]
		}
		if len(edits) > 0 && compareEntries(edits[0].entry, old) == 0 {
			entries = appendEdit(entries, edits[0])
			edits = edits[1:]
			continue
		}
		entries = append(entries, old)
	}
	for _, e := range edits {
		entries = appendEdit(entries, e)
	}
	return entries
}

// appendEdit appends the entry of an edit unless the edit removes it.
func appendEdit[K key](entries []entry[K], e edit[K]) []entry[K] {
	if e.remove {
		return entries
	}
	return append(entries, e.entry)
}

// compareEntries orders entries by start and then by prefix length.
func compareEntries[K key](a, b entry[K]) int {
	switch {
	case a.start < b.start:
		return -1
	case a.start > b.start:
		return 1
	default:
		return int(a.bits) - int(b.bits)
	}
}

// newShard builds a shard from sorted entries.
func newShard[K key](entries []entry[K]) *shard[K] {
	n := len(entries)
	s := &shard[K]{starts: make([]K, n), bits: make([]uint8, n), policies: make([]Policy, n), parents: make([]uint32, n)}
	// ancestors is the chain of blocks that contain the previous entry.
	var ancestors []uint32
	for i, e := range entries {
		for len(ancestors) > 0 {
			last := ancestors[len(ancestors)-1]
			if contains(s.starts[last], s.bits[last], e.start) {
				break
			}
			ancestors = ancestors[:len(ancestors)-1]
		}
		s.starts[i], s.bits[i], s.policies[i], s.parents[i] = e.start, e.bits, e.policy, noParent
		if len(ancestors) > 0 {
			s.parents[i] = ancestors[len(ancestors)-1]
		}
		ancestors = append(ancestors, uint32(i))
	}
	return s
}
