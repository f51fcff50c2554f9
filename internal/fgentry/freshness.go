package fgentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgmember"
	"github.com/filbertgap/filbertgap/internal/coordination/fgsync"
	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
	"github.com/filbertgap/filbertgap/internal/protocol/fgwire"
)

const (
	// maxStaleness is how long keyed requests are served after the
	// configuration was last confirmed to be the newest one.
	maxStaleness = 3 * time.Second
	// contactReportAge is the minimum age of the last confirmation at which
	// this process reports to its peers which contacts cannot reach the
	// platform. While the confirmation is younger, no peer needs these reports.
	contactReportAge = time.Second
	// contactExchangeMargin is the remaining freshness at which a process
	// starts to exchange states with a contact directly. In large fleets,
	// confirmations that spread from neighbour to neighbour can be older than
	// maxStaleness when they arrive.
	contactExchangeMargin = 1500 * time.Millisecond
	// maxClockJump is how far the wall clock may move relative to the monotonic
	// one between two checks. The monotonic clock stands still while a VM is
	// suspended, so a larger move means that all ages known here are too low.
	maxClockJump = time.Second
	// staleRetryAfter is the Retry-After of refused keyed requests.
	staleRetryAfter = 2 * time.Second
)

// freshness computes until when keyed requests may be served. Times are
// compared by the monotonic clock, which adjustments of the wall clock do not
// change.
type freshness struct {
	start time.Time
	// skew is how far the wall clock has advanced relative to the monotonic one
	// since start, in nanoseconds.
	skew atomic.Int64
	// freshUntil is when freshness ends, in nanoseconds after start.
	freshUntil atomic.Int64

	mu sync.Mutex
	// lastConfirmed is the send time of the latest platform call, by any
	// process, that confirmed the configuration as the newest one.
	lastConfirmed time.Time
	// contactStates holds the latest state of each contact, by incarnation. It
	// also holds those of former contacts, which update and addTo ignore.
	contactStates map[string]contactState
}

// contactState records whether a contact could reach the platform, and as of
// when.
type contactState struct {
	at              time.Time
	reachesPlatform bool
}

func newFreshness() *freshness {
	return &freshness{start: time.Now(), contactStates: map[string]contactState{}}
}

// checkFreshness returns a refusal of keyed requests if the configuration may
// lack a withdrawal that another VM has accepted.
func (e *Entry) checkFreshness() error {
	if !e.freshness.resetAfterSuspension() && time.Since(e.freshness.start) < time.Duration(e.freshness.freshUntil.Load()) {
		return nil
	}
	return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeStale,
		"this VM cannot confirm that its configuration is the newest one").WithRetryAfter(staleRetryAfter)
}

// remainingFreshness returns for how long keyed requests may still be served.
func (e *Entry) remainingFreshness() time.Duration {
	return time.Duration(e.freshness.freshUntil.Load()) - time.Since(e.freshness.start)
}

func (f *freshness) currentSkew() time.Duration {
	now := time.Now()
	return now.Round(0).Sub(f.start.Round(0)) - now.Sub(f.start)
}

// resetAfterSuspension reports whether the VM was suspended since the last
// check. If it was, all state that depends on ages is discarded.
func (f *freshness) resetAfterSuspension() bool {
	skew, last := f.currentSkew(), f.skew.Load()
	if moved := skew - time.Duration(last); moved.Abs() <= maxClockJump || !f.skew.CompareAndSwap(last, int64(skew)) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastConfirmed = time.Time{}
	clear(f.contactStates)
	f.freshUntil.Store(0)
	return true
}

// exchangeWithContact starts an exchange with a random contact when this
// process's freshness is about to end. Contacts of this availability zone are
// preferred until it has ended.
func (e *Entry) exchangeWithContact(ctx context.Context) {
	contacts := e.members.State().Contacts()
	if e.remainingFreshness() > contactExchangeMargin || e.watchesPlatform() || len(contacts) == 0 {
		return
	}
	near := slices.DeleteFunc(slices.Clone(contacts), func(m fgmember.Member) bool {
		return m.AvailabilityZone != e.settings.raw.AvailabilityZone
	})
	if len(near) > 0 && e.remainingFreshness() > 0 {
		contacts = near
	}
	if err := e.exchangeWith(ctx, contacts[rand.IntN(len(contacts))]); err != nil {
		e.logger.V(1).Info("exchange with a contact failed", "error", err.Error())
	}
}

