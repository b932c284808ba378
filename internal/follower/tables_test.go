package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
)

// fakeTables are tables that the test sets directly.
type fakeTables struct {
	RootTables
	routers  *membership.Table[membership.Node]
	machines *membership.Table[membership.Machine]
}

func (t *fakeTables) Routers(time.Time) *membership.Table[membership.Node]     { return t.routers }
func (t *fakeTables) Machines(time.Time) *membership.Table[membership.Machine] { return t.machines }

// A machine change ends held calls. A router change does not; it is sent with
// the response at the end of the hold time.
func TestRouterChangesDoNotEndHeldCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		control := fixedControl{neverChanges: make(chan struct{})}
		tables := &fakeTables{
			RootTables: *NewRootTables(), routers: membership.NewRouterTable(), machines: membership.NewMachineTable(),
		}
		tables.routers.StartTerm(1)
		tables.machines.StartTerm(1)
		handler := NewHandler(HandlerConfig{Name: "relay-1", Lease: lease.DefaultDuration}, HandlerDeps{
			Plans: control, Authority: NewLeaderAuthority(control, lease.DefaultDuration), Tables: tables,
			Logger: discardLogger(), Registerer: prometheus.NewRegistry(),
		})
		go handler.Run(ctx)
		request := &v1.SyncRequest{
			Node:     &v1.NodeIdentity{Name: "router-1", Role: membership.RoleRouter, Boot: 1},
			Revision: 1_000_000, Hold: durationpb.New(lease.RenewInterval),
		}
		call := func() (*v1.SyncResponse, time.Duration) {
			begin := time.Now()
			response, err := handler.Sync(ctx, connect.NewRequest(request))
			require.NoError(t, err)
			request.RoutersVersion = max(request.GetRoutersVersion(), response.Msg.GetRoutersVersion())
			request.MachinesVersion = max(request.GetMachinesVersion(), response.Msg.GetMachinesVersion())
			return response.Msg, time.Since(begin)
		}
		whileHeld := func(change func(now time.Time)) {
			time.AfterFunc(lease.RenewInterval/10, func() { handler.UpdateTables(change) })
		}
		call() // the first one is never held
		call() // fetches the initial tables

		whileHeld(func(time.Time) { tables.routers.Put(membership.Node{Name: "router-2", Role: membership.RoleRouter}) })
		response, took := call()
		require.Equal(t, lease.RenewInterval, took)
		require.Len(t, response.GetRouters(), 1)

		whileHeld(func(time.Time) {
			tables.machines.Put(membership.Machine{Address: "10.0.0.1:1", State: membership.Gone})
		})
		response, took = call()
		require.Less(t, took, lease.RenewInterval)
		require.Len(t, response.GetMachines(), 1)
	})
}
