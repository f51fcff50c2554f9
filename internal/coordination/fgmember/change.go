package fgmember

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/coordination/fgsync"
)

// MaxContacts is the number of contacts in an availability zone.
const MaxContacts = 2

// Build makes the payload of a change from the members in force.
type Build func(*Set) (json.RawMessage, error)

// BuildRegister returns a payload builder that registers a member. It replaces
// an earlier process of the same VM, and makes the member a contact while its
// availability zone has fewer than MaxContacts others.
func BuildRegister(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		m.Contact = s.needsContact(m)
		return put(m)
	}
}

// BuildPromote returns a payload builder that makes a member a contact.
func BuildPromote(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		current, err := s.owned(m)
		if err != nil {
			return nil, err
		}
		if current.Contact || !s.needsContact(current) {
			return nil, merry.Wrap(fgsync.ErrNoChange)
		}
		current.Contact = true
		return put(current)
	}
}

// BuildLeave returns a payload builder that marks a member as leaving.
func BuildLeave(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		current, err := s.owned(m)
		if err != nil {
			return nil, err
		}
		if current.Leaving {
			return nil, merry.Wrap(fgsync.ErrNoChange)
		}
		current.Leaving, current.Contact = true, false
		return put(current)
	}
}

// BuildRemove returns a payload builder that removes a member.
func BuildRemove(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		if _, err := s.owned(m); err != nil {
			return nil, err
		}
		return json.Marshal(Change{Remove: []string{m.VM}})
	}
}

// NeedsContact reports whether a member should become a contact.
func (s *Set) NeedsContact(m Member) bool { return !m.Contact && s.needsContact(m) }

func (s *Set) needsContact(m Member) bool {
	if m.Leaving {
		return false
	}
	others := 0
	for _, o := range s.sorted {
		if o.VM != m.VM && o.AvailabilityZone == m.AvailabilityZone && o.Contact && !o.Leaving {
			others++
		}
	}
	return others < MaxContacts
}

// owned returns the record of a process, or fgsync.ErrNoChange if the record is
// gone or belongs to a newer process of the VM.
func (s *Set) owned(m Member) (Member, error) {
	current, ok := s.Member(m.VM)
	if !ok || current.Incarnation != m.Incarnation {
		return Member{}, merry.Wrap(fgsync.ErrNoChange)
	}
	return current, nil
}

func put(m Member) (json.RawMessage, error) { return json.Marshal(Change{Put: []Member{m}}) }
