// Package fgmirror keeps a copy of what lies in the platform's store and turns
// it into the view that requests are steered by.
package fgmirror

import (
	"context"
	"errors"
	"maps"
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
	// watchWait is how long the store holds a watch without a change. Each call
	// is priced; keep-alive probes find a silent connection sooner.
	watchWait = 10 * time.Second
	// batchLeast and batchMost bound the time in which changes that come together
	// are gathered, since each answer of a watch costs a call on every VM. It
	// grows by batchPerVM with the fleet, whose calls share the store's rate, and
	// stays a part of the time that a change has to be in force. A change after a
	// pause is not held up.
	batchLeast = 150 * time.Millisecond
	batchMost  = 500 * time.Millisecond
	batchPerVM = 15 * time.Millisecond
	// retryWait separates calls to a store that does not answer.
	retryWait = 250 * time.Millisecond
	// lapseHold is how long after the store's return entries that vanished are
	// kept. Their owners write them again in about two seconds.
	lapseHold = 2 * time.Second
)

// Codec reads the entries of the store.
type Codec interface {
	// Policy reads a policy if the key holds one.
	Policy(key string, data []byte) (*fgsteer.Policy, bool, error)
	// Drained returns the availability zone that a key empties.
	Drained(key string) (zone string, ok bool)
	// Upstream reads an upstream if the key holds one. Its cold time counts
	// from now.
	Upstream(key string, data []byte, now time.Time) (fgsteer.UpstreamSpec, bool, error)
	// Member reads a gateway if the key holds one.
	Member(key string, data []byte) (fgsteer.MemberSpec, bool, error)
}

// Options configures a Mirror.
type Options struct {
	Feed   fgstore.Feed
	Codec  Codec
	Logger logr.Logger
	// Publish is called with each new view, one at a time.
	Publish func(*fgsteer.View)
}

// entry is a stored value with what it was read as.
type entry struct {
	value fgstore.Value
	// goneAt is when the entry ceases to be kept although it was deleted, since
	// that may be the work of an outage.
	goneAt   time.Time
	policy   *fgsteer.Policy
	upstream *fgsteer.UpstreamSpec
	member   *fgsteer.MemberSpec
	zone     string
}

// Mirror is a copy of the store.
type Mirror struct {
	options Options
	view    atomic.Pointer[fgsteer.View]
	// answered is when the store last answered, as a time since the epoch.
	epoch    time.Time
	answered atomic.Int64

	mu sync.Mutex
	// away is set while the store does not answer; holdUntil is when entries that
	// vanished in the last outage have had time to come back.
	away      bool
	holdUntil time.Time
	entries   map[string]*entry
	policy    *fgsteer.Policy
	revision  uint64
	expiry    *time.Timer
}

// New returns an empty mirror.
func New(o Options) *Mirror {
	return &Mirror{options: o, epoch: time.Now().Add(-time.Hour), entries: map[string]*entry{}}
}

// View returns the newest view, or nil before the store was read.
func (m *Mirror) View() *fgsteer.View { return m.view.Load() }

// Reached records that the store has answered a call.
func (m *Mirror) Reached() {
	m.answered.Store(int64(time.Since(m.epoch)))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		m.away = false
		m.holdUntil = time.Now().Add(lapseHold)
		m.options.Logger.Info("store regained", "revision", m.revision)
	}
}

// Failed records that the store did not answer a call.
func (m *Mirror) Failed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.away {
		m.away = true
		m.options.Logger.Info("store lost", "error", err.Error(), "revision", m.revision)
	}
}

// Age returns the time since the store last answered.
func (m *Mirror) Age() time.Duration { return time.Since(m.epoch) - time.Duration(m.answered.Load()) }

// Recovering reports whether entries that vanished in an outage may come back.
func (m *Mirror) Recovering() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.holdUntil)
}

// Run follows the store until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	loaded := false
	for ctx.Err() == nil {
		err := m.step(ctx, &loaded)
		switch {
		case err == nil, ctx.Err() != nil:
		case errors.Is(err, fgstore.ErrHistoryLost):
			m.options.Logger.Info("store has dropped its history, reading all entries", "revision", m.Revision())
			loaded = false
		default:
			m.Failed(err)
			_ = fgtimer.Wait(ctx, retryWait+rand.N(retryWait))
		}
	}
	return ctx.Err()
}

// step reads all entries, or waits for the next changes.
func (m *Mirror) step(ctx context.Context, loaded *bool) error {
	if !*loaded {
		values, revision, err := m.options.Feed.RangeValues(ctx, "")
		if err != nil {
			return err
		}
		m.Reached()
		m.Replace(values, revision, m.Recovering())
		*loaded = true
		return nil
	}
	events, revision, err := m.options.Feed.WatchEvents(ctx, "", m.Revision(), watchWait)
	if err != nil {
		return err
	}
	m.Reached()
	if len(events) == 0 {
		m.advance(revision)
		return nil
	}
	m.apply(events, revision)
	return fgtimer.Wait(ctx, m.BatchWait())
}

// BatchWait returns the time between an answer of the watch and the next call.
func (m *Mirror) BatchWait() time.Duration {
	v := m.View()
	if v == nil {
		return batchLeast
	}
	return min(max(batchLeast, batchPerVM*time.Duration(len(v.Members()))), batchMost)
}

