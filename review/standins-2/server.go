package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a request at a server.
type call struct {
	id, method, uri, tenant, body string
	// left is what remains of the client's time.
	left time.Duration
}

// reply is the answer of a server.
type reply struct {
	status int
	header string
	body   []byte
	// notRun means that the server did not run the request.
	notRun bool
}

// server plays a server of a service. Its work may be replaced.
type server struct {
	id, service, zone string
	record            *record
	store             *store
	slots             int
	// work runs a request. Its context ends when the connection closes.
	work func(ctx context.Context, c call) reply

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	sequence int
	born     int64
	running  int
	runs     map[string]int
}

// newServer starts a server on a free loopback port and registers it.
func newServer(e *env, id, service, zone string, slots int) (*server, error) {
	s := &server{id: id, service: service, zone: zone, record: e.record, store: e.store, slots: slots, conns: map[net.Conn]bool{}, runs: map[string]int{}, born: time.Now().UnixMilli()}
	s.work = func(context.Context, call) reply { return reply{status: http.StatusOK, body: []byte("ok")} }
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go s.accept(s.listener)
	s.register("ready")
	return s, nil
}

// register writes the entry of the server.
func (s *server) register(state string) {
	s.mu.Lock()
	s.sequence++
	entry := serverEntry{
		Service: s.service, Address: s.listener.Addr().String(), Zone: s.zone, Version: "v1", Slots: s.slots,
		State: state, ColdLeft: "0ms", Sequence: s.sequence, Born: s.born,
	}
	s.mu.Unlock()
	s.store.put(wire.Servers+s.id, entry)
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			s.serve(c)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			_ = c.Close()
		}()
	}
}

// serve answers the requests on one connection in order.
func (s *server) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		millis, _ := strconv.Atoi(req.Header.Get(wire.Deadline))
		k := call{id: req.Header.Get(wire.Attempt), method: req.Method, uri: req.RequestURI, tenant: req.Header.Get(wire.Tenant), body: string(body), left: time.Duration(millis) * time.Millisecond}
		if strings.HasPrefix(req.RequestURI, "/health") {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		watched := make(chan struct{})
		go func() {
			// The end of the connection ends the request.
			_, err := r.Peek(1)
			if err != nil && !isTimeout(err) {
				cancel()
			}
			close(watched)
		}()
		a := s.run(ctx, req.Header.Get(wire.Expected), k)
		_ = c.SetReadDeadline(time.Now())
		<-watched
		_ = c.SetReadDeadline(time.Time{})
		cancel()
		if err := s.send(c, k, a); err != nil {
			return
		}
	}
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}

// run runs a request, unless the server is full or another one is expected.
func (s *server) run(ctx context.Context, expected string, k call) reply {
	if expected != "" && expected != s.id {
		s.record.add("server %s: %s expects %s, status 421", s.id, k.id, expected)
		return reply{status: http.StatusMisdirectedRequest, notRun: true}
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		s.record.add("server %s: %s not run, full", s.id, k.id)
		return reply{status: http.StatusServiceUnavailable, notRun: true}
	}
	s.running++
	s.runs[k.id]++
	work := s.work
	s.mu.Unlock()
	s.record.add("server %s: %s runs, %s %s, tenant %q, %d bytes, %v left", s.id, k.id, k.method, k.uri, k.tenant, len(k.body), k.left)
	a := work(ctx, k)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.record.add("server %s: %s ends, status %d, %d bytes", s.id, k.id, a.status, len(a.body))
	return a
}

func (s *server) send(c net.Conn, k call, a reply) error {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	extra := wire.Signature + ": " + s.signature(k.id) + "\r\n"
	if a.notRun {
		extra = wire.NotRun + ": 1\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Load: %d,0,%d\r\n%s%sContent-Length: %d\r\n\r\n", a.status, http.StatusText(a.status), k.id, running, s.slots, extra, a.header, len(a.body))
	_, err := c.Write(append([]byte(head), a.body...))
	return err
}

// setWork replaces the work of the server.
func (s *server) setWork(work func(ctx context.Context, c call) reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

// signature returns the signature of the answer to a request.
func (s *server) signature(id string) string { return s.id + "." + id }

// ran returns how often a request was run.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
