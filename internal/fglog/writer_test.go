package fglog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// blockedOutput blocks writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	return s.text.Write(b)
}

// Guards against a request that is blocked by a slow log output, and against
// dropped lines that are not counted and reported.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		w := NewWriter(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 4 * maxBufferBytes / 1024
		for range lines {
			if n, err := w.Write(line); n != len(line) || err != nil {
				t.Fatal(n, err)
			}
			time.Sleep(flushInterval / 64)
		}
		if w.Dropped() == 0 {
			t.Error("no line was dropped")
		}
		close(out.release)
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		written := int64(strings.Count(out.text.String(), string(line)))
		if written+w.Dropped() != lines {
			t.Errorf("%d written and %d dropped of %d", written, w.Dropped(), lines)
		}
		if !strings.Contains(out.text.String(), `"msg":"log lines dropped","count":`) {
			t.Error("the output does not report the dropped lines")
		}
	})
}

// Guards against losing the last lines of a process when it ends.
func TestRunFlushesAtEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := NewWriter(&out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		_, _ = w.Write([]byte("last\n"))
		cancel()
		if err := <-done; err != nil || out.String() != "last\n" {
			t.Errorf("got %q, %v", out.String(), err)
		}
	})
}

// Guards against more lines than the allowed rate, and against a wrong count of
// skipped lines.
func TestSampler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSampler(3)
		time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
		allowed := 0
		for range 10 {
			if _, ok := s.Allow(time.Now()); ok {
				allowed++
			}
		}
		time.Sleep(time.Second)
		skipped, ok := s.Allow(time.Now())
		if allowed != 3 || !ok || skipped != 7 {
			t.Errorf("%d allowed, then %v with %d skipped; want 3, true, 7", allowed, ok, skipped)
		}
	})
}

// BenchmarkLine measures writing the log line of a finished request.
func BenchmarkLine(b *testing.B) {
	w := NewWriter(io.Discard)
	logger := logr.FromSlogHandler(slog.NewJSONHandler(w, nil))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		logger.Info("request ended", "attempt", "9c41d07be2a35f68", "status", 200, "code", "answered", "reason", "the upstream answered",
			"route", "r-umjdhzr", "workspace", "yehu771", "group", "bahu54c", "object", "54", "upstream", "i-7f3a91c2", "sends", 1, "ms", 120,
			"policy", 14, "revision", 56, "storeAgeMs", 116, "skippedLines", 0)
		if i%100 == 0 {
			_ = w.Flush()
		}
	}
}

// BenchmarkSkippedLine measures a line that the sampler skips.
func BenchmarkSkippedLine(b *testing.B) {
	s, now := NewSampler(0), time.Now()
	for b.Loop() {
		s.Allow(now)
	}
}
