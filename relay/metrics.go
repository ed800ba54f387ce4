package relay

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the counters and histograms of a relay.
type metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	retries  *prometheus.CounterVec
	forwards *prometheus.CounterVec
	// served counts the requests of other hosts.
	served *prometheus.CounterVec
	// leaseWait is the time until another host works on a request no more.
	leaseWait *prometheus.HistogramVec
	lost      *prometheus.GaugeVec
	// evacuated and cold count the endpoints of a service that are in an evacuated failure
	// domain and those that are cold; permits counts the requests for permits of cold ones.
	evacuated, cold *prometheus.GaugeVec
	permits         *prometheus.CounterVec
	slowEngines     *prometheus.GaugeVec
	engineGap       *prometheus.GaugeVec
	rejections      *prometheus.CounterVec
	firstByte       *prometheus.HistogramVec
	duration        *prometheus.HistogramVec
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
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "corianderlever", Name: "relay_forwards_served_total", Help: "Requests served for other hosts by service and outcome.",
		}, []string{"service", "outcome"}),
		leaseWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "corianderlever", Name: "relay_lease_wait_seconds", Buckets: latencyBuckets,
			Help: "Wait for a lost host to work on a stream no more, before the stream is sent again, by service.",
		}, []string{"service"}),
		lost: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "corianderlever", Name: "relay_service_lost", Help: "Whether this host cannot connect to the endpoints of a service.",
		}, []string{"service"}),
		evacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "corianderlever", Name: "relay_evacuated_endpoints", Help: "Endpoints of a service that are in evacuated failure domains.",
		}, []string{"service"}),
		cold: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "corianderlever", Name: "relay_cold_endpoints", Help: "Endpoints of a service that are cold.",
		}, []string{"service"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "corianderlever", Name: "relay_cold_permits_total", Help: "Requests for permits of cold endpoints by service and whether they were granted.",
		}, []string{"service", "granted"}),
		slowEngines: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "corianderlever", Name: "relay_slow_engines", Help: "Engines whose events come slowly for their load, by service.",
		}, []string{"service"}),
		engineGap: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "corianderlever", Name: "relay_engine_gap_seconds", Help: "Time between two events at the median and the slowest engine of a service.",
		}, []string{"service", "engine"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "corianderlever", Name: "relay_gate_rejections_total",
			Help: "Requests rejected by the admission gate before an attempt was sent, by service, reason, team and engine priority.",
		}, []string{"service", "reason", "team", "priority"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "corianderlever", Name: "relay_first_byte_seconds", Help: "Time from arrival to the first byte of an answer.", Buckets: latencyBuckets,
		}, []string{"team", "priority"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "corianderlever", Name: "relay_request_seconds", Help: "Time from arrival to the end of an answer.", Buckets: latencyBuckets,
		}, []string{"team", "priority"}),
	}
	reg.MustRegister(
		m.requests, m.attempts, m.retries, m.forwards, m.served, m.leaseWait, m.lost, m.evacuated, m.cold, m.permits, m.slowEngines, m.engineGap, m.rejections,
		m.firstByte, m.duration,
	)
	return m
}
