package fglog

import (
	"sync/atomic"
	"time"
)

// Sampler allows a number of log lines per second and counts the others. The zero
// value allows none.
type Sampler struct {
	perSecond int64
	// second is the Unix time that used refers to.
	second  atomic.Int64
	used    atomic.Int64
	skipped atomic.Int64
}

// NewSampler returns a sampler that allows perSecond lines per second.
func NewSampler(perSecond int64) *Sampler { return &Sampler{perSecond: perSecond} }

// Allow reports whether a line may be written and, if so, how many were skipped
// since the last allowed one.
func (s *Sampler) Allow(now time.Time) (skipped int64, ok bool) {
	second := now.Unix()
	if old := s.second.Load(); old != second && s.second.CompareAndSwap(old, second) {
		s.used.Store(0)
	}
	if s.used.Add(1) > s.perSecond {
		s.skipped.Add(1)
		return 0, false
	}
	return s.skipped.Swap(0), true
}
