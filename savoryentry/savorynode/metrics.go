package savorynode

// This file defines the entry's metrics.

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const metricsPrefix = "savorycart"

// metrics holds an entry's metrics. Each entry has its own registry, so that
// several entries can run in one process.
type metrics struct {
	registry *prometheus.Registry

	requests      *prometheus.CounterVec
	firstToken    prometheus.Histogram
	betweenTokens prometheus.Histogram
	recovery      prometheus.Histogram
	inFlight      prometheus.Gauge
	waitingTokens prometheus.Gauge
	retries       *prometheus.CounterVec
	tokens        *prometheus.CounterVec
	claims        *prometheus.CounterVec
	revision      prometheus.Gauge
	configDelay   prometheus.Histogram
	storeCalls    *prometheus.CounterVec
	peersLive     prometheus.Gauge
	peerBytes     *prometheus.GaugeVec
	connections   prometheus.Gauge
	orders        *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	heldBytes     prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry:      prometheus.NewRegistry(),
		requests:      counter("requests_total", "Requests by kind, status and verdict.", "kind", "status", "verdict"),
		firstToken:    histogram("first_token_seconds", "Time to the first token.", prometheus.ExponentialBuckets(0.005, 1.7, 16)),
		betweenTokens: histogram("between_tokens_seconds", "Time between two tokens.", prometheus.ExponentialBuckets(0.001, 1.6, 16)),
		recovery:      histogram("recovery_seconds", "Time from the last token before a failure to the next token.", prometheus.ExponentialBuckets(0.01, 1.8, 14)),
		inFlight:      gauge("requests_in_flight", "Requests in flight."),
		waitingTokens: gauge("queue_tokens", "Estimated prompt tokens that wait at the engines that this entry uses."),
		retries:       counter("retries_total", "Further attempts by reason.", "reason"),
		tokens:        counter("tokens_total", "Tokens by what was decided on them.", "outcome"),
		claims:        counter("claims_total", "Requests under an idempotency key by outcome.", "outcome"),
		revision:      gauge("configuration_revision", "Revision of the configuration in force."),
		configDelay:   histogram("configuration_delay_seconds", "Time from the acceptance of a revision until it is in force here.", prometheus.ExponentialBuckets(0.005, 2, 14)),
		storeCalls:    counter("store_calls_total", "Calls of the platform's store by operation and result.", "operation", "result"),
		peersLive:     gauge("peers_live", "Other entries that answer."),
		peerBytes:     gauges("peer_bytes", "Bytes exchanged with other entries.", "direction"),
		connections:   gauge("caller_connections", "Open connections of callers."),
		refusals:      counter("caller_refusals_total", "Callers that were refused, or whose connection was closed, to bound memory and connections.", "cause"),
		heldBytes:     gauge("caller_bytes", "Bytes of heads and bodies in progress."),
		orders:        counter("orders_total", "Orders to engines by result.", "result"),
	}
	m.registry.MustRegister(m.requests, m.firstToken, m.betweenTokens, m.recovery, m.inFlight, m.waitingTokens, m.retries,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.tokens, m.claims, m.revision, m.configDelay, m.storeCalls, m.peersLive, m.peerBytes, m.connections, m.orders, m.refusals, m.heldBytes)
	return m
}

// recordStoreCall counts one call to the store.
func (m *metrics) recordStoreCall(op string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.storeCalls.WithLabelValues(op, result).Inc()
}

func (m *metrics) observe(h prometheus.Histogram, d time.Duration) { h.Observe(d.Seconds()) }

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsPrefix, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsPrefix, Name: name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: metricsPrefix, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metricsPrefix, Name: name, Help: help, Buckets: buckets})
}
