package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

const (
	// maxTriedShards bounds the shards at whose servers a trial is attempted until one is
	// there to run it.
	maxTriedShards = 3
	// trialPatience is how long after its answer the outcome of a trial is waited for: a
	// connection to the server that was tried tells whether it has ended.
	trialPatience = 300 * time.Millisecond
)

// guard answers requests that are quarantined, and tries those that are suspected. It
// reports whether the request is to be served like any.
func (s *exchangeState) guard(passed *fingerprinted) bool {
	switch s.gateway.quarantine.standing(passed) {
	case quarantine.Quarantined:
		s.refuseQuarantined(scatter.Result{Verdict: verdict.NotRun})
		return false
	case quarantine.Suspected:
		return s.serveTrial(passed)
	}
	return true
}

// refuseQuarantined gives the final answer to a request that ends its servers: the status
// says that the request itself is refused, and the body whether it may have run.
func (s *exchangeState) refuseQuarantined(result scatter.Result) {
	result.Reason = verdict.ReasonQuarantined
	s.gateway.metrics.refusedQuarantined.Inc()
	s.writeFailureText(http.StatusBadRequest, string(result.Reason)+" "+result.Verdict.String())
	s.tell(outcomeQuarantined, http.StatusBadRequest, result)
}

// serveTrial sends a suspected request to one server alone, if that is granted. It reports
// whether the request may go on after it.
func (s *exchangeState) serveTrial(passed *fingerprinted) bool {
	watch := s.gateway.quarantine
	if !watch.beginTrial(passed.fingerprint()) {
		s.refuse(http.StatusServiceUnavailable, verdict.ReasonOnTrial, s.comeBack())
		return false
	}
	defer watch.endTrial(passed.fingerprint())
	// What this router knows of the outcome of the last trial has to be in the book before it
	// asks for another, or it is granted one too many.
	watch.awaitTold(s.request.Context(), passed.fingerprint())
	grant := s.askTrial(passed)
	switch grant {
	case grantRefused:
		s.refuse(http.StatusServiceUnavailable, verdict.ReasonOnTrial, s.comeBack())
		return false
	case grantQuarantined:
		s.refuseQuarantined(scatter.Result{Verdict: verdict.NotRun})
		return false
	case grantNeedless:
		s.tried = true
		return true
	}
	return s.runTrial(passed, grant)
}

// runTrial makes a trial and answers the request by its outcome, unless it may go on.
func (s *exchangeState) runTrial(passed *fingerprinted, grant trialGrant) bool {
	result, end, sent := s.try(passed)
	s.tellTrial(passed, result, end, sent)
	switch {
	case !sent:
		s.returnTrial(passed, grant)
		result.Verdict, result.RetryAfter = verdict.NotRun, s.comeBack()
		s.fail(result)
	case end == trialEnded && s.gateway.quarantine.standing(passed) == quarantine.Quarantined:
		s.refuseQuarantined(result)
	case end == trialEnded:
		// A harmless request may have been at a server that ended for another reason: its
		// client may send it again. What it risks is bounded by the trials that are granted.
		s.fail(result)
	case result.Reply != nil && s.route.Gathers():
		s.tried = true
		return true
	case result.Reply != nil:
		s.writeReply(result)
	default:
		s.returnTrial(passed, grant)
		s.fail(result)
	}
	return false
}

// returnTrial gives a granted trial back. One of which no grant was heard may have been
// counted or not; it is left so, since returning another's would allow one too many.
func (s *exchangeState) returnTrial(passed *fingerprinted, grant trialGrant) {
	if grant == grantHeard {
		s.gateway.quarantine.tell(s.order(quarantine.Return, passed))
	}
}

// trialGrant is what came of asking for a trial.
type trialGrant uint8

const (
	grantRefused trialGrant = iota
	grantHeard
	// grantUnknown: no node was reached.
	grantUnknown
	// grantNeedless and grantQuarantined: the request is not suspected any more, which this
	// router has not been told yet.
	grantNeedless
	grantQuarantined
)

func (s *exchangeState) order(kind quarantine.Kind, passed *fingerprinted) quarantine.Order {
	return quarantine.Order{Kind: kind, Fingerprint: passed.fingerprint(), By: s.gateway.config.Name}
}

