package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// oneWay is the delay to and from a server: "one way, 1.4 ms between zones".
	oneWay = 1400 * time.Microsecond
	// A server that has just started is slow: its work takes coldFactor times as long.
	coldStart  = 3 * time.Second
	coldFactor = 2
)

// server is a stand-in for a server of a service, as PROTOCOL.md describes it.
type server struct {
	record  *record
	store   *store
	service string
	zone    string
	slots   int
	queue   int
	work    time.Duration
	// crashOn crashes the server when it begins to run a request with this body; it is
	// back after downTime.
	crashOn  func(body string) bool
	downTime time.Duration

	mu       sync.Mutex
	id       string
	address  string
	starts   int
	born     time.Time
	cold     time.Time
	sequence int
	running  int
	waiting  int
	slot     chan struct{}
	listener net.Listener
	http     *http.Server
	conns    map[net.Conn]struct{}
	down     bool
}

var idCount struct {
	sync.Mutex
	n int
}

func newID() string {
	idCount.Lock()
	defer idCount.Unlock()
	idCount.n++
	return fmt.Sprintf("i-%04x%02x", time.Now().UnixNano()&0xffff, idCount.n)
}

// start starts an incarnation of the server, at its address if it has had one.
func (s *server) start(ip string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = ip + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.starts++
	s.id, s.address, s.born, s.sequence, s.down = newID(), l.Addr().String(), time.Now(), 0, false
	s.running, s.waiting, s.slot, s.conns = 0, 0, make(chan struct{}, s.slots), map[net.Conn]struct{}{}
	if s.starts > 1 {
		s.cold = time.Now().Add(coldStart)
	}
	s.listener = l
	id, slot := s.id, s.slot
	s.http = &http.Server{IdleTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, slot, w, r) })}
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case s.id != id:
		case state == http.StateNew:
			s.conns[c] = struct{}{}
		case state == http.StateClosed:
			delete(s.conns, c)
		}
	}
	h := s.http
	go func() { _ = h.Serve(l) }()
	go s.beat(id)
	s.record.add("server %s of %s in %s starts at %s", id, s.service, s.zone, s.address)
	return nil
}

// beat writes the entry of an incarnation to the store while it runs. The store's side
// removes it after three heartbeats of silence.
func (s *server) beat(id string) {
	for {
		s.mu.Lock()
		if s.id != id || s.down {
			s.mu.Unlock()
			time.Sleep(3 * heartbeat)
			s.store.put(wire.Servers+id, nil)
			return
		}
		s.sequence++
		entry := message("entry.tmpl", map[string]any{
			"Service": s.service, "Address": s.address, "Zone": s.zone, "Slots": s.slots,
			"ColdMs": max(0, time.Until(s.cold).Milliseconds()), "Sequence": s.sequence, "Born": s.born.UnixMilli(),
		})
		s.mu.Unlock()
		s.store.put(wire.Servers+id, entry)
		time.Sleep(heartbeat)
	}
}

// crash ends the incarnation at once, and starts the next one after downTime.
func (s *server) crash(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id || s.down {
		return
	}
	s.down = true
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	time.AfterFunc(s.downTime, func() {
		if s.record.isQuiet() {
			return
		}
		if err := s.start(""); err != nil {
			s.record.add("server at %s can't start again: %v", s.address, err)
		}
	})
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

func (s *server) count(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

func (s *server) serve(id string, slot chan struct{}, w http.ResponseWriter, r *http.Request) {
	time.Sleep(oneWay)
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	attempt := r.Header.Get(wire.Attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	answer := func(status int) {
		time.Sleep(oneWay)
		h.Set(wire.Load, s.load())
		if attempt != "" {
			h.Set(wire.Attempt, attempt)
		}
		w.WriteHeader(status)
	}
	if expected := r.Header.Get(wire.Expected); expected != "" && expected != id {
		h.Set(wire.Instance, id)
		answer(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		h.Set(wire.Instance, id)
		answer(http.StatusOK)
		return
	}
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.ParseFloat(r.Header.Get(wire.Deadline), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	s.record.arrived(attempt, id, string(body))
	s.mu.Lock()
	full := s.waiting >= s.queue && s.running >= s.slots
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		h.Set(wire.NotRun, "1")
		answer(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	select {
	case slot <- struct{}{}:
		s.count(1, -1)
	case <-ctx.Done():
		s.count(0, -1)
		h.Set(wire.NotRun, "1")
		answer(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slot; s.count(-1, 0) }()
	s.record.runs(attempt, id, string(body))
	if s.crashOn != nil && s.crashOn(string(body)) {
		s.record.crashed(attempt, id, r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
		s.crash(id)
		return
	}
	s.mu.Lock()
	cold, work := s.cold, s.work
	s.mu.Unlock()
	if time.Now().Before(cold) {
		work *= coldFactor
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		if r.Context().Err() == nil {
			h.Set(wire.Signature, id+"."+attempt)
			answer(http.StatusGatewayTimeout)
		}
		return
	}
	h.Set(wire.Signature, id+"."+attempt)
	answer(http.StatusOK)
	_, _ = io.WriteString(w, "done "+attempt+"\n")
}
