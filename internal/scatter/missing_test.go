package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// miss tells that the directory misses a server of service s, or does no longer.
func (h *harness) miss(id string, missing bool) {
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: id, Service: "s", Address: id, Zone: "a", Slots: 2, Missing: missing}}})
}

// TestServerThatAnswersIsUsedThoughTheDirectoryMissesIt has the directory lose sight of
// the only server that answers at once: it is used on as long as it answers.
func TestServerThatAnswersIsUsedThoughTheDirectoryMissesIt(t *testing.T) {
	h := newHarness(t, plenty)
	h.servers("s", 1)
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: "far", Service: "s", Address: "far", Zone: "b", Slots: 2}}})
	h.arrive(singleRoute(true))
	h.end(h.take()[0], good("x"))
	h.miss("s/0", true)
	for range 10 {
		h.arrive(singleRoute(true))
		sent := h.take()
		require.Equal(t, "s/0", sent[0].Server.ID)
		h.advance(10 * time.Millisecond)
		h.end(sent[0], good("x"))
		h.advance(500 * time.Millisecond)
	}
	h.advance(5 * time.Second)
	h.arrive(singleRoute(true))
	require.Equal(t, "far", h.take()[0].Server.ID, "it has not answered for long")
}

func TestHedgeGoesToAMissingServerWhereThereIsNoBetterOne(t *testing.T) {
	h := newHarness(t, plenty)
	h.servers("s", 2)
	h.miss("s/1", true)
	h.arrive(gatherRoute("s"))
	require.Equal(t, "s/0", h.take()[0].Server.ID)
	h.advance(80 * time.Millisecond)
	sent := h.take()
	require.Len(t, sent, 1)
	require.Equal(t, "s/1", sent[0].Server.ID)
}

func TestMissingServerThatFailsIsDoubted(t *testing.T) {
	h := newHarness(t, plenty)
	h.servers("s", 2)
	h.miss("s/1", true)
	h.miss("s/0", true)
	h.arrive(singleRoute(true))
	first := h.take()[0]
	h.end(first, failure(scatter.NotConnected, verdict.NotRun))
	h.take()
	for range 5 {
		h.arrive(singleRoute(true))
		sent := h.take()[0]
		require.NotEqual(t, first.Server.ID, sent.Server.ID)
		h.end(sent, good("x"))
	}
}
