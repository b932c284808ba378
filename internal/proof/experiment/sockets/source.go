package sockets

import (
	"context"
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/wait"
)

// scriptedSource gives a router its configurations by time and a lease without
// end.
type scriptedSource struct {
	begin time.Time
	plans []schedule.PlanStep
}

const endlessLease = 24 * time.Hour

// Run implements router.ConfigSource.
func (s *scriptedSource) Run(ctx context.Context, sink router.ConfigSink) error {
	for index, step := range s.plans {
		if index > 0 && !wait.Until(ctx, s.begin.Add(step.At)) {
			return nil
		}
		sink.InstallPlan(uint64(index+1), step.Plan)
		sink.ExtendLease(time.Now().Add(endlessLease))
	}
	<-ctx.Done()
	return nil
}

// Observe implements router.ConfigSource.
func (s *scriptedSource) Observe(netip.AddrPort, query.MachineState) {}

// Leave implements router.ConfigSource.
func (s *scriptedSource) Leave(context.Context) error { return nil }

// Describe implements router.ConfigSource.
func (s *scriptedSource) Describe() string { return "script of an experiment" }
