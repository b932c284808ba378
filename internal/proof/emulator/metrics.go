package emulator

import "github.com/prometheus/client_golang/prometheus"

// Outcomes of queries in the metrics.
const (
	outcomeExecuted = "executed"
	outcomeRefused  = "refused"
	outcomeGivenUp  = "canceled"
)

var (
	queriesDescription = prometheus.NewDesc("martenstage_emulator_queries_total",
		"Queries that emulated back ends executed, refused, or ended because their client gave them up.", []string{"outcome"}, nil)
	connectionsDescription = prometheus.NewDesc("martenstage_emulator_connections",
		"Open connections of all emulated back ends.", nil, nil)
	connectionsRefusedDescription = prometheus.NewDesc("martenstage_emulator_connections_refused_total",
		"Connections closed because of a limit.", nil, nil)
	inFlightDescription = prometheus.NewDesc("martenstage_emulator_queries_in_flight",
		"Queries that hold a slot.", nil, nil)
	faultsDescription = prometheus.NewDesc("martenstage_emulator_faults",
		"Faults under way.", nil, nil)
)

// Describe implements prometheus.Collector.
func (f *Fleet) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(f, descriptions)
}

// Collect implements prometheus.Collector. It sums over all back ends; the
// state call tells them apart.
func (f *Fleet) Collect(metrics chan<- prometheus.Metric) {
	var total Counts
	for _, server := range f.servers {
		counts := server.Counts()
		total.Executed += counts.Executed
		total.Refused += counts.Refused
		total.Canceled += counts.Canceled
		total.ConnectionsRefused += counts.ConnectionsRefused
		total.OpenConnections += counts.OpenConnections
		total.InFlight += counts.InFlight
	}
	counter := func(description *prometheus.Desc, value int64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(description *prometheus.Desc, value int64) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value))
	}
	counter(queriesDescription, total.Executed, outcomeExecuted)
	counter(queriesDescription, total.Refused, outcomeRefused)
	counter(queriesDescription, total.Canceled, outcomeGivenUp)
	counter(connectionsRefusedDescription, total.ConnectionsRefused)
	gauge(connectionsDescription, total.OpenConnections)
	gauge(inFlightDescription, int64(total.InFlight))
	gauge(faultsDescription, int64(len(f.faultDocuments())))
}
