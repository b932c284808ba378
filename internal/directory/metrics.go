package directory

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/quarantine"
)

type metrics struct {
	operations *prometheus.CounterVec
	seconds    *prometheus.HistogramVec
	changes    *prometheus.CounterVec
	instances  *prometheus.GaugeVec
	version    prometheus.Gauge
	evacuated  prometheus.Gauge
	metered    prometheus.Gauge
	// quarantined counts records by standing, quarantineOrders the orders that this node
	// applied as the leader.
	quarantined      *prometheus.GaugeVec
	quarantineOrders *prometheus.CounterVec
	// behind and stateAge describe the lag of the state that this node reports to routers.
	behind   prometheus.Gauge
	stateAge prometheus.Gauge
	// staleTransitions counts how often that state became stale.
	staleTransitions prometheus.Counter
	misdirected      prometheus.Counter
	// routerCalls counts calls by callKind and callOutcome; completeTables counts the complete
	// tables encoded for routers.
	routerCalls    *prometheus.CounterVec
	completeTables prometheus.Counter
	// loadServices, loadViewBytes and admitted describe the view of load that this node holds.
	loadServices  prometheus.Gauge
	loadViewBytes prometheus.Gauge
	admitted      *prometheus.GaugeVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		operations: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_directory_operations_total", Help: "Calls of operators and servers by kind and outcome.",
		}, []string{"operation", "outcome"}),
		seconds: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name: "martenstage_directory_operation_seconds", Help: "Time that calls of operators and servers took.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"operation"}),
		changes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_directory_member_changes_total", Help: "Changes of the group that this node made as its leader.",
		}, []string{"kind", "outcome"}),
		instances: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "martenstage_directory_instances_count", Help: "Known servers by state; `replaced` are earlier starts of servers that started again, which are in no other.",
		}, []string{"state"}),
		version: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_directory_document_version", Help: "Version of the routing document that this node holds.",
		}),
		evacuated: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_directory_evacuated_zones_count", Help: "Zones whose servers get no requests, by order of an operator.",
		}),
		metered: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_directory_metered_tenants_count", Help: "Tenants whose requests each need a token, since they have nearly used their limits up.",
		}),
		quarantined: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "martenstage_directory_quarantine_requests_count", Help: "Requests under which servers ended, by standing.",
		}, []string{"standing"}),
		quarantineOrders: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_directory_quarantine_orders_total", Help: "Orders about such requests that this node carried out as the leader, by kind.",
		}, []string{"kind"}),
		behind: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_directory_state_behind_entries", Help: "Entries of the log that this node knows to be committed and has not applied.",
		}),
		misdirected: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_directory_misdirected_calls_total", Help: "Calls of processes of another group, which were refused.",
		}),
		staleTransitions: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_directory_state_stale_total", Help: "How often the state of this node became out of date, so that routers left it.",
		}),
		routerCalls: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_directory_router_calls_total", Help: "Calls of routers by kind and outcome; abandoned ones lost their caller before the reply was ready.",
		}, []string{"kind", "outcome"}),
		completeTables: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_directory_complete_tables_encoded_total", Help: "Complete tables of servers that were encoded for routers.",
		}),
		loadServices: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_directory_load_services_count", Help: "Services that are short of capacity or have servers in trouble, as this node knows them.",
		}),
		loadViewBytes: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_directory_load_view_bytes", Help: "Size of the view of load that this node sends to routers.",
		}),
		admitted: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "martenstage_directory_admitted_ratio", Help: "Share of the requests of a route that routers admit, for the routes that are short of capacity, at most 32.",
		}, []string{"route"}),
		stateAge: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_directory_state_age_seconds", Help: "Time since the state of this node was last known to hold all that was acknowledged.",
		}),
	}
}

// setLoad updates the gauges from a view of load and its size in bytes.
func (m *metrics) setLoad(view loadview.View, bytes int) {
	m.loadServices.Set(float64(len(view.Services)))
	m.loadViewBytes.Set(float64(bytes))
	m.admitted.Reset()
	for _, route := range view.Routes[:min(len(view.Routes), loadview.MaxRoutes)] {
		m.admitted.WithLabelValues(route.Route).Set(route.Fraction)
	}
}

// setQuarantine updates the gauges from the quarantine records.
func (m *metrics) setQuarantine(records quarantine.Ledger) {
	quarantined := lo.CountBy(records.Records, func(r quarantine.Record) bool { return r.Quarantined })
	m.quarantined.WithLabelValues(quarantine.Quarantined.String()).Set(float64(quarantined))
	m.quarantined.WithLabelValues(quarantine.Suspected.String()).Set(float64(len(records.Records) - quarantined))
}

// replacingRegisterer lets a voter that is reopened in the same process register its collectors
// in place of the former ones.
type replacingRegisterer struct{ prometheus.Registerer }

// MustRegister registers collectors and replaces equal ones.
func (r replacingRegisterer) MustRegister(collectors ...prometheus.Collector) {
	for _, collector := range collectors {
		err := r.Register(collector)
		var registered prometheus.AlreadyRegisteredError
		if errors.As(err, &registered) {
			r.Unregister(registered.ExistingCollector)
			err = r.Register(collector)
		}
		if err != nil {
			panic(err)
		}
	}
}
