package fgmember

import (
	"maps"
	"sync"
	"time"
)

// AliveTimeout is how long after its last message a member counts as alive for
// steering. Messages arrive every 500 ms.
const AliveTimeout = 2 * time.Second

// Report is what a member last said about itself.
type Report struct {
	incarnation      string
	configGeneration uint64
	leaving          bool
	heardAt          time.Time
}

// NewReport returns a report heard now.
func NewReport(incarnation string, configGeneration uint64) Report {
	return Report{incarnation: incarnation, configGeneration: configGeneration, heardAt: time.Now()}
}

// WithLeaving returns a copy that says whether the member is stopping.
func (r Report) WithLeaving(leaving bool) Report {
	r.leaving = leaving
	return r
}

// ConfigGeneration returns the configuration generation that the member applies.
func (r Report) ConfigGeneration() uint64 { return r.configGeneration }

// Reports collects the latest report of each member. The zero value is empty.
type Reports struct {
	mu     sync.Mutex
	latest map[string]Report
}

// Add keeps a report unless a newer one of the same process is known.
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
	// A process that has begun to stop does not return.
	report.leaving = report.leaving || old.leaving
	r.latest[report.incarnation] = report
}

// Get returns the latest report of a process.
func (r *Reports) Get(incarnation string) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, ok := r.latest[incarnation]
	return report, ok
}

// Alive reports whether a process was heard within AliveTimeout.
func (r *Reports) Alive(incarnation string) bool {
	report, ok := r.Get(incarnation)
	return ok && time.Since(report.heardAt) <= AliveTimeout
}

// Leaving reports whether a process has said that it is stopping.
func (r *Reports) Leaving(incarnation string) bool {
	report, ok := r.Get(incarnation)
	return ok && report.leaving
}

// Keep forgets the processes that are no longer members.
func (r *Reports) Keep(s *Set) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.latest, func(incarnation string, _ Report) bool {
		_, ok := s.ByIncarnation(incarnation)
		return !ok
	})
}
