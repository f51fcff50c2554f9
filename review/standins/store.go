package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	events    []item
	revision  uint64
	leases    map[int64]lease
	lastLease int64
	changed   chan struct{}
	address   string
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// history is how long changes are kept.
const history = 20 * time.Second

func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, revision: 1, leases: map[int64]lease{}, changed: make(chan struct{}), address: l.Addr().String()}
	go func() { _ = http.Serve(l, s) }()
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// put writes a value as the operator or a server does; nil deletes the key.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: value, Deleted: value == nil})
}

// write applies a change. s.mu is held.
func (s *store) write(i item) {
	s.revision++
	i.Revision, i.Created, i.at = s.revision, s.revision, time.Now()
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	} else if i.Deleted {
		return
	}
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	for time.Since(s.events[0].at) > history {
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLease ends a lease and removes its keys. s.mu is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Deleted: true})
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	status, body := s.handle(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

type leaseBody struct {
	Lease int64  `json:"lease,omitempty"`
	TTL   string `json:"ttl_time,omitempty"`
}

func (s *store) handle(r *http.Request) (int, any) {
	name, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	leaseID, _ := strconv.ParseInt(id, 10, 64)
	q := r.URL.Query()
	switch name {
	case "kv-watch":
		return s.watch(r)
	case "kv-txn":
		return s.transact(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch name {
	case "kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, struct {
			item
			StoreRevision uint64 `json:"store_revision"`
		}{i, s.revision}
	case "kv-range":
		items := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get(wire.Prefix)) && key > q.Get("after") {
				items = append(items, i)
			}
		}
		slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		more := len(items) > 500
		if more {
			items = items[:500]
		}
		return http.StatusOK, map[string]any{"items": items, wire.More: more, wire.Revision: s.revision}
	case "kv-lease":
		var in leaseBody
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			return http.StatusBadRequest, nil
		}
		ttl, err := time.ParseDuration(in.TTL)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		s.lastLease++
		s.leases[s.lastLease] = lease{ttl: ttl, end: time.Now().Add(ttl)}
		return http.StatusOK, leaseBody{Lease: s.lastLease, TTL: in.TTL}
	case "kv-keep", "kv-lease-end":
		l, ok := s.leases[leaseID]
		if !ok {
			return http.StatusNotFound, nil
		}
		if name == "kv-lease-end" {
			s.endLease(leaseID)
		} else {
			s.leases[leaseID] = lease{ttl: l.ttl, end: time.Now().Add(l.ttl)}
		}
		return http.StatusOK, leaseBody{TTL: strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"}
	}
	return http.StatusNotFound, nil
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get(wire.Wait))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if len(s.events) > 0 && after+1 < s.events[0].Revision && after < s.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get(wire.Prefix)) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, wire.Revision: revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, map[string]any{"events": events, wire.Revision: revision}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var in struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, wire.Operator) || strings.HasPrefix(p.Key, wire.Servers) {
			return http.StatusForbidden, nil
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range in.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[p.Key]}}
		}
	}
	for _, p := range in.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range in.Deletes {
		s.write(item{Key: key, Deleted: true})
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}
