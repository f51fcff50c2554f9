package fgmember

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

// BenchmarkMemberChange measures a change of one member. It reports the heap memory of
// a set, the size of its snapshot and the size of the change.
func BenchmarkMemberChange(b *testing.B) {
	for _, n := range []int{100, 1_000, 4_100} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var list []Member
			for i := range n {
				list = append(list, Member{
					VM: fmt.Sprintf("vm-%04d", i), Incarnation: fmt.Sprintf("%016x", i), Contact: i < 40,
					Region: fmt.Sprintf("region-%d", i%8), AvailabilityZone: fmt.Sprintf("zone-%02d", i%20),
					CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
				})
			}
			dump, _ := json.Marshal(list)
			payload, _ := json.Marshal(Change{Put: list[:1]})
			before := heapInUse()
			s, err := Load(dump)
			if err != nil {
				b.Fatal(err)
			}
			heap := heapInUse() - before
			runtime.KeepAlive(dump)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Apply(s, fgjournal.Entry{Payload: payload}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(heap, "heap-B")
			b.ReportMetric(float64(len(dump)), "snapshot-B")
			b.ReportMetric(float64(len(payload)), "change-B")
		})
	}
}

// heapInUse returns the live heap memory in bytes.
func heapInUse() float64 {
	var m runtime.MemStats
	// Objects in a sync.Pool are released by the second collection only.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
