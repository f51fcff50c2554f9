package fgload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros is 20 minutes: the longest run and the longest timeout
	// together. Longer latencies are recorded as 20 minutes.
	maxLatencyMicros = int64(20 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3

	percent = 100
)

// result is how a request ended for its caller.
type result int

const (
	// resultAnswered is a complete response with a status below 500 that is not a
	// refusal.
	resultAnswered result = iota
	// resultRefused is a refusal with the outcome "not-run".
	resultRefused
	// resultUnknown is a refusal with another outcome: the request may have run.
	resultUnknown
	// resultError is a broken connection, a truncated response, or a status of 500
	// or above without a refusal.
	resultError
	// resultUnsent is a request that was not sent before the run ended.
	resultUnsent
)

// measurement is what was measured of one request.
type measurement struct {
	result result
	// code is the code of the refusal, or empty.
	code string
	// latency counts from the scheduled time to the end of the response.
	latency time.Duration
	// lag is the time by which the request was sent late.
	lag time.Duration
}

// Latency holds percentiles and the maximum, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50Millis"`
	P90  float64 `json:"p90Millis"`
	P99  float64 `json:"p99Millis"`
	P999 float64 `json:"p999Millis"`
	Max  float64 `json:"maxMillis"`
}

// Summary holds the results of one workspace, or of all of them.
type Summary struct {
	Workspace string `json:"workspace"`
	// Offered counts the scheduled requests, WithinRate those of them that the
	// declared limit allows.
	Offered    int `json:"offered"`
	WithinRate int `json:"withinRate"`
	Answered   int `json:"answered"`
	Refused    int `json:"refused"`
	Unknown    int `json:"unknown"`
	Errors     int `json:"errors"`
	Unsent     int `json:"unsent"`
	// RefusedWithinRate counts the refused requests that the declared limit
	// allows.
	RefusedWithinRate int            `json:"refusedWithinRate"`
	Codes             map[string]int `json:"codes,omitempty"`
	// ServedPercent is Answered as a percentage of WithinRate, at most 100.
	ServedPercent float64 `json:"servedPercent"`
	// Latency is measured from the scheduled time. Requests that failed or were not
	// sent are included, so that stalls show. Refused requests are excluded: they
	// end quickly and would hide slow responses.
	Latency Latency `json:"latency"`
	// LagP99Millis is the 99th percentile of the time by which requests were sent
	// late because MaxInFlight was reached.
	LagP99Millis float64 `json:"lagP99Millis"`

	histogram *hdrhistogram.Histogram
	lag       *hdrhistogram.Histogram
}

// Report holds the results of a run.
type Report struct {
	Seed           uint64     `json:"seed"`
	ElapsedSeconds float64    `json:"elapsedSeconds"`
	Workspaces     []*Summary `json:"workspaces"`
	Total          *Summary   `json:"total"`
	// WorstServed is the workspace with the lowest ServedPercent, and
	// WorstServedPercent its value. WorstServed is empty if no workspace is below
	// 100.
	WorstServed        string  `json:"worstServed"`
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
		histogram: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		lag:       hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

func (r *Report) add(a Arrival, m measurement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byName[a.Workspace].add(a, m)
	r.Total.add(a, m)
}

func (s *Summary) add(a Arrival, m measurement) {
	s.Offered++
	if a.withinRate {
		s.WithinRate++
	}
	if m.code != "" {
		s.Codes[m.code]++
	}
	_ = s.lag.RecordValue(micros(m.lag))
	switch m.result {
	case resultAnswered:
		s.Answered++
	case resultRefused:
		s.Refused++
		if a.withinRate {
			s.RefusedWithinRate++
		}
		return
	case resultUnknown:
		s.Unknown++
	case resultError:
		s.Errors++
	case resultUnsent:
		s.Unsent++
	}
	_ = s.histogram.RecordValue(micros(m.latency))
}

// micros clamps a duration to the range of the histograms.
func micros(d time.Duration) int64 { return min(max(d.Microseconds(), 1), maxLatencyMicros) }

// finish computes the values that need all measurements.
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
	quantile := func(q float64) float64 { return millis(s.histogram.ValueAtQuantile(q)) }
	s.Latency = Latency{P50: quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9), Max: millis(s.histogram.Max())}
	s.LagP99Millis = millis(s.lag.ValueAtQuantile(99))
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// SortedCodes returns the codes of refusals in alphabetical order.
func (s *Summary) SortedCodes() []string { return slices.Sorted(maps.Keys(s.Codes)) }
