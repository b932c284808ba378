package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
)

// failableServer grants leases until it is set to fail.
type failableServer struct {
	martenstagev1connect.FollowServiceClient
	failed atomic.Bool
}

func (s *failableServer) Sync(context.Context, *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncResponse], error) {
	time.Sleep(100 * time.Millisecond)
	if s.failed.Load() {
		return nil, errors.New("no answer")
	}
	response := &v1.SyncResponse{Term: 1, Revision: 1, Lease: durationpb.New(5 * time.Second)}
	response.Plan = plan.ToProto(&plan.Plan{})
	return connect.NewResponse(response), nil
}

type discardSink struct{}

func (discardSink) InstallPlan(uint64, *plan.Plan)                       {}
func (discardSink) ExtendLease(uint64, time.Time)                        {}
func (discardSink) MergeRouters(membership.Changes[membership.Node])     {}
func (discardSink) MergeMachines(membership.Changes[membership.Machine]) {}
func (discardSink) Versions() (routers, machines uint64)                 { return 0, 0 }

type recordedEvents struct {
	mutex  sync.Mutex
	events []journal.Event
}

func (e *recordedEvents) Record(event journal.Event) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.events = append(e.events, event)
}

func (e *recordedEvents) lostUpstreams() (addresses []string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, event := range e.events {
		if event.Kind == journal.KindUpstreamLost {
			addresses = append(addresses, event.Address)
		}
	}
	return addresses
}

func TestLossOfTheUpstreamIsRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := map[string]*failableServer{"relay-1": {}, "relay-2": {}}
		events := &recordedEvents{}
		follower, err := New(Config{Node: membership.Node{Name: "router-1"}, Upstreams: []string{"relay-1", "relay-2"}}, Deps{
			Dial: func(address string) martenstagev1connect.FollowServiceClient { return servers[address] },
			Sink: discardSink{}, Events: events, Logger: discardLogger(), Random: func() float64 { return 0 },
		})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- follower.Run(ctx) }()

		time.Sleep(3 * time.Second)
		require.Empty(t, events.lostUpstreams())
		first := follower.Upstream()
		servers[first].failed.Store(true)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{first}, events.lostUpstreams())
		second := follower.Upstream()
		require.NotEqual(t, first, second)
		servers[second].failed.Store(true)
		time.Sleep(20 * time.Second)
		require.Equal(t, []string{first, second}, events.lostUpstreams())
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}
