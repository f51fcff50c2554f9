package fgmember

import (
	"maps"
	"sync"
	"time"
)

// AliveTimeout is how long after its last report a member counts as alive when a
// target for a request is selected. Reports arrive every 500 ms, in large fleets
// every second (see ExchangeInterval).
const AliveTimeout = 2 * time.Second

// Report is the state that a member reports about itself.
type Report struct {
	incarnation      string
	configGeneration uint64
	leaving          bool
	receivedAt       time.Time
}

// NewReport returns a report that is received now.
func NewReport(incarnation string, configGeneration uint64) Report {
	return Report{incarnation: incarnation, configGeneration: configGeneration, receivedAt: time.Now()}
}

// WithLeaving returns a copy of the report. leaving is whether the process is
// stopping.
func (r Report) WithLeaving(leaving bool) Report {
	r.leaving = leaving
	return r
}

// ConfigGeneration returns the generation of the member's configuration.
func (r Report) ConfigGeneration() uint64 { return r.configGeneration }

// Reports holds the latest report of each process, by incarnation. The zero value is
// ready to use.
type Reports struct {
	mu     sync.Mutex
	latest map[string]Report
}

// Add stores a report. The configuration generation of a process never decreases, and
// a process that is leaving stays so, since reports may arrive out of order.
func (r *Reports) Add(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest == nil {
		r.latest = map[string]Report{}
	}
	old := r.latest[report.incarnation]
	if report.configGeneration < old.configGeneration {
		report.configGeneration = old.configGeneration
	}
	// A process that is stopping cannot resume.
	report.leaving = report.leaving || old.leaving
	r.latest[report.incarnation] = report
}

// Get returns the latest report of a process, and false if there is none.
func (r *Reports) Get(incarnation string) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, ok := r.latest[incarnation]
	return report, ok
}

// Alive reports whether a report of a process arrived within AliveTimeout.
func (r *Reports) Alive(incarnation string) bool {
	report, ok := r.Get(incarnation)
	return ok && time.Since(report.receivedAt) <= AliveTimeout
}

// Leaving reports whether a process has reported that it is stopping.
func (r *Reports) Leaving(incarnation string) bool {
	report, ok := r.Get(incarnation)
	return ok && report.leaving
}

// Prune deletes the reports of processes that are not in the set.
func (r *Reports) Prune(s *Set) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.latest, func(incarnation string, _ Report) bool {
		_, ok := s.ByIncarnation(incarnation)
		return !ok
	})
}