// askTrial asks the directory for a trial. A router that reaches no node tries without a
// grant: otherwise harmless requests that were suspected would be refused for as long as
// there is no leader. It makes one trial at a time, and stops by its own reports.
func (s *exchangeState) askTrial(passed *fingerprinted) trialGrant {
	ctx, cancel := context.WithTimeout(s.request.Context(), min(orderTimeout, s.remaining()))
	defer cancel()
	reply, err := s.gateway.follower.order(ctx, []quarantine.Order{s.order(quarantine.Try, passed)})
	switch {
	case err != nil:
	case reply.Outcomes[0].Granted:
		return grantHeard
	case reply.Outcomes[0].Before == quarantine.Unknown && !s.gateway.quarantine.pending(passed.fingerprint()):
		return grantNeedless
	case reply.Outcomes[0].Before == quarantine.Quarantined:
		return grantQuarantined
	}
	s.gateway.logger.WithField("request", s.id).WithField("fingerprint", passed.fingerprint().Short()).
		WithField("reason", err).WithField("goes_on", err != nil).Info("trial_not_granted")
	if err != nil {
		return grantUnknown
	}
	return grantRefused
}

// try sends a request to one server of its service or, if it gathers, of one of the first
// shards that has one. It returns the result, what became of the server, and whether
// anything may have run. It does not end with the client, since what it finds out counts
// for all.
func (s *exchangeState) try(passed *fingerprinted) (result scatter.Result, end trialEnd, sent bool) {
	arrived := s.arrival()
	services := arrived.Services
	first := int(xxhash.Sum64String(s.id) % uint64(len(services)))
	for offset := range min(maxTriedShards, len(services)) {
		service := services[(first+offset)%len(services)]
		result, end = s.tryAt(passed, arrived, service)
		if result.Reply != nil || result.Verdict != verdict.NotRun {
			return result, end, true
		}
	}
	return result, end, false
}

// tryAt sends a request to one server of a service, as part of one that arrived.
func (s *exchangeState) tryAt(passed *fingerprinted, arrived scatter.Arrived, service string) (scatter.Result, trialEnd) {
	shown := s.evidence()
	shown.trial = make(chan trialEnd, 1)
	arriving := submitted{
		request: passed, evidence: shown, id: make(chan scatter.RequestID, 1), answer: make(chan scatter.Result, 1),
		arrived: scatter.Arrived{
			Services: []string{service}, Deadline: arrived.Deadline, Due: arrived.Due,
			Route: &routing.Route{
				Name: s.route.Name, Repeatable: s.route.Repeatable, Timeout: s.route.Timeout, Target: s.route.Target,
				Priority: s.route.Priority, MaxAttempts: 1, Targets: []routing.Target{{Service: service, Weight: 1}},
			},
		},
	}
	s.gateway.loop.requests <- arriving
	result := <-arriving.answer
	if result.Reply == nil && result.Verdict == verdict.NotRun {
		return result, trialUnclear
	}
	patience := time.NewTimer(trialPatience)
	defer patience.Stop()
	select {
	case end := <-shown.trial:
		return result, end
	case <-patience.C:
		return result, trialUnclear
	}
}

func (s *exchangeState) tellTrial(passed *fingerprinted, result scatter.Result, end trialEnd, sent bool) {
	outcome := [...]string{"unclear", "answered", "server_ended"}[end]
	if !sent {
		outcome = "not_sent"
	}
	s.gateway.metrics.trials.WithLabelValues(outcome).Inc()
	s.gateway.logger.WithFields(logrus.Fields{
		"request": s.id, "fingerprint": passed.fingerprint().Short(), "route": s.route.Name, "outcome": outcome,
		"reason": result.Reason, "took": steadyclock.Since(s.arrived),
	}).Info("trial_ended")
}

// evidence is that of a request of this client.
func (s *exchangeState) evidence() *evidence {
	return &evidence{route: s.route.Name, caller: s.caller()}
}

// caller is the client's address without its port.
func (s *exchangeState) caller() string {
	host, _, err := net.SplitHostPort(s.request.RemoteAddr)
	if err != nil {
		return s.request.RemoteAddr
	}
	return host
}
