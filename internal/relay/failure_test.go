package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/journal"
)

// eventLog collects events.
type eventLog struct {
	mutex  sync.Mutex
	events []journal.Event
}

func (l *eventLog) Record(event journal.Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, event)
}

func (l *eventLog) details(kind journal.Kind) (details []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, event := range l.events {
		if event.Kind == kind {
			details = append(details, event.Detail)
		}
	}
	return details
}

// requireLeases checks for a period that the routers always hold a lease.
func requireLeases(t *testing.T, routers []*fakeRouter, over time.Duration) {
	t.Helper()
	const step = 50 * time.Millisecond
	for begun := time.Now(); time.Since(begun) < over; time.Sleep(step) {
		for _, router := range routers {
			_, valid := router.admits()
			require.True(t, valid, "%s has no lease %s after the loss", router.name, time.Since(begun))
		}
	}
}

// TestRoutersSwitchFromLostRelay loses one of two relays, by the end of its
// process and by a silent network cut. Every router must always hold a lease, a
// change must take effect at all of them, and control must journal the loss.
func TestRoutersSwitchFromLostRelay(t *testing.T) {
	for name, lose := range map[string]func(fleet *fleet, end func()){
		"its process ends": func(fleet *fleet, end func()) { end(); fleet.network.serve("relay-1", nil) },
		"it is cut off silently": func(fleet *fleet, _ func()) {
			for _, other := range []string{"control-1", "router-0", "router-1", "router-2", "router-3"} {
				fleet.network.cutBoth("relay-1", other, true)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet := newFleet(t, ctx, "control-1")
				relayContext, endRelay := context.WithCancel(ctx)
				lost := fleet.startRelay(relayContext, "relay-1", "control-1")
				kept := fleet.startRelay(ctx, "relay-2", "control-1")
				var routers []*fakeRouter
				for number := range 4 {
					routers = append(routers, fleet.startRouter(ctx, fmt.Sprintf("router-%d", number), "relay-1", "relay-2"))
				}
				time.Sleep(15 * time.Second)
				require.NotEmpty(t, lost.handler.Children(), "the routers are spread over both")
				require.NotEmpty(t, kept.handler.Children())

				lose(fleet, endRelay)
				requireLeases(t, routers, time.Minute)
				revision := fleet.group.accept()
				time.Sleep(2 * time.Second)
				for _, router := range routers {
					admitted, valid := router.admits()
					require.True(t, valid)
					require.Equal(t, revision, admitted)
				}
				require.Equal(t, revision, fleet.roots["control-1"].ActiveRevision())
				require.Equal(t, []string{"relay-1"}, fleet.events["control-1"].details(journal.KindRelayLost))
				cancel()
				endRelay()
				fleet.running.Wait()
			})
		})
	}
}

// TestRestartedRouterWaitsForTheLatest starts a router at a relay that has a
// valid lease but an old plan, because it was just cut off from control. The
// router must admit nothing until it can get the latest revision.
func TestRestartedRouterWaitsForTheLatest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newFleet(t, ctx, "control-1")
		stale := fleet.startRelay(ctx, "relay-1", "control-1")
		time.Sleep(15 * time.Second)
		require.EqualValues(t, 1, stale.ActiveRevision())
		fleet.network.cutBoth("relay-1", "control-1", true)
		revision := fleet.group.accept()
		router := fleet.startRouter(ctx, "router-1", "relay-1")
		for range 300 { // longer than the relay's lease lasts
			_, valid := router.admits()
			require.False(t, valid)
			time.Sleep(50 * time.Millisecond)
		}
		fleet.network.cutBoth("relay-1", "control-1", false)
		time.Sleep(15 * time.Second)
		admitted, valid := router.admits()
		require.True(t, valid)
		require.Equal(t, revision, admitted)
		cancel()
		fleet.running.Wait()
	})
}

// TestOldLeaderDoesNotRevertRouters cuts the leader off from the other voters
// but not from the routers. Routers that follow the new leader, and one that
// starts with only the old leader as upstream, must never admit work under the
// old leader's revision.
func TestOldLeaderDoesNotRevertRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newFleet(t, ctx, "control-1", "control-2")
		steady := fleet.startRouter(ctx, "router-1", "control-1", "control-2")
		time.Sleep(15 * time.Second)
		fleet.voters["control-1"].setIsolated(true)
		fleet.group.elect("control-2")
		time.Sleep(15 * time.Second)
		revision := fleet.group.accept()
		time.Sleep(5 * time.Second)
		admitted, valid := steady.admits()
		require.True(t, valid)
		require.Equal(t, revision, admitted)

		restarted := fleet.startRouter(ctx, "router-2", "control-1", "control-2")
		beside := fleet.startRouter(ctx, "router-3", "control-1")
		for range 600 {
			for _, router := range []*fakeRouter{steady, restarted, beside} {
				if admitted, valid := router.admits(); valid {
					require.Equal(t, revision, admitted, router.name)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		_, valid = restarted.admits()
		require.True(t, valid)
		_, valid = beside.admits()
		require.False(t, valid, "the old leader grants nothing")
		cancel()
		fleet.running.Wait()
	})
}
