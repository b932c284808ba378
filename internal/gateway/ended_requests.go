package gateway

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// rememberedRequests bounds the ended requests whose clients' ids are remembered for the log.
const rememberedRequests = 256

// endedRequests remembers the clients' ids of the requests that ended last.
type endedRequests [rememberedRequests]struct {
	id     scatter.RequestID
	client string
}

func (r *endedRequests) add(id scatter.RequestID, client string) {
	entry := &r[id%rememberedRequests]
	entry.id, entry.client = id, client
}

// client returns the id that the client gave a request; empty if it is not remembered.
func (r *endedRequests) client(id scatter.RequestID) string {
	if entry := &r[id%rememberedRequests]; entry.id == id {
		return entry.client
	}
	return ""
}

// forget ends what the loop keeps of a pending request.
func (l *loop) forget(id scatter.RequestID) {
	if submitted, ok := l.pending[id]; ok {
		l.ended.add(id, submitted.request.ID)
		delete(l.pending, id)
	}
}

// checkPending reports whether the request of a command is pending, as the engine guarantees for
// whatever it sends, claims or delivers. A command that breaks this is logged and not carried out,
// so that the other requests of the router go on.
func (l *loop) checkPending(id scatter.RequestID, command scatter.Command, event scatter.Event) bool {
	if _, isPending := l.pending[id]; isPending {
		return true
	}
	l.invariantBroken()
	if omitted, allowed := l.invariantLines.Allow(steadyclock.Now()); allowed {
		l.logger.WithFields(logrus.Fields{
			"invariant": "no command follows the end of its request", "request": l.ended.client(id), "number": id,
			"command": fmt.Sprintf("%T", command), "event": fmt.Sprintf("%T", event), "left_out": omitted,
		}).Error("invariant_broken")
	}
	return false
}

// endUnsent tells the engine that an attempt was not sent, which keeps its state consistent.
func (l *loop) endUnsent(id scatter.AttemptID) {
	ended := scatter.Ended{Attempt: id, Outcome: scatter.Outcome{Failure: scatter.NotSent, Verdict: verdict.NotRun}}
	// The loop may not wait for room in its own queue.
	l.workers.start(func() { l.events <- ended })
}
