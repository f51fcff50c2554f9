package fgmember

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/coordination/fgsync"
)

// MaxContacts is the maximum number of contacts in an availability zone.
const MaxContacts = 2

// Build returns the payload of a change to the current members. It returns
// fgsync.ErrNoChange if nothing needs to change.
type Build func(*Set) (json.RawMessage, error)

// BuildRegister returns a Build that registers a member and replaces an earlier
// process on the same VM. The member becomes a contact if its availability zone has
// fewer than MaxContacts others.
func BuildRegister(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		m.Contact = s.zoneNeedsContact(m)
		return putPayload(m)
	}
}

// BuildPromote returns a Build that makes a member a contact if its availability
// zone needs one.
func BuildPromote(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		current, err := s.current(m)
		if err != nil {
			return nil, err
		}
		if current.Contact || !s.zoneNeedsContact(current) {
			return nil, merry.Wrap(fgsync.ErrNoChange)
		}
		current.Contact = true
		return putPayload(current)
	}
}

// BuildLeave returns a Build that marks a member as leaving, which ends its role as
// a contact.
func BuildLeave(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		current, err := s.current(m)
		if err != nil {
			return nil, err
		}
		if current.Leaving {
			return nil, merry.Wrap(fgsync.ErrNoChange)
		}
		current.Leaving, current.Contact = true, false
		return putPayload(current)
	}
}

// BuildRemove returns a Build that removes a member.
func BuildRemove(m Member) Build {
	return func(s *Set) (json.RawMessage, error) {
		if _, err := s.current(m); err != nil {
			return nil, err
		}
		return json.Marshal(Change{Remove: []string{m.VM}})
	}
}

// NeedsContact reports whether a member should become a contact, because its
// availability zone has fewer than MaxContacts.
func (s *Set) NeedsContact(m Member) bool { return !m.Contact && s.zoneNeedsContact(m) }

// zoneNeedsContact reports whether m is not leaving and its availability zone has
// fewer than MaxContacts other contacts.
func (s *Set) zoneNeedsContact(m Member) bool {
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

// current returns the registered state of a process. It returns fgsync.ErrNoChange
// if the VM is not registered or another process of the VM is.
func (s *Set) current(m Member) (Member, error) {
	current, ok := s.Member(m.VM)
	if !ok || current.Incarnation != m.Incarnation {
		return Member{}, merry.Wrap(fgsync.ErrNoChange)
	}
	return current, nil
}

// putPayload returns the payload of a change that adds or replaces a member.
func putPayload(m Member) (json.RawMessage, error) { return json.Marshal(Change{Put: []Member{m}}) }
