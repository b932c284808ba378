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

// givenTables are tables that a test changes.
type givenTables struct {
	RootTables
	routers  *membership.Table[membership.Node]
	machines *membership.Table[membership.Machine]
}

func (t *givenTables) Routers(time.Time) *membership.Table[membership.Node]     { return t.routers }
func (t *givenTables) Machines(time.Time) *membership.Table[membership.Machine] { return t.machines }

// A change of a machine ends held calls. One of the live routers alone does
// not, and comes with the answer at the end of the hold time.
func TestRoutersComeWithTheNextAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		control := fixedControl{never: make(chan struct{})}
		tables := &givenTables{
			RootTables: *NewRootTables(), routers: membership.NewRouterTable(), machines: membership.NewMachineTable(),
		}
		tables.routers.StartTerm(1)
		tables.machines.StartTerm(1)
		handler := NewHandler(HandlerConfig{Name: "relay-1", Lease: lease.DefaultDuration}, HandlerDeps{
			Plans: control, Authority: NewLeaderAuthority(control, lease.DefaultDuration), Tables: tables,
			Logger: discard(), Registerer: prometheus.NewRegistry(),
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
		call() // takes what the tables were when they began

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
