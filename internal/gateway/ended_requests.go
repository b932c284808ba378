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

// refuseSend handles a Send for a request that is not pending, which the engine must not emit.
// Nothing is sent, and the engine gets the end of the attempt, so that its state stays
// consistent and the router can go on.
func (l *loop) refuseSend(command scatter.Send, event scatter.Event) {
	l.invariantBroken()
	if omitted, allowed := l.invariantLines.Allow(steadyclock.Now()); allowed {
		l.logger.WithFields(logrus.Fields{
			"invariant": "nothing is sent for a request that has ended", "request": l.ended.client(command.Request), "number": command.Request,
			"attempt": command.Attempt, "server": command.Server.ID, "event": fmt.Sprintf("%T", event), "left_out": omitted,
		}).Error("invariant_broken")
	}
	ended := scatter.Ended{Attempt: command.Attempt, Outcome: scatter.Outcome{Failure: scatter.NotSent, Verdict: verdict.NotRun}}
	// The loop may not wait for room in its own queue.
	l.workers.start(func() { l.events <- ended })
}
