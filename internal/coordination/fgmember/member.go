// Package fgmember tracks the registered members of the fleet and the reports that
// they send to this VM.
package fgmember

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/filbertgap/filbertgap/internal/state/fgjournal"
)

// Member is a registered entry process. Incarnation differs for each process of a VM.
type Member struct {
	VM               string `json:"vm"`
	Incarnation      string `json:"incarnation"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	CallerAddress    string `json:"callerAddress"`
	PeerAddress      string `json:"peerAddress"`
	Leaving          bool   `json:"leaving,omitempty"`
	// Contact means that the process watches the platform's store itself and accepts
	// changes from operators.
	Contact bool `json:"contact,omitempty"`
}

// Change is the payload of one entry of the member journal.
type Change struct {
	Put    []Member `json:"put,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

// Set is an immutable set of members with at most one member for each VM.
type Set struct {
	// members is keyed by VM name.
	members map[string]Member
	// byIncarnation maps incarnations to VM names.
	byIncarnation map[string]string
	sorted        []Member
	contacts      []Member
	// ring holds the members sorted by the hash of their VM names.
	ring []Member
}

// EmptySet returns the empty set.
func EmptySet() *Set { return &Set{} }

// Member returns the member of a VM, and false if there is none.
func (s *Set) Member(vm string) (Member, bool) {
	m, ok := s.members[vm]
	return m, ok
}

// ByIncarnation returns the member with an incarnation, and false if there is none.
func (s *Set) ByIncarnation(incarnation string) (Member, bool) {
	vm, ok := s.byIncarnation[incarnation]
	if !ok {
		return Member{}, false
	}
	return s.Member(vm)
}

// Contacts returns the contacts, sorted by VM name. The slice must not be modified.
func (s *Set) Contacts() []Member { return s.contacts }

// All returns all members, sorted by VM name. The slice must not be modified.
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
	return newSet(members), nil
}

func newSet(members map[string]Member) *Set {
	s := &Set{members: members, byIncarnation: make(map[string]string, len(members))}
	for _, m := range members {
		s.byIncarnation[m.Incarnation] = m.VM
	}
	s.sorted = slices.SortedFunc(maps.Values(members), func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	s.ring = slices.SortedFunc(slices.Values(s.sorted), compareHashed)
	for _, m := range s.sorted {
		if m.Contact {
			s.contacts = append(s.contacts, m)
		}
	}
	return s
}

// Dump encodes a set as JSON.
func Dump(s *Set) ([]byte, error) { return json.Marshal(s.sorted) }

// Load decodes a set that Dump encoded.
func Load(data []byte) (*Set, error) {
	var list []Member
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	members := make(map[string]Member, len(list))
	for _, m := range list {
		members[m.VM] = m
	}
	return newSet(members), nil
}
