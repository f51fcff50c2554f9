// Package fgmirror maintains a local copy of the platform's key-value store and
// builds from it the view by which a gateway selects upstreams.
package fgmirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

const (
	// longPollWait is how long the store holds a watch call open without a change.
	longPollWait = 1500 * time.Millisecond
	// watchTimeout is the timeout of a watch call. A response can be lost while the
	// connection stays open, which keep-alive probes do not show. Together with the
	// next call it stays below the time within which a change must take effect.
	watchTimeout = longPollWait + time.Second
	// minBatchWait and maxBatchWait bound the pause between two watch calls, in
	// which changes accumulate: each watch response costs one call on every VM.
	// The pause grows by batchWaitPerMember because all members share the store's
	// rate limit. maxBatchWait stays below the time within which a change must
	// take effect. The first change after a quiet period is not delayed.
	minBatchWait       = 150 * time.Millisecond
	maxBatchWait       = 500 * time.Millisecond
	batchWaitPerMember = 15 * time.Millisecond
	// retryDelay is the minimum time between the beginnings of calls to a store that
	// fails, and of reads of all entries. Run adds up to the same time at random to the
	// first.
	retryDelay = 250 * time.Millisecond
	// deletionGrace is how long entries that were deleted during an outage of the
	// store are kept after it ends. Their owners register again within about 2 s.
	deletionGrace = 2 * time.Second
	// minOutage is the time without a response to any gateway that counts as an outage
	// of the store. A gateway that is alone renews its lease more often, and an entry
	// expires later.
	minOutage = 2 * time.Second
)

// Options configures a Mirror.
type Options struct {
	Feed   fgstore.Feed
	Codec  Codec
	Logger logr.Logger
	// Contact returns the gateway whose copy of the store is followed, or nil if the
	// store itself is to be followed. Nil always follows the store.
	Contact func() Contact
	// Publish is called with each new view before View returns it, so that whoever
	// sees a view finds it applied. Calls do not overlap.
	Publish func(*fgsteer.View)
	// Copy returns a copy of the store that another gateway holds, before the first read.
	// It reports false if the store itself is to be read. It may be nil.
	Copy func(ctx context.Context) (Copy, bool)
	// Registered is called after each write of the entry of Announce. It may be nil.
	Registered func()
}

// Mirror maintains a copy of the store. It is safe for concurrent use.
type Mirror struct {
	options Options
	view    atomic.Pointer[fgsteer.View]
	// lastSuccess is when a call to the store last succeeded, in nanoseconds after epoch.
	// epoch is an hour before New, so that Age is large until a call succeeds.
	epoch       time.Time
	lastSuccess atomic.Int64
	// lastCurrent is when the copy was last known to hold all changes, in the same unit.
	lastCurrent atomic.Int64

	mu sync.Mutex
	// unreachable is set while this gateway's calls to the store fail.
	unreachable bool
	// lastResponse is when the store last responded to any gateway, as far as known.
	// It is zero until it has responded to this one. graceEnd is deletionGrace after
	// the end of the last outage.
	lastResponse time.Time
	graceEnd     time.Time
	entries      map[string]*entry
	// deletions holds the entries that were deleted within deletionMemory.
	deletions map[string]deletion
	policy    *fgsteer.Policy
	// warned holds the warnings about policies that were logged.
	warned         map[string]bool
	position       fgstore.Position
	republishTimer *time.Timer
	// direct means that the copy follows the store itself.
	direct  bool
	history history
}

// New returns an empty mirror.
func New(o Options) *Mirror {
	return &Mirror{options: o, epoch: time.Now().Add(-time.Hour), entries: map[string]*entry{}, history: newHistory()}
}

// View returns the newest view, or nil if no copy of the store was read yet.
func (m *Mirror) View() *fgsteer.View { return m.view.Load() }

// RecordSuccess records that a call to the store succeeded.
func (m *Mirror) RecordSuccess() {
	m.lastSuccess.Store(int64(time.Since(m.epoch)))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable {
		m.unreachable = false
		m.options.Logger.Info("platform store reachable again", "revision", m.position.Revision)
	}
	now := time.Now()
	if m.lastResponse.IsZero() {
		m.lastResponse = now
	}
	m.recordResponse(now)
}

// RecordResponse records that the store responded to a call of another gateway at a
// time. Calls of this one that fail meanwhile are no sign of an outage.
func (m *Mirror) RecordResponse(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastResponse.IsZero() {
		m.recordResponse(at)
	}
}

