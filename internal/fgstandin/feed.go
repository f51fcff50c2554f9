package fgstandin

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

var _ fgstore.Feed = (*Feed)(nil)

// Feed is an in-memory key-value store that implements the interface which
// gateways use. Fail, Mute, Compact, ExpireLeases and Restore cause faults.
type Feed struct {
	mu     sync.Mutex
	values map[string]fgstore.Value
	// events are the changes since revision oldest.
	events   []fgstore.Event
	revision uint64
	oldest   uint64
	era      uint64
	// failure is the error set by Fail.
	failure error
	// muted is set by Mute.
	muted bool
	// leases holds the keys of each lease.
	leases map[int64][]string
	lastID int64
	// changed is closed at the next change.
	changed    chan struct{}
	rangeCalls int
	watchCalls int
}

// NewFeed returns an empty store.
func NewFeed() *Feed {
	return &Feed{values: map[string]fgstore.Value{}, revision: 1, leases: map[int64][]string{}, changed: make(chan struct{})}
}

// notify wakes the waiting watches. The caller holds mu.
func (f *Feed) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Put writes a value.
func (f *Feed) Put(key, data string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	v := fgstore.Value{Key: key, Data: []byte(data), Revision: f.revision}
	f.values[key] = v
	f.events = append(f.events, fgstore.Event{Value: v})
	f.notify()
}

// Remove deletes a key.
func (f *Feed) Remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(key)
}

func (f *Feed) removeLocked(key string) {
	f.revision++
	delete(f.values, key)
	f.events = append(f.events, fgstore.Event{Value: fgstore.Value{Key: key, Revision: f.revision}, Deleted: true})
	f.notify()
}

// Fail makes RangeValues, WatchEvents, Grant and Renew fail with err until it is
// called with nil.
func (f *Feed) Fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failure = err
	f.notify()
}

// Mute makes WatchEvents never respond to the calls that begin until it is called with
// false, like a store whose responses are lost while its connections stay open. All
// other calls succeed.
func (f *Feed) Mute(muted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.muted = muted
}

// Compact drops the events so far, as the compaction of a store does.
func (f *Feed) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events, f.oldest = nil, f.revision
}

// RangeValues returns all values, whatever the prefix.
func (f *Feed) RangeValues(context.Context, string) ([]fgstore.Value, fgstore.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rangeCalls++
	if f.failure != nil {
		return nil, fgstore.Position{}, f.failure
	}
	var all []fgstore.Value
	for _, v := range f.values {
		all = append(all, v)
	}
	return all, f.position(), nil
}

// WatchEvents waits for changes after a position, whatever their prefix. It
// returns no events if none happen within the wait.
func (f *Feed) WatchEvents(ctx context.Context, _ string, after fgstore.Position, wait time.Duration) ([]fgstore.Event, fgstore.Position, error) {
	timeout := time.After(wait)
	f.mu.Lock()
	f.watchCalls++
	muted := f.muted
	f.mu.Unlock()
	if muted {
		<-ctx.Done()
		return nil, fgstore.Position{}, fmt.Errorf("%w: %w", fgstore.ErrUnknown, ctx.Err())
	}
	for {
		f.mu.Lock()
		if f.failure != nil {
			defer f.mu.Unlock()
			return nil, fgstore.Position{}, f.failure
		}
		if after.Era != f.era {
			defer f.mu.Unlock()
			return nil, fgstore.Position{}, fgstore.ErrRestored
		}
		if after.Revision < f.oldest {
			defer f.mu.Unlock()
			return nil, fgstore.Position{}, fgstore.ErrCompacted
		}
		var newer []fgstore.Event
		for _, e := range f.events {
			if e.Revision > after.Revision {
				newer = append(newer, e)
			}
		}
		position, changed := f.position(), f.changed
		f.mu.Unlock()
		if len(newer) > 0 {
			return newer, position, nil
		}
		select {
		case <-ctx.Done():
			return nil, fgstore.Position{}, ctx.Err()
		case <-timeout:
			return nil, position, nil
		case <-changed:
		}
	}
}

// Grant creates a lease, which ends only by Revoke or ExpireLeases.
func (f *Feed) Grant(_ context.Context, ttl time.Duration) (fgstore.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil {
		return fgstore.Lease{}, f.failure
	}
	f.lastID++
	f.leases[f.lastID] = nil
	return fgstore.Lease{ID: f.lastID, Era: f.era, TTL: ttl}, nil
}

// Renew fails for a lease that has ended.
func (f *Feed) Renew(_ context.Context, l fgstore.Lease) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil {
		return f.failure
	}
	if _, ok := f.leases[l.ID]; !ok || l.Era != f.era {
		return fgstore.ErrLeaseEnded
	}
	return nil
}

// Revoke ends a lease and removes its keys.
func (f *Feed) Revoke(_ context.Context, l fgstore.Lease) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Era != f.era {
		return fgstore.ErrLeaseEnded
	}
	for _, key := range f.leases[l.ID] {
		f.removeLocked(key)
	}
	delete(f.leases, l.ID)
	return nil
}

// PutLeased writes a value under a lease.
func (f *Feed) PutLeased(_ context.Context, key string, data []byte, l fgstore.Lease) error {
	f.mu.Lock()
	f.leases[l.ID] = append(f.leases[l.ID], key)
	f.mu.Unlock()
	f.Put(key, string(data))
	return nil
}

// ExpireLeases ends all leases and deletes their keys, as happens when an outage
// of the store lasts longer than the leases.
func (f *Feed) ExpireLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, keys := range f.leases {
		for _, key := range keys {
			f.removeLocked(key)
		}
	}
	f.leases = map[int64][]string{}
}

// FeedBackup is a copy of a Feed.
type FeedBackup struct {
	values   map[string]fgstore.Value
	revision uint64
	leaseID  int64
}

// Backup returns a copy of the store.
func (f *Feed) Backup() FeedBackup {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FeedBackup{values: maps.Clone(f.values), revision: f.revision, leaseID: f.lastID}
}

// Restore goes back to a backup, as a store does that is restored after a failure: a new
// era begins, the leases and the keys under them are gone, and revisions and IDs of
// leases are given out again.
func (f *Feed) Restore(b FeedBackup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values, f.revision, f.events, f.oldest = maps.Clone(b.values), b.revision, nil, b.revision
	for _, keys := range f.leases {
		for _, key := range keys {
			delete(f.values, key)
		}
	}
	f.leases, f.lastID = map[int64][]string{}, b.leaseID
	f.era++
	f.notify()
}

// RangeCalls returns the number of calls of RangeValues.
func (f *Feed) RangeCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rangeCalls
}

// WatchCalls returns the number of calls of WatchEvents.
func (f *Feed) WatchCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchCalls
}

// position returns the store's position. The caller holds mu.
func (f *Feed) position() fgstore.Position {
	return fgstore.Position{Era: f.era, Revision: f.revision}
}

// Values returns all values and the store's position.
func (f *Feed) Values() ([]fgstore.Value, fgstore.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []fgstore.Value
	for _, v := range f.values {
		all = append(all, v)
	}
	return all, f.position()
}
