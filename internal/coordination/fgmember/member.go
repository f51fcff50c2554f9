// Package fgmember holds the registered members of the fleet and what this VM
// hears from them.
package fgmember

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

// AliveTimeout is how long after its last message a member counts as alive for
// steering. Messages arrive every 500 ms.
const AliveTimeout = 2 * time.Second

// ErrReplaced means that another process has registered under the VM's name.
var ErrReplaced = merry.Sentinel("another process has registered for this VM")

// Member is a registered entry process.
type Member struct {
	VM               string `json:"vm"`
	Incarnation      string `json:"incarnation"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	CallerAddress    string `json:"callerAddress"`
	PeerAddress      string `json:"peerAddress"`
	Leaving          bool   `json:"leaving,omitempty"`
}

// Change is the payload of one entry of the member journal.
type Change struct {
	Put    []Member `json:"put,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

// Set is an immutable set of members by VM name.
type Set struct {
	members map[string]Member
	sorted  []Member
}

// EmptySet returns a set without members.
func EmptySet() *Set { return &Set{} }

// Member returns the member registered for a VM.
func (s *Set) Member(vm string) (Member, bool) {
	m, ok := s.members[vm]
	return m, ok
}

// ByIncarnation returns the member with an incarnation.
func (s *Set) ByIncarnation(incarnation string) (Member, bool) {
	for _, m := range s.sorted {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// All returns the members by VM name. The slice must not be modified.
func (s *Set) All() []Member { return s.sorted }

// Apply returns the set after a journal entry.
func Apply(s *Set, e fgjournal.Entry) (*Set, error) {
	var c Change
	if err := json.Unmarshal(e.Payload, &c); err != nil {
		return nil, err
	}
	members := maps.Clone(s.members)
	if members == nil {
		members = map[string]Member{}
	}
	for _, m := range c.Put {
		members[m.VM] = m
	}
	for _, vm := range c.Remove {
		delete(members, vm)
	}
	sorted := slices.SortedFunc(maps.Values(members), func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return &Set{members: members, sorted: sorted}, nil
}

// Report is what a member last said about itself.
type Report struct {
	incarnation      string
	configGeneration uint64
	heardAt          time.Time
}

// NewReport returns a report heard now.
func NewReport(incarnation string, configGeneration uint64) Report {
	return Report{incarnation: incarnation, configGeneration: configGeneration, heardAt: time.Now()}
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

// Build makes the payload of a change from the members in force.
type Build func(*Set) (json.RawMessage, error)

// BuildRegister returns a payload builder that registers a member. It replaces
// an earlier process of the same VM.
func BuildRegister(m Member) Build {
	return func(*Set) (json.RawMessage, error) { return json.Marshal(Change{Put: []Member{m}}) }
}

// BuildLeave returns a payload builder that marks a member as leaving.
func BuildLeave(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		if err := checkOwner(s, m); err != nil {
			return nil, err
		}
		m.Leaving = true
		return json.Marshal(Change{Put: []Member{m}})
	}
}

// BuildRemove returns a payload builder that removes a member.
func BuildRemove(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		if err := checkOwner(s, m); err != nil {
			return nil, err
		}
		return json.Marshal(Change{Remove: []string{m.VM}})
	}
}

func checkOwner(s *Set, m Member) error {
	current, ok := s.Member(m.VM)
	if !ok || current.Incarnation != m.Incarnation {
		return merry.Wrap(ErrReplaced)
	}
	return nil
}
