package scale

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/martenstage/martenstage/internal/metrics"
)

// Paths of a fleet's page.
const (
	pathMetrics = "/metrics"
	pathState   = "/state"
	pathReport  = "/report"
	pathChurn   = "/churn"
	pathFail    = "/fail"
)

// churnRequest sets the factor of SetChurn.
type churnRequest struct {
	Factor int64 `json:"factor"`
}

// Handler serves the metrics of the process and what a Run asks of a fleet.
func (f *Fleet) Handler(registry *prometheus.Registry) http.Handler {
	f.register(registry)
	mux := http.NewServeMux()
	mux.Handle("GET "+pathMetrics, metrics.Handler(registry))
	mux.HandleFunc("GET "+pathState, func(response http.ResponseWriter, _ *http.Request) {
		respond(response, f.State())
	})
	mux.HandleFunc("POST "+pathReport, answering(f.Report))
	mux.HandleFunc("POST "+pathChurn, answering(func(asked churnRequest) State {
		f.SetChurn(asked.Factor)
		return f.State()
	}))
	mux.HandleFunc("POST "+pathFail, answering(func(asked failRequest) failResponse {
		return failResponse{Failed: f.Fail(asked)}
	}))
	return mux
}

// answering decodes a request, and encodes what is answered to it.
func answering[Request, Response any](answer func(Request) Response) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		var asked Request
		if err := json.NewDecoder(request.Body).Decode(&asked); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
			return
		}
		respond(response, answer(asked))
	}
}

func respond(response http.ResponseWriter, value any) {
	response.Header().Set("Content-Type", "application/json")
	// The client went away if this fails; there is nobody left to tell.
	_ = json.NewEncoder(response).Encode(value)
}

// Names of the fleet's metrics.
const (
	metricReceived = "martenstage_hollow_received_bytes_total"
	metricSent     = "martenstage_hollow_sent_bytes_total"
)

func (f *Fleet) register(registerer prometheus.Registerer) {
	registerer.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: metricReceived, Help: "Bytes received on all connections of hollow followers.",
		}, func() float64 { return float64(f.traffic.received.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: metricSent, Help: "Bytes sent on all connections of hollow followers.",
		}, func() float64 { return float64(f.traffic.sent.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "martenstage_hollow_connections_opened_total", Help: "Connections opened by hollow followers.",
		}, func() float64 { return float64(f.traffic.connections.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "martenstage_hollow_followers_count", Help: "Hollow followers with a lease.",
		}, func() float64 { return float64(f.State().Holding) }),
	)
}