// recordPlatformCall records the result of one of this process's own platform
// calls.
func (e *Entry) recordPlatformCall(sent time.Time, result fgsync.CallResult) {
	f := e.freshness
	if f.resetAfterSuspension() {
		// The call may have been sent before the suspension.
		return
	}
	self := e.incarnation.String()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch result {
	case fgsync.ResultCurrent:
		f.confirm(sent)
		f.setContactState(self, contactState{at: sent, reachesPlatform: true})
	case fgsync.ResultReachable:
		f.setContactState(self, contactState{at: sent, reachesPlatform: true})
	case fgsync.ResultUnreachable:
		// A failed call that was sent before the last successful one is
		// ignored.
		if last := f.contactStates[self]; !last.reachesPlatform || sent.After(last.at) {
			f.setContactState(self, contactState{at: time.Now()})
		}
	}
	f.update(e.members.State().Contacts())
}

// applyFreshnessReport applies a peer's response to a call sent at the given
// time. Only responses count, because a request may lie unread while this
// process is paused. They count only if this process has applied the peer's
// configuration: a contact may have accepted a withdrawal before the platform
// became unreachable for it.
func (e *Entry) applyFreshnessReport(sent time.Time, n *fgwire.NodeState) {
	f := e.freshness
	if f.resetAfterSuspension() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.config.Generation() < n.GetConfigGeneration() {
		return
	}
	if n.PlatformAgeMs != nil {
		f.confirm(sent.Add(-milliseconds(n.GetPlatformAgeMs())))
	}
	for _, c := range n.GetContacts() {
		if c.GetIncarnation() != e.incarnation.String() {
			f.setContactState(c.GetIncarnation(), contactState{at: sent.Add(-milliseconds(c.GetAgeMs())), reachesPlatform: c.GetReachesPlatform()})
		}
	}
	f.update(e.members.State().Contacts())
}

// recordConnectionRefused records that a member's host refuses connections: the
// process has ended and accepts no changes.
func (e *Entry) recordConnectionRefused(sent time.Time, incarnation string) {
	f := e.freshness
	if f.resetAfterSuspension() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setContactState(incarnation, contactState{at: sent})
	f.update(e.members.State().Contacts())
}

func milliseconds(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }

func (f *freshness) confirm(sent time.Time) {
	if sent.After(f.lastConfirmed) {
		f.lastConfirmed = sent
	}
}

func (f *freshness) setContactState(incarnation string, s contactState) {
	if s.at.After(f.contactStates[incarnation].at) {
		f.contactStates[incarnation] = s
	}
}

// update recomputes freshUntil.
func (f *freshness) update(contacts []fgmember.Member) {
	// Small adjustments of the wall clock must not add up to a jump.
	if skew := f.currentSkew(); (skew - time.Duration(f.skew.Load())).Abs() <= maxClockJump {
		f.skew.Store(int64(skew))
	}
	var freshUntil time.Time
	if !f.lastConfirmed.IsZero() {
		freshUntil = f.lastConfirmed.Add(maxStaleness)
	}
	if unreachable := f.platformUnreachableSince(contacts).Add(maxStaleness); unreachable.After(freshUntil) {
		freshUntil = unreachable
	}
	f.freshUntil.Store(int64(freshUntil.Sub(f.start)))
}

// platformUnreachableSince returns the time of the oldest contact state if every
// contact is known to be unable to reach the platform, and the zero time
// otherwise.
func (f *freshness) platformUnreachableSince(contacts []fgmember.Member) time.Time {
	var oldest time.Time
	for _, c := range contacts {
		s, ok := f.contactStates[c.Incarnation]
		if !ok || s.reachesPlatform {
			return time.Time{}
		}
		if oldest.IsZero() || s.at.Before(oldest) {
			oldest = s.at
		}
	}
	return oldest
}

// addTo adds the age of this process's last confirmation to a state for its
// peers and, unless that is recent, the contacts that could not reach the
// platform.
func (f *freshness) addTo(n *fgwire.NodeState, contacts []fgmember.Member) {
	f.resetAfterSuspension()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lastConfirmed.IsZero() {
		age := time.Since(f.lastConfirmed).Milliseconds() + 1
		n.PlatformAgeMs = &age
		if time.Since(f.lastConfirmed) < contactReportAge {
			return
		}
	}
	for _, c := range contacts {
		s, ok := f.contactStates[c.Incarnation]
		if !ok || s.reachesPlatform || time.Since(s.at) > maxStaleness {
			continue
		}
		n.Contacts = append(n.Contacts, &fgwire.ContactState{Incarnation: c.Incarnation, AgeMs: time.Since(s.at).Milliseconds() + 1})
	}
}
