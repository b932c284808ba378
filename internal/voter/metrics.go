package voter

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	term          prometheus.Gauge
	leading       prometheus.Gauge
	commit        prometheus.Gauge
	applied       prometheus.Gauge
	diskFailed    prometheus.Gauge
	leaderChanges prometheus.Counter
	syncSeconds   prometheus.Histogram
	groupUnits    prometheus.Histogram
	proposals     *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	depth         *prometheus.GaugeVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	gauge := func(name, help string) prometheus.Gauge {
		return factory.NewGauge(prometheus.GaugeOpts{Name: "martenstage_consensus_" + name, Help: help})
	}
	return &metrics{
		term:       gauge("term_count", "Present term of the voter."),
		leading:    gauge("leading_bool", "1 while this voter leads."),
		commit:     gauge("commit_index", "Highest index known to be committed."),
		applied:    gauge("applied_index", "Highest index applied to the state machine."),
		diskFailed: gauge("disk_failed_bool", "1 once the disk has failed."),
		leaderChanges: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_consensus_leader_changes_total", Help: "Changes of the leader that this voter saw.",
		}),
		syncSeconds: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "martenstage_consensus_sync_seconds", Help: "Time to write and sync one group.",
			Buckets: prometheus.ExponentialBuckets(0.0002, 2, 16),
		}),
		groupUnits: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "martenstage_consensus_group_units", Help: "Units of writing that shared one sync.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 12),
		}),
		proposals: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_consensus_proposals_total", Help: "Proposals by whether the log took them.",
		}, []string{"result"}),
		dropped: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_consensus_dropped_messages_total", Help: "Messages dropped at a full ring.",
		}, []string{"direction"}),
		depth: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "martenstage_consensus_ring_items", Help: "Items that wait in a ring.",
		}, []string{"ring"}),
	}
}
