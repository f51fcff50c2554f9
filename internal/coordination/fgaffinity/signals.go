package fgaffinity

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgsteer"
)

const (
	// maxLeavingReports bounds the size of a state. A report takes 4 bytes of it.
	maxLeavingReports = 32
	// signalRetention is how long the signals of an upstream that is not registered are
	// kept: its entry may be missing for a while after the store was restored.
	signalRetention = time.Minute
	// leavingRetryAfter is the delay that is named while all upstreams leave. None of them
	// tells when it is back; a start and its registration take at least that long.
	leavingRetryAfter = time.Second
)

// UnavailableError means that all upstreams for a request are leaving or pausing. It wraps
// ErrNoUpstream.
type UnavailableError struct {
	// RetryAfter is the time to the first end of a pause.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the upstreams are leaving or pausing for %v", e.RetryAfter.Round(time.Millisecond))
}

// Unwrap returns ErrNoUpstream.
func (e *UnavailableError) Unwrap() error { return ErrNoUpstream }

// signals are what an upstream has said about requests to come. The zero value means
// nothing.
type signals struct {
	// leaving means that it stops. heard means that it told this VM, which tells others.
	leaving, heard atomic.Bool
	// pausedUntil is the end of its pause, in nanoseconds after the balancer's epoch.
	pausedUntil atomic.Int64
}

// forbid reports whether no request may be sent.
func (s *signals) forbid(now int64) bool { return s.leaving.Load() || now < s.pausedUntil.Load() }

// merge adds the signals of another instance of the same process.
func (s *signals) merge(other *signals) {
	if other.leaving.Load() {
		s.leaving.Store(true)
	}
	if other.heard.Load() {
		s.heard.Store(true)
	}
	s.pausedUntil.Store(max(s.pausedUntil.Load(), other.pausedUntil.Load()))
}

// target is where an upstream's requests are sent.
type target struct{ id, address string }

// signalled is an upstream that has sent a signal. A view may know it by another instance
// later, if its start becomes known late, or for a while not at all.
type signalled struct {
	upstream *Upstream
	// started is when the program started, as far as it is known, and at the time of the
	// latest signal.
	started, at time.Time
	// listed is when a view last had the upstream.
	listed time.Time
}

// isSame reports whether a specification may be that of the same process.
func (s *signalled) isSame(spec *fgsteer.UpstreamSpec) bool {
	switch {
	case spec.Started.IsZero():
		return true
	case s.started.IsZero():
		return spec.Started.Before(s.at)
	}
	return spec.Started.Equal(s.started)
}

// signalTable holds the upstreams that have sent a signal. The zero value has none.
type signalTable struct {
	mu      sync.RWMutex
	entries map[target]*signalled
}

// add records that an upstream has sent a signal.
func (t *signalTable) add(u *Upstream) {
	spec, now := u.Spec(), time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[target]*signalled{}
	}
	t.entries[target{spec.ID, spec.Address}] = &signalled{upstream: u, started: spec.Started, at: now, listed: now}
}

// update passes the signals on to the instances by which a view knows the upstreams, and
// removes those of upstreams that have restarted or are gone.
func (t *signalTable) update(upstreams map[string]*Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return
	}
	now := time.Now()
	for _, u := range upstreams {
		spec := u.Spec()
		key := target{spec.ID, spec.Address}
		e := t.entries[key]
		switch {
		case e == nil:
			continue
		case u == e.upstream:
		case e.isSame(spec):
			u.signals.merge(&e.upstream.signals)
			e.upstream = u
			if !spec.Started.IsZero() {
				e.started = spec.Started
			}
		default:
			delete(t.entries, key)
			continue
		}
		e.listed = now
	}
	for key, e := range t.entries {
		if now.Sub(e.listed) > signalRetention {
			delete(t.entries, key)
		}
	}
}

// addSignal records that an upstream has sent a signal. A view may have replaced its
// instance while the request ran.
func (b *Balancer) addSignal(u *Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.signals.add(u)
	if b.state.Load().instances[u.instance] != u {
		b.signals.update(b.upstreams)
	}
}

