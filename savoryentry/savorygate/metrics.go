package savorygate

// This file defines the gate's metrics.

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const metricsPrefix = "savorycart"

// metrics are the metrics of one gate, in their own registry.
type metrics struct {
	registry *prometheus.Registry

	requests         *prometheus.CounterVec
	duration         *prometheus.HistogramVec
	firstEvent       *prometheus.HistogramVec
	eventGap         prometheus.Histogram
	missedObjectives *prometheus.CounterVec
	inFlight         prometheus.Gauge
	retries          *prometheus.CounterVec
	storeCalls       *prometheus.CounterVec
	peerCalls        *prometheus.CounterVec
	syncDuration     *prometheus.HistogramVec
	timerDelay       prometheus.Histogram
	storeReceived    prometheus.Counter
	orders           *prometheus.CounterVec
	dials            prometheus.Counter
	version          prometheus.Gauge
	configAge        prometheus.Gauge
	listAge          prometheus.Gauge
	servers          *prometheus.GaugeVec
	serverEnds       prometheus.Counter
	notices          *prometheus.CounterVec
	noticeWait       prometheus.Histogram
	memoryWaits      *prometheus.CounterVec
	promptParts      *prometheus.GaugeVec
	pacedServers     *prometheus.GaugeVec
	steeredRequests  *prometheus.CounterVec
	droppedResponses *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	heldBytes        prometheus.Gauge
	connections      prometheus.Gauge
	logDropped       prometheus.CounterFunc
}

func newMetrics(dropped func() int64) *metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 1.8, 16)
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: newCounterVec("requests_total", "Requests by kind of route, outcome and reason.", "kind", "outcome", "reason"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsPrefix, Name: "request_seconds", Help: "Time from the reading of a request to its end.", Buckets: buckets,
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsPrefix, Name: "first_seconds", Help: "Time to the answer or its first event.", Buckets: buckets,
		}, []string{"kind"}),
		eventGap: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsPrefix, Name: "gap_seconds", Help: "Pause before an event of a stream.", Buckets: buckets,
		}),
		missedObjectives: newCounterVec("late_total", "Answers that missed an objective, by kind of route.", "kind"),
		inFlight:         prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsPrefix, Name: "requests_in_flight", Help: "Requests in flight."}),
		retries:          newCounterVec("retries_total", "Requests sent again, by what is known of the failed one.", "verdict"),
		storeCalls:       newCounterVec("store_calls_total", "Calls of the platform's store by operation and result.", "operation", "result"),
		peerCalls:        newCounterVec("peer_calls_total", "Calls of other entries by operation and result.", "operation", "result"),
		syncDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsPrefix, Name: "sync_seconds", Help: "Time of an exchange with a peer: called until its response, answered to make the response.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2.5, 12),
		}, []string{"side"}),
		timerDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsPrefix, Name: "timer_delay_seconds", Help: "How late a timer fired: the entry waits for its processor.", Buckets: buckets,
		}),
		storeReceived: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsPrefix, Name: "store_received_bytes_total", Help: "Bytes of configurations and lists of servers received from the platform's store."}),
		orders:        newCounterVec("orders_total", "Orders to engines by kind and result.", "kind", "result"),
		dials:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsPrefix, Name: "server_connections_total", Help: "New connections to backend servers."}),
		configAge:     prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsPrefix, Name: "configuration_age_seconds", Help: "Time since the last reading of the store that found no newer configuration."}),
		version:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsPrefix, Name: "configuration_version", Help: "Version of the configuration in force."}),
		listAge:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsPrefix, Name: "list_age_seconds", Help: "Age of the list of servers."}),
		servers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsPrefix, Name: "servers", Help: "Backend servers by state.",
		}, []string{"state"}),
		serverEnds: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsPrefix, Name: "server_ends_total", Help: "Requests whose server ended before its answer went on."}),
		notices:    newCounterVec("server_notices_total", "Limits, pauses and departures that servers stated or ended, by kind; invalid ones by response.", "kind"),
		noticeWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsPrefix, Name: "notice_wait_seconds", Help: "Wait of requests for the limit or pause of a server.", Buckets: buckets,
		}),
		memoryWaits: newCounterVec("memory_waits_total", "Streams that waited for memory of engines, by outcome.", "outcome"),
		promptParts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsPrefix, Name: "prompt_parts", Help: "Parts of prompts under which servers ended, by state.",
		}, []string{"state"}),
		pacedServers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsPrefix, Name: "paced_servers", Help: "Backend servers by the state of their pace at this entry.",
		}, []string{"state"}),
		steeredRequests:  newCounterVec("paced_requests_total", "Requests that went elsewhere because a server was beyond its allowance, by kind of server.", "kind"),
		droppedResponses: newCounterVec("dropped_responses_total", "Responses of servers that were no answers, by what was wrong with the head.", "reason"),
		refusals:         newCounterVec("caller_refusals_total", "Callers that were refused, or whose connection was closed, to bound memory and connections.", "cause"),
		heldBytes:        prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsPrefix, Name: "caller_bytes", Help: "Bytes of heads and bodies in progress."}),
		connections:      prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsPrefix, Name: "caller_connections", Help: "Open connections of callers."}),
		logDropped: prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: metricsPrefix, Name: "log_lines_dropped_total", Help: "Log lines that were dropped.",
		}, func() float64 { return float64(dropped()) }),
	}
	m.registry.MustRegister(m.requests, m.duration, m.firstEvent, m.eventGap, m.missedObjectives, m.inFlight, m.retries, m.storeCalls, m.storeReceived, m.peerCalls, m.syncDuration, m.timerDelay, m.orders,
		m.dials, m.version, m.configAge, m.listAge, m.servers, m.serverEnds, m.notices, m.noticeWait, m.memoryWaits, m.promptParts, m.pacedServers, m.steeredRequests, m.droppedResponses, m.refusals, m.heldBytes, m.connections, m.logDropped, collectors.NewGoCollector())
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsPrefix, Name: name, Help: help}, labels)
}
