// Package fgmetrics holds the metrics of one entry process in a registry of
// its own. Labels are names of declared resources and fixed words, so their
// number is bounded; no label is taken from a request.
package fgmetrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
)

// Outcomes of requests that were not refused.
const (
	// OutcomeAnswered means that the whole answer was passed on.
	OutcomeAnswered = "answered"
	// OutcomeCut means that an answer broke off after it had begun.
	OutcomeCut = "cut"
)

const namespace = "filbertgap"

var (
	// latencyBuckets resolve the targets of quick pages and reach the longest
	// usual deadline.
	latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}
	// drainBuckets reach from one request to the drain timeout and beyond.
	drainBuckets = []float64{.1, .5, 1, 3, 10, 30, 60, 90, 120, 300}
)

// Metrics are the metrics of one process.
type Metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	workspaceRequests *prometheus.CounterVec
	withinRate        *prometheus.CounterVec
	latency           *prometheus.HistogramVec
	inFlight          prometheus.Gauge
	freePermits       *prometheus.GaugeVec
	permits           *prometheus.GaugeVec
	drain             *prometheus.HistogramVec
	generation        prometheus.Gauge
}

// New returns metrics at zero.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total",
			Help: "Requests by route, outcome (answered, cut, not-run, unknown, ran) and code of the refusal."}, []string{"route", "outcome", "code"}),
		workspaceRequests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "workspace_requests_total",
			Help: "Requests by workspace and outcome. The worst-served workspace has the smallest part answered."}, []string{"workspace", "outcome"}),
		withinRate: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "refused_within_rate_total",
			Help: "Refused requests that were within their workspace's rate."}, []string{"workspace"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "request_seconds",
			Help: "Time from a request's arrival to the end of its answer, refusals left out.", Buckets: latencyBuckets}, []string{"route"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "requests_in_flight",
			Help: "Requests that have arrived and not ended."}),
		freePermits: prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "headroom_permits",
			Help: "Free upstream slots that this VM holds, by upstream group."}, []string{"group"}),
		permits: prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "permits",
			Help: "Upstream slots that this VM holds, by upstream group."}, []string{"group"}),
		drain: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "drain_seconds",
			Help: "Time from the beginning of a drain until nothing was in flight, by kind of target.", Buckets: drainBuckets}, []string{"target"}),
		generation: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "configuration_generation",
			Help: "Generation of the configuration in force."}),
	}
	m.registry.MustRegister(m.requests, m.workspaceRequests, m.withinRate, m.latency, m.inFlight, m.freePermits, m.permits, m.drain, m.generation,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	// Refusals begin at zero, so that the first one shows as an increase.
	for _, code := range fgproblem.Codes() {
		m.requests.WithLabelValues("", string(fgproblem.NotRun), string(code))
	}
	return m
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// Request is one request that is being measured.
type Request struct {
	metrics *Metrics
	start   time.Time
}

// Begin counts a request that has arrived. Its End must be called once.
func (m *Metrics) Begin() Request {
	m.inFlight.Inc()
	return Request{metrics: m, start: time.Now()}
}

// End records how a request ended. Route and workspace are empty when none was
// found. The refusal is nil for OutcomeAnswered and OutcomeCut.
func (r Request) End(route, workspace, outcome string, refusal *fgproblem.Problem) {
	m := r.metrics
	m.inFlight.Dec()
	code := ""
	if refusal != nil {
		code, outcome = string(refusal.Code()), string(refusal.Outcome())
		if workspace != "" && refusesWithinRate(refusal) {
			m.withinRate.WithLabelValues(workspace).Inc()
		}
	} else {
		m.latency.WithLabelValues(route).Observe(time.Since(r.start).Seconds())
	}
	m.requests.WithLabelValues(route, outcome, code).Inc()
	if workspace != "" {
		m.workspaceRequests.WithLabelValues(workspace, outcome).Inc()
	}
}

// refusesWithinRate reports whether a refusal hits a request that its
// workspace's rate covers. Such a request has passed the rate before it was
// refused, or was refused for the state of the system.
func refusesWithinRate(p *fgproblem.Problem) bool {
	if p.Outcome() != fgproblem.NotRun {
		return false
	}
	switch p.Code() {
	case fgproblem.CodeNoCapacity, fgproblem.CodeNoUpstream, fgproblem.CodeDeadline, fgproblem.CodeStale, fgproblem.CodeLeaving, fgproblem.CodePlatform:
		return true
	default:
		return false
	}
}

// RefusedWithinRate counts a refusal for the rate that hit a workspace although
// the fleet as a whole had tokens left for it.
func (m *Metrics) RefusedWithinRate(workspace string) {
	m.withinRate.WithLabelValues(workspace).Inc()
}

// SetHeadroom records the slots of an upstream group that this VM holds, and
// how many of them are free.
func (m *Metrics) SetHeadroom(group string, free, total int64) {
	m.freePermits.WithLabelValues(group).Set(float64(free))
	m.permits.WithLabelValues(group).Set(float64(total))
}

// DrainEnded records how long a target took until nothing was in flight there.
func (m *Metrics) DrainEnded(target string, took time.Duration) {
	m.drain.WithLabelValues(target).Observe(took.Seconds())
}

// SetGeneration records the configuration in force.
func (m *Metrics) SetGeneration(generation uint64) { m.generation.Set(float64(generation)) }
