package backend

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Dependencies are the logger and the metrics registry of a Client.
type Dependencies struct {
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

type clientMetrics struct {
	dials           prometheus.Counter
	dialFailures    prometheus.Counter
	deadConnections prometheus.Counter
	cancelsSent     prometheus.Counter
	badReplies      *prometheus.CounterVec
	attemptFailures *prometheus.CounterVec
}

func newClientMetrics(registerer prometheus.Registerer) *clientMetrics {
	metrics := &clientMetrics{
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_backend_dials_total", Help: "Connections opened to back ends."}),
		dialFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_backend_dial_failures_total", Help: "Connections that could not be opened."}),
		deadConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_backend_dead_connections_total",
			Help: "Kept connections found dead before a byte of a query was written; another one was taken."}),
		cancelsSent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_backend_cancels_total", Help: "Cancellations sent to back ends."}),
		badReplies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_backend_bad_replies_total", Help: "Replies dropped because echo, digest or form was wrong."},
			[]string{"cause"}),
		attemptFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_backend_attempt_failures_total", Help: "Attempts without a part, by verdict and reason."},
			[]string{"verdict", "reason"}),
	}
	registerer.MustRegister(metrics.dials, metrics.dialFailures, metrics.deadConnections, metrics.cancelsSent,
		metrics.badReplies, metrics.attemptFailures)
	return metrics
}
