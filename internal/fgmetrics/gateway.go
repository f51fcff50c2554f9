package fgmetrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Gateway holds the metrics of one gateway process.
type Gateway struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	sends    *prometheus.CounterVec
	peers    *prometheus.CounterVec
	detours  *prometheus.CounterVec
	loads    *prometheus.CounterVec
	placed   *prometheus.CounterVec
	seconds  *prometheus.CounterVec
	// The following are of groups about which admission decides.
	refused *prometheus.CounterVec
	waiting *prometheus.GaugeVec
	waits   *prometheus.HistogramVec
	// withinRate counts refusals for a rate that its workspace did not exceed.
	withinRate *prometheus.CounterVec
	start      *prometheus.GaugeVec
}

// GatewayCallbacks holds functions that return the current values of metrics. They
// are called at each scrape.
type GatewayCallbacks struct {
	StoreAge         func() time.Duration
	StoreCopyAge     func() time.Duration
	StoreRevision    func() uint64
	StoreEra         func() uint64
	PolicyVersion    func() int64
	Members          func() int
	Upstreams        func() int
	LimitedUpstreams func() int
	// SignalCounts returns the numbers of upstreams that leave and that pause.
	SignalCounts      func() (leaving, paused int)
	PathStatus        func() int
	ConnectionsOpened func() int64
	ConnectionsReused func() int64
	// ConnectionsNotReset counts connections that were closed in an exchange without a reset.
	ConnectionsNotReset func() int64
	CallerConnections   func() int64
	DroppedLines        func() int64
	// GroupRoom returns the free part of the slots by group.
	GroupRoom func() map[string]float64
}

// NewGateway returns metrics that start at zero.
func NewGateway(c GatewayCallbacks) *Gateway {
	m := &Gateway{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_requests_total",
			Help: "Callers' requests by route and how they ended: answered, or the code of the gateway's own answer."}, []string{"route", "end"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "gateway_request_seconds",
			Help: "Time from a request's arrival to the end of its answer, refusals included.", Buckets: latencyBuckets}, []string{"route"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_sends_total",
			Help: "Requests handed to upstreams by group and how they ended."}, []string{"group", "result"}),
		peers: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_peer_bytes_total",
			Help: "Bytes sent to other gateways by kind and by how far they travel: zone, region, remote."}, []string{"kind", "reach"}),
		detours: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_detours_total",
			Help: "Requests sent through other gateways by how they ended."}, []string{"result"}),
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_load_reports_total",
			Help: "Loads of upstreams told to and by gateways of the zone: out, or in and newer than what was known."}, []string{"direction"}),
		placed: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_placements_total",
			Help: "Upstreams chosen by group: the first candidate for the request, or another one."}, []string{"group", "candidate"}),
		seconds: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_second_sends_total",
			Help: "Second sends of slow requests by group and how they ended, or why there was none."}, []string{"group", "end"}),
	}
	m.start = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_start_seconds",
		Help: "Time from the start of the process to the end of each step of its start."}, []string{"step"})
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_admission_refused_total",
		Help: "Requests refused for lack of room by priority and cause."}, []string{"priority", "cause"})
	m.waiting = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_admission_waiting",
		Help: "Requests that wait for room by priority."}, []string{"priority"})
	m.waits = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "gateway_admission_wait_seconds",
		Help: "Time that requests waited for room by priority and how the wait ended.", Buckets: latencyBuckets}, []string{"priority", "end"})
	m.withinRate = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_refused_within_rate_total",
		Help: "Requests refused for the rate of a workspace that was within it."}, []string{"workspace"})
	m.registry.MustRegister(m.requests, m.latency, m.sends, m.peers, m.detours, m.loads, m.placed, m.seconds, m.refused, m.waiting, m.waits, m.withinRate, m.start, roomCollector{c.GroupRoom},
		gauge("gateway_store_age_seconds", "Time since the platform's store last answered.", func() float64 { return c.StoreAge().Seconds() }),
		gauge("gateway_store_copy_age_seconds", "Time since the copy of the store was last known to hold all changes.", func() float64 { return c.StoreCopyAge().Seconds() }),
		gauge("gateway_store_revision", "Revision of the store that is in force here.", func() float64 { return float64(c.StoreRevision()) }),
		gauge("gateway_store_era", "Era of the store's copy here. It rises when the store is restored from an older copy.", func() float64 { return float64(c.StoreEra()) }),
		gauge("gateway_policy_version", "Version of the policy in force.", func() float64 { return float64(c.PolicyVersion()) }),
		gauge("gateway_members", "Registered gateways.", func() float64 { return float64(c.Members()) }),
		gauge("gateway_upstreams", "Upstreams that may get requests.", func() float64 { return float64(c.Upstreams()) }),
		gauge("gateway_upstreams_limited", "Upstreams that name a limit in their responses.", func() float64 { return float64(c.LimitedUpstreams()) }),
		gauge("gateway_upstreams_leaving", "Upstreams that have said that they leave.", func() float64 { leaving, _ := c.SignalCounts(); return float64(leaving) }),
		gauge("gateway_upstreams_paused", "Upstreams that have refused a request and want none for a while.", func() float64 { _, paused := c.SignalCounts(); return float64(paused) }),
		gauge("gateway_upstream_path", "Path to the upstreams: 0 open, 1 no new connections, 2 lost.", func() float64 { return float64(c.PathStatus()) }),
		counter("gateway_connections_opened_total", "Connections opened to upstreams.", c.ConnectionsOpened),
		counter("gateway_connections_reused_total", "Requests sent over a kept connection.", c.ConnectionsReused),
		counter("gateway_connections_not_reset_total", "Connections with an unfinished exchange that were closed without a reset.", c.ConnectionsNotReset),
		counter("gateway_caller_connections_total", "Connections accepted from callers.", c.CallerConnections),
		counter("gateway_log_lines_dropped_total", "Log lines dropped because the output was too slow.", c.DroppedLines),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value)
}

