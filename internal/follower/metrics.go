package follower

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// handlerMetrics are the metrics of a Handler.
type handlerMetrics struct {
	granted        prometheus.Counter
	refused        prometheus.Counter
	children       prometheus.Gauge
	activeRevision prometheus.Gauge
}

func newHandlerMetrics(registerer prometheus.Registerer) *handlerMetrics {
	factory := promauto.With(registerer)
	return &handlerMetrics{
		granted: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_leases_granted_total", Help: "Leases granted to children.",
		}),
		refused: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_leases_refused_total", Help: "Calls answered without a lease.",
		}),
		children: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_lease_children", Help: "Direct children with a live lease.",
		}),
		activeRevision: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_revision_in_force", Help: "Highest revision that is surely in force below.",
		}),
	}
}

// followerMetrics are the metrics of a Follower.
type followerMetrics struct {
	calls            *prometheus.CounterVec
	upstreamSwitches prometheus.Counter
	revision         prometheus.Gauge
	fullPlans        prometheus.Counter
}

// Metric labels of call outcomes, in addition to the lease verdicts.
const (
	outcomeFailed      = "failed"
	outcomeInterrupted = "interrupted"
)

func newFollowerMetrics(registerer prometheus.Registerer) *followerMetrics {
	factory := promauto.With(registerer)
	return &followerMetrics{
		calls: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_follow_calls_total", Help: "Sync calls by outcome.",
		}, []string{"outcome"}),
		upstreamSwitches: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_follow_moves_total", Help: "Moves to another upstream.",
		}),
		revision: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_installed_revision", Help: "Installed configuration revision.",
		}),
		fullPlans: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_full_plans_total", Help: "Whole plans received in place of a delta.",
		}),
	}
}
