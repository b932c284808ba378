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

func TestChangeTakesEffectThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newFleet(t, ctx, "control-1")
		fleet.startRelay(ctx, "relay-1", "control-1")
		fleet.startRelay(ctx, "relay-2", "control-1")
		routers := []*fakeRouter{
			fleet.startRouter(ctx, "router-1", "relay-1", "relay-2"),
			fleet.startRouter(ctx, "router-2", "relay-1", "relay-2"),
			fleet.startRouter(ctx, "router-3", "relay-1", "relay-2"),
		}
		time.Sleep(12 * time.Second)
		require.EqualValues(t, 1, fleet.roots["control-1"].ActiveRevision())
		revision := fleet.group.accept()
		time.Sleep(time.Second)
		require.Equal(t, revision, fleet.roots["control-1"].ActiveRevision())
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

// A router that switched to another server withdraws its observations there, and
// a restarted router can't withdraw any. This relay must not report them again,
// for example to a new leader.
func TestObservationsEndWithRouterIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	view := func(name string, boot uint64) membership.NodeView {
		return membership.NodeView{Node: membership.Node{Name: name, Role: membership.RoleRouter, Boot: boot}, LastSeen: now}
	}
	for name, end := range map[string]func(relayTables *tables){
		"lapsed":    func(relayTables *tables) { relayTables.LapseChild(now, "router-2") },
		"restarted": func(relayTables *tables) { relayTables.Report(membership.Direct, view("router-2", 2)) },
	} {
		t.Run(name, func(t *testing.T) {
			relayTables := newTables()
			for _, router := range []string{"router-1", "router-2"} {
				relayTables.Report(membership.Direct, view(router, 1))
				relayTables.Observe(now, membership.Observation{Address: "10.0.0.1:7000", State: membership.Leaving, Router: router})
			}
			relayTables.Report(membership.Direct, view("router-1", 1))
			end(relayTables)
			request := &v1.SyncRequest{}
			relayTables.report(now, follower.Upstream{Address: "control-1", Term: 2}, false, request)
			require.Len(t, request.GetObservations(), 1)
			require.Equal(t, "router-1", request.GetObservations()[0].GetSource())
		})
	}
}