func counter(name, help string, value func() int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(value()) })
}

// Handler serves the metrics in the Prometheus format.
func (m *Gateway) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// RequestEnded records a request of a caller. The route is empty if none matched;
// end is the gateway's code for how the request ended, such as "answered".
func (m *Gateway) RequestEnded(route, end string, took time.Duration) {
	m.requests.WithLabelValues(route, end).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// PeerBytes records bytes that were sent to other gateways.
func (m *Gateway) PeerBytes(kind, reach string, n int) {
	m.peers.WithLabelValues(kind, reach).Add(float64(n))
}

// StartStep records how long after the start of the process a step of it ended.
func (m *Gateway) StartStep(step string, took time.Duration) {
	m.start.WithLabelValues(step).Set(took.Seconds())
}

// SendEnded records a send of a request to an upstream of a group.
func (m *Gateway) SendEnded(group, result string) { m.sends.WithLabelValues(group, result).Inc() }

// Placed records that an upstream was chosen for a request. preferred means that it is the
// first candidate.
func (m *Gateway) Placed(group string, preferred bool) {
	candidate := "other"
	if preferred {
		candidate = "preferred"
	}
	m.placed.WithLabelValues(group, candidate).Inc()
}

// SecondSend records how a second send of a request ended, or why there was none.
func (m *Gateway) SecondSend(group, end string) { m.seconds.WithLabelValues(group, end).Inc() }

// LoadReports records loads of upstreams that were told to other gateways ("out") or
// taken over from them ("in").
func (m *Gateway) LoadReports(direction string, n int) {
	m.loads.WithLabelValues(direction).Add(float64(n))
}

// RefusedWithinRate records a request that was refused for the rate of a workspace
// that was within it.
func (m *Gateway) RefusedWithinRate(workspace string) { m.withinRate.WithLabelValues(workspace).Inc() }

// DetourEnded records a request that was sent through another gateway.
func (m *Gateway) DetourEnded(result string) { m.detours.WithLabelValues(result).Inc() }

// AdmissionRefused records a request that was refused for lack of room.
func (m *Gateway) AdmissionRefused(priority int, cause string) {
	m.refused.WithLabelValues(strconv.Itoa(priority), cause).Inc()
}

// WaitBegan records a request that waits for room. WaitEnded must be called once.
func (m *Gateway) WaitBegan(priority int) { m.waiting.WithLabelValues(strconv.Itoa(priority)).Inc() }

// WaitEnded records the end of a wait for room.
func (m *Gateway) WaitEnded(priority int, end string, took time.Duration) {
	m.waiting.WithLabelValues(strconv.Itoa(priority)).Dec()
	m.waits.WithLabelValues(strconv.Itoa(priority), end).Observe(took.Seconds())
}

// roomCollector reads the free part of the slots of each group when it is scraped.
type roomCollector struct{ room func() map[string]float64 }

var roomDescription = prometheus.NewDesc(namespace+"_gateway_group_room", "Free part of the slots by group, as upstreams reported lately.", []string{"group"}, nil)

// Describe implements prometheus.Collector.
func (c roomCollector) Describe(ch chan<- *prometheus.Desc) { ch <- roomDescription }

// Collect implements prometheus.Collector.
func (c roomCollector) Collect(ch chan<- prometheus.Metric) {
	for group, room := range c.room() {
		ch <- prometheus.MustNewConstMetric(roomDescription, prometheus.GaugeValue, room, group)
	}
}
