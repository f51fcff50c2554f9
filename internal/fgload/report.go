package fgload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are counted in microseconds up to 20 minutes, the longest run
	// and timeout together, with three significant digits.
	highestMicros     = int64(20 * time.Minute / time.Microsecond)
	significantDigits = 3

	percent = 100
)

// kind is how a request ended for its caller.
type kind int

// The kinds of ends.
const (
	// kindAnswered means a whole answer that is neither a refusal nor a fault.
	kindAnswered kind = iota
	// kindRefused means a refusal that says "not run".
	kindRefused
	// kindUnknown means a refusal whose request may have run.
	kindUnknown
	// kindError means a broken connection, a cut answer or a status of 500 and
	// above without a refusal.
	kindError
	// kindUnsent means that the run ended before the request was sent.
	kindUnsent
)

// measured is the result of one request.
type measured struct {
	kind    kind
	code    string
	latency time.Duration
	lag     time.Duration
}

// Latency summarises a histogram, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50Millis"`
	P90  float64 `json:"p90Millis"`
	P99  float64 `json:"p99Millis"`
	P999 float64 `json:"p999Millis"`
	Max  float64 `json:"maxMillis"`
}

// Summary is what the callers of one workspace saw.
type Summary struct {
	Workspace string `json:"workspace"`
	// Offered counts the requests of the schedule, WithinRate those that the
	// declared rate covers.
	Offered    int `json:"offered"`
	WithinRate int `json:"withinRate"`
	Answered   int `json:"answered"`
	Refused    int `json:"refused"`
	Unknown    int `json:"unknown"`
	Errors     int `json:"errors"`
	Unsent     int `json:"unsent"`
	// RefusedWithinRate counts refusals although the declared rate covers the
	// request.
	RefusedWithinRate int            `json:"refusedWithinRate"`
	Codes             map[string]int `json:"codes,omitempty"`
	// ServedPercent is the part of the requests within the rate that were
	// answered, capped at 100.
	ServedPercent float64 `json:"servedPercent"`
	// Latency counts from the intended start and includes requests that were
	// not answered, so that a stalled system is not spared. Refusals are left
	// out: they are quick and would hide slow answers.
	Latency Latency `json:"latency"`
	// LagP99Millis is how late requests were sent, for lack of free senders.
	LagP99Millis float64 `json:"lagP99Millis"`

	histogram *hdrhistogram.Histogram
	lag       *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Seed           uint64     `json:"seed"`
	ElapsedSeconds float64    `json:"elapsedSeconds"`
	Workspaces     []*Summary `json:"workspaces"`
	Total          *Summary   `json:"total"`
	WorstServed    string     `json:"worstServed"`
	// WorstServedPercent is the ServedPercent of the worst-served workspace.
	WorstServedPercent float64 `json:"worstServedPercent"`

	mu     sync.Mutex
	byName map[string]*Summary
}

func newReport(m *Mix) *Report {
	r := &Report{Seed: m.Seed, Total: newSummary("all"), byName: map[string]*Summary{}}
	for _, w := range m.Workspaces {
		s := newSummary(w.Name)
		r.byName[w.Name] = s
		r.Workspaces = append(r.Workspaces, s)
	}
	return r
}

func newSummary(name string) *Summary {
	return &Summary{
		Workspace: name, Codes: map[string]int{},
		histogram: hdrhistogram.New(1, highestMicros, significantDigits),
		lag:       hdrhistogram.New(1, highestMicros, significantDigits),
	}
}

func (r *Report) add(a Arrival, m measured) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byName[a.Workspace].add(a, m)
	r.Total.add(a, m)
}

func (s *Summary) add(a Arrival, m measured) {
	s.Offered++
	if a.withinRate {
		s.WithinRate++
	}
	if m.code != "" {
		s.Codes[m.code]++
	}
	_ = s.lag.RecordValue(micros(m.lag))
	switch m.kind {
	case kindAnswered:
		s.Answered++
	case kindRefused:
		s.Refused++
		if a.withinRate {
			s.RefusedWithinRate++
		}
		return
	case kindUnknown:
		s.Unknown++
	case kindError:
		s.Errors++
	case kindUnsent:
		s.Unsent++
	}
	_ = s.histogram.RecordValue(micros(m.latency))
}

func micros(d time.Duration) int64 { return min(max(d.Microseconds(), 1), highestMicros) }

func (r *Report) finish(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ElapsedSeconds = elapsed.Seconds()
	r.WorstServedPercent = percent
	r.Total.finish()
	for _, s := range r.Workspaces {
		s.finish()
		if s.Offered > 0 && s.ServedPercent < r.WorstServedPercent {
			r.WorstServed, r.WorstServedPercent = s.Workspace, s.ServedPercent
		}
	}
}

func (s *Summary) finish() {
	s.ServedPercent = percent
	if s.WithinRate > 0 {
		s.ServedPercent = min(percent, percent*float64(s.Answered)/float64(s.WithinRate))
	}
	at := func(q float64) float64 { return millis(s.histogram.ValueAtQuantile(q)) }
	s.Latency = Latency{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: millis(s.histogram.Max())}
	s.LagP99Millis = millis(s.lag.ValueAtQuantile(99))
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// SortedCodes returns the codes of refusals by name.
func (s *Summary) SortedCodes() []string { return slices.Sorted(maps.Keys(s.Codes)) }