// recordResponse notices the end of an outage of the store. m.mu is held.
func (m *Mirror) recordResponse(at time.Time) {
	silent := at.Sub(m.lastResponse)
	if silent >= minOutage {
		m.graceEnd = at.Add(deletionGrace)
		m.options.Logger.Info("outage of the platform store ended", "silentMs", silent.Milliseconds(), "revision", m.position.Revision)
	}
	if silent > 0 {
		m.lastResponse = at
	}
}

// RecordFailure records that a call to the store failed.
func (m *Mirror) RecordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unreachable {
		m.unreachable = true
		m.options.Logger.Info("platform store unreachable", "error", err.Error(), "revision", m.position.Revision)
	}
}

// Age returns the time since a call to the store last succeeded.
func (m *Mirror) Age() time.Duration {
	return time.Since(m.epoch) - time.Duration(m.lastSuccess.Load())
}

// CopyAge returns the time since the copy was last known to hold all changes of the
// store. Unlike Age, it grows while calls other than those for changes succeed.
func (m *Mirror) CopyAge() time.Duration {
	return time.Since(m.epoch) - time.Duration(m.lastCurrent.Load())
}

// recordCurrent records that the copy holds all changes of the store.
func (m *Mirror) recordCurrent() { m.lastCurrent.Store(int64(time.Since(m.epoch))) }

// Recovering reports whether an outage of the store ended less than
// deletionGrace ago, so that entries whose leases expired in it may be
// registered again.
func (m *Mirror) Recovering() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.graceEnd)
}

// Run reads the store and follows its changes until ctx is done.
func (m *Mirror) Run(ctx context.Context) error {
	loaded := false
	var lastRead time.Time
	for ctx.Err() == nil {
		if !loaded {
			_ = fgtimer.Wait(ctx, retryDelay-time.Since(lastRead))
			lastRead = time.Now()
		}
		start := time.Now()
		err := m.step(ctx, &loaded)
		switch {
		case err == nil, ctx.Err() != nil:
		case errors.Is(err, fgstore.ErrCompacted):
			m.options.Logger.Info("platform store compacted its history, reading all entries", "revision", m.Revision())
			loaded = false
		case errors.Is(err, fgstore.ErrRestored):
			m.options.Logger.Info("platform store was restored from an older copy, reading all entries", "era", m.Position().Era, "revision", m.Revision())
			loaded = false
		default:
			m.RecordFailure(err)
			m.options.Logger.Info("following the store failed", "error", err.Error(), "tookMs", time.Since(start).Milliseconds(),
				"copyAgeMs", m.CopyAge().Milliseconds(), "revision", m.Revision())
			_ = fgtimer.Wait(ctx, max(0, retryDelay-time.Since(start))+rand.N(retryDelay))
		}
	}
	return ctx.Err()
}

// step reads all entries if none are loaded, or else waits for the next changes.
func (m *Mirror) step(ctx context.Context, loaded *bool) error {
	if !*loaded {
		c, err := m.read(ctx)
		if err != nil {
			return err
		}
		m.RecordSuccess()
		m.setDirect(true)
		m.Replace(c.Values, c.Position, m.Recovering() || c.Position.Era > m.Era())
		m.recordCurrent()
		*loaded = true
		return nil
	}
	if m.options.Contact != nil {
		if c := m.options.Contact(); c != nil {
			m.followContact(ctx, c)
			return nil
		}
	}
	m.setDirect(true)
	events, position, err := m.watch(ctx)
	if err != nil {
		return err
	}
	m.RecordSuccess()
	if len(events) == 0 {
		m.advance(position)
		m.recordCurrent()
		return nil
	}
	m.apply(events, position, m.Recovering())
	m.recordCurrent()
	return fgtimer.Wait(ctx, m.BatchWait())
}

// watch waits for the next changes, at most for watchTimeout.
func (m *Mirror) watch(ctx context.Context) ([]fgstore.Event, fgstore.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return m.options.Feed.WatchEvents(ctx, "", m.Position(), longPollWait)
}

// BatchWait returns the pause between a watch response and the next watch call.
func (m *Mirror) BatchWait() time.Duration {
	v := m.View()
	if v == nil {
		return minBatchWait
	}
	return min(max(minBatchWait, batchWaitPerMember*time.Duration(len(v.Members()))), maxBatchWait)
}

