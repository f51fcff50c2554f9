package fgaffinity

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// Guards against VMs that are cut off from the store and the others, do not learn that an
// upstream has started, and send it as many requests as a warm one.
func TestColdUpstreamOfIsolatedVMs(t *testing.T) {
	for _, vms := range []int{7, 28} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const isolated, coldTime, responseTime = 2, 6 * time.Second, 200 * time.Millisecond
				old := view(upstreams(1, func(int, *fgsteer.UpstreamSpec) {}), members(vms))
				var fleet []*Balancer
				for i := range vms {
					fleet = append(fleet, balancer(fmt.Sprintf("vm-%d", i), old))
				}
				// The upstream was last used before it started.
				time.Sleep(coldSendDelay)
				for _, b := range fleet[:isolated] {
					u, err := b.Choose(Criteria{Group: "g", AffinityKey: "o", MaxLoadPerSlot: 100})
					if err != nil {
						t.Fatal(err)
					}
					b.Done(u, Answered)
					b.RecordWarm(u)
					b.SetIsolated(true)
				}
				time.Sleep(warmLifetime)
				start := time.Now()
				started := view(upstreams(1, func(_ int, u *fgsteer.UpstreamSpec) { u.ColdUntil = start.Add(coldTime) }), members(vms))
				for _, b := range fleet[isolated:] {
					b.Update(started)
				}
				var sent []time.Time
				isolatedSends := make([]int, isolated)
				for time.Since(start) < 12*time.Second {
					for i, b := range fleet {
						u, err := b.Choose(Criteria{Group: "g", AffinityKey: "o", MaxLoadPerSlot: 1000})
						if err != nil {
							continue
						}
						if time.Since(start) < coldTime {
							sent = append(sent, time.Now())
						} else if i < isolated {
							isolatedSends[i]++
						}
						time.AfterFunc(responseTime, func() {
							b.Done(u, Answered)
							if left := coldTime - time.Since(start); left > 0 {
								b.RecordCold(u, left)
							} else {
								b.RecordWarm(u)
							}
						})
					}
					time.Sleep(7 * time.Millisecond)
				}
				const bound = 7.4*1.5 + 5
				for i := range sent {
					n := 0
					for _, s := range sent[i:] {
						if s.Sub(sent[i]) <= time.Second {
							n++
						}
					}
					if float64(n) > bound {
						t.Fatalf("%d requests in a second, want at most %.1f", n, bound)
					}
				}
				for i, n := range isolatedSends {
					if n < 500 {
						t.Errorf("isolated VM %d sent %d requests to the warm upstream in 6 s", i, n)
					}
				}
			})
		})
	}
}
