package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	requests       *prometheus.CounterVec
	seconds        prometheus.Histogram
	extras         prometheus.Counter
	denied         prometheus.Counter
	missing        prometheus.Counter
	followFailures prometheus.Counter
	slicesAsked    prometheus.Counter
	slicesFailed   prometheus.Counter
	slicesServed   prometheus.Counter
	misdirected    *prometheus.CounterVec
	version        prometheus.Gauge
	evacuated      prometheus.Gauge
	// tenantRefusals counts requests refused for their key or rate limit.
	tenantRefusals *prometheus.CounterVec
	metered        prometheus.Gauge
	isolated       prometheus.Gauge
	// Requests that crash servers.
	serversEnded       prometheus.Counter
	refusedQuarantined prometheus.Counter
	ordersDropped      prometheus.Counter
	trials             *prometheus.CounterVec
	quarantined        *prometheus.GaugeVec
	// Requests refused for lack of capacity, and the reservations of client retries.
	admissionRefusals *prometheus.CounterVec
	reservations      *prometheus.CounterVec
	// Server and node changes reported by the directory.
	departures       prometheus.Counter
	directoryChanges prometheus.Counter
	// invariantsBroken counts commands that this router's own code must never give.
	invariantsBroken prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Name: "martenstage_gateway_" + name, Help: help})
	}
	return &metrics{
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_gateway_requests_total", Help: "Ended requests by outcome and status.",
		}, []string{"outcome", "status"}),
		seconds: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "martenstage_gateway_request_seconds", Help: "Time from the arrival of a request to its end.",
			Buckets: prometheus.ExponentialBuckets(0.002, 1.6, 20),
		}),
		extras:       counter("extra_attempts_total", "Hedges and retries."),
		denied:       counter("denied_attempts_total", "Hedges and retries that the budget did not pay for."),
		missing:      counter("missing_parts_total", "Shards left out of answers."),
		slicesAsked:  counter("slices_asked_total", "Slices that other routers were asked for."),
		slicesFailed: counter("slices_failed_total", "Slices that other routers did not bring, so that they were gathered here."),
		slicesServed: counter("slices_served_total", "Slices gathered for other routers."),
		misdirected: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_gateway_misdirected_calls_total", Help: "Calls that reached another process than the one that they were meant for, received or sent.",
		}, []string{"direction"}),
		serversEnded:       counter("servers_ended_total", "Servers that had ended when an attempt at them broke off."),
		refusedQuarantined: counter("quarantined_requests_total", "Requests refused because they end the servers that run them."),
		ordersDropped:      counter("quarantine_orders_dropped_total", "Reports about such requests that were dropped because too many waited to be told."),
		trials: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_gateway_trials_total", Help: "Suspected requests that were tried at one server, by outcome.",
		}, []string{"outcome"}),
		quarantined: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "martenstage_gateway_quarantine_requests_count", Help: "Requests under which servers ended, as this router knows them, by standing.",
		}, []string{"standing"}),
		admissionRefusals: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_gateway_admission_refusals_total", Help: "Requests refused for lack of capacity, by whether the share of the route or that of the tenant refused them.",
		}, []string{"reason"}),
		reservations: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_gateway_reservations_total", Help: "Refused requests that were given a reservation or none, and requests admitted by their reservation alone.",
		}, []string{"outcome"}),
		departures:       counter("departures_total", "Departures of servers that directory nodes told."),
		directoryChanges: counter("directory_changes_total", "Changes of the directory node that is followed, or of its start."),
		invariantsBroken: counter("invariants_broken_total", "Commands for a request that had ended, which were not carried out: a fault of the router."),
		followFailures:   counter("follow_failures_total", "Failed calls to directory nodes."),
		version: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_gateway_document_version", Help: "Version of the routing document in force.",
		}),
		tenantRefusals: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_gateway_tenant_refusals_total", Help: "Requests refused for their key or for the limit of their tenant, by reason.",
		}, []string{"reason"}),
		metered: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_gateway_metered_tenants_count", Help: "Tenants whose requests each need a token, as this router knows them.",
		}),
		isolated: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_gateway_isolated_bool", Help: "1 while routers of the own zone are reached and none of any other.",
		}),
		evacuated: factory.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_gateway_evacuated_zones_count", Help: "Zones whose servers get no requests, by order of an operator.",
		}),
	}
}

// registerViewAge registers the age, in seconds, of this router's knowledge of servers.
func (m *metrics) registerViewAge(registerer prometheus.Registerer, age func() float64) {
	promauto.With(registerer).NewGaugeFunc(prometheus.GaugeOpts{
		Name: "martenstage_gateway_view_age_seconds", Help: "Time since what this router knows of servers was last known to hold all that was acknowledged.",
	}, age)
}

// registerLoadViewAge registers the age, in seconds, of the figures of load that this router holds.
func (m *metrics) registerLoadViewAge(registerer prometheus.Registerer, age func() float64) {
	promauto.With(registerer).NewGaugeFunc(prometheus.GaugeOpts{
		Name: "martenstage_gateway_load_view_age_seconds", Help: "Age of the figures of load that this router holds; 0 while it holds none.",
	}, age)
}
