// Package fglog writes log lines without ever making its caller wait.
package fglog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes holds the lines of a few seconds at full load.
	bufferBytes = 256 << 10
	// flushEvery is how long a line may wait before it is written.
	flushEvery = 200 * time.Millisecond
)

// Writer gathers lines and writes them in the background. When its buffer is
// full, lines are dropped and counted.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int64
	total   int64
}

// NewWriter returns a writer to out. Nothing is written before Run.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write takes over one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > bufferBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Run writes lines until the context ends, and then the rest.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.Flush()
		case <-ticker.C:
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
}

// Flush writes what was gathered.
func (w *Writer) Flush() error {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.spare, w.dropped = w.spare[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"INFO\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		w.keep(lines)
		return nil
	}
	_, err := w.out.Write(lines)
	w.keep(lines)
	return err
}

// keep gives a written buffer back for reuse.
func (w *Writer) keep(lines []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.spare == nil {
		w.spare = lines[:0]
	}
}
