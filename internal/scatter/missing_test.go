package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// setMissing reports whether a server of service s is missing from the directory.
func (h *harness) setMissing(id string, missing bool) {
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: id, Service: "s", Address: id, Zone: "a", Slots: 2, Missing: missing}}})
}

// TestServerThatAnswersIsUsedThoughTheDirectoryMissesIt makes the nearest server miss its
// heartbeats at the directory: it is used for as long as it answers.
func TestServerThatAnswersIsUsedThoughTheDirectoryMissesIt(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: "far", Service: "s", Address: "far", Zone: "b", Slots: 2}}})
	h.arrive(singleRoute(true))
	h.end(h.take()[0], good("x"))
	h.setMissing("s/0", true)
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
	require.Equal(t, "far", h.take()[0].Server.ID, "it has not answered recently")
}

func TestHedgeGoesToAMissingServerWhereThereIsNoBetterOne(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	h.setMissing("s/1", true)
	h.arrive(gatherRoute("s"))
	require.Equal(t, "s/0", h.take()[0].Server.ID)
	h.advance(80 * time.Millisecond)
	sent := h.take()
	require.Len(t, sent, 1)
	require.Equal(t, "s/1", sent[0].Server.ID)
}

func TestMissingServerThatFailsIsSuspected(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	h.setMissing("s/1", true)
	h.setMissing("s/0", true)
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

// TestUseOfAMissingServerIsLoggedOnce guards against a log that doesn't show to which
// incarnation of a missing server a request was sent, and against a log line for each request.
func TestUseOfAMissingServerIsLoggedOnce(t *testing.T) {
	h := newHarness(t, ampleBudget)
	start := func(id string, missing bool) scatter.Server {
		return scatter.Server{ID: id, Name: "i", Service: "s", Address: id, Zone: "a", Slots: 2, Missing: missing}
	}
	logLines := func() (details []string) {
		for _, noted := range h.logged {
			if noted.Event == "missing_server_used" {
				details = append(details, noted.Server.ID+" "+noted.Detail)
			}
		}
		return details
	}
	h.step(scatter.ServersChanged{Servers: []scatter.Server{start("i#1", true)}})
	h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: "other", Name: "other", Service: "s", Missing: true, Slots: 1}}})
	h.step(scatter.ServersRemoved{IDs: []string{"other"}})
	for range 3 {
		h.arrive(singleRoute(true))
		h.end(h.take()[0], good("x"))
	}
	require.Equal(t, []string{"i#1 last_answer=never starts=[i#1]"}, logLines())
	h.step(scatter.ServersChanged{Servers: []scatter.Server{start("i#1", false)}})
	h.step(scatter.ServersChanged{Servers: []scatter.Server{start("i#1", true)}})
	h.arrive(singleRoute(true))
	require.Len(t, logLines(), 2, "missing again after it was not")
}
