package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// TestStopEndsRequestsTruly has one request in flight and one that waits for a server when the
// process stops.
func TestStopEndsRequestsTruly(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	route := singleRoute(false)
	h.learnTypical(route, 100*time.Millisecond)
	route.Timeout, route.Target = time.Minute, 0
	waiting := h.arrive(route)
	for len(h.take()) > 0 {
		waiting = h.arrive(route)
	}
	first := waiting - 1
	h.step(scatter.Stopping{AnswersBy: h.now.Add(time.Second)})
	h.advance(850 * time.Millisecond)
	h.unanswered(waiting)
	h.advance(100 * time.Millisecond)
	refused := h.result(waiting)
	require.Equal(t, verdict.NotRun, refused.Verdict)
	require.Equal(t, verdict.ReasonStopping, refused.Reason)
	h.unanswered(first)
	h.advance(50 * time.Millisecond)
	cut := h.result(first)
	require.Equal(t, verdict.MayHaveRun, cut.Verdict)
	require.Equal(t, verdict.ReasonTimeout, cut.Reason)
	require.Empty(t, h.take())
}

// TestStopLimitsLaterRequests checks that servers get no more time than the stop leaves.
func TestStopLimitsLaterRequests(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.servers("s", 1)
	answersBy := h.now.Add(300 * time.Millisecond)
	h.step(scatter.Stopping{AnswersBy: answersBy})
	h.arrive(singleRoute(true))
	sent := h.take()
	require.Len(t, sent, 1)
	require.Equal(t, answersBy, sent[0].Deadline)
}
