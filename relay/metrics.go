package relay

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the counters and histograms of a relay.
type metrics struct {
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	forwards   *prometheus.CounterVec
	lost       *prometheus.GaugeVec
	rejections *prometheus.CounterVec
	firstByte  *prometheus.HistogramVec
	duration   *prometheus.HistogramVec
}

// latencyBuckets cover the target latencies of short calls and of long streams, in
// seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "corianderlever", Name: "relay_requests_total", Help: "Requests by team, priority and outcome.",
		}, []string{"team", "priority", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "corianderlever", Name: "relay_attempts_total", Help: "Attempts at endpoints by service and outcome.",
		}, []string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "corianderlever", Name: "relay_repeats_total", Help: "Retries by service and whether the retry budget granted them.",
		}, []string{"service", "granted"}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "corianderlever", Name: "relay_forwards_total", Help: "Requests forwarded to other hosts by service and their outcome.",
		}, []string{"service", "outcome"}),
		lost: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "corianderlever", Name: "relay_service_lost", Help: "Whether this host cannot connect to the endpoints of a service.",
		}, []string{"service"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "corianderlever", Name: "relay_gate_rejections_total", Help: "Requests rejected before their first attempt by service, reason, team and engine priority.",
		}, []string{"service", "reason", "team", "priority"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "corianderlever", Name: "relay_first_byte_seconds", Help: "Time from arrival to the first byte of an answer.", Buckets: latencyBuckets,
		}, []string{"team", "priority"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "corianderlever", Name: "relay_request_seconds", Help: "Time from arrival to the end of an answer.", Buckets: latencyBuckets,
		}, []string{"team", "priority"}),
	}
	reg.MustRegister(m.requests, m.attempts, m.retries, m.forwards, m.lost, m.rejections, m.firstByte, m.duration)
	return m
}
