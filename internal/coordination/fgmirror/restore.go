package fgmirror

import (
	"bytes"
	"cmp"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// deletionMemory is how long deletions are remembered. A restored store may hold
	// entries that were deleted since its copy was made.
	deletionMemory = time.Minute
	// expiryTime is the time after which the entry of an upstream that has ended is gone
	// from a restored store: three of its heartbeats and a margin.
	expiryTime = 6 * time.Second
)

// deletion is an entry that was deleted.
type deletion struct {
	entry *entry
	at    time.Time
}

// beginEra moves the copy to a new era of the store, which was restored from an older
// copy of itself. What the system wrote since that copy is gone, and what others wrote is
// written again. If recovering is set, the store was restored just now. m.mu is held.
func (m *Mirror) beginEra(p fgstore.Position, recovering bool) {
	m.options.Logger.Info("new era of the platform store begins", "era", p.Era, "revision", p.Revision,
		"wasEra", m.position.Era, "wasRevision", m.position.Revision, "recovering", recovering)
	if now := time.Now(); recovering && m.graceEnd.Before(now) {
		m.graceEnd = now.Add(deletionGrace)
	}
}

// putRestored stores a value of a store that was restored. The value may be older than
// what the copy holds or held. m.mu is held.
func (m *Mirror) putRestored(v fgstore.Value, era uint64) {
	held := m.entries[v.Key]
	if held != nil && bytes.Equal(held.value.Data, v.Data) {
		held.value, held.era, held.deleteAt = v, era, time.Time{}
		return
	}
	e := m.decode(v, era)
	m.entries[v.Key] = e
	d, deleted := m.deletions[v.Key]
	switch {
	case held != nil && held.upstream != nil && e.upstream != nil && compareReports(e.upstream, held.upstream) < 0:
		e.upstream = held.upstream
		m.options.Logger.Info("older entry of an upstream ignored", "key", v.Key, "revision", v.Revision)
	case held == nil && deleted:
		e.hide(d.entry)
		m.options.Logger.Info("entry is back that was deleted before the store was restored", "key", v.Key, "revision", v.Revision, "ignoredUntil", e.hiddenUntil)
	}
}

// hide leaves an entry out of the view that is not newer than one that was deleted, until
// its owner has had time to delete it again. A later write of it ends that at once.
func (e *entry) hide(deleted *entry) {
	switch {
	case e.zone != "":
		e.hiddenUntil = time.Now().Add(deletionGrace)
	case e.upstream != nil && deleted.upstream != nil && compareReports(e.upstream, deleted.upstream) <= 0:
		e.hiddenUntil = time.Now().Add(expiryTime)
	}
}

// compareReports orders two entries of an upstream by when it wrote them.
func compareReports(a, b *fgsteer.UpstreamSpec) int {
	if !a.Started.IsZero() && !b.Started.IsZero() && !a.Started.Equal(b.Started) {
		return a.Started.Compare(b.Started)
	}
	// An upstream that leaves does not become ready again.
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(drainRank(a), drainRank(b)))
}

func drainRank(u *fgsteer.UpstreamSpec) int {
	if u.Draining {
		return 1
	}
	return 0
}

// rememberDeletion records that an entry was deleted. m.mu is held.
func (m *Mirror) rememberDeletion(key string, e *entry) {
	now := time.Now()
	for k, d := range m.deletions {
		if now.Sub(d.at) > deletionMemory {
			delete(m.deletions, k)
		}
	}
	if m.deletions == nil {
		m.deletions = map[string]deletion{}
	}
	m.deletions[key] = deletion{entry: e, at: now}
}
