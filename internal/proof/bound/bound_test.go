package bound_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/proof/bound"
)

func shards(counts ...int) []bound.Shard {
	var made []bound.Shard
	for servers, count := range counts {
		for range count {
			made = append(made, bound.Shard{Servers: servers, Slots: 2})
		}
	}
	return made
}

func sweep(least float64) bound.Route {
	return bound.Route{PerSecond: 90, Work: 20 * time.Millisecond, Due: 140 * time.Millisecond, LeastShare: least}
}

func TestACalmWindowIsServedWhole(t *testing.T) {
	result := bound.Bound(bound.Window{Shards: shards(0, 0, 20), Route: sweep(0.89)})
	require.InDelta(t, 1, result.Credit, 1e-9)
}

func TestTooManyShardsDownServeNothing(t *testing.T) {
	require.Zero(t, bound.Bound(bound.Window{Shards: shards(3, 0, 17), Route: sweep(0.89)}))
}

// TestSlotsBoundWhatIsServed has each shard take half of what is asked: with two to
// spare of twenty, parts are left out in turn.
func TestSlotsBoundWhatIsServed(t *testing.T) {
	route := sweep(0.9)
	route.PerSecond = 200
	require.InDelta(t, 0.5*20/18, bound.Bound(bound.Window{Shards: shards(0, 20), Route: route}).Capacity, 1e-3)
}

// TestPausesOfSingleServersAddUp worked out by hand: 78 ms of a pause of 200 ms are
// harmful beside 20 ms of work, each 4.5 s, at 13 shards none of which can be spared.
func TestPausesOfSingleServersAddUp(t *testing.T) {
	window := bound.Window{
		Shards: shards(2, 13, 5), Route: sweep(0.89), Pauses: bound.Pauses{Length: 200 * time.Millisecond, Every: 4500 * time.Millisecond},
	}
	window.Route.Due = 142 * time.Millisecond
	require.InDelta(t, 0.752, bound.Bound(window).Unpaused, 0.002)
}

// TestMoreServersNeverServeLess adds a server to one shard.
func TestMoreServersNeverServeLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := bound.Window{Route: sweep(rapid.Float64Range(0.5, 1).Draw(t, "least"))}
		window.Pauses = bound.Pauses{Length: 150 * time.Millisecond, Every: 3 * time.Second}
		for range rapid.IntRange(1, 20).Draw(t, "shards") {
			window.Shards = append(window.Shards, bound.Shard{Servers: rapid.IntRange(0, 2).Draw(t, "servers"), Slots: 2})
		}
		before := bound.Bound(window)
		window.Shards[0].Servers++
		require.GreaterOrEqual(t, bound.Bound(window).Credit, before.Credit-1e-6)
	})
}
