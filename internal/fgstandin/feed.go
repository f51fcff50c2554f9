package fgstandin

import (
	"context"
	"sync"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
)

var _ fgstore.Feed = (*Feed)(nil)

// Feed is a key-value store in memory, as gateways use it. Faults are set by its
// methods.
type Feed struct {
	mu       sync.Mutex
	values   map[string]fgstore.Value
	events   []fgstore.Event
	revision uint64
	oldest   uint64
	failure  error
	leases   map[int64][]string
	lastID   int64
	changed  chan struct{}
	ranges   int
	watches  int
}

// NewFeed returns an empty store.
func NewFeed() *Feed {
	return &Feed{values: map[string]fgstore.Value{}, revision: 1, leases: map[int64][]string{}, changed: make(chan struct{})}
}

func (f *Feed) wake() {
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
	f.wake()
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
	f.wake()
}

// Fail makes all calls fail until it is called with nil.
func (f *Feed) Fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failure = err
	f.wake()
}

// Compact drops the history.
func (f *Feed) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events, f.oldest = nil, f.revision
}

// RangeValues returns all values.
func (f *Feed) RangeValues(context.Context, string) ([]fgstore.Value, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ranges++
	if f.failure != nil {
		return nil, 0, f.failure
	}
	var all []fgstore.Value
	for _, v := range f.values {
		all = append(all, v)
	}
	return all, f.revision, nil
}

// WatchEvents waits for changes.
func (f *Feed) WatchEvents(ctx context.Context, _ string, after uint64, wait time.Duration) ([]fgstore.Event, uint64, error) {
	due := time.After(wait)
	f.mu.Lock()
	f.watches++
	f.mu.Unlock()
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
		var news []fgstore.Event
		for _, e := range f.events {
			if e.Revision > after {
				news = append(news, e)
			}
		}
		revision, changed := f.revision, f.changed
		f.mu.Unlock()
		if len(news) > 0 {
			return news, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-due:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// Grant opens a lease, which ends only by EndLeases or End.
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

// Renew extends a lease.
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

// EndLeases ends all leases and removes their keys, as an outage of the store
// may do.
func (f *Feed) EndLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, keys := range f.leases {
		for _, key := range keys {
			f.removeLocked(key)
		}
	}
	f.leases = map[int64][]string{}
}

// Ranges returns how often all values were read.
func (f *Feed) Ranges() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ranges
}

// Watches returns how many watches were called.
func (f *Feed) Watches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watches
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
