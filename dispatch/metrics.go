package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/resource"
)

const namespace = "corianderlever"

// labelOther replaces the names of undeclared resources, which bounds the number of
// label values.
const labelOther = "other"

// metrics are the metrics of a dispatcher.
type metrics struct {
	latency    *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec
	wait       *prometheus.HistogramVec
	cost       *prometheus.HistogramVec
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	decisions  *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	byClass := []string{"team", "rank"}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: name, Help: help, Buckets: buckets,
		}, byClass)
	}
	m := &metrics{
		latency:    histogram("request_duration_seconds", "Time from arrival to the complete answer.", prometheus.ExponentialBuckets(0.005, 2, 15)),
		firstToken: histogram("first_token_seconds", "Time from arrival to the first token.", prometheus.ExponentialBuckets(0.005, 2, 12)),
		wait:       histogram("admission_wait_seconds", "Time spent in the admission queue.", prometheus.ExponentialBuckets(0.001, 2, 18)),
		cost:       histogram("request_cost_units", "Billed cost of a request in price units.", prometheus.ExponentialBuckets(0.001, 4, 10)),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by outcome code.",
		}, []string{"team", "rank", "code"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts at endpoints by result.",
		}, []string{"result"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "decisions_total", Help: "Decisions by kind and result.",
		}, []string{"decision", "result"}),
	}
	reg.MustRegister(m.latency, m.firstToken, m.wait, m.cost, m.requests, m.attempts, m.decisions)
	return m
}

// classLabels returns the label values of a team and a rank.
func classLabels(snap *resource.Snapshot, team, rank string) (string, string) {
	if snap.Teams[team] == nil {
		team = labelOther
	}
	if snap.Ranks[rank] == nil {
		rank = labelOther
	}
	return team, rank
}

func observe(h *prometheus.HistogramVec, team, rank string, d time.Duration) {
	h.WithLabelValues(team, rank).Observe(d.Seconds())
}
