package fgledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
	"github.com/filbertgap/filbertgap/internal/state/fgshare"
)

// aliveFleet is a Fleet whose members are all alive.
type aliveFleet struct{ set *fgmember.Set }

func (f aliveFleet) Members() (uint64, *fgmember.Set)  { return 1, f.set }
func (f aliveFleet) Alive(string) bool                 { return true }
func (f aliveFleet) Demands(string) ([]Demand, uint64) { return nil, 0 }

// newBusyRebalancer returns a rebalancer without a ledger, in a fleet whose
// members all use each limit. The burst is large enough to be divided between
// all of them.
func newBusyRebalancer(b *testing.B, holders, limits int) (*Rebalancer, *fgmember.Set) {
	c, declared, demands := fgmember.Change{}, map[string]DeclaredLimit{}, map[demandKey]averageDemand{}
	for i := range limits {
		declared[fmt.Sprintf("workspace/workspace-%04d", i)] = NewDeclaredLimit(fgshare.Rate(10_000, 10_000), "")
	}
	for i := range holders {
		m := fgmember.Member{VM: fmt.Sprintf("vm-%04d", i), Incarnation: fmt.Sprintf("%016x", i), Region: "r0"}
		c.Put = append(c.Put, m)
		for name := range declared {
			demands[demandKey{m.Incarnation, name}] = averageDemand{units: 10, lastUsed: time.Now()}
		}
	}
	payload, _ := json.Marshal(c)
	set, err := fgmember.Apply(fgmember.EmptySet(), fgjournal.Entry{Payload: payload})
	if err != nil {
		b.Fatal(err)
	}
	h := NewHolder(c.Put[0].Incarnation, logr.Discard())
	h.ApplyLimits(NewDeclaredLimits(1, declared))
	r := NewRebalancer(RebalancerOptions{Holder: h, Fleet: aliveFleet{set}, Logger: logr.Discard()})
	r.demands = demands
	return r, set
}

// planAndEncode plans a round and encodes the ledger that the round would
// write.
func planAndEncode(b *testing.B, r *Rebalancer, set *fgmember.Set) []byte {
	p := r.plan(1, set)
	next := p.next(r.terminated(p))
	data, err := json.Marshal(next)
	if err := errors.Join(err, next.Check()); err != nil {
		b.Fatal(err)
	}
	return data
}

// BenchmarkLedger measures, without network calls, a round that redistributes
// all limits (round), applying one write at a holder (absorb), and a plan
// without changes (settled).
func BenchmarkLedger(b *testing.B) {
	for _, holders := range []int{7, 64, 200} {
		for _, limits := range []int{8, 100, 1_000} {
			r, set := newBusyRebalancer(b, holders, limits)
			v := fgstore.Value{Key: Key, Data: planAndEncode(b, r, set)}
			size := fmt.Sprintf("holders=%d/limits=%d", holders, limits)
			b.Run("round/"+size, func(b *testing.B) {
				for b.Loop() {
					planAndEncode(b, r, set)
				}
				b.ReportMetric(float64(len(v.Data)), "ledger-B")
			})
			b.Run("absorb/"+size, func(b *testing.B) {
				for b.Loop() {
					v.Revision++
					if err := r.options.Holder.ApplyLedger(v); err != nil {
						b.Fatal(err)
					}
				}
			})
			b.Run("settled/"+size, func(b *testing.B) {
				for b.Loop() {
					if !r.plan(1, set).nothingToWrite(r) {
						b.Fatal("the ledger is not at its targets")
					}
				}
			})
		}
	}
}
