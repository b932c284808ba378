package router

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/martenstage/martenstage/internal/query"
)

// Kinds of attempts, as metric label values.
const (
	kindFirst = "first"
	kindHedge = "hedge"
	kindRetry = "retry"
)

type routerMetrics struct {
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	missing        *prometheus.CounterVec
	forwards       *prometheus.CounterVec
	cancelsDropped prometheus.Counter
	probes         *prometheus.CounterVec
	revision       prometheus.Gauge
}

// latencyBuckets spans 0.5 ms to about 8 s in factors of two.
var latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 15)

func newRouterMetrics(registerer prometheus.Registerer) *routerMetrics {
	created := &routerMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_router_requests_total", Help: "Answered requests by route, verdict and reason."},
			[]string{"route", "verdict", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "martenstage_router_request_seconds", Help: "Time from arrival to answer.", Buckets: latencyBuckets},
			[]string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_router_attempts_total", Help: "Attempts by service and kind (first, hedge, retry)."},
			[]string{"service", "kind"}),
		missing: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_router_missing_shards_total", Help: "Shards missing from answers, by route and reason."},
			[]string{"route", "reason"}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_router_forwards_total", Help: "Requests offered to a router of the service's cell, by verdict."},
			[]string{"service", "verdict"}),
		cancelsDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_router_cancels_dropped_total", Help: "Cancellations not sent because too many waited."}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_router_probes_total", Help: "Health probes of back ends by outcome (answered, unanswered)."},
			[]string{"outcome"}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_router_config_revision", Help: "Revision of the configuration in force."}),
	}
	registerer.MustRegister(created.requests, created.latency, created.attempts,
		created.missing, created.forwards, created.cancelsDropped, created.probes, created.revision)
	return created
}

// registerLoop exposes the ring depths of one engine.
func registerLoop(registerer prometheus.Registerer, loop *engineLoop) {
	depth := func(ring string, read func() int) {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "martenstage_router_ring_depth",
			Help:        "Items waiting in a ring of an engine.",
			ConstLabels: prometheus.Labels{"engine": strconv.Itoa(loop.index), "ring": ring},
		}, func() float64 { return float64(read()) }))
	}
	depth("admissions", loop.admissions.Depth)
	depth("notices", loop.notices.Depth)
	depth("outcomes", loop.outcomes.Depth)
}

func (m *routerMetrics) countAttempt(attempt query.Send) {
	kind := kindFirst
	switch {
	case attempt.Hedge:
		kind = kindHedge
	case attempt.Retry:
		kind = kindRetry
	}
	m.attempts.WithLabelValues(attempt.Service, kind).Inc()
}

func (m *routerMetrics) countProbe(answered bool) {
	outcome := "unanswered"
	if answered {
		outcome = "answered"
	}
	m.probes.WithLabelValues(outcome).Inc()
}

func (m *routerMetrics) countAnswer(route string, answer query.Answer, elapsed time.Duration) {
	reason := ""
	if answer.Err != nil {
		reason = string(answer.Err.Reason)
	}
	m.requests.WithLabelValues(route, answer.Verdict.String(), reason).Inc()
	m.latency.WithLabelValues(route).Observe(elapsed.Seconds())
	for _, shard := range answer.Missing {
		m.missing.WithLabelValues(route, string(shard.Reason)).Inc()
	}
}
