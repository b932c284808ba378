package directory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/schedstat"
)

const (
	// routerCallsInterval is how often the calls of routers are summed up in the log.
	routerCallsInterval = time.Second
	// slowScheduling is the scheduling delay from which an interval is logged even if it had
	// no unusual calls: it approaches the election timeout.
	slowScheduling = 100 * time.Millisecond
	// schedulingQuantile of the scheduling delays of an interval is logged.
	schedulingQuantile = 0.99
)

// callKind is the kind of a router's call, callOutcome how it ended; both are metric labels.
type (
	callKind    string
	callOutcome string
)

// Kinds and outcomes of calls. A call is abandoned if its caller is gone before the reply is
// ready.
const (
	callFollow callKind = "follow"
	callProbe  callKind = "probe"
	callTable  callKind = "table"

	callAnswered  callOutcome = "answered"
	callRefused   callOutcome = "refused"
	callAbandoned callOutcome = "abandoned"
)

// routerCalls counts the calls of routers in the present interval. It is safe for concurrent
// use.
type routerCalls struct {
	follows, probes, tables, refused, abandoned, encoded atomic.Uint64
}

// callSummary holds the counts of one interval.
type callSummary struct {
	follows, probes, tables, refused, abandoned, encoded uint64
}

// take returns the counts and starts a new interval.
func (c *routerCalls) take() callSummary {
	return callSummary{
		follows: c.follows.Swap(0), probes: c.probes.Swap(0), tables: c.tables.Swap(0),
		refused: c.refused.Swap(0), abandoned: c.abandoned.Swap(0), encoded: c.encoded.Swap(0),
	}
}

// unusual reports whether an interval is worth a log line: calls failed, or routers came from
// other nodes.
func (s callSummary) unusual() bool { return s.refused+s.abandoned+s.tables+s.encoded > 0 }

// followCounted is Follow with a record of the call and its outcome.
func (n *Node) followCounted(ctx context.Context, request FollowRequest) (FollowReply, error) {
	reply, err := n.Follow(ctx, request)
	kind := callFollow
	if request.Probe {
		kind = callProbe
	}
	n.recordCall(ctx, kind, err)
	if reply.Complete {
		n.countCompleteTable()
	}
	return reply, err
}

// recordCall records a router's call and its outcome.
func (n *Node) recordCall(ctx context.Context, kind callKind, err error) {
	outcome := callAnswered
	switch {
	case ctx.Err() != nil:
		outcome = callAbandoned
		n.calls.abandoned.Add(1)
	case err != nil:
		outcome = callRefused
		n.calls.refused.Add(1)
	}
	switch kind {
	case callProbe:
		n.calls.probes.Add(1)
	case callTable:
		n.calls.tables.Add(1)
	default:
		n.calls.follows.Add(1)
	}
	n.metrics.routerCalls.WithLabelValues(string(kind), string(outcome)).Inc()
}

// countCompleteTable records that a complete table is encoded.
func (n *Node) countCompleteTable() {
	n.calls.encoded.Add(1)
	n.metrics.completeTables.Inc()
}

// runRouterCalls logs the calls of routers in each interval that had unusual ones, and how long
// this node's goroutines waited for a processor meanwhile.
func (n *Node) runRouterCalls(ctx context.Context) {
	delays := schedstat.NewWindow()
	runEvery(ctx, routerCallsInterval, func() {
		summary, delay := n.calls.take(), delays.Quantile(schedulingQuantile)
		if !summary.unusual() && delay < slowScheduling {
			return
		}
		n.logger.WithFields(logrus.Fields{
			"follows": summary.follows, "probes": summary.probes, "tables": summary.tables, "refused": summary.refused,
			"abandoned": summary.abandoned, "tables_encoded": summary.encoded, "scheduling_delay": delay,
		}).Info("router_calls")
	})
}
