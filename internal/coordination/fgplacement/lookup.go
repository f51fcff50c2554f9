package fgplacement

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/state/fgblock"
	"github.com/filbertgap/filbertgap/internal/state/fgconfig"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

const (
	// maxLookupVMs bounds the VMs in a look-up response.
	maxLookupVMs = 8
	// maxSameRegionVMs bounds the VMs of the caller's region in a response
	// that also has VMs of other regions, so that the caller survives the loss
	// of its region.
	maxSameRegionVMs = 6
	// weightSteps is the number of steps in which shortage lowers a VM's
	// weight. Coarse steps keep consecutive responses alike.
	weightSteps = 4
)

// clientBlocks maps client addresses to regions.
type clientBlocks struct {
	specs []*fgapi.RegionSpec
	// names holds the region of each policy number in the table.
	names []string
	table *fgblock.Table
}

// clientBlocksOf returns the client blocks of a configuration. It reuses the
// current table if no region has changed.
func (p *Placer) clientBlocksOf(s *fgconfig.Snapshot) *clientBlocks {
	b := &clientBlocks{}
	for _, r := range s.Resources(fgapi.KindRegion) {
		if spec, ok := r.Spec.(*fgapi.RegionSpec); ok {
			b.specs = append(b.specs, spec)
			b.names = append(b.names, r.Metadata.Name)
		}
	}
	if v := p.view.Load(); v != nil && slices.Equal(v.clientBlocks.specs, b.specs) {
		return v.clientBlocks
	}
	b.table = b.newTable()
	return b
}

// newTable builds the table of all regions' blocks. The configuration's
// validation rejects blocks that a table cannot hold and blocks that two
// regions declare, so errors are ignored here.
func (b *clientBlocks) newTable() *fgblock.Table {
	var c fgblock.Change
	for i, spec := range b.specs {
		for _, text := range spec.ClientBlocks {
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				continue
			}
			if block, err := fgblock.NewBlock(prefix, fgblock.Policy(i)); err == nil {
				c.Put = append(c.Put, block)
			}
		}
	}
	table, err := (&fgblock.Table{}).Apply(c)
	if err != nil {
		return &fgblock.Table{}
	}
	return table
}

// region returns the region of the longest block that contains the address.
func (b *clientBlocks) region(a netip.Addr) (string, bool) {
	policy, ok := b.table.Lookup(a)
	if !ok {
		return "", false
	}
	return b.names[policy], true
}

// Lookup describes a caller that asks which VMs to use.
type Lookup struct {
	// Caller is the caller's address.
	Caller netip.Addr
	// Region is the region that the caller names, or empty.
	Region string
	// Alive reports whether a report of the process arrived recently.
	Alive func(incarnation string) bool
}

// rankedVM is a VM with its sort keys for a look-up response.
type rankedVM struct {
	member     fgmember.Member
	sameRegion bool
	score      float64
}

// Lookup returns VMs in the order in which a caller should use them: those of
// its region first, and consecutive ones in different availability zones
// where possible. All VMs of a region return the same order for a caller;
// different callers get different orders.
func (p *Placer) Lookup(l Lookup) []fgmember.Member {
	v := p.view.Load()
	region := p.callerRegion(v, l)
	shortages := p.shortages()
	var candidates []rankedVM
	for _, m := range v.members {
		if m.Leaving || v.drains.coversMember(m) || !l.Alive(m.Incarnation) {
			continue
		}
		if m.VM == p.options.VM && p.stopping.Load() {
			continue
		}
		candidates = append(candidates, rankedVM{member: m, sameRegion: m.Region == region, score: score(l.Caller, m.VM, shortages[m.VM])})
	}
	slices.SortFunc(candidates, func(a, b rankedVM) int {
		if a.sameRegion != b.sameRegion {
			if a.sameRegion {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	return spreadZones(candidates)
}

func (p *Placer) callerRegion(v *view, l Lookup) string {
	if _, ok := v.snapshot.Resource(fgapi.Ref{Kind: fgapi.KindRegion, Name: l.Region}); ok {
		return l.Region
	}
	if region, ok := v.clientBlocks.region(l.Caller); ok {
		return region
	}
	return p.options.Region
}

func (p *Placer) shortages() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]float64, len(p.peers))
	for vm, o := range p.peers {
		out[vm] = o.shortage
	}
	return out
}

// score is a weighted rendezvous hash. The fraction of callers that rank a VM
// first is proportional to its weight. A change of a VM's weight moves callers
// only to or from that VM.
func score(caller netip.Addr, vm string, shortage float64) float64 {
	steps := math.Round(shortage * (weightSteps - 1))
	weight := 1 - steps/weightSteps
	address := caller.Unmap().As16()
	h := xxhash.New()
	_, _ = h.Write(address[:])
	_, _ = h.WriteString(vm)
	uniform := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// spreadZones reorders a ranked list so that consecutive VMs are in different
// availability zones, and returns the first maxLookupVMs of them.
func spreadZones(list []rankedVM) []fgmember.Member {
	var out []fgmember.Member
	zone := ""
	firstOther := slices.IndexFunc(list, func(r rankedVM) bool { return !r.sameRegion })
	if firstOther > maxSameRegionVMs {
		list = slices.Delete(list, maxSameRegionVMs, firstOther)
	}
	for len(list) > 0 && len(out) < maxLookupVMs {
		i := slices.IndexFunc(list, func(r rankedVM) bool {
			return r.sameRegion == list[0].sameRegion && r.member.AvailabilityZone != zone
		})
		i = max(i, 0)
		zone = list[i].member.AvailabilityZone
		out = append(out, list[i].member)
		list = slices.Delete(list, i, i+1)
	}
	return out
}
