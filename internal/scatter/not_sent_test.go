package scatter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// TestServerIsNotSuspectedForARequestThatWasNotSent guards against suspecting a server, or
// spending the retry budget, for a request that the router itself did not send.
func TestServerIsNotSuspectedForARequestThatWasNotSent(t *testing.T) {
	h := newHarness(t, scatter.BudgetLimits{})
	h.servers("s", 2)
	id := h.arrive(singleRoute(false))
	require.Len(t, h.sent, 1)
	held := h.sent[0]
	h.step(scatter.Ended{Attempt: held.Attempt, Outcome: scatter.Outcome{Failure: scatter.NotSent, Verdict: verdict.NotRun}})
	require.Len(t, h.sent, 2, "it must be sent to the other server")
	require.NotEqual(t, held.Server.ID, h.sent[1].Server.ID)
	require.False(t, h.sent[1].Extra)
	h.step(scatter.Ended{Attempt: h.sent[1].Attempt, Outcome: scatter.Outcome{Reply: &message.Reply{Status: 200}, Verdict: verdict.Ran}})
	require.Equal(t, 1, h.results[id].Attempts)
	h.step(scatter.ServersRemoved{IDs: []string{h.sent[1].Server.ID}})
	h.arrive(singleRoute(false))
	require.Equal(t, held.Server.ID, h.sent[2].Server.ID, "the server must not be avoided")
}
