// Package fglog writes log lines in the background, so that a slow output never
// blocks its callers, and limits the rate of log lines.
package fglog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes is enough for the lines of a few seconds at full load.
	maxBufferBytes = 256 << 10
	// flushInterval limits how long a line is buffered, unless the output is slow.
	flushInterval = 200 * time.Millisecond
)

// Writer buffers lines and writes them in the background. When its buffer is
// full, it drops further lines and counts them.
type Writer struct {
	out io.Writer

	mu     sync.Mutex
	buffer []byte
	// spare is an empty buffer for reuse, or nil.
	spare []byte
	// unreportedDrops counts the lines dropped since the last flush, totalDrops
	// those since the start.
	unreportedDrops int64
	totalDrops      int64
}

// NewWriter returns a writer to out. Nothing is written before Run.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write appends a line to the buffer, or drops it if the buffer is full.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferBytes {
		w.unreportedDrops++
		w.totalDrops++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDrops
}

// Run flushes the buffer at intervals, and once more when the context ends. It
// returns early if the output fails.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
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

// Flush writes the buffered lines, and a line with the number of dropped ones.
func (w *Writer) Flush() error {
	w.mu.Lock()
	lines, dropped := w.buffer, w.unreportedDrops
	w.buffer, w.spare, w.unreportedDrops = w.spare[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"INFO\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		w.recycle(lines)
		return nil
	}
	_, err := w.out.Write(lines)
	w.recycle(lines)
	return err
}

// recycle saves a written buffer for reuse.
func (w *Writer) recycle(lines []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.spare == nil {
		w.spare = lines[:0]
	}
}
