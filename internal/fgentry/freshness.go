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
	// maxStaleness is how long after a proof that the configuration is the newest
	// one keyed work is served.
	maxStaleness = 3 * time.Second
	// quietAge is the age of the newest platform answer below which statements
	// about unanswered calls are not sent: nobody needs them then.
	quietAge = time.Second
	// askContactBefore is how long before the end of its permission a process asks
	// a contact directly. In large fleets the ages that cross the overlay can be
	// older than maxStaleness.
	askContactBefore = 1500 * time.Millisecond
	// maxClockJump is how far the wall clock may move against the monotonic one
	// between two looks. The monotonic clock stands still while a VM is suspended,
	// so a larger move means that all ages known here are too low.
	maxClockJump = time.Second
	// staleRetryAfter is suggested to callers whose keyed request was refused.
	staleRetryAfter = 2 * time.Second
)

// freshness knows until when keyed work may be served. Times are compared by
// the monotonic clock, which no adjustment of the wall clock changes.
type freshness struct {
	start time.Time
	// skew is the lead of the wall clock over the monotonic one since start.
	skew atomic.Int64
	// until is the end of the permission, in nanoseconds after start.
	until atomic.Int64

	mu sync.Mutex
	// newest is when the call was sent to which the platform gave the newest
	// answer that this process knows of.
	newest time.Time
	// statements holds what each contact last said, by incarnation.
	statements map[string]statement
}

// statement is a contact's word on whether the platform answers it.
type statement struct {
	at      time.Time
	reaches bool
}

func newFreshness() *freshness {
	return &freshness{start: time.Now(), statements: map[string]statement{}}
}

// checkFresh refuses keyed work while the configuration may lack a withdrawal
// that others have accepted.
func (e *Entry) checkFresh() error {
	if !e.fresh.forgetAfterSuspension() && time.Since(e.fresh.start) < time.Duration(e.fresh.until.Load()) {
		return nil
	}
	return fgproblem.New(http.StatusServiceUnavailable, fgproblem.CodeStale,
		"this VM cannot tell whether its configuration is the newest one").WithRetryAfter(staleRetryAfter)
}

// freshFor returns for how long keyed work is still served.
func (e *Entry) freshFor() time.Duration {
	return time.Duration(e.fresh.until.Load()) - time.Since(e.fresh.start)
}

func (f *freshness) currentSkew() time.Duration {
	now := time.Now()
	return now.Round(0).Sub(f.start.Round(0)) - now.Sub(f.start)
}

// forgetAfterSuspension reports whether the VM was suspended since the last
// look, and then forgets all that depends on ages.
func (f *freshness) forgetAfterSuspension() bool {
	skew, last := f.currentSkew(), f.skew.Load()
	if moved := skew - time.Duration(last); moved.Abs() <= maxClockJump || !f.skew.CompareAndSwap(last, int64(skew)) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = time.Time{}
	clear(f.statements)
	f.until.Store(0)
	return true
}

// askContact asks one contact, of this availability zone if there is one, when
// the permission to serve keyed work is about to end.
func (e *Entry) askContact(ctx context.Context) {
	contacts := e.members.State().Contacts()
	if e.freshFor() > askContactBefore || e.followsPlatform() || len(contacts) == 0 {
		return
	}
	near := slices.DeleteFunc(slices.Clone(contacts), func(m fgmember.Member) bool {
		return m.AvailabilityZone != e.settings.raw.AvailabilityZone
	})
	if len(near) > 0 && e.freshFor() > 0 {
		contacts = near
	}
	if err := e.exchangeWith(ctx, contacts[rand.IntN(len(contacts))]); err != nil {
		e.logger.V(1).Info("contact not asked", "error", err.Error())
	}
}

