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

// evidence collects what the attempts of one request show of whether the request crashes its
// servers. It is safe for concurrent use.
type evidence struct {
	route  string
	caller string
	// replied is set once a server has answered, reported once a crash has been reported.
	replied  atomic.Bool
	reported atomic.Bool
	// trial receives the outcome of the single attempt of a trial, and is buffered for it; nil
	// for no trial.
	trial chan trialOutcome
}

// trialOutcome is the outcome of a trial's attempt.
type trialOutcome uint8

const (
	// trialInconclusive: the server gave no answer but is still running.
	trialInconclusive trialOutcome = iota
	trialAnswered
	trialServerCrashed
)

// endedAttempt is the result of an attempt, used as evidence.
type endedAttempt struct {
	submitted *submission
	server    scatter.Server
	outcome   scatter.Outcome
	took      time.Duration
}

// observe evaluates an attempt that has ended. A broken attempt is evidence only if its server
// has stopped since, because answers are lost for other reasons as well. It may wait for a
// connection to the server, and is called from the goroutine of the attempt.
func (g *Gateway) observe(attempt endedAttempt) {
	evidence := attempt.submitted.evidence
	outcome := trialInconclusive
	switch failure := attempt.outcome.Failure; failure {
	case scatter.NoFailure:
		outcome = trialAnswered
		g.observeAnswer(attempt)
	case scatter.Broken, scatter.Unaccepted:
		g.logBrokenAttempt(attempt)
		if g.pool.HasStopped(attempt.server, failure == scatter.Unaccepted) {
			outcome = trialServerCrashed
			g.observeCrash(attempt)
		}
	}
	if evidence.trial != nil && attempt.outcome.Verdict != verdict.NotRun {
		evidence.trial <- outcome
	}
}

// logBrokenAttempt logs that the connection of an attempt ended before its answer was
// complete, so that the log shows when a request has been sent twice.
func (g *Gateway) logBrokenAttempt(attempt endedAttempt) {
	omitted, allowed := g.brokenAttemptLines.Allow(steadyclock.Now())
	if !allowed {
		return
	}
	g.logger.WithFields(logrus.Fields{
		"request": attempt.submitted.request.ID, "fingerprint": attempt.submitted.request.fingerprint().Short(), "server": attempt.server.ID,
		"service": attempt.server.Service, "failure": attempt.outcome.Failure.String(), "took": attempt.took, "left_out": omitted,
	}).Info("attempt_broke_off")
}

// observeAnswer records that a server answered a request.
func (g *Gateway) observeAnswer(attempt endedAttempt) {
	evidence := attempt.submitted.evidence
	g.answeredRequests.record(attempt.submitted.request, steadyclock.Now())
	if first := !evidence.replied.Swap(true); first && (evidence.reported.Load() || evidence.trial != nil) {
		g.quarantine.clear(quarantine.Command{Kind: quarantine.Clear, Fingerprint: attempt.submitted.request.fingerprint(), By: g.config.Name})
	}
}

// observeCrash records that a server stopped while it ran a request. The crash is not reported
// if another server has answered the request, since the request does not crash every server
// that runs it.
func (g *Gateway) observeCrash(attempt endedAttempt) {
	evidence := attempt.submitted.evidence
	g.metrics.serversEnded.Inc()
	fingerprint := attempt.submitted.request.fingerprint()
	if omitted, allowed := g.crashLines.Allow(steadyclock.Now()); allowed {
		g.logger.WithFields(logrus.Fields{
			"fingerprint": fingerprint.Short(), "request": attempt.submitted.request.ID, "route": evidence.route, "caller": evidence.caller,
			"server": attempt.server.ID, "service": attempt.server.Service, "took": attempt.took, "trial": evidence.trial != nil,
			"answered_elsewhere": evidence.replied.Load(), "left_out": omitted,
		}).Info("server_ended_under_request")
	}
	if evidence.replied.Load() {
		return
	}
	evidence.reported.Store(true)
	g.quarantine.report(quarantine.Command{
		Kind: quarantine.Report, Fingerprint: fingerprint, Servers: []string{attempt.server.ID}, Tried: evidence.trial != nil, Start: g.start,
		Answered: g.answeredRequests.contains(fingerprint, steadyclock.Now()),
		Route:    evidence.route, Caller: evidence.caller, By: g.config.Name,
	})
}
