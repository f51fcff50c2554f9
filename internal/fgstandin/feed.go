package fgstandin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

var _ fgstore.Feed = (*Feed)(nil)

// Feed is an in-memory key-value store that implements the interface which
// gateways use. Fail, Mute, Compact and ExpireLeases cause faults.
type Feed struct {
	mu     sync.Mutex
	values map[string]fgstore.Value
	// events are the changes since revision oldest.
	events   []fgstore.Event
	revision uint64
	oldest   uint64
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
func (f *Feed) RangeValues(context.Context, string) ([]fgstore.Value, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rangeCalls++
	if f.failure != nil {
		return nil, 0, f.failure
	}
	var all []fgstore.Value
	for _, v := range f.values {
		all = append(all, v)
	}
	return all, f.revision, nil
}

// WatchEvents waits for changes after a revision, whatever their prefix. It
// returns no events if none happen within the wait.
func (f *Feed) WatchEvents(ctx context.Context, _ string, after uint64, wait time.Duration) ([]fgstore.Event, uint64, error) {
	timeout := time.After(wait)
	f.mu.Lock()
	f.watchCalls++
	muted := f.muted
	f.mu.Unlock()
	if muted {
		<-ctx.Done()
		return nil, 0, fmt.Errorf("%w: %w", fgstore.ErrUnknown, ctx.Err())
	}
	for {
		f.mu.Lock()
		if f.failure != nil {
			defer f.mu.Unlock()
			return nil, 0, f.failure
		}
		if after < f.oldest {
			defer f.mu.Unlock()
			return nil, 0, fgstore.ErrCompacted
		}
		var newer []fgstore.Event
		for _, e := range f.events {
			if e.Revision > after {
				newer = append(newer, e)
			}
		}
		revision, changed := f.revision, f.changed
		f.mu.Unlock()
		if len(newer) > 0 {
			return newer, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timeout:
			return nil, revision, nil
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
	return fgstore.Lease{ID: f.lastID, TTL: ttl}, nil
}

// Renew fails for a lease that has ended.
func (f *Feed) Renew(_ context.Context, l fgstore.Lease) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failure != nil {
		return f.failure
	}
	if _, ok := f.leases[l.ID]; !ok {
		return fgstore.ErrLeaseEnded
	}
	return nil
}

// Revoke ends a lease and removes its keys.
func (f *Feed) Revoke(_ context.Context, l fgstore.Lease) error {
	f.mu.Lock()
	defer f.mu.Unlock()
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

// Values returns all values and the store's revision.
func (f *Feed) Values() ([]fgstore.Value, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []fgstore.Value
	for _, v := range f.values {
		all = append(all, v)
	}
	return all, f.revision
}
