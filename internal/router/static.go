package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// StaticSource is a ConfigSource for a single router without control: one plan
// that never changes and a lease that never ends. A router that runs on it can
// not be told of a new configuration, and its claims hold only within itself.
type StaticSource struct {
	Plan *plan.Plan
	// File names where the plan came from.
	File string
}

// staticRevision is the revision of the one plan of a StaticSource.
const staticRevision = 1

// endlessLease stands for a lease without an end.
const endlessLease = 100 * 365 * 24 * time.Hour

// Run implements ConfigSource.
func (s *StaticSource) Run(ctx context.Context, sink ConfigSink) error {
	sink.InstallPlan(staticRevision, s.Plan)
	sink.InstallRouters(nil) // there are no others
	sink.ExtendLease(steadyclock.Now().Add(endlessLease))
	<-ctx.Done()
	return nil
}

// Observe implements ConfigSource; nobody else wants to know.
func (s *StaticSource) Observe(netip.AddrPort, query.MachineState) {}

// Leave implements ConfigSource.
func (s *StaticSource) Leave(context.Context) error { return nil }

// Describe implements ConfigSource.
func (s *StaticSource) Describe() string {
	return "policy file " + s.File + " (no control: lease without end, claims local to this router)"
}
