package fgmirror

import (
	"context"
	"slices"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// maxDirectMembers is the size up to which all gateways of an availability zone
	// follow the store themselves.
	maxDirectMembers = 3
	// contactsPerZone is how many gateways of a larger zone follow the store. The
	// others follow one of them, and the second one if it fails.
	contactsPerZone = 2
)

// Changes are changes of a gateway's copy of the store.
type Changes struct {
	// Events are the changes in order, or with Complete all entries.
	Events   []fgstore.Event
	Complete bool
	// Position is the position of the copy after the changes.
	Position fgstore.Position
	// Recovering means that the store was recently unreachable, and that entries
	// which are missing may be registered again.
	Recovering bool
	// Fresh means that the gateway follows the store itself and that its calls
	// succeed.
	Fresh bool
}

// Contact is a gateway whose copy of the store another one follows.
type Contact interface {
	// Changes waits for changes after a position. It returns none after a while
	// without a change.
	Changes(ctx context.Context, after fgstore.Position) (Changes, error)
	// Failed is called when the copy cannot be followed any further.
	Failed(reason string)
}

// Contacts returns the gateways of an availability zone that follow the store for the
// others, or nil if all of them do. Gateways with the same members and the same usable
// ones choose the same contacts.
func Contacts(members []fgsteer.MemberSpec, zone string, usable func(vm string) bool) []fgsteer.MemberSpec {
	var candidates []fgsteer.MemberSpec
	size := 0
	for _, m := range members {
		if m.AvailabilityZone != zone {
			continue
		}
		size++
		if usable(m.VM) {
			candidates = append(candidates, m)
		}
	}
	if size <= maxDirectMembers {
		return nil
	}
	slices.SortFunc(candidates, fgsteer.CompareCapacity)
	return candidates[:min(len(candidates), contactsPerZone)]
}

// followContact applies the next changes of a contact.
func (m *Mirror) followContact(ctx context.Context, c Contact) {
	m.setDirect(false)
	position := m.Position()
	changes, err := c.Changes(ctx, position)
	if err != nil {
		if ctx.Err() == nil {
			c.Failed(err.Error())
		}
		return
	}
	recovering := changes.Recovering || m.Recovering()
	switch {
	case changes.Position.Before(position):
		// The contact has not seen what this copy holds.
	case changes.Complete:
		values := make([]fgstore.Value, len(changes.Events))
		for i, e := range changes.Events {
			values[i] = e.Value
		}
		m.Replace(values, changes.Position, recovering)
	case len(changes.Events) > 0:
		m.apply(changes.Events, changes.Position, recovering)
	default:
		m.advance(changes.Position)
	}
	if !changes.Fresh {
		c.Failed("it does not follow the store")
		return
	}
	m.recordCurrent()
}

// setDirect records whether the copy follows the store itself.
func (m *Mirror) setDirect(direct bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.direct = direct
}

// ChangesAfter waits until the copy is newer than a position, at most for wait, and
// returns the changes.
func (m *Mirror) ChangesAfter(ctx context.Context, after fgstore.Position, wait time.Duration) Changes {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed := m.changesAfter(after)
		if after.Before(changes.Position) || !changes.Fresh {
			return changes
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes
		case <-ctx.Done():
			return changes
		}
	}
}

// changesAfter returns the changes after a position and a channel that is closed at
// the next one.
func (m *Mirror) changesAfter(after fgstore.Position) (Changes, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Changes{Position: m.position, Recovering: time.Now().Before(m.graceEnd), Fresh: m.direct && !m.unreachable && m.position.Revision > 0}
	if m.position.Compare(after) <= 0 {
		return c, m.history.changed
	}
	events, ok := m.history.after(after)
	if !ok {
		c.Complete = true
		for _, e := range m.entries {
			if e.deleteAt.IsZero() {
				events = append(events, fgstore.Event{Value: e.value})
			}
		}
	}
	c.Events = events
	return c, m.history.changed
}
