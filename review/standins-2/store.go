package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// event is a change with its time.
type event struct {
	item
	at time.Time
}

// historyTime is how long the history holds a change.
const historyTime = 20 * time.Second

// maxPage is the number of items on a page of a range.
const maxPage = 500

// store plays the platform's key-value store.
type store struct {
	record   *record
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []event
	// dropped is the revision of the last event that the history does not hold any more.
	dropped uint64
	leases  map[int64]*lease
	lastID  int64
	changed chan struct{}
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// newStore starts a store on a free loopback port.
func newStore(r *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{record: r, listener: l, revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// expireLeases removes the keys of leases that have ended, until the process ends.
func (s *store) expireLeases() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for len(s.events) > 0 && now.Sub(s.events[0].at) > historyTime {
			s.dropped = s.events[0].Revision
			s.events = s.events[1:]
		}
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. s.mu is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// put writes a value as the operator or a server and returns its revision.
func (s *store) put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, data, 0)
}

func (s *store) write(key string, data []byte, lease int64) uint64 {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: data, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.add(i)
	return s.revision
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) add(i item) {
	s.events = append(s.events, event{i, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	s.record.add("store: revision %d, key %s, deleted %v, %d bytes", i.Revision, i.Key, i.Deleted, len(i.Value))
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == wire.Range:
		s.serveRange(w, r)
	case r.URL.Path == wire.Watch:
		s.serveWatch(w, r)
	case r.URL.Path == wire.Txn:
		s.serveTxn(w, r)
	case r.URL.Path == wire.Lease:
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, wire.Keep):
		s.serveKeep(w, strings.TrimPrefix(r.URL.Path, wire.Keep))
	case strings.HasPrefix(r.URL.Path, wire.LeaseEnd):
		s.serveLeaseEnd(w, strings.TrimPrefix(r.URL.Path, wire.LeaseEnd))
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get(wire.Prefix), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxPage
	page := []item{}
	for _, key := range keys[:min(len(keys), maxPage)] {
		page = append(page, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, rangeAnswer{Items: page, More: more, Revision: revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get(wire.Wait))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		i := slices.IndexFunc(s.events, func(e event) bool { return e.Revision > after })
		var found []item
		for ; i >= 0 && i < len(s.events); i++ {
			if strings.HasPrefix(s.events[i].Key, q.Get(wire.Prefix)) {
				found = append(found, s.events[i].item)
			}
		}
		revision, changed, dropped := s.revision, s.changed, s.dropped
		s.mu.Unlock()
		if after < dropped {
			answer(w, http.StatusGone, struct{}{})
			return
		}
		if len(found) > 0 || timedOut {
			if found == nil {
				found = []item{}
			}
			answer(w, http.StatusOK, watchAnswer{Events: found, Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	present := []item{}
	for _, c := range body.Precondition {
		i, ok := s.items[c.Key]
		if ok {
			present = append(present, i)
		}
		failed = failed || i.Revision != c.Revision
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, conflictAnswer{Items: present})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, wire.Operator) || strings.HasPrefix(p.Key, wire.Servers) {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Deletes {
		s.remove(key)
	}
	answer(w, http.StatusOK, txnAnswer{Revision: s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl = max(ttl, time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, leaseBody{Lease: s.lastID, TTL: strconv.FormatInt(ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, leaseBody{TTL: strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}