// RecordLeaving records that a response of an upstream said that it stops. It reports
// whether that is new. The upstream gets no more requests until it has restarted.
func (b *Balancer) RecordLeaving(u *Upstream) (changed bool) {
	u.signals.heard.Store(true)
	return b.markLeaving(u)
}

func (b *Balancer) markLeaving(u *Upstream) (changed bool) {
	if u.signals.leaving.Swap(true) {
		return false
	}
	b.addSignal(u)
	return true
}

// RecordPause records that an upstream refused a request and wants no others for a
// duration. It reports whether the upstream was not pausing before.
func (b *Balancer) RecordPause(u *Upstream, d time.Duration) (changed bool) {
	now := int64(time.Since(b.epoch))
	end := now + int64(d)
	for {
		old := u.signals.pausedUntil.Load()
		if end <= old {
			return false
		}
		if u.signals.pausedUntil.CompareAndSwap(old, end) {
			b.addSignal(u)
			return old <= now
		}
	}
}

// LeavingReports returns upstreams that have told this VM that they leave, by the lower half
// of the hash of their instance. They are repeated while the upstreams are registered, since
// reports may be lost and other VMs may have just started. If there are too many for one
// state, each call returns others, as maps have no order.
func (b *Balancer) LeavingReports() []uint32 {
	var reports []uint32
	for hash, u := range b.state.Load().reporters {
		if u != nil && u.signals.heard.Load() {
			if reports = append(reports, hash); len(reports) == maxLeavingReports {
				break
			}
		}
	}
	return reports
}

// ApplyLeavingReports applies the reports of another VM and returns the upstreams that were
// not known to leave.
func (b *Balancer) ApplyLeavingReports(reports []uint32) []*Upstream {
	var changed []*Upstream
	s := b.state.Load()
	for _, hash := range reports {
		if u := s.reporters[hash]; u != nil && b.markLeaving(u) {
			changed = append(changed, u)
		}
	}
	return changed
}

// Forbids reports whether an upstream has said that it leaves or pauses, so that requests
// that were chosen for it before must not be sent.
func (b *Balancer) Forbids(id, address string) bool {
	b.signals.mu.RLock()
	defer b.signals.mu.RUnlock()
	e := b.signals.entries[target{id, address}]
	return e != nil && e.upstream.signals.forbid(int64(time.Since(b.epoch)))
}

// SignalCounts returns the numbers of upstreams that are leaving and pausing.
func (b *Balancer) SignalCounts() (leaving, paused int) {
	now := int64(time.Since(b.epoch))
	for _, u := range b.state.Load().instances {
		if u.signals.leaving.Load() {
			leaving++
		} else if u.signals.forbid(now) {
			paused++
		}
	}
	return leaving, paused
}

// Available returns an UnavailableError if all upstreams where a request may run are leaving
// or pausing, those that it was already sent to included, and ErrNoUpstream if there is none.
func (b *Balancer) Available(c Criteria) error {
	s := b.state.Load()
	g := s.groups[c.Group]
	if g == nil {
		return ErrNoUpstream
	}
	now := int64(time.Since(b.epoch))
	count, first := 0, int64(0)
	for _, u := range g.upstreams {
		spec := u.Spec()
		if spec.Draining || s.view.Drained(spec.AvailabilityZone) || len(c.Regions) > 0 && !slices.Contains(c.Regions, spec.Region) {
			continue
		}
		if !u.signals.forbid(now) {
			return nil
		}
		count++
		if end := u.signals.pausedUntil.Load(); !u.signals.leaving.Load() && (first == 0 || end < first) {
			first = end
		}
	}
	switch {
	case count == 0:
		return ErrNoUpstream
	case first == 0:
		return &UnavailableError{RetryAfter: leavingRetryAfter}
	}
	return &UnavailableError{RetryAfter: time.Duration(max(0, first-now))}
}
