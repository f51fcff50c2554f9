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
// gateways use. Fail, Mute, HoldWrites, Compact, ExpireLeases, EndOldLeases
// and Restore cause faults.
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
	// leases are the leases in force, and leaseOf has the lease of each key that was
	// written under one.
	leases  map[int64]bool
	leaseOf map[string]int64
	lastID  int64
	// holding is set by HoldWrites, and held are the writes that wait.
	holding bool
	held    []func()
	// changed is closed at the next change.
	changed    chan struct{}
	rangeCalls int
	watchCalls int
}

// NewFeed returns an empty store.
func NewFeed() *Feed {
	return &Feed{values: map[string]fgstore.Value{}, revision: 1, leases: map[int64]bool{}, leaseOf: map[string]int64{}, changed: make(chan struct{})}
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
	f.putLocked(key, []byte(data), 0)
}

func (f *Feed) putLocked(key string, data []byte, lease int64) fgstore.Value {
	f.revision++
	v := fgstore.Value{Key: key, Data: data, Revision: f.revision}
	f.values[key], f.leaseOf[key] = v, lease
	f.events = append(f.events, fgstore.Event{Value: v})
	f.notify()
	return v
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
	delete(f.leaseOf, key)
	f.events = append(f.events, fgstore.Event{Value: fgstore.Value{Key: key, Revision: f.revision}, Deleted: true})
	f.notify()
}

// Fail makes RangeValues, WatchEvents, Grant, Renew and PutLeased fail with err until it is
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
	f.leases[f.lastID] = true
	return fgstore.Lease{ID: f.lastID, Era: f.era, TTL: ttl}, nil
}

// Renew fails for a lease that has ended.
func (f *Feed) Renew(_ context.Context, l fgstore.Lease) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil {
		return f.failure
	}
	if !f.leases[l.ID] || l.Era != f.era {
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
	f.endLease(l.ID)
	return nil
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (f *Feed) endLease(id int64) {
	delete(f.leases, id)
	for key, lease := range f.leaseOf {
		if lease == id {
			f.removeLocked(key)
		}
	}
}

// PutLeased writes a value under a lease if the key has the expected revision.
func (f *Feed) PutLeased(_ context.Context, key string, expected uint64, data []byte, l fgstore.Lease) (fgstore.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil {
		return fgstore.Value{}, f.failure
	}
	put := func() (fgstore.Value, error) {
		if !f.leases[l.ID] || l.Era != f.era {
			return fgstore.Value{}, fgstore.ErrLeaseEnded
		}
		if present := f.values[key]; present.Revision != expected {
			return present, fgstore.ErrConflict
		}
		return f.putLocked(key, data, l.ID), nil
	}
	if f.holding {
		f.held = append(f.held, func() { _, _ = put() })
		return fgstore.Value{}, fgstore.ErrUnknown
	}
	return put()
}

// HoldWrites makes PutLeased return ErrUnknown without effect, until it is called with
// false. The store executes these writes when ReleaseWrites is called.
func (f *Feed) HoldWrites(hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holding = hold
}

// ReleaseWrites executes the writes that HoldWrites has held.
func (f *Feed) ReleaseWrites() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.held {
		write()
	}
	f.held = nil
}

// EndOldLeases ends all leases but the latest, and deletes their keys, as happens to
// leases that their owner no longer renews.
func (f *Feed) EndOldLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.leases {
		if id != f.lastID {
			f.endLease(id)
		}
	}
}

// ExpireLeases ends all leases and deletes their keys, as happens when an outage
// of the store lasts longer than the leases.
func (f *Feed) ExpireLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.leases {
		f.endLease(id)
	}
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
	for key, lease := range f.leaseOf {
		if lease != 0 {
			delete(f.values, key)
		}
	}
	f.leases, f.leaseOf, f.lastID = map[int64]bool{}, map[string]int64{}, b.leaseID
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
