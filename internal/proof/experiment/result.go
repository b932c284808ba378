package experiment

import (
	"time"

	"github.com/martenstage/martenstage/internal/proof/judge"
	"github.com/martenstage/martenstage/internal/proof/report"
)

// Result is the outcome of an experiment.
type Result struct {
	Scenario   string  `json:"scenario"`
	Deployment string  `json:"deployment"`
	Virtual    bool    `json:"virtual"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// MedianMs is the median service time and Slots the slots of every back
	// end, where they are not those of the configuration (0): both change with
	// the scenario over sockets.
	MedianMs float64 `json:"service_time_median_ms"`
	Slots    int     `json:"slots,omitempty"`
	// DisturbedSeconds is how many seconds of a run over sockets were left out
	// of the sums of all variants, because the machine was too busy.
	DisturbedSeconds int                      `json:"disturbed_seconds,omitempty"`
	Variants         map[string]VariantResult `json:"variants"`
}

// describe notes the size of the back ends that the variants met.
func (r *Result) describe(made *setting, config *Config) {
	r.MedianMs = float64(made.model.Default.Median) / float64(time.Millisecond)
	r.Slots = config.Slots
}

// VariantResult is the outcome of one variant.
type VariantResult struct {
	Routes     map[string]RouteResult `json:"routes"`
	Violations int                    `json:"violations"`
	// First holds the first violations, for a person to look at.
	First []judge.Violation `json:"first_violations,omitempty"`
	// LastWorkAfterLeavingMs is the longest time after its departure began at
	// which a leaving server still got a query.
	LastWorkAfterLeavingMs float64 `json:"last_work_after_leaving_ms"`
	// Probes is how many probes the routers made of all servers, on the virtual
	// clock only.
	Probes int `json:"probes,omitempty"`

	timeline *timeline
}

// RouteResult is the outcome of one route.
type RouteResult struct {
	report.Row
	Violations int        `json:"violations"`
	FirstHalf  HalfResult `json:"first_half"`
	SecondHalf HalfResult `json:"second_half"`
}

// HalfResult is the outcome of one route in one half of a run.
type HalfResult struct {
	// Goodput is the answers per second that were in time and complete.
	Goodput          float64 `json:"goodput"`
	AttemptsPerShard float64 `json:"attempts_per_shard"`
}
