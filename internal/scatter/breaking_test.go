package scatter_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// shards adds two servers for each of a number of shards and returns the names of the shards.
func (h *harness) shards(count int) []string {
	var names []string
	for number := range count {
		name := "s" + strconv.Itoa(number)
		h.servers(name, 2)
		names = append(names, name)
	}
	return names
}

// TestRequestWhoseAttemptsBreakOffGetsNoFurtherOnes guards against a request that crashes its
// servers being repeated at the second server of each shard. All attempts of a sweep break
// off: only the first that broke off is repeated, and the answer comes with the end of that
// repeat.
func TestRequestWhoseAttemptsBreakOffGetsNoFurtherOnes(t *testing.T) {
	h := newHarness(t, ampleBudget)
	id := h.arrive(gatherRoute(h.shards(6)...))
	first := h.take()
	require.Len(t, first, 6)
	var repeats []scatter.Send
	for _, sent := range first {
		h.end(sent, failure(scatter.Broken, verdict.MayHaveRun))
		repeats = append(repeats, h.take()...)
	}
	require.Len(t, repeats, 1, "repeats at second servers")
	h.unanswered(id)
	h.end(repeats[0], failure(scatter.Unaccepted, verdict.MayHaveRun))
	require.Empty(t, h.take())
	result := h.result(id)
	require.Equal(t, verdict.MayHaveRun, result.Verdict)
	require.Len(t, result.Missing, 6)
}

// TestHeldAttemptsAreSentOnceAServerAnswers has attempts of a sweep break off although the
// request isn't the cause: the held calls are repeated once a server has answered.
func TestHeldAttemptsAreSentOnceAServerAnswers(t *testing.T) {
	h := newHarness(t, ampleBudget)
	id := h.arrive(gatherRoute(h.shards(4)...))
	first := h.take()
	for _, sent := range first[:3] {
		h.end(sent, failure(scatter.Broken, verdict.MayHaveRun))
	}
	repeated := h.take()
	require.Len(t, repeated, 1)
	h.end(first[3], good("d"))
	repeated = append(repeated, h.take()...)
	require.Len(t, repeated, 3)
	for _, sent := range repeated {
		h.end(sent, good("x"))
	}
	require.Empty(t, h.result(id).Missing)
}

// TestHeldRequestIsNotHedged keeps some attempts in flight while others broke off.
func TestHeldRequestIsNotHedged(t *testing.T) {
	h := newHarness(t, ampleBudget)
	id := h.arrive(gatherRoute(h.shards(4)...))
	first := h.take()
	for _, sent := range first[:2] {
		h.end(sent, failure(scatter.Broken, verdict.MayHaveRun))
	}
	h.take()
	h.advance(500 * time.Millisecond)
	require.Empty(t, h.take())
	h.unanswered(id)
}

// TestSingleRequestIsRepeatedAfterItBrokeOff: a server that stops for another reason must not
// cost a single-service request its answer.
func TestSingleRequestIsRepeatedAfterItBrokeOff(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 2)
	id := h.arrive(singleRoute(true))
	h.end(h.take()[0], failure(scatter.Broken, verdict.MayHaveRun))
	h.end(h.take()[0], good("s"))
	require.NotNil(t, h.result(id).Reply)
}

// TestWithdrawnRequestEndsAtOnce withdraws a request with attempts in flight and calls that
// wait for a server: the attempts are aborted, and nothing more is sent.
func TestWithdrawnRequestEndsAtOnce(t *testing.T) {
	h := newHarness(t, ampleBudget)
	names := h.shards(3)
	id := h.arrive(gatherRoute(append(names, "unknown")...))
	sent := h.take()
	require.Len(t, sent, 3)
	h.end(sent[0], good("s0"))
	h.step(scatter.Withdrawn{Request: id})
	result := h.result(id)
	require.Equal(t, verdict.ReasonQuarantined, result.Reason)
	require.Equal(t, verdict.Ran, result.Verdict)
	require.Equal(t, []int{1, 2, 3}, result.Missing)
	require.True(t, h.aborted[sent[1].Attempt] && h.aborted[sent[2].Attempt])
	h.servers("unknown", 2)
	h.advance(2 * time.Second)
	require.Empty(t, h.take())
	h.step(scatter.Withdrawn{Request: id})
}

// TestWithdrawnRequestThatWasNotSentHasNotRun withdraws a request that waits for a server.
func TestWithdrawnRequestThatWasNotSentHasNotRun(t *testing.T) {
	h := newHarness(t, ampleBudget)
	id := h.arrive(singleRoute(false))
	h.step(scatter.Withdrawn{Request: id})
	require.Equal(t, verdict.NotRun, h.result(id).Verdict)
	require.Equal(t, verdict.ReasonQuarantined, h.result(id).Reason)
}