// observePlatform records an answer to this process's own call.
func (e *Entry) observePlatform(sent time.Time, a fgsync.CallResult) {
	f := e.fresh
	if f.forgetAfterSuspension() {
		// The call may have been sent before the suspension.
		return
	}
	self := e.incarnation.String()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch a {
	case fgsync.ResultCurrent:
		f.hearAnswer(sent)
		f.say(self, statement{at: sent, reaches: true})
	case fgsync.ResultReachable:
		f.say(self, statement{at: sent, reaches: true})
	case fgsync.ResultUnreachable:
		// A call that was sent before the last answered one proves nothing.
		if last := f.statements[self]; !last.reaches || sent.After(last.at) {
			f.say(self, statement{at: time.Now()})
		}
	}
	f.update(e.members.State().Contacts())
}

// hearFreshness records a peer's answer to a call sent at a time. Only answers
// count, because a message may lie unread while this process is paused. They
// count only if this process applies what the peer applied: a contact may have
// accepted a withdrawal before it lost the platform.
func (e *Entry) hearFreshness(sent time.Time, n *fgwire.NodeState) {
	f := e.fresh
	if f.forgetAfterSuspension() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.config.Generation() < n.GetConfigGeneration() {
		return
	}
	if n.PlatformAgeMs != nil {
		f.hearAnswer(sent.Add(-milliseconds(n.GetPlatformAgeMs())))
	}
	for _, c := range n.GetContacts() {
		if c.GetIncarnation() != e.incarnation.String() {
			f.say(c.GetIncarnation(), statement{at: sent.Add(-milliseconds(c.GetAgeMs())), reaches: c.GetReachesPlatform()})
		}
	}
	f.update(e.members.State().Contacts())
}

// hearRefused records that a member's host refuses connections: the process has
// ended and accepts no changes.
func (e *Entry) hearRefused(sent time.Time, incarnation string) {
	f := e.fresh
	if f.forgetAfterSuspension() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.say(incarnation, statement{at: sent})
	f.update(e.members.State().Contacts())
}

func milliseconds(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }

func (f *freshness) hearAnswer(sent time.Time) {
	if sent.After(f.newest) {
		f.newest = sent
	}
}

func (f *freshness) say(incarnation string, s statement) {
	if s.at.After(f.statements[incarnation].at) {
		f.statements[incarnation] = s
	}
}

// update computes the permission from what is known, and forgets the statements
// of processes that are not contacts.
func (f *freshness) update(contacts []fgmember.Member) {
	// Small adjustments of the wall clock must not add up to a jump.
	if skew := f.currentSkew(); (skew - time.Duration(f.skew.Load())).Abs() <= maxClockJump {
		f.skew.Store(int64(skew))
	}
	var until time.Time
	if !f.newest.IsZero() {
		until = f.newest.Add(maxStaleness)
	}
	if unanswered := f.unansweredSince(contacts).Add(maxStaleness); unanswered.After(until) {
		until = unanswered
	}
	f.until.Store(int64(until.Sub(f.start)))
}

// unansweredSince returns the oldest of the contacts' latest statements if all
// of them say that the platform does not answer, else the zero time.
func (f *freshness) unansweredSince(contacts []fgmember.Member) time.Time {
	var oldest time.Time
	for _, c := range contacts {
		s, ok := f.statements[c.Incarnation]
		if !ok || s.reaches {
			return time.Time{}
		}
		if oldest.IsZero() || s.at.Before(oldest) {
			oldest = s.at
		}
	}
	return oldest
}

// fill writes what this process knows about the platform into a message.
func (f *freshness) fill(n *fgwire.NodeState, contacts []fgmember.Member) {
	f.forgetAfterSuspension()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.newest.IsZero() {
		age := time.Since(f.newest).Milliseconds() + 1
		n.PlatformAgeMs = &age
		if time.Since(f.newest) < quietAge {
			return
		}
	}
	for _, c := range contacts {
		s, ok := f.statements[c.Incarnation]
		if !ok || s.reaches || time.Since(s.at) > maxStaleness {
			continue
		}
		n.Contacts = append(n.Contacts, &fgwire.ContactState{Incarnation: c.Incarnation, AgeMs: time.Since(s.at).Milliseconds() + 1})
	}
}
