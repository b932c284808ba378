package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
)

// startAgain has server x of service s, which answers, start again beside server y.
func startAgain(h *harness, replaced bool) {
	first := scatter.Server{ID: "x#1", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4}
	h.step(scatter.ServersChanged{Servers: []scatter.Server{first}})
	h.arrive(singleRoute(true))
	h.end(h.take()[0], good("warm"))
	first.Missing, first.Replaced = true, replaced
	second := scatter.Server{ID: "x#2", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4}
	other := scatter.Server{ID: "y#1", Name: "y", Service: "s", Address: "y", Zone: "a", Slots: 4}
	h.step(scatter.ServersChanged{Servers: []scatter.Server{first, second, other}})
}

// TestRestartedServerBearsTheWorkOfTwo guards against a server that is sent twice what its slots take,
// because two of its starts are known and each is counted by itself.
func TestRestartedServerBearsTheWorkOfTwo(t *testing.T) {
	const requests = 8
	h := newHarness(t, plenty)
	startAgain(h, true)
	for range requests {
		h.arrive(singleRoute(true))
	}
	byName := map[string]int{}
	for _, sent := range h.take() {
		require.NotEqual(t, "x#1", sent.Server.ID)
		byName[sent.Server.Name]++
	}
	require.Equal(t, map[string]int{"x": requests / 2, "y": requests / 2}, byName)
}

// TestRetryReachesAServerThatWasTriedUnderItsEarlierStart guards against two attempts of a request that
// are out at one process at the same time, under two of its starts.
func TestRetryReachesAServerThatWasTriedUnderItsEarlierStart(t *testing.T) {
	h := newHarness(t, plenty)
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: "x#1", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4}}})
	h.arrive(singleRoute(true))
	require.Len(t, h.take(), 1)
	startAgain := []scatter.Server{
		{ID: "x#1", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4, Missing: true, Replaced: true},
		{ID: "x#2", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4},
	}
	h.step(scatter.ServersChanged{Servers: startAgain})
	h.advance(900 * time.Millisecond)
	require.Empty(t, h.take(), "a hedge at the process that has the request")
}
