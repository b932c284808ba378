package follower

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/membership"
)

func TestRouterRestartDropsItsObservations(t *testing.T) {
	const address, router = "10.0.0.1:7000", "router-1"
	start := time.Unix(1000, 0)
	now := start.Add(time.Minute)
	tables := NewRootTables()
	tables.StartTerm(start, 2)
	view := func(boot uint64) membership.NodeView {
		return membership.NodeView{Node: membership.Node{Name: router, Role: membership.RoleRouter, Boot: boot}, LastSeen: now}
	}
	observe := func() {
		tables.Observe(now, membership.Observation{Address: address, State: membership.Leaving, Router: router})
	}
	tables.Report("relay-1", view(1))
	observe()
	tables.Report("relay-1", view(1))
	require.Len(t, tables.Machines(now).Values(), 1)

	now = now.Add(time.Second)
	tables.Report("relay-2", view(2))
	require.Empty(t, tables.Machines(now).Values())

	now = now.Add(time.Second)
	observe() // sent in the call that reports the new incarnation
	tables.Report("relay-2", view(3))
	tables.Report("relay-1", view(1)) // late
	require.Len(t, tables.Machines(now).Values(), 1)
}
