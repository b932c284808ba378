package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
)

// restart restarts server x of service s, which has answered, and adds server y.
func restart(h *harness, replaced bool) {
	first := scatter.Server{ID: "x#1", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4}
	h.step(scatter.ServersChanged{Servers: []scatter.Server{first}})
	h.arrive(singleRoute(true))
	h.end(h.take()[0], good("warm"))
	first.Missing, first.Replaced = true, replaced
	second := scatter.Server{ID: "x#2", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4}
	other := scatter.Server{ID: "y#1", Name: "y", Service: "s", Address: "y", Zone: "a", Slots: 4}
	h.step(scatter.ServersChanged{Servers: []scatter.Server{first, second, other}})
}

// TestRestartedServerIsLoadedAsOneServer guards against sending a server twice what its slots
// take because two of its incarnations are known and each is counted separately.
func TestRestartedServerIsLoadedAsOneServer(t *testing.T) {
	const requests = 8
	h := newHarness(t, ampleBudget)
	restart(h, true)
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

// TestHedgeAvoidsAProcessThatWasTriedAsAnEarlierIncarnation guards against two attempts of a
// request that are in flight at the same process under two of its incarnations.
func TestHedgeAvoidsAProcessThatWasTriedAsAnEarlierIncarnation(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: "x#1", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4}}})
	h.arrive(singleRoute(true))
	require.Len(t, h.take(), 1)
	incarnations := []scatter.Server{
		{ID: "x#1", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4, Missing: true, Replaced: true},
		{ID: "x#2", Name: "x", Service: "s", Address: "x", Zone: "a", Slots: 4},
	}
	h.step(scatter.ServersChanged{Servers: incarnations})
	h.advance(900 * time.Millisecond)
	require.Empty(t, h.take(), "hedge sent to the process that already has the request")
}
