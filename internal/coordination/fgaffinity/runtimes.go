package fgaffinity

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// runClass tells how long a request runs at an upstream compared with others of its
// group.
type runClass int

const (
	// warmRun is expected of a key that ran at the upstream lately as far as this VM
	// knows, or whose first candidate it is. The average includes those that were cold
	// after all, since the upstream had forgotten the key.
	warmRun runClass = iota
	// coldRun is expected of any other key.
	coldRun
	// keylessRun is a run of a request without a key.
	keylessRun
	runClasses
)

const (
	// runSampleWeight is the lowest weight of a sample in an average.
	runSampleWeight = 1.0 / 32
	// minRunSamples is how many runs must be measured before their average is used.
	minRunSamples = 4
	// coldRunFactor is how many times as long as a warm run a cold one takes, until both
	// have been measured.
	coldRunFactor = 3
	// justStartedFactor is how many times as long requests take at an upstream that has
	// not reached its full speed.
	justStartedFactor = 2
	// rememberedKeys bounds the keys that a VM remembers of an upstream. Upstreams
	// remember about twice as many, from all VMs.
	rememberedKeys = 16
	// rememberedTime is how long an upstream is expected to remember a key.
	rememberedTime = 5 * time.Second
)

// average is a moving average. The zero value has no samples.
type average struct {
	bits  atomic.Uint64
	count atomic.Int64
}

// add adds a sample and returns the average. Concurrent calls may lose a sample.
func (a *average) add(sample float64) float64 {
	n := a.count.Add(1)
	old := math.Float64frombits(a.bits.Load())
	value := old + max(runSampleWeight, 1/float64(n))*(sample-old)
	a.bits.Store(math.Float64bits(value))
	return value
}

func (a *average) value() float64 { return math.Float64frombits(a.bits.Load()) }

// known reports whether enough samples were added.
func (a *average) known() bool { return a.count.Load() >= minRunSamples }

// runTimes are the average run times of a group at the usual speed, in nanoseconds.
type runTimes struct {
	classes [runClasses]average
	all     average
}

// of returns the expected run time of a class. fallback applies until runs were measured.
func (t *runTimes) of(c runClass, fallback float64) float64 {
	if own := &t.classes[c]; own.known() {
		return own.value()
	}
	if warm := &t.classes[warmRun]; c == coldRun && warm.known() {
		return coldRunFactor * warm.value()
	}
	return t.mean(fallback)
}

// mean returns the average over all runs, or fallback until runs were measured.
func (t *runTimes) mean(fallback float64) float64 {
	if t.all.known() {
		return t.all.value()
	}
	return fallback
}

// RecordRun records the time from a send to its response, for which e was expected, and
// the slowdown that the upstream told in it.
func (b *Balancer) RecordRun(u *Upstream, e Estimate, elapsed time.Duration, slowdown float64) {
	g := b.state.Load().groups[u.Spec().Group]
	run := float64(elapsed - e.Network - e.Wait)
	// Where most of the time was waiting, the run time is not known.
	if g == nil || !e.measured || run < float64(elapsed)/2 {
		return
	}
	if slowdown > 0 {
		run /= slowdown
	}
	g.runs.classes[e.class].add(run)
	g.runs.all.add(run)
}

// keyMemory holds the keys that this VM has lately sent to an upstream.
type keyMemory struct {
	mu    sync.Mutex
	keys  [rememberedKeys]uint64
	times [rememberedKeys]int64
}

// contains reports whether a key was added within rememberedTime and is not forgotten.
func (m *keyMemory) contains(key uint64, now int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, k := range m.keys {
		if k == key && m.times[i] != 0 {
			return now-m.times[i] < int64(rememberedTime)
		}
	}
	return false
}

// add adds a key in place of the one that was added first.
func (m *keyMemory) add(key uint64, now int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := 0
	for i, k := range m.keys {
		if k == key && m.times[i] != 0 {
			oldest = i
			break
		}
		if m.times[i] < m.times[oldest] {
			oldest = i
		}
	}
	m.keys[oldest], m.times[oldest] = key, now
}
