package experiment

import (
	"github.com/martenstage/martenstage/internal/judge"
	"github.com/martenstage/martenstage/internal/report"
)

// Result is the outcome of an experiment.
type Result struct {
	Scenario   string                   `json:"scenario"`
	Deployment string                   `json:"deployment"`
	Virtual    bool                     `json:"virtual"`
	Seed       uint64                   `json:"seed"`
	Seconds    float64                  `json:"seconds"`
	Variants   map[string]VariantResult `json:"variants"`
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

	timeline *timeline
}

// RouteResult is the outcome of one route.
type RouteResult struct {
	report.Row
	Violations int `json:"violations"`
	// Answers in time per second, in each half of the run.
	GoodputFirstHalf  float64 `json:"goodput_first_half"`
	GoodputSecondHalf float64 `json:"goodput_second_half"`
}
