package fgmirror

import (
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// keepLatest ignores the report of a new entry if an upstream wrote it before the one that
// is held, or before the one that was last deleted: the store may execute a write late. If
// only such reports arrive for expiryTime, they are those of a process whose numbers or
// clock are behind, and are followed. It reports whether the entry is as new as what was
// deleted. m.mu is held.
func (m *Mirror) keepLatest(held, e *entry) (current bool) {
	if e.upstream == nil {
		return true
	}
	now := time.Now()
	if d, ok := m.deletions[e.value.Key]; ok && d.entry.upstream != nil && isOutdated(e.upstream, d.entry.upstream) {
		e.hiddenUntil = now.Add(expiryTime)
		if held != nil && !held.hiddenUntil.IsZero() {
			e.hiddenUntil = held.hiddenUntil
		}
		m.logOutdated(e, d.entry.upstream)
		return false
	}
	if held == nil || held.upstream == nil || !isOutdated(e.upstream, held.upstream) {
		return true
	}
	e.outdatedSince = held.outdatedSince
	if e.outdatedSince.IsZero() {
		e.outdatedSince = now
	}
	if now.Sub(e.outdatedSince) >= expiryTime {
		e.outdatedSince = time.Time{}
		return true
	}
	m.logOutdated(e, held.upstream)
	latest := *held.upstream
	if e.upstream.ColdUntil.After(latest.ColdUntil) {
		// Should it be another process after all, it is cold.
		latest.ColdUntil = e.upstream.ColdUntil
	}
	e.upstream = &latest
	return true
}

// isOutdated reports whether an upstream certainly wrote a report before another one, unless
// it has restarted under the same ID. Equal sequences don't tell: a process whose first report
// was the last may have restarted.
func isOutdated(u, latest *fgsteer.UpstreamSpec) bool {
	if !u.Started.IsZero() && !latest.Started.IsZero() && !u.Started.Equal(latest.Started) {
		return u.Started.Before(latest.Started)
	}
	return u.Sequence > 0 && u.Sequence < latest.Sequence
}

func (m *Mirror) logOutdated(e *entry, latest *fgsteer.UpstreamSpec) {
	m.options.Logger.Info("outdated report of an upstream ignored", "key", e.value.Key, "revision", e.value.Revision,
		"sequence", e.upstream.Sequence, "latestSequence", latest.Sequence)
}

// put stores a value unless the copy already holds that revision or a newer one.
// It cancels a pending deletion. m.mu is held.
func (m *Mirror) put(v fgstore.Value, era uint64) {
	held := m.entries[v.Key]
	if held != nil && held.era == era && held.value.Revision >= v.Revision {
		held.deleteAt = time.Time{}
		return
	}
	e := m.decode(v, era)
	m.entries[v.Key] = e
	if m.keepLatest(held, e) {
		delete(m.deletions, v.Key)
	}
}
