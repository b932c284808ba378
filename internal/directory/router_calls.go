package directory

import (
	"context"
	"sync"
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

// callSummary holds the counts of one interval.
type callSummary struct {
	follows, probes, tables, refused, abandoned, encoded uint64
}

// routerCalls counts the calls of routers in the present interval. It is safe for concurrent
// use.
type routerCalls struct {
	mutex  sync.Mutex
	counts callSummary
}

// take returns the counts and starts a new interval.
func (c *routerCalls) take() callSummary {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := c.counts
	c.counts = callSummary{}
	return counts
}

// add counts a call.
func (c *routerCalls) add(kind callKind, outcome callOutcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch kind {
	case callProbe:
		c.counts.probes++
	case callTable:
		c.counts.tables++
	default:
		c.counts.follows++
	}
	switch outcome {
	case callRefused:
		c.counts.refused++
	case callAbandoned:
		c.counts.abandoned++
	}
}

// addEncoded counts a complete table that was encoded.
func (c *routerCalls) addEncoded() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts.encoded++
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
	case err != nil:
		outcome = callRefused
	}
	n.calls.add(kind, outcome)
	n.metrics.routerCalls.WithLabelValues(string(kind), string(outcome)).Inc()
}

// countCompleteTable records that a complete table is encoded.
func (n *Node) countCompleteTable() {
	n.calls.addEncoded()
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
