package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is what was sent, answered and run. It is written to record.txt at the end.
type record struct {
	mu sync.Mutex
	// quiet means that the case has ended.
	quiet   bool
	start   time.Time
	lines   []string
	arrival []event
	run     []event
	crash   []event
}

// event is what a server has seen of a request.
type event struct {
	at                    time.Time
	attempt, server, body string
	// address is the server's, for crashes.
	address string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quiet {
		return
	}
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) arrived(attempt, server, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrival = append(r.arrival, event{at: time.Now(), attempt: attempt, server: server, body: body})
	r.line("request %s reaches server %s", attempt, server)
}

func (r *record) runs(attempt, server, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run = append(r.run, event{at: time.Now(), attempt: attempt, server: server, body: body})
	r.line("request %s is run by server %s", attempt, server)
}

func (r *record) crashed(attempt, server, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash = append(r.crash, event{at: time.Now(), attempt: attempt, server: server, address: address})
	r.line("server %s at %s crashes as it runs request %s", server, address, attempt)
}

// save writes the record to a folder.
func (r *record) save(folder string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, l := range r.lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}

func (r *record) isQuiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quiet
}
