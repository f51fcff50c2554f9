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
	// maxLookupVMs bounds a look-up answer.
	maxLookupVMs = 8
	// maxHomeVMs bounds the VMs of the caller's own region in an answer that has
	// others to offer, so that the caller survives the loss of the region.
	maxHomeVMs = 6
	// loadSteps is the number of steps in which a VM's shortage lowers its
	// weight. Coarse steps keep consecutive answers alike.
	loadSteps = 4
)

// blocks maps client addresses to regions.
type blocks struct {
	specs []*fgapi.RegionSpec
	// names holds the region of each policy of the table.
	names []string
	table *fgblock.Table
}

// blocksOf returns the client blocks of a snapshot. The table in force is kept
// while no region changes.
func (p *Placer) blocksOf(s *fgconfig.Snapshot) *blocks {
	b := &blocks{}
	for _, r := range s.Resources(fgapi.KindRegion) {
		if spec, ok := r.Spec.(*fgapi.RegionSpec); ok {
			b.specs = append(b.specs, spec)
			b.names = append(b.names, r.Metadata.Name)
		}
	}
	if v := p.view.Load(); v != nil && slices.Equal(v.blocks.specs, b.specs) {
		return v.blocks
	}
	b.table = b.newTable()
	return b
}

// newTable makes the table of all regions' blocks. The configuration's checks
// refuse blocks that a table cannot hold, or that two regions declare.
func (b *blocks) newTable() *fgblock.Table {
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

// region returns the region of the longest block that contains an address.
func (b *blocks) region(a netip.Addr) (string, bool) {
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
	// Region is the region that the caller names, if any.
	Region string
	// Alive reports whether a process was heard recently.
	Alive func(incarnation string) bool
}

// ranked is a VM with its place in a look-up answer.
type ranked struct {
	member fgmember.Member
	home   bool
	score  float64
}

// Lookup returns VMs in the order in which a caller should use them: those of
// its region first, consecutive ones in different availability zones where
// possible. Every VM of a region gives a caller the same order, and different
// callers get different ones.
func (p *Placer) Lookup(l Lookup) []fgmember.Member {
	v := p.view.Load()
	region := p.lookupRegion(v, l)
	pressures := p.pressures()
	var list []ranked
	for _, m := range v.members {
		if m.Leaving || v.drains.coversMember(m) || !l.Alive(m.Incarnation) {
			continue
		}
		if m.VM == p.options.VM && p.stopping.Load() {
			continue
		}
		list = append(list, ranked{member: m, home: m.Region == region, score: score(l.Caller, m.VM, pressures[m.VM])})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.home != b.home {
			if a.home {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	return spread(list)
}

func (p *Placer) lookupRegion(v *view, l Lookup) string {
	if _, ok := v.snapshot.Resource(fgapi.Ref{Kind: fgapi.KindRegion, Name: l.Region}); ok {
		return l.Region
	}
	if region, ok := v.blocks.region(l.Caller); ok {
		return region
	}
	return p.options.Region
}

func (p *Placer) pressures() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]float64, len(p.peers))
	for vm, o := range p.peers {
		out[vm] = o.pressure
	}
	return out
}

// score is a weighted rendezvous hash: the part of callers that rank a VM
// first is proportional to its weight, and a change of one weight moves only
// callers to or from that VM.
func score(caller netip.Addr, vm string, pressure float64) float64 {
	steps := math.Round(pressure * (loadSteps - 1))
	weight := 1 - steps/loadSteps
	address := caller.Unmap().As16()
	h := xxhash.New()
	_, _ = h.Write(address[:])
	_, _ = h.WriteString(vm)
	unit := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}

// spread reorders a ranked list so that consecutive VMs lie in different
// availability zones, and keeps the first ones.
func spread(list []ranked) []fgmember.Member {
	var out []fgmember.Member
	zone := ""
	away := slices.IndexFunc(list, func(r ranked) bool { return !r.home })
	if away > maxHomeVMs {
		list = slices.Delete(list, maxHomeVMs, away)
	}
	for len(list) > 0 && len(out) < maxLookupVMs {
		i := slices.IndexFunc(list, func(r ranked) bool {
			return r.home == list[0].home && r.member.AvailabilityZone != zone
		})
		i = max(i, 0)
		zone = list[i].member.AvailabilityZone
		out = append(out, list[i].member)
		list = slices.Delete(list, i, i+1)
	}
	return out
}
