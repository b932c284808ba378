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
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
)

// slowServer grants a lease after a delay and the hold time.
type slowServer struct{ delay time.Duration }

func (s slowServer) Sync(ctx context.Context, request *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncResponse], error) {
	select {
	case <-time.After(s.delay + request.Msg.GetHold().AsDuration()):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	response := &v1.SyncResponse{Term: 1, Revision: 1, Lease: durationpb.New(lease.DefaultDuration)}
	if request.Msg.GetRevision() == 0 {
		response.Plan = plan.ToProto(&plan.Plan{})
	}
	return connect.NewResponse(response), nil
}

// leaseSink records the end of the lease.
type leaseSink struct{ until time.Time }

func (*leaseSink) InstallPlan(uint64, *plan.Plan)                       {}
func (s *leaseSink) ExtendLease(_ uint64, until time.Time)              { s.until = until }
func (*leaseSink) MergeRouters(membership.Changes[membership.Node])     {}
func (*leaseSink) MergeMachines(membership.Changes[membership.Machine]) {}
func (*leaseSink) Versions() (routers, machines uint64)                 { return 0, 0 }

// Interrupts that come faster than the server answers must not keep the lease
// from being renewed.
func TestInterruptsDoNotStopLeaseRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sink := &leaseSink{}
		const delay = 4 * minInterruptDelay
		relayFollower, err := New(
			Config{Node: membership.Node{Name: "relay-1", Role: membership.RoleRelay, Boot: 1}, Upstreams: []string{"control-1"}},
			Deps{
				Dial: func(string) martenstagev1connect.FollowServiceClient { return slowServer{delay: delay} },
				Sink: sink, Logger: discardLogger(), Registerer: prometheus.NewRegistry(), Random: func() float64 { return 0 },
			})
		require.NoError(t, err)
		go func() { _ = relayFollower.Run(ctx) }()
		for begin := time.Now(); time.Since(begin) < 3*lease.DefaultDuration; {
			relayFollower.Interrupt()
			time.Sleep(minInterruptDelay / 10)
			if time.Since(begin) > time.Second {
				_, _, until := relayFollower.Lease()
				require.Greater(t, time.Until(until), lease.DefaultDuration/2)
			}
		}
	})
}
