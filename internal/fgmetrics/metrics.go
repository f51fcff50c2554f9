// Package fgmetrics holds the Prometheus metrics of an entry process or a gateway
// process. Each process has its own registry. Label values are names of declared
// resources and constants, never data of a request, so their number is bounded.
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
	// OutcomeAnswered means that the complete response was forwarded.
	OutcomeAnswered = "answered"
	// OutcomeCut means that the response was truncated.
	OutcomeCut = "cut"
)

const namespace = "filbertgap"

var (
	// latencyBuckets are in seconds. They resolve the latency targets of fast pages
	// and reach the longest typical deadline.
	latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}
	// drainBuckets are in seconds. They range from the duration of one request to
	// beyond the drain timeout.
	drainBuckets = []float64{.1, .5, 1, 3, 10, 30, 60, 90, 120, 300}
)

// Metrics holds the metrics of one entry process.
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

// New returns metrics that start at zero.
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
	// Export a zero for each refusal code, so that the first refusal shows as an
	// increase.
	for _, code := range fgproblem.Codes() {
		m.requests.WithLabelValues("", string(fgproblem.NotRun), string(code))
	}
	return m
}

// Handler serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// Request is one request that is being measured.
type Request struct {
	metrics *Metrics
	start   time.Time
}

// Begin counts a request as in flight. End must be called once on the result.
func (m *Metrics) Begin() Request {
	m.inFlight.Inc()
	return Request{metrics: m, start: time.Now()}
}

// End records how a request ended. Route and workspace are empty if they were not
// determined. The refusal is nil for OutcomeAnswered and OutcomeCut; otherwise its
// own outcome is recorded.
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

// refusesWithinRate reports whether a refused request was within its workspace's
// rate: it had passed the rate limiter, or was refused because of the state of
// the system.
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

// RefusedWithinRate counts a request that was refused for exceeding the rate of
// its workspace, although the fleet as a whole still had tokens for the workspace.
func (m *Metrics) RefusedWithinRate(workspace string) {
	m.withinRate.WithLabelValues(workspace).Inc()
}

// SetHeadroom records how many slots of an upstream group this VM holds, and how
// many of them are free.
func (m *Metrics) SetHeadroom(group string, free, total int64) {
	m.freePermits.WithLabelValues(group).Set(float64(free))
	m.permits.WithLabelValues(group).Set(float64(total))
}

// DrainEnded records the time from the start of a drain until no request was in
// flight; target is the kind of the drained resource.
func (m *Metrics) DrainEnded(target string, took time.Duration) {
	m.drain.WithLabelValues(target).Observe(took.Seconds())
}

// SetGeneration records the generation of the applied configuration.
func (m *Metrics) SetGeneration(generation uint64) { m.generation.Set(float64(generation)) }
