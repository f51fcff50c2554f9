package fgblock

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// Guards against wrong look-up results for nested blocks after any sequence of
// additions and removals.
func TestLookupMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &Table{}
		model := map[netip.Prefix]Policy{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			p := drawPrefix(t)
			change := Change{Remove: []netip.Prefix{p}}
			delete(model, p)
			if rapid.IntRange(0, 3).Draw(t, "remove") > 0 {
				policy := Policy(rapid.IntRange(0, 1000).Draw(t, "policy"))
				b, err := NewBlock(p, policy)
				if err != nil {
					t.Fatal(err)
				}
				change = Change{Put: []Block{b}}
				model[p] = policy
			}
			next, err := table.Apply(change)
			if err != nil {
				t.Fatal(err)
			}
			table = next
		}
		if table.Len() != len(model) {
			t.Fatalf("table has %d blocks, want %d", table.Len(), len(model))
		}
		for range 20 {
			a := drawAddr(t)
			got, gotOK := table.Lookup(a)
			want, wantOK := longestPrefixMatch(model, a)
			if got != want || gotOK != wantOK {
				t.Fatalf("Lookup(%s) = %d, %t; want %d, %t", a, got, gotOK, want, wantOK)
			}
		}
	})
}

// drawAddr draws each byte from a few values, so that blocks are often nested and
// addresses often lie within a block.
func drawAddr(t *rapid.T) netip.Addr {
	byteValues := rapid.SampledFrom([]byte{0, 1, 2, 128, 255})
	b := [16]byte{byteValues.Draw(t, "a"), byteValues.Draw(t, "b"), byteValues.Draw(t, "c"), byteValues.Draw(t, "d")}
	if rapid.Bool().Draw(t, "v6") {
		b[0] |= 0x20
		return netip.AddrFrom16(b)
	}
	return netip.AddrFrom4([4]byte(b[:4]))
}

func drawPrefix(t *rapid.T) netip.Prefix {
	a := drawAddr(t)
	maxBits := 32
	if a.Is6() {
		maxBits = maxPrefixBits6
	}
	return netip.PrefixFrom(a, rapid.IntRange(minPrefixBits, maxBits).Draw(t, "bits")).Masked()
}

// longestPrefixMatch returns the policy of the longest prefix that contains an address, by a
// linear search.
func longestPrefixMatch(model map[netip.Prefix]Policy, a netip.Addr) (Policy, bool) {
	best := -1
	var policy Policy
	for p, v := range model {
		if p.Contains(a) && p.Bits() > best {
			best, policy = p.Bits(), v
		}
	}
	return policy, best >= 0
}

// Guards against accepting prefixes that span several shards or have more bits
// than an entry stores.
func TestNewBlockChecksPrefix(t *testing.T) {
	tests := []struct {
		prefix string
		ok     bool
	}{
		{"10.0.0.0/8", true}, {"10.0.0.0/7", false}, {"0.0.0.0/0", false}, {"10.1.2.3/32", true},
		{"2001:db8::/64", true}, {"2001:db8::/65", false}, {"2000::/7", false},
	}
	for _, tt := range tests {
		if _, err := NewBlock(netip.MustParsePrefix(tt.prefix), 0); (err == nil) != tt.ok {
			t.Errorf("NewBlock(%s): error %v, want success %t", tt.prefix, err, tt.ok)
		}
	}
}

// Guards against look-up results that contain a drained site, and against a change
// of a site's state that copies the block table.
func TestLookupOmitsDrainedSite(t *testing.T) {
	d := newDirectory(t, 100, 4)
	a := netip.MustParseAddr("16.0.0.1")
	table := d.view.Load().table
	first := d.Lookup(a)
	d.SetSite(first.Site(0), SiteDrained)
	second := d.Lookup(a)
	if second.Site(0) == first.Site(0) || second.Len() != MaxSites {
		t.Errorf("sites before the drain %v, after the drain %v", first, second)
	}
	if d.view.Load().table != table {
		t.Error("the block table was copied")
	}
}

