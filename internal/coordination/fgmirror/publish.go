package fgmirror

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

// maxWarnings bounds how many different warnings about policies are logged.
const maxWarnings = 100

// publish builds a view of all entries and passes it to Options.Publish. m.mu is held.
func (m *Mirror) publish() {
	spec := fgsteer.ViewSpec{Revision: int64(m.position.Revision)}
	now := time.Now()
	var republishAfter time.Duration
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		e := m.entries[key]
		if !e.deleteAt.IsZero() {
			remaining := e.deleteAt.Sub(now)
			if remaining <= 0 {
				delete(m.entries, key)
				m.rememberDeletion(key, e)
				m.options.Logger.Info("entry deleted, its owner did not register again after the outage", "key", key)
				continue
			}
			republishAfter = earlier(republishAfter, remaining)
		}
		if remaining := e.hiddenUntil.Sub(now); remaining > 0 {
			republishAfter = earlier(republishAfter, remaining)
			continue
		}
		switch {
		case e.policy != nil:
			m.applyPolicy(e.policy, e.value.Revision)
		case e.upstream != nil:
			spec.Upstreams = append(spec.Upstreams, *e.upstream)
		case e.member != nil:
			spec.Members = append(spec.Members, *e.member)
		case e.zone != "":
			spec.Drained = append(spec.Drained, e.zone)
		}
	}
	spec.Policy = m.policy
	v := fgsteer.NewView(spec)
	if m.options.Publish != nil {
		m.options.Publish(v)
	}
	m.view.Store(v)
	m.scheduleRepublish(republishAfter)
}

// earlier returns the shorter of two durations, of which zero is none.
func earlier(a, b time.Duration) time.Duration {
	if a <= 0 {
		return b
	}
	return min(a, b)
}

// applyPolicy puts a policy in force unless a later version is. A store that was restored
// holds an older one until its operator writes the latest again. m.mu is held.
func (m *Mirror) applyPolicy(p *fgsteer.Policy, revision uint64) {
	switch {
	case m.policy == nil || p.Version() > m.policy.Version():
		m.options.Logger.Info("policy applied", "version", p.Version(), "revision", revision)
		m.logWarnings(p)
	case p.Version() < m.policy.Version():
		return
	}
	m.policy = p
}

// logWarnings logs each warning about a policy once, as operators may keep what
// causes it in all later versions. m.mu is held.
func (m *Mirror) logWarnings(p *fgsteer.Policy) {
	for _, w := range p.Warnings() {
		if m.warned[w] || len(m.warned) >= maxWarnings {
			continue
		}
		if m.warned == nil {
			m.warned = map[string]bool{}
		}
		m.warned[w] = true
		m.options.Logger.Info("policy is only partly understood", "version", p.Version(), "warning", w)
	}
}

// scheduleRepublish publishes again when the next pending change of the view is due.
func (m *Mirror) scheduleRepublish(after time.Duration) {
	if after <= 0 {
		return
	}
	if m.republishTimer != nil {
		m.republishTimer.Stop()
	}
	m.republishTimer = time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.publish()
	})
}
