package directory

import (
	"time"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/routing"
)

// NewAdmissionPlanner returns the planner of package admission.
func NewAdmissionPlanner() AdmissionPlanner { return &documentPlanner{planner: admission.NewPlanner()} }

// documentPlanner plans for the routes and tenants of a routing document.
type documentPlanner struct {
	*plannedDocument
	planner *admission.Planner
}

// plannedDocument is a document as the planner needs it.
type plannedDocument struct {
	version uint64
	routes  []admission.RouteInput
	tenants map[string]float64
}

// Plan implements AdmissionPlanner.
func (p *documentPlanner) Plan(now time.Time, inputs PlanInputs) admission.Outcome {
	if p.plannedDocument == nil || p.version != inputs.Version {
		document := &routing.Document{Routes: inputs.Routes, Tenants: inputs.Tenants}
		p.plannedDocument = &plannedDocument{version: inputs.Version, routes: admission.RouteInputs(document), tenants: admission.TenantRates(document)}
	}
	return p.planner.Plan(now, admission.Inputs{Totals: inputs.Totals, Routes: p.routes, Slots: inputs.Slots, Tenants: p.tenants})
}

// Resume implements AdmissionPlanner.
func (p *documentPlanner) Resume(view loadview.View) { p.planner.Resume(view) }
