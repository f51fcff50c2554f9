package fgentry

import (
	"math"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// maxInForce bounds the generations whose times are stored.
const maxInForce = 1024

// inForce stores when each generation was first in force on all members.
type inForce struct {
	mu    sync.Mutex
	times []inForceSince
}

type inForceSince struct {
	generation uint64
	at         time.Time
}

// record stores the time at which a generation was in force on all members,
// unless the same or a newer one is stored already.
func (f *inForce) record(generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.times); n > 0 && f.times[n-1].generation >= generation {
		return
	}
	f.times = append(f.times, inForceSince{generation: generation, at: time.Now()})
	if len(f.times) > maxInForce {
		f.times = append([]inForceSince(nil), f.times[1:]...)
	}
}

// since returns when a generation was first in force on all members, or nil if
// no such time is stored.
func (f *inForce) since(generation uint64) *time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.times {
		if t.generation >= generation {
			return &t.at
		}
	}
	return nil
}

// recordInForce records the generation that is in force on all members.
func (e *Entry) recordInForce() {
	oldest := uint64(math.MaxUint64)
	for _, m := range e.members.State().All() {
		report, _ := e.reports.Get(m.Incarnation)
		oldest = min(oldest, report.ConfigGeneration())
	}
	if oldest != math.MaxUint64 {
		e.inForce.record(oldest)
	}
}

// statusAt returns the status of a generation: how many members apply it and
// which do not.
func (e *Entry) statusAt(generation uint64) *fgapi.Status {
	out := &fgapi.Status{ObservedGeneration: e.config.Generation()}
	for _, m := range e.members.State().All() {
		out.Members++
		report, ok := e.reports.Get(m.Incarnation)
		if ok && report.ConfigGeneration() >= generation {
			out.InForce++
			continue
		}
		out.Missing = append(out.Missing, m.VM)
	}
	if out.Complete() {
		e.recordInForce()
		out.Since = e.inForce.since(generation)
	}
	return out
}
