// Package metrics creates and serves the Prometheus registry of a process.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/martenstage/martenstage/internal/buildinfo"
)

// NewRegistry returns a registry with the collectors common to all roles.
func NewRegistry(role string) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	build := prometheus.NewGauge(prometheus.GaugeOpts{
		Name:        "martenstage_build_info",
		Help:        "Always 1; the labels tell role and version.",
		ConstLabels: prometheus.Labels{"role": role, "version": buildinfo.String()},
	})
	build.Set(1)
	registry.MustRegister(build, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// Handler returns an HTTP handler that serves the metrics of a registry.
func Handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{Registry: registry})
}
