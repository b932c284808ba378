package simulation

import (
	"fmt"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/proof/simulation/network"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// attempt is one attempt on its way between a router and a back end.
type attempt struct {
	router     *router
	boot       uint64
	server     *backend
	send       query.Send
	name       string
	bodyDigest string
	sentAt     time.Time
	// expires is the true time at which the back end's deadline passes.
	expires   time.Duration
	execution *execution
	// reached is when the query came to the back end's machine. One that is
	// paused reads it later, but it was sent before.
	reached time.Duration
	// settled is set once the engine has its one outcome, closed once the back
	// end has seen that the router closed the connection.
	settled, closed bool
	// fresh attempts need a new connection; unconnected ones did not get it.
	fresh, unconnected bool
}

// connections counts a router's connections to one back end.
type connections struct{ open, busy int }

// sendAttempt puts an attempt on its way, over an open connection if there is
// one and else over a new one.
func (r *router) sendAttempt(command query.Send) {
	w := r.world
	sent := &attempt{
		router: r, boot: r.boot, server: w.backendAt[command.Address], send: command,
		name:       fmt.Sprintf("%s-%d-%d", r.name(), r.boot, command.Attempt),
		bodyDigest: backendapi.Digest(command.Body),
		expires:    w.queue.Now() + command.Timeout,
		sentAt:     r.now(),
	}
	r.attempts[command.Attempt] = sent
	w.trace.detail(r.name(), "query_sent", command.CallerID, "attempt", sent.name, "to", sent.server.name(),
		"shard", command.Shard, "generation", command.Generation, "version", command.Version,
		"hedge", command.Hedge, "retry", command.Retry)
	used := r.connectionsTo(command.Address)
	if used.busy >= used.open {
		if used.open >= r.shares[command.Address].Connections {
			used.busy++ // given back when the attempt settles
			r.after(0, func() { sent.fail(verdict.NotRun, verdict.ReasonNoReplica, true) })
			return
		}
		used.open++
		sent.fresh = true
	}
	used.busy++
	r.after(command.Timeout, func() { sent.fail(sent.unanswered(), verdict.ReasonTimeout, false) })
	sent.transmit()
}

func (a *attempt) transmit() {
	w := a.router.world
	if a.fresh && !w.network.Connected(&a.router.place, &a.server.place) {
		a.unconnected = true // the attempt times out
		return
	}
	w.network.Send(network.Message{From: &a.router.place, To: &a.server.place, Arrive: a.reach})
}

// unanswered is the verdict on an attempt without a reply: nothing was written
// if the connection was never made.
func (a *attempt) unanswered() verdict.Verdict {
	if a.unconnected {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// reach lets the query arrive at the back end. A router that closes the
// connection can not call back what it has written.
func (a *attempt) reach() {
	a.reached = a.server.world.queue.Now()
	if !a.server.process.running {
		ran := verdict.MayHaveRun
		if a.fresh {
			ran = verdict.NotRun // the connection was refused
		}
		a.back(func() { a.fail(ran, verdict.ReasonConnection, false) })
		return
	}
	a.server.deliver(a.server.boot, func() {
		a.server.arrive(a)
		if a.closed {
			a.server.cancel(a.execution)
		}
	})
}

// broken tells the router that the back end died.
func (a *attempt) broken() {
	a.back(func() { a.fail(verdict.MayHaveRun, verdict.ReasonConnection, false) })
}

func (a *attempt) refused(reason backendapi.RefusalReason, load backendapi.Load, draining bool) {
	a.back(func() {
		a.settle(query.AttemptFailed{
			Attempt: a.send.Attempt, Verdict: verdict.NotRun, Reason: reason.Reason(),
			Report: query.Report{Known: true, Load: load, Draining: draining},
		}, true)
	})
}

func (a *attempt) replied(run *execution, load backendapi.Load, draining bool) {
	arrived := query.PartArrived{
		Attempt: a.send.Attempt,
		Echo: query.Echo{Request: run.record.Request, Shard: run.record.Shard,
			Generation: run.record.Generation, Version: run.record.Version, RequestDigest: run.record.BodyDigest},
		Part:   backendapi.Part{Items: run.items},
		Report: query.Report{Known: true, Load: load, Draining: draining, Holdings: a.server.health().Holdings},
	}
	if a.server.confused {
		arrived.Echo.Shard++
	}
	a.back(func() { a.settle(arrived, true) })
}

// back sends something from the back end to the router.
func (a *attempt) back(act func()) {
	a.router.world.network.Send(network.Message{From: &a.server.place, To: &a.router.place, Arrive: func() {
		a.router.deliver(a.boot, act)
	}})
}

func (a *attempt) fail(ran verdict.Verdict, reason verdict.Reason, reusable bool) {
	a.settle(query.AttemptFailed{Attempt: a.send.Attempt, Verdict: ran, Reason: reason}, reusable)
}

// settle gives the engine the attempt's one outcome. A connection whose reply
// did not come is closed, and with it ends the query on the back end.
func (a *attempt) settle(outcome query.Event, reusable bool) {
	if a.settled {
		return
	}
	a.settled = true
	used := a.router.connectionsTo(a.send.Address)
	used.busy--
	if !reusable {
		used.open--
		a.hangUp()
	}
	delete(a.router.attempts, a.send.Attempt)
	a.router.heard(a, outcome)
	a.router.step(outcome)
}

// hangUp closes the connection, which the back end takes for a cancellation.
func (a *attempt) hangUp() {
	server := a.server
	a.router.world.network.Send(network.Message{From: &a.router.place, To: &server.place, Arrive: func() {
		server.deliver(server.boot, func() {
			a.closed = true
			server.cancel(a.execution)
		})
	}})
}
