package gateway

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// evidence is what the attempts of one request show of whether it ends its servers. It is
// safe for concurrent use.
type evidence struct {
	route  string
	caller string
	// replied says that a server answered, reported that one was reported to have ended.
	replied  atomic.Bool
	reported atomic.Bool
	// trial receives what became of the one attempt of a trial; nil for no trial. It has
	// room for it.
	trial chan trialEnd
}

// trialEnd is what became of a trial's attempt.
type trialEnd uint8

const (
	// trialUnclear: the server gave no answer, and goes on.
	trialUnclear trialEnd = iota
	trialAnswered
	trialEnded
)

// sentAttempt is an attempt that has ended, as evidence.
type sentAttempt struct {
	waiting submitted
	server  scatter.Server
	outcome scatter.Outcome
	took    time.Duration
}

// observe takes in what an attempt shows. An attempt that broke off is evidence only if its
// server has ended since: answers are lost for other reasons as well. It may wait for a
// connection, and is called by the goroutine of the attempt.
func (g *Gateway) observe(sent sentAttempt) {
	shown := sent.waiting.evidence
	end := trialUnclear
	switch failure := sent.outcome.Failure; failure {
	case scatter.NoFailure:
		end = trialAnswered
		g.observeAnswer(sent)
	case scatter.Broken, scatter.Unaccepted:
		g.tellBroken(sent)
		if g.pool.HasEnded(sent.server, failure == scatter.Unaccepted) {
			end = trialEnded
			g.observeEnd(sent)
		}
	}
	if shown.trial != nil && sent.outcome.Verdict != verdict.NotRun {
		shown.trial <- end
	}
}

// tellBroken logs that the connection of an attempt ended before its answer was whole, so
// that two presentations of one request show as such.
func (g *Gateway) tellBroken(sent sentAttempt) {
	leftOut, tells := g.breaks.Take(steadyclock.Now())
	if !tells {
		return
	}
	g.logger.WithFields(logrus.Fields{
		"request": sent.waiting.request.ID, "fingerprint": sent.waiting.request.fingerprint().Short(), "server": sent.server.ID,
		"service": sent.server.Service, "failure": sent.outcome.Failure.String(), "took": sent.took, "left_out": leftOut,
	}).Info("attempt_broke_off")
}

// observeAnswer takes in that a server answered a request.
func (g *Gateway) observeAnswer(sent sentAttempt) {
	shown := sent.waiting.evidence
	if first := !shown.replied.Swap(true); first && (shown.reported.Load() || shown.trial != nil) {
		g.quarantine.tell(quarantine.Order{Kind: quarantine.Clear, Fingerprint: sent.waiting.request.fingerprint(), By: g.config.Name})
	}
}

// observeEnd takes in that a server ended under a request. One that another server has answered
// is not reported: it does not end each server that runs it.
func (g *Gateway) observeEnd(sent sentAttempt) {
	shown := sent.waiting.evidence
	g.metrics.serversEnded.Inc()
	fingerprint := sent.waiting.request.fingerprint()
	if leftOut, tells := g.endings.Take(steadyclock.Now()); tells {
		g.logger.WithFields(logrus.Fields{
			"fingerprint": fingerprint.Short(), "request": sent.waiting.request.ID, "route": shown.route, "caller": shown.caller,
			"server": sent.server.ID, "service": sent.server.Service, "took": sent.took, "trial": shown.trial != nil,
			"answered_elsewhere": shown.replied.Load(), "left_out": leftOut,
		}).Info("server_ended_under_request")
	}
	if shown.replied.Load() {
		return
	}
	shown.reported.Store(true)
	g.quarantine.report(quarantine.Order{
		Kind: quarantine.Report, Fingerprint: fingerprint, Servers: []string{sent.server.ID}, Tried: shown.trial != nil,
		Route: shown.route, Caller: shown.caller, By: g.config.Name,
	})
}
