package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// twoZones adds a server of service s in each of the zones a and b.
func (h *harness) twoZones() {
	h.step(scatter.ServersChanged{Servers: []scatter.Server{
		{ID: "s/a", Service: "s", Address: "a", Zone: "a", Slots: 2}, {ID: "s/b", Service: "s", Address: "b", Zone: "b", Slots: 2},
	}})
}

func (h *harness) evacuate(zones ...string) {
	h.step(scatter.ZonesEvacuated{View: evacuation.View{}.Update(h.now, zones, 0)})
}

func TestNothingGoesToAnEvacuatedZone(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.twoZones()
	h.evacuate("a")
	for range 20 {
		id := h.arrive(singleRoute(true))
		h.advance(60 * time.Millisecond)
		for _, send := range h.take() {
			require.Equal(t, "s/b", send.Server.ID)
			h.end(send, failure(scatter.Broken, verdict.MayHaveRun))
		}
		h.advance(time.Second)
		require.Empty(t, h.take(), "retried or hedged")
		require.Contains(t, h.results, id)
	}
	h.evacuate()
	h.arrive(singleRoute(true))
	require.Equal(t, "s/a", h.take()[0].Server.ID)
}

func TestServiceWithoutServersElsewhereIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.twoZones()
	h.evacuate("a", "b")
	id := h.arrive(singleRoute(true))
	require.Equal(t, verdict.NotRun, h.result(id).Verdict)
	require.Positive(t, h.result(id).RetryAfter)
	require.Empty(t, h.take())
}
