package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/follower"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/membership"
)

func TestChangeComesIntoForceThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newFleet(t, ctx, "control-1")
		fleet.startRelay(ctx, "relay-1", "control-1")
		fleet.startRelay(ctx, "relay-2", "control-1")
		routers := []*router{
			fleet.startRouter(ctx, "router-1", "relay-1", "relay-2"),
			fleet.startRouter(ctx, "router-2", "relay-1", "relay-2"),
			fleet.startRouter(ctx, "router-3", "relay-1", "relay-2"),
		}
		time.Sleep(12 * time.Second)
		require.EqualValues(t, 1, fleet.roots["control-1"].RevisionInForce())
		revision := fleet.group.accept()
		time.Sleep(time.Second)
		require.Equal(t, revision, fleet.roots["control-1"].RevisionInForce())
		for _, router := range routers {
			admitted, valid := router.admits()
			require.True(t, valid)
			require.Equal(t, revision, admitted)
			require.Len(t, router.routers.Values(), len(routers))
		}
		cancel()
		fleet.running.Wait()
	})
}

// A router that moved on takes its words back elsewhere, and one that was
// restarted can take nothing back; this relay must not tell them again, to a new
// leader for example.
func TestObservationsEndWithTheRunThatMadeThem(t *testing.T) {
	now := time.Unix(1000, 0)
	view := func(name string, boot uint64) membership.NodeView {
		return membership.NodeView{Node: membership.Node{Name: name, Role: membership.RoleRouter, Boot: boot}, LastSeen: now}
	}
	for name, end := range map[string]func(known *tables){
		"lapsed":    func(known *tables) { known.LapseChild(now, "router-2") },
		"restarted": func(known *tables) { known.Report(membership.Direct, view("router-2", 2)) },
	} {
		t.Run(name, func(t *testing.T) {
			known := newTables()
			for _, router := range []string{"router-1", "router-2"} {
				known.Report(membership.Direct, view(router, 1))
				known.Observe(now, membership.Observation{Address: "10.0.0.1:7000", State: membership.Leaving, Router: router})
			}
			known.Report(membership.Direct, view("router-1", 1))
			end(known)
			request := &v1.SyncRequest{}
			known.report(now, follower.Upstream{Address: "control-1", Term: 2}, false, request)
			require.Len(t, request.GetObservations(), 1)
			require.Equal(t, "router-1", request.GetObservations()[0].GetSource())
		})
	}
}
