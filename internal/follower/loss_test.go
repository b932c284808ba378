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

// mortalServer grants leases until it dies.
type mortalServer struct {
	martenstagev1connect.FollowServiceClient
	dead atomic.Bool
}

func (s *mortalServer) Sync(context.Context, *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncResponse], error) {
	time.Sleep(100 * time.Millisecond)
	if s.dead.Load() {
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

type keptEvents struct {
	mutex sync.Mutex
	kept  []journal.Event
}

func (e *keptEvents) Record(event journal.Event) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.kept = append(e.kept, event)
}

func (e *keptEvents) lost() (addresses []string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, event := range e.kept {
		if event.Kind == journal.KindUpstreamLost {
			addresses = append(addresses, event.Address)
		}
	}
	return addresses
}

func TestLossOfTheUpstreamIsRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := map[string]*mortalServer{"relay-1": {}, "relay-2": {}}
		events := &keptEvents{}
		follows, err := New(Config{Node: membership.Node{Name: "router-1"}, Upstreams: []string{"relay-1", "relay-2"}}, Deps{
			Dial: func(address string) martenstagev1connect.FollowServiceClient { return servers[address] },
			Sink: discardSink{}, Events: events, Logger: discard(), Random: func() float64 { return 0 },
		})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- follows.Run(ctx) }()

		time.Sleep(3 * time.Second)
		require.Empty(t, events.lost())
		first := follows.Upstream()
		servers[first].dead.Store(true)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{first}, events.lost())
		second := follows.Upstream()
		require.NotEqual(t, first, second)
		servers[second].dead.Store(true)
		time.Sleep(20 * time.Second)
		require.Equal(t, []string{first, second}, events.lost())
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}
