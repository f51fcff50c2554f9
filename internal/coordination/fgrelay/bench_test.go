package fgrelay

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLayout measures what a gateway computes for each of its own states, and
// BenchmarkRound what it computes in a round with digests.
func BenchmarkLayout(b *testing.B) {
	for _, vms := range []int{118, 300, 4100} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			members := testMembers(vms, 3)
			for b.Loop() {
				NewLayout(members[0], members, known{})
			}
		})
	}
}

func BenchmarkRound(b *testing.B) {
	for _, vms := range []int{118, 300, 4100} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			members := testMembers(vms, 3)
			r := NewRelay(members[0].VM, func(id ID) ID { return id }, func(ID) int { return 100 })
			r.SetLayout(NewLayout(members[0], members, known{}))
			for _, m := range members[1:] {
				r.ReceiveOwn(Sender{VM: m.VM, PassesOn: true}, ID{VM: m.VM, Incarnation: 1, Sequence: 1})
			}
			time.Sleep(2 * digestDelay)
			start := time.Now()
			for b.Loop() {
				r.Round()
				if time.Since(start) > digestWindow/2 {
					b.StopTimer()
					for key, h := range r.recent.states {
						h.received = time.Now().Add(-2 * digestDelay)
						r.recent.states[key] = h
					}
					start = time.Now()
					b.StartTimer()
				}
			}
		})
	}
}
