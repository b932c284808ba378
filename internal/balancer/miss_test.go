package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/journal"
)

// TestAServerThatStopsAnsweringIsReportedOnce fails probes of a server that answered
// before, one that announced its departure, and one that never answered.
func TestAServerThatStopsAnsweringIsReportedOnce(t *testing.T) {
	pool, _ := newPool(4) // replica 3 keeps the group covered
	probe := func(replica int, answers bool, health backendapi.Health) {
		pool.ObserveHealth(start, address(replica), answers, health)
	}
	for _, replica := range []int{0, 1, 3} {
		probe(replica, true, ready(1))
	}
	probe(1, true, backendapi.Health{State: backendapi.StateDraining})
	require.Equal(t, []journal.Kind{journal.KindDrainBegun}, kinds(pool))

	for range 3 * unreachableAfter {
		probe(0, false, backendapi.Health{})
		probe(1, false, backendapi.Health{})
		probe(2, false, backendapi.Health{})
	}
	missed := pool.TakeTransitions()
	require.Len(t, missed, 1, "one announced its departure, and one may still be starting")
	require.Equal(t, journal.KindReplicaEjected, missed[0].Kind)
	require.Equal(t, address(0), missed[0].Server.Address)
	require.Equal(t, "seats/s0", missed[0].Service+"/"+missed[0].Shard)

	probe(0, true, ready(1))
	probe(0, true, ready(1))
	require.Equal(t, []journal.Kind{journal.KindReplicaReturned}, kinds(pool))
	for range neverReachedAfter {
		probe(2, false, backendapi.Health{})
	}
	require.Equal(t, []journal.Kind{journal.KindReplicaEjected}, kinds(pool))
}