// Position returns the position of the copy in the history of the store.
func (m *Mirror) Position() fgstore.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// Revision returns the store revision of the copy, in its era.
func (m *Mirror) Revision() uint64 { return m.Position().Revision }

// Era returns the store's era of the copy.
func (m *Mirror) Era() uint64 { return m.Position().Era }

// advance moves the copy to a position up to which nothing has changed.
func (m *Mirror) advance(p fgstore.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.position.Before(p) {
		m.position = p
		m.history.add(nil, p.Revision)
	}
}

// Values returns the stored values of the copy and its position. Entries that
// are kept after their deletion are not included.
func (m *Mirror) Values() ([]fgstore.Value, fgstore.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	values := make([]fgstore.Value, 0, len(m.entries))
	for _, e := range m.entries {
		if e.deleteAt.IsZero() {
			values = append(values, e.value)
		}
	}
	return values, m.position
}

// Replace replaces the copy by all values of the store at a position, which were
// read from the store or received from a peer. A position before the copy's is
// ignored, and one of a later era replaces only what is not newer here. If recovering
// is set, the process that read the values was recovering from an outage of the store,
// and upstreams and members that are missing from the values are kept for deletionGrace.
func (m *Mirror) Replace(values []fgstore.Value, p fgstore.Position, recovering bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Before(m.position) {
		m.options.Logger.Info("copy of the store ignored, the one held is newer", "era", p.Era, "revision", p.Revision,
			"heldEra", m.position.Era, "heldRevision", m.position.Revision)
		return
	}
	restored := p.Era > m.position.Era && m.position.Revision > 0
	if restored {
		m.beginEra(p, recovering)
	}
	present := make(map[string]bool, len(values))
	for _, v := range values {
		present[v.Key] = true
		if restored {
			m.putRestored(v, p.Era)
		} else {
			m.put(v, p.Era)
		}
	}
	for key, e := range m.entries {
		// An entry with a later position was written after the values were read.
		if !present[key] && e.position().Compare(p) <= 0 {
			m.remove(key, e, recovering && (e.isLeased() || restored && e.zone != ""))
		}
	}
	m.position = p
	m.history.reset(p)
	m.publish()
}

// apply applies the changes up to a position. Those that the copy already includes are
// ignored: a response that arrives late may lack the deletions that followed them. So are
// those of another era. recovering has the same meaning as for Replace.
func (m *Mirror) apply(events []fgstore.Event, p fgstore.Position, recovering bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Era != m.position.Era {
		return
	}
	if newer := m.newer(events); len(newer) < len(events) {
		m.options.Logger.Info("changes ignored that the copy of the store already includes", "ignored", len(events)-len(newer), "revision", m.position.Revision)
		events = newer
	}
	for _, v := range events {
		e := m.entries[v.Key]
		switch {
		case e != nil && e.era == p.Era && e.value.Revision > v.Revision:
		case v.Deleted:
			if e != nil {
				m.remove(v.Key, e, recovering && e.isLeased())
			}
		default:
			m.put(v.Value, p.Era)
		}
	}
	m.position.Revision = max(m.position.Revision, p.Revision)
	m.history.add(events, m.position.Revision)
	m.publish()
}

// newer returns the changes that the copy does not include. m.mu is held.
func (m *Mirror) newer(events []fgstore.Event) []fgstore.Event {
	return slices.DeleteFunc(slices.Clone(events), func(e fgstore.Event) bool { return e.Revision <= m.position.Revision })
}

// remove deletes an entry. If keep is set, as during recovery, it stays in the view until
// its owner has had time to write it again. m.mu is held.
func (m *Mirror) remove(key string, e *entry, keep bool) {
	if keep {
		if e.deleteAt.IsZero() {
			e.deleteAt = m.graceEnd
			if now := time.Now(); e.deleteAt.Before(now) {
				e.deleteAt = now.Add(deletionGrace)
			}
			if e.member != nil {
				e.deleteAt = e.deleteAt.Add(m.registrationSpread())
			}
			m.options.Logger.Info("entry deleted in an outage of the store, kept for its owner to register again", "key", key, "until", e.deleteAt)
		}
		return
	}
	delete(m.entries, key)
	m.rememberDeletion(key, e)
	m.options.Logger.Info("entry deleted", "key", key, "revision", e.value.Revision)
}
