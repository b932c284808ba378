package gateway

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// TestCommandForAnEndedRequestDoesNotEndTheRouter guards against a router that ends with all its
// requests in flight because its engine sends for a request that was answered: nothing is sent,
// the log names the request, the command and the event, and the engine learns that the attempt has
// ended.
func TestCommandForAnEndedRequestDoesNotEndTheRouter(t *testing.T) {
	logger, logged := logtest.NewNullLogger()
	broken := 0
	l := newLoop(scatter.New(scatter.Config{}), exchange.NewPool(nil, prometheus.NewRegistry()), loopCallbacks{invariantBroken: func() { broken++ }}, logger)
	answer := make(chan scatter.Result, 1)
	l.pending[7] = &submission{request: newFingerprinted(&message.Request{ID: "r-7"}), answer: answer}

	l.execute(scatter.Respond{Request: 7}, scatter.TimerFired{})
	l.execute(scatter.Send{Attempt: 3, Request: 7, Server: scatter.Server{ID: "i-1"}}, scatter.TimerFired{})

	require.Len(t, answer, 1)
	require.Equal(t, scatter.Ended{Attempt: 3, Outcome: scatter.Outcome{Failure: scatter.NotSent, Verdict: verdict.NotRun}}, <-l.events)
	line := logged.LastEntry()
	require.Equal(t, "invariant_broken", line.Message)
	require.Equal(t, logrus.ErrorLevel, line.Level)
	require.Equal(t, "r-7", line.Data["request"])
	require.Equal(t, "scatter.TimerFired", line.Data["event"])
	require.Equal(t, "scatter.Send", line.Data["command"])
	require.Empty(t, l.attempts)

	l.execute(scatter.Claim{Request: 7}, scatter.TimerFired{})
	l.execute(scatter.Part{Request: 7}, scatter.TimerFired{})
	require.Empty(t, l.pendingClaims)
	require.Equal(t, 3, broken)
}

// TestEndedRequestsAreRememberedForAWhile checks that an id is forgotten, and never taken for
// another one's, once as many requests have ended as are remembered.
func TestEndedRequestsAreRememberedForAWhile(t *testing.T) {
	var ended endedRequests
	ended.add(1, "one")
	require.Equal(t, "one", ended.client(1))
	require.Empty(t, ended.client(1+rememberedRequests))
	ended.add(1+rememberedRequests, "other")
	require.Empty(t, ended.client(1))
}
