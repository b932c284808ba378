package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// arriveForAnother submits the shard s on behalf of another router, which counts attempts.
func (h *harness) arriveForAnother(earlier int) scatter.RequestID {
	h.last++
	route := gatherRoute("s")
	h.step(scatter.Arrived{
		ID: h.last, Route: route, Services: route.Shards, Deadline: h.now.Add(route.Timeout), Due: h.now.Add(route.Target),
		PriorAttempts: earlier, ClaimExtras: true,
	})
	return h.last
}

func TestHedgeForAnotherRouterWaitsUntilItIsGranted(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 3)
	id := h.arriveForAnother(0)
	require.Len(t, h.take(), 1)
	h.advance(500 * time.Millisecond)
	require.Empty(t, h.take(), "hedged without a grant")
	require.Equal(t, []scatter.Claim{{Request: id, Shard: 0}}, h.claims)
	h.step(scatter.Granted{Request: id, Shards: []int{0}})
	require.Len(t, h.take(), 1)
	h.step(scatter.Granted{Request: id, Shards: []int{0}})
	h.advance(400 * time.Millisecond)
	require.Empty(t, h.take(), "more than the route allows")
}

func TestRetryForAnotherRouterWaitsUntilItIsGranted(t *testing.T) {
	for _, refused := range []bool{false, true} {
		h := newHarness(t, ampleBudget)
		h.servers("s", 3)
		id := h.arriveForAnother(0)
		h.end(h.take()[0], failure(scatter.Broken, verdict.MayHaveRun))
		require.Empty(t, h.take())
		h.unanswered(id)
		h.step(scatter.Granted{Request: id, Shards: []int{0}, Refused: refused})
		if refused {
			require.Equal(t, []int{0}, h.result(id).Missing)
			continue
		}
		require.Len(t, h.take(), 1)
	}
}

// TestAttemptIsClaimedAheadOfItsHedge has a claim granted at once: the hedge is sent when it
// is due and not before, and a call that ends first sends nothing.
func TestAttemptIsClaimedAheadOfItsHedge(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 3)
	id := h.arriveForAnother(0)
	h.take()
	h.advance(35 * time.Millisecond)
	require.Len(t, h.claims, 1, "the hedge is due at 40 ms")
	h.step(scatter.Granted{Request: id, Shards: []int{0}})
	require.Empty(t, h.take())
	h.advance(10 * time.Millisecond)
	require.Len(t, h.take(), 1)

	quick := h.arriveForAnother(0)
	first := h.take()[0]
	h.advance(35 * time.Millisecond)
	h.step(scatter.Granted{Request: quick, Shards: []int{0}})
	h.end(first, good("x"))
	h.advance(10 * time.Millisecond)
	require.Empty(t, h.take())
}

func TestRefusedHedgeLeavesTheFirstAttempt(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 3)
	id := h.arriveForAnother(0)
	sent := h.take()
	h.advance(100 * time.Millisecond)
	h.step(scatter.Granted{Request: id, Shards: []int{0}, Refused: true})
	h.unanswered(id)
	h.end(sent[0], failure(scatter.Broken, verdict.MayHaveRun))
	require.Equal(t, []int{0}, h.result(id).Missing, "the hedge was refused before")
}

func TestBackupSendsItsFirstAttemptWithoutAGrant(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 3)
	h.arriveForAnother(1)
	require.Len(t, h.take(), 1)
	h.advance(500 * time.Millisecond)
	require.Empty(t, h.take())
	require.Empty(t, h.claims, "no attempt is left to claim")
}
