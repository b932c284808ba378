package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// StaticSource is a ConfigSource for a single router without control: one plan that
// never changes and a lease that never ends. Such a router can not receive a new
// configuration, and its claims hold only within itself.
type StaticSource struct {
	Plan *plan.Plan
	// File is the name of the policy file that the plan was read from.
	File string
}

// staticRevision is the revision of the one plan of a StaticSource.
const staticRevision = 1

// unlimitedLease is the duration of the lease that never ends.
const unlimitedLease = 100 * 365 * 24 * time.Hour

// Run implements ConfigSource.
func (s *StaticSource) Run(ctx context.Context, sink ConfigSink) error {
	sink.InstallPlan(staticRevision, s.Plan)
	sink.InstallRouters(nil) // there are no others
	sink.ExtendLease(steadyclock.Now().Add(unlimitedLease))
	<-ctx.Done()
	return nil
}

// Observe implements ConfigSource. There is no other router to inform.
func (s *StaticSource) Observe(netip.AddrPort, query.MachineState) {}

// Leave implements ConfigSource.
func (s *StaticSource) Leave(context.Context) error { return nil }

// Describe implements ConfigSource.
func (s *StaticSource) Describe() string {
	return "policy file " + s.File + " (no control: lease without end, claims local to this router)"
}