// Revision returns the store's revision that the copy has reached.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

func (m *Mirror) advance(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = max(m.revision, revision)
}

// Values returns a copy of the store as it is known, and its revision.
func (m *Mirror) Values() ([]fgstore.Value, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	values := make([]fgstore.Value, 0, len(m.entries))
	for _, e := range m.entries {
		if e.goneAt.IsZero() {
			values = append(values, e.value)
		}
	}
	return values, m.revision
}

// Replace takes over all entries of the store at a revision, read from it or
// told by a peer. An older state than the known one changes nothing. Recovering
// tells that the store was away from the one that read it.
func (m *Mirror) Replace(values []fgstore.Value, revision uint64, recovering bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return
	}
	present := make(map[string]bool, len(values))
	for _, v := range values {
		present[v.Key] = true
		m.put(v)
	}
	for key, e := range m.entries {
		// An entry written after the revision is newer than the list.
		if !present[key] && e.value.Revision <= revision {
			m.remove(key, e, recovering)
		}
	}
	m.revision = revision
	m.publish()
}

func (m *Mirror) apply(events []fgstore.Event, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	recovering := time.Now().Before(m.holdUntil)
	for _, v := range events {
		e := m.entries[v.Key]
		switch {
		case e != nil && e.value.Revision > v.Revision:
		case v.Deleted:
			if e != nil {
				m.remove(v.Key, e, recovering)
			}
		default:
			m.put(v.Value)
		}
	}
	m.revision = max(m.revision, revision)
	m.publish()
}

// put stores a value, unless the known one is as new.
func (m *Mirror) put(v fgstore.Value) {
	if e := m.entries[v.Key]; e != nil && e.value.Revision >= v.Revision {
		e.goneAt = time.Time{}
		return
	}
	m.entries[v.Key] = m.read(v)
}

// remove deletes an entry, or keeps it while its owner may still write it again.
func (m *Mirror) remove(key string, e *entry, recovering bool) {
	if recovering && (e.upstream != nil || e.member != nil) {
		if e.goneAt.IsZero() {
			e.goneAt = m.holdUntil
			if now := time.Now(); e.goneAt.Before(now) {
				e.goneAt = now.Add(lapseHold)
			}
			m.options.Logger.Info("entry vanished in an outage and is kept for now", "key", key, "until", e.goneAt)
		}
		return
	}
	delete(m.entries, key)
	m.options.Logger.Info("entry removed", "key", key, "revision", e.value.Revision)
}

// read decodes a value. An unusable value names nothing; a policy that cannot
// be used leaves the one in force.
func (m *Mirror) read(v fgstore.Value) *entry {
	e := &entry{value: v}
	c := m.options.Codec
	if zone, ok := c.Drained(v.Key); ok {
		e.zone = zone
		m.options.Logger.Info("availability zone drained", "availabilityZone", zone, "revision", v.Revision)
	}
	policy, ok, err := c.Policy(v.Key, v.Data)
	if ok && err == nil {
		e.policy = policy
	}
	m.complain(v, err)
	upstream, ok, err := c.Upstream(v.Key, v.Data, time.Now())
	if ok && err == nil {
		e.upstream = &upstream
		m.options.Logger.Info("upstream registered", "upstream", upstream.ID, "group", upstream.Group, "address", upstream.Address,
			"draining", upstream.Draining, "coldUntil", upstream.ColdUntil, "revision", v.Revision)
	}
	m.complain(v, err)
	member, ok, err := c.Member(v.Key, v.Data)
	if ok && err == nil {
		e.member = &member
		m.options.Logger.Info("member registered", "vm", member.VM, "incarnation", member.Incarnation, "revision", v.Revision)
	}
	m.complain(v, err)
	return e
}

func (m *Mirror) complain(v fgstore.Value, err error) {
	if err != nil {
		m.options.Logger.Info("entry ignored", "key", v.Key, "revision", v.Revision, "error", err.Error())
	}
}

// publish builds a view of all entries. m.mu is held.
func (m *Mirror) publish() {
	spec := fgsteer.ViewSpec{Revision: int64(m.revision)}
	now := time.Now()
	var next time.Duration
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		e := m.entries[key]
		if !e.goneAt.IsZero() {
			left := e.goneAt.Sub(now)
			if left <= 0 {
				delete(m.entries, key)
				m.options.Logger.Info("entry did not come back after the outage", "key", key)
				continue
			}
			next = max(next, left)
		}
		switch {
		case e.policy != nil:
			if m.policy == nil || e.policy.Version() != m.policy.Version() {
				m.options.Logger.Info("policy in force", "version", e.policy.Version(), "revision", e.value.Revision)
			}
			m.policy = e.policy
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
	m.view.Store(v)
	if m.options.Publish != nil {
		m.options.Publish(v)
	}
	m.schedule(next)
}

// schedule publishes again when the last kept entry is due.
func (m *Mirror) schedule(after time.Duration) {
	if after <= 0 {
		return
	}
	if m.expiry != nil {
		m.expiry.Stop()
	}
	m.expiry = time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.publish()
	})
}
