package fglookup

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// unequalRegion is a region of VMs with fast and slow links.
func unequalRegion() []Candidate {
	var all []Candidate
	for i := range 12 {
		c := Candidate{Address: fmt.Sprintf("10.0.0.%d:80", i), Capacity: Capacity(0.4, 10e6)}
		if i%3 == 0 {
			c.Capacity = Capacity(0.8, 200e6)
		}
		all = append(all, c)
	}
	return all
}

// Guards against VMs with slow links that get as many callers as those with fast
// ones: replays callers that pick addresses at random, with responses of 90 KB among
// small ones, and looks at how full each link is.
func TestSlowLinksGetTheirPart(t *testing.T) {
	const (
		seed           = 1
		requests       = 20000
		requestsPerSec = 800.0
		largeBytes     = 2 * 90_000
		smallBytes     = 2 * 1_000
		largeFraction  = 0.1
	)
	r := rand.New(rand.NewPCG(seed, seed))
	region := unequalRegion()
	link := map[string]float64{}
	var all []string
	for _, c := range region {
		link[c.Address] = 200e6 / 8
		if c.Capacity < 100 {
			link[c.Address] = 10e6 / 8
		}
		all = append(all, c.Address)
	}
	// Each caller asks one of the region's gateways.
	utilization := func(named func(vm string) []string) float64 {
		bytes := map[string]float64{}
		for range requests {
			size := smallBytes
			if r.Float64() < largeFraction {
				size = largeBytes
			}
			addresses := named(all[r.IntN(len(all))])
			bytes[addresses[r.IntN(len(addresses))]] += float64(size)
		}
		fullest := 0.0
		for address, n := range bytes {
			fullest = max(fullest, n/(requests/requestsPerSec)/link[address])
		}
		return fullest
	}
	even := utilization(func(string) []string { return all })
	spread := utilization(func(self string) []string { return Spread(self, region, 64) })
	t.Logf("seed %d: the fullest link carries %.2f of its bandwidth evenly, %.2f spread", seed, even, spread)
	if even < 0.9 {
		t.Errorf("seed %d: the load does not fill the slow links: %.2f", seed, even)
	}
	if spread > 0.5 {
		t.Errorf("seed %d: the fullest link carries %.2f of its bandwidth", seed, spread)
	}
}

// Guards against responses that name too few gateways for a caller that finds one
// unreachable, a gateway twice, or more than callers read.
func TestSpread(t *testing.T) {
	tests := []struct {
		name        string
		capacities  []float64
		n           int
		least, most int
	}{
		{"none", nil, 64, 0, 0},
		{"one", []float64{5}, 64, 1, 1},
		{"equal", []float64{5, 5, 5, 5, 5, 5}, 64, 6, 6},
		{"small region of unequal VMs", []float64{300, 100, 1, 1}, 64, 4, 4},
		{"one fast VM", []float64{1e6, 1, 1, 1, 1, 1, 1, 1}, 64, minNamed, minNamed},
		{"all unknown", []float64{0, 0, 0, 0, 0, 0}, 64, 6, 6},
		{"unknown are average", []float64{0, 0, 0, 0, 0, 0, 300, 300}, 64, 8, 8},
		{"more than fit", []float64{9, 9, 9, 9, 9, 9}, 5, 5, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var candidates []Candidate
			for i, c := range tt.capacities {
				candidates = append(candidates, Candidate{Address: fmt.Sprint(i), Capacity: c})
			}
			for vm := range 50 {
				addresses := Spread(fmt.Sprint(vm%max(1, len(candidates))), candidates, tt.n)
				if len(addresses) < tt.least || len(addresses) > tt.most {
					t.Errorf("%d addresses, want %d to %d", len(addresses), tt.least, tt.most)
				}
				counts := map[string]int{}
				for _, a := range addresses {
					if counts[a]++; counts[a] > 1 {
						t.Errorf("%s is named twice", a)
					}
				}
			}
		})
	}
}

// Guards against a retry that fails although other gateways live: replays callers that
// try one other entry of a response after a failure, while one gateway is dead and
// still named.
func TestRetryFindsAnotherGateway(t *testing.T) {
	const seed, callers = 1, 5000
	r := rand.New(rand.NewPCG(seed, seed))
	region := unequalRegion()
	failed := 0
	for range callers {
		addresses := Spread(region[r.IntN(len(region))].Address, region, 64)
		dead := region[0].Address
		first := r.IntN(len(addresses))
		second := (first + 1 + r.IntN(len(addresses)-1)) % len(addresses)
		if addresses[first] == dead && addresses[second] == dead {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("seed %d: %d of %d callers tried a dead gateway twice", seed, failed, callers)
	}
}

// Guards against responses of a large region that always name the same gateways, or
// change from one response of a VM to the next.
func TestLargeRegionIsSampled(t *testing.T) {
	const candidates, n, vms = 400, 64, 200
	var all []Candidate
	for i := range candidates {
		c := Candidate{Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Capacity: 50}
		if i%4 == 0 {
			c.Capacity = 200
		}
		all = append(all, c)
	}
	named := map[string]int{}
	for i := range vms {
		vm := fmt.Sprintf("vm-%d", i)
		addresses := Spread(vm, all, n)
		if len(addresses) != n {
			t.Fatalf("%d addresses, want %d", len(addresses), n)
		}
		for j, a := range Spread(vm, all, n) {
			if a != addresses[j] {
				t.Fatalf("%s names other gateways the next time", vm)
			}
			named[a]++
		}
	}
	large, small := 0.0, 0.0
	for i, c := range all {
		if named[c.Address] == 0 {
			t.Errorf("%s is never named", c.Address)
		}
		if i%4 == 0 {
			large += float64(named[c.Address])
		} else {
			small += float64(named[c.Address])
		}
	}
	if ratio := large * 3 / small; ratio < 2.5 || ratio > 4.5 {
		t.Errorf("a gateway of four times the capacity is named %.1f times as often", ratio)
	}
}

// Guards against a capacity from a setting that is missing.
func TestCapacity(t *testing.T) {
	tests := []struct {
		name        string
		cores, link float64
		want        float64
	}{
		{"link binds", 0.4, 10e6, 50},
		{"processor binds", 0.3, 200e6, 200},
		{"no link", 0.3, 0, 200},
		{"no processor", 0, 10e6, 50},
		{"neither", 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Capacity(tt.cores, tt.link); math.Abs(got-tt.want) > 1e-6 {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
