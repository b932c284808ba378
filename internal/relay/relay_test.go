package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