// newDirectory returns a directory with IPv4 blocks of /24 and one policy for each
// site, which lists 4 sites.
func newDirectory(t testing.TB, blocks, sites int) *Directory {
	t.Helper()
	return newDirectoryOf(t, blocks, sites, prefix4)
}

// newDirectoryOf returns a directory whose i-th block has the prefix prefix(i).
func newDirectoryOf(t testing.TB, blocks, sites int, prefix func(int) netip.Prefix) *Directory {
	t.Helper()
	policies := make([][]SiteID, sites)
	for i := range policies {
		for j := range 4 {
			policies[i] = append(policies[i], SiteID((i+j*7)%sites))
		}
	}
	var c Change
	for i := range blocks {
		b, err := NewBlock(prefix(i), Policy(i%sites))
		if err != nil {
			t.Fatal(err)
		}
		c.Put = append(c.Put, b)
	}
	table, err := (&Table{}).Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	d, err := NewDirectory(table, policies, sites)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// blockAddr returns the address of the i-th /24 block. Every third /24 of the range
// 16.0.0.0 to 223.255.255.0 is a block.
func blockAddr(i int) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(0x100000+i*3)<<8)
	return netip.AddrFrom4(b)
}

func prefix4(i int) netip.Prefix { return netip.PrefixFrom(blockAddr(i), 24) }

// prefix6 returns the i-th IPv6 block, a /48 within 2000::/8.
func prefix6(i int) netip.Prefix {
	b := [16]byte{0x20}
	binary.BigEndian.PutUint32(b[1:], uint32(i*1000))
	return netip.PrefixFrom(netip.AddrFrom16(b), 48).Masked()
}

const (
	targetBlocks = 1_000_000
	targetSites  = 1_200
	seed         = 20261204
)

// BenchmarkLookup measures concurrent look-ups on all processors at three table
// sizes.
func BenchmarkLookup(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, targetBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			d := newDirectory(b, blocks, targetSites)
			addrs := randomAddrs(blocks)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := rand.IntN(len(addrs)); pb.Next(); i++ {
					sites := d.Lookup(addrs[i%len(addrs)])
					if sites.Len() == 0 {
						b.Error("no sites found")
						return
					}
				}
			})
		})
	}
}

func randomAddrs(blocks int) []netip.Addr {
	r := rand.New(rand.NewPCG(seed, 0))
	out := make([]netip.Addr, 1<<16)
	for i := range out {
		out[i] = blockAddr(r.IntN(blocks)).Next()
	}
	return out
}

// BenchmarkSetSite measures a state change of one site at the target size.
func BenchmarkSetSite(b *testing.B) {
	d := newDirectory(b, targetBlocks, targetSites)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		d.SetSite(SiteID(i%targetSites), SiteState(i%2))
	}
}

// BenchmarkApplyOneBlock measures a change of one block at three table sizes.
func BenchmarkApplyOneBlock(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, targetBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			table := newDirectory(b, blocks, targetSites).view.Load().table
			block, err := NewBlock(netip.PrefixFrom(blockAddr(blocks/2), 24), 1)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := table.Apply(Change{Put: []Block{block}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTableMemory reports the heap memory of a directory.
func BenchmarkTableMemory(b *testing.B) {
	families := []struct {
		name   string
		prefix func(int) netip.Prefix
	}{{"v4", prefix4}, {"v6", prefix6}}
	for _, f := range families {
		for _, blocks := range []int{10_000, 100_000, targetBlocks} {
			b.Run(fmt.Sprintf("family=%s/blocks=%d", f.name, blocks), func(b *testing.B) {
				var before, after runtime.MemStats
				for range b.N {
					runtime.GC()
					runtime.ReadMemStats(&before)
					d := newDirectoryOf(b, blocks, targetSites, f.prefix)
					runtime.GC()
					runtime.ReadMemStats(&after)
					b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
					runtime.KeepAlive(d)
				}
			})
		}
	}
}
