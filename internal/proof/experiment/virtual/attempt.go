package virtual

import (
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/probing"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// attempt is one attempt on its way between a router and a server.
type attempt struct {
	router     *router
	server     *server
	send       query.Send
	bodyDigest string
	// expires is when the router gives up.
	expires   time.Duration
	sentAt    time.Time
	execution *execution
	// settled is set once the engine has its one outcome; gone when the query
	// was canceled before it reached the server.
	settled bool
	gone    bool
}

// connections counts a router's connections to one server.
type connections struct{ open, busy int }

// send puts an attempt on its way, over an open connection if there is one.
func (r *router) send(command query.Send) {
	w := r.world
	sent := &attempt{router: r, server: w.servers[command.Address], send: command,
		bodyDigest: backendapi.Digest(command.Body), expires: w.clock.Now() + command.Timeout, sentAt: w.wall()}
	r.attempts[command.Attempt] = sent
	used := r.connectionsTo(sent.server)
	setUp := time.Duration(0)
	if used.busy >= used.open {
		if used.open >= r.connectionShare(sent.server) {
			used.busy++ // given back when the attempt settles
			w.clock.After(0, func() { sent.settle(sent.failure(verdict.NotRun, verdict.ReasonNoReplica), true) })
			return
		}
		used.open++
		setUp = w.config.ConnectionSetup
	}
	used.busy++
	w.open(command.CallerID) // closed once the server has recorded it, or never will
	w.clock.After(setUp+r.delayTo(sent.server), sent.reach)
	w.clock.At(sent.expires, func() {
		sent.settle(sent.failure(verdict.MayHaveRun, verdict.ReasonTimeout), false)
	})
}

// reach lets the query arrive at the server, unless the router has closed the
// connection before.
func (a *attempt) reach() {
	if a.gone {
		a.router.world.close(a.send.CallerID)
		return
	}
	a.server.arrive(a)
	if a.execution == nil {
		a.router.world.close(a.send.CallerID)
	}
}

// cancel closes the attempt's connection.
func (a *attempt) cancel() {
	if a.settled {
		return
	}
	a.settle(a.failure(verdict.MayHaveRun, verdict.ReasonCanceled), false)
}

// lost tells the router that the connection broke at the server.
func (a *attempt) lost() {
	a.back(func() { a.settle(a.failure(verdict.MayHaveRun, verdict.ReasonConnection), false) })
}

func (a *attempt) refused(reason backendapi.RefusalReason, load backendapi.Load) {
	failed := a.failure(verdict.NotRun, reason.Reason())
	failed.Report = query.Report{Known: true, Load: load, Draining: reason == backendapi.RefusalDraining}
	a.back(func() { a.settle(failed, true) })
}

func (a *attempt) replied(run *execution, load backendapi.Load) {
	arrived := query.PartArrived{
		Attempt: a.send.Attempt,
		Echo: query.Echo{Request: run.record.Request, Shard: run.record.Shard,
			Generation: run.record.Generation, Version: run.record.Version, RequestDigest: run.record.BodyDigest},
		Report: query.Report{Known: true, Load: load, Draining: a.server.departed != never,
			Holdings: a.server.holdingsMark()},
	}
	a.back(func() {
		if a.settled {
			return
		}
		arrived.Part.Items = run.items
		a.settle(arrived, true)
	})
}

func (a *attempt) back(act func()) { a.router.world.clock.After(a.router.delayTo(a.server), act) }

func (a *attempt) failure(ran verdict.Verdict, reason verdict.Reason) query.AttemptFailed {
	return query.AttemptFailed{Attempt: a.send.Attempt, Verdict: ran, Reason: reason}
}

// settle gives the engine the attempt's one outcome. A connection whose reply
// did not come is closed, and with it ends the query on the server.
func (a *attempt) settle(outcome query.Event, reusable bool) {
	if a.settled {
		return
	}
	a.settled = true
	used := a.router.connectionsTo(a.server)
	used.busy--
	if !reusable {
		used.open--
		a.gone = true
		a.back(func() { a.server.cancel(a.execution) })
	}
	delete(a.router.attempts, a.send.Attempt)
	a.router.heard(a.send.Address, probing.ReplyOf(outcome, a.sentAt, a.router.world.wall()))
	a.router.step(outcome)
}
