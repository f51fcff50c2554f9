package fgplacement

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

var benchSizes = []struct{ vms, upstreams, regions int }{{7, 12, 1}, {1000, 296, 8}, {4100, 1200, 8}}

// benchFleet returns one placer in a fleet of many VMs and upstreams.
func benchFleet(b *testing.B, vms, count, regions int, slots int64) *Placer {
	var resources []fgapi.Resource
	for r := range regions {
		resources = append(resources, upstreams(fmt.Sprintf("r%d", r), count/regions, slots)...)
	}
	f := newFleetOf(b, 1, vms, func(i int) string { return fmt.Sprintf("r%d", i%regions) }, resources...)
	p := f.nodes[0].placer
	p.options.Random = rand.IntN
	for _, m := range f.members.All() {
		p.ApplyReport(Report{VM: m.VM, Incarnation: m.Incarnation, Loads: []Load{{Group: testGroup, Free: 1 << 40}}})
	}
	return p
}

func benchPlace(b *testing.B, slots int64, local bool) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("%dVMs%dUpstreams", s.vms, s.upstreams), func(b *testing.B) {
			p := benchFleet(b, s.vms, s.upstreams, s.regions, slots)
			if !local {
				for _, u := range p.upstreams {
					u.maxInFlight.Store(0)
				}
				p.groups[testGroup].candidates.Store(&[]*upstream{})
			}
			b.ReportAllocs()
			for b.Loop() {
				t, err := p.Place(context.Background(), Request{Group: testGroup, Workspace: "w"})
				if err != nil {
					b.Fatal(err)
				}
				t.Done(Answered)
			}
		})
	}
}

// BenchmarkPlaceLocal measures a placement on an upstream in this VM's
// region.
func BenchmarkPlaceLocal(b *testing.B) { benchPlace(b, 0, true) }

// BenchmarkPlacePeer measures a placement at a peer in the region.
func BenchmarkPlacePeer(b *testing.B) { benchPlace(b, 1, false) }
