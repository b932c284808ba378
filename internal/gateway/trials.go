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
	// maxTrialShards bounds the shards that are tried until one has a server to run the trial.
	maxTrialShards = 3
	// trialOutcomeTimeout is how long to wait, after the answer, for the outcome of a trial: a
	// new connection to the server shows whether it has crashed.
	trialOutcomeTimeout = 300 * time.Millisecond
)

// checkQuarantine refuses a quarantined request and runs a trial of a suspected one. It
// reports whether the request is to be served normally.
func (s *exchangeState) checkQuarantine(forwarded *fingerprinted) bool {
	switch s.gateway.quarantine.standing(forwarded) {
	case quarantine.Quarantined:
		s.refuseQuarantined(scatter.Result{Verdict: verdict.NotRun})
		return false
	case quarantine.Suspected:
		return s.serveTrial(forwarded)
	}
	return true
}

// refuseQuarantined refuses a request that crashes its servers for good: the status says that
// the request itself is refused, the body whether it may have run.
func (s *exchangeState) refuseQuarantined(result scatter.Result) {
	result.Reason = verdict.ReasonQuarantined
	s.gateway.metrics.refusedQuarantined.Inc()
	s.writeFailureText(http.StatusBadRequest, string(result.Reason)+" "+result.Verdict.String())
	s.recordOutcome(outcomeQuarantined, http.StatusBadRequest, result)
}

// serveTrial runs a trial of a suspected request at a single server, if that is granted. It
// reports whether the request may then be served normally.
func (s *exchangeState) serveTrial(forwarded *fingerprinted) bool {
	monitor := s.gateway.quarantine
	if !monitor.beginTrial(forwarded.fingerprint()) {
		s.refuse(http.StatusServiceUnavailable, verdict.ReasonOnTrial, s.retryAfter())
		return false
	}
	defer monitor.endTrial(forwarded.fingerprint())
	// This router's reports about the last trial must be on record before it requests another
	// one, or one trial too many is granted.
	monitor.awaitReported(s.request.Context(), forwarded.fingerprint())
	grant := s.requestTrial(forwarded)
	switch grant {
	case grantRefused:
		s.refuse(http.StatusServiceUnavailable, verdict.ReasonOnTrial, s.retryAfter())
		return false
	case grantQuarantined:
		s.refuseQuarantined(scatter.Result{Verdict: verdict.NotRun})
		return false
	case grantNotNeeded:
		s.tried = true
		return true
	}
	return s.runTrial(forwarded, grant)
}

// runTrial runs a trial and answers the request by its outcome, or returns true if the request
// may then be served normally.
func (s *exchangeState) runTrial(forwarded *fingerprinted, grant trialGrant) bool {
	result, end, sent := s.sendTrial(forwarded)
	s.logTrial(forwarded, result, end, sent)
	switch {
	case !sent:
		s.returnTrial(forwarded, grant)
		result.Verdict, result.RetryAfter = verdict.NotRun, s.retryAfter()
		s.fail(result)
	case end == trialServerCrashed && s.gateway.quarantine.standing(forwarded) == quarantine.Quarantined:
		s.refuseQuarantined(result)
	case end == trialServerCrashed:
		// The request may be harmless and the server may have crashed for another reason, so
		// that the client may retry. The number of granted trials bounds the risk.
		s.fail(result)
	case result.Reply != nil && s.route.Gathers():
		s.tried, s.trialRan = true, true
		return true
	case result.Reply != nil:
		s.writeReply(result)
	default:
		s.returnTrial(forwarded, grant)
		s.fail(result)
	}
	return false
}

// returnTrial returns a granted trial. A trial whose grant was not received may or may not
// have been counted. It is not returned, because returning another router's trial would allow
// one too many.
func (s *exchangeState) returnTrial(forwarded *fingerprinted, grant trialGrant) {
	if grant == grantReceived {
		s.gateway.quarantine.enqueue(s.quarantineOrder(quarantine.Return, forwarded))
	}
}

// trialGrant is the outcome of requesting a trial.
type trialGrant uint8

const (
	grantRefused trialGrant = iota
	grantReceived
	// grantUnknown: no node was reached.
	grantUnknown
	// grantNotNeeded and grantQuarantined: the request is no longer suspected, which this
	// router has not received yet.
	grantNotNeeded
	grantQuarantined
)

func (s *exchangeState) quarantineOrder(kind quarantine.Kind, forwarded *fingerprinted) quarantine.Command {
	return quarantine.Command{Kind: kind, Fingerprint: forwarded.fingerprint(), By: s.gateway.config.Name, Start: s.gateway.start}
}

// requestTrial requests a trial from the directory. A router that reaches no node runs the
// trial without a grant, since otherwise suspected but harmless requests would be refused for
// as long as there is no leader. It runs one trial at a time, and its own reports stop it.
func (s *exchangeState) requestTrial(forwarded *fingerprinted) trialGrant {
	ctx, cancel := context.WithTimeout(s.request.Context(), min(orderTimeout, s.remaining()))
	defer cancel()
	reply, err := s.gateway.follower.postOrders(ctx, []quarantine.Command{s.quarantineOrder(quarantine.Try, forwarded)})
	switch {
	case err != nil:
	case reply.Outcomes[0].Granted:
		return grantReceived
	case reply.Outcomes[0].Before == quarantine.Unknown && !s.gateway.quarantine.pending(forwarded.fingerprint()):
		return grantNotNeeded
	case reply.Outcomes[0].Before == quarantine.Quarantined:
		return grantQuarantined
	}
	s.gateway.logger.WithField("request", s.id).WithField("fingerprint", forwarded.fingerprint().Short()).
		WithField("reason", err).WithField("goes_on", err != nil).Info("trial_not_granted")
	if err != nil {
		return grantUnknown
	}
	return grantRefused
}

// sendTrial sends a request to one server of its service or, if it is gathered, of one of the
// first shards that have a server. It returns the result, the outcome for the server, and
// whether anything may have run. It ignores the client's disconnect, since the outcome matters
// to all routers.
func (s *exchangeState) sendTrial(forwarded *fingerprinted) (result scatter.Result, end trialOutcome, sent bool) {
	arrived := s.arrival()
	services := arrived.Services
	first := int(xxhash.Sum64String(s.id) % uint64(len(services)))
	for offset := range min(maxTrialShards, len(services)) {
		service := services[(first+offset)%len(services)]
		result, end = s.sendTrialTo(forwarded, arrived, service)
		if result.Reply != nil || result.Verdict != verdict.NotRun {
			return result, end, true
		}
	}
	return result, end, false
}

// sendTrialTo sends a request, which arrived as given, to one server of a service.
func (s *exchangeState) sendTrialTo(forwarded *fingerprinted, arrived scatter.Arrived, service string) (scatter.Result, trialOutcome) {
	evidence := s.evidence()
	evidence.trial = make(chan trialOutcome, 1)
	incoming := submission{
		request: forwarded, evidence: evidence, id: make(chan scatter.RequestID, 1), answer: make(chan scatter.Result, 1),
		arrived: scatter.Arrived{
			Services: []string{service}, Deadline: arrived.Deadline, Due: arrived.Due,
			Route: &routing.Route{
				Name: s.route.Name, Repeatable: s.route.Repeatable, Timeout: s.route.Timeout, Target: s.route.Target,
				Priority: s.route.Priority, MaxAttempts: 1, Targets: []routing.Target{{Service: service, Weight: 1}},
			},
		},
	}
	s.gateway.loop.requests <- incoming
	result := <-incoming.answer
	if result.Reply == nil && result.Verdict == verdict.NotRun {
		return result, trialInconclusive
	}
	timeout := time.NewTimer(trialOutcomeTimeout)
	defer timeout.Stop()
	select {
	case end := <-evidence.trial:
		return result, end
	case <-timeout.C:
		return result, trialInconclusive
	}
}

func (s *exchangeState) logTrial(forwarded *fingerprinted, result scatter.Result, end trialOutcome, sent bool) {
	outcome := [...]string{"unclear", "answered", "server_ended"}[end]
	if !sent {
		outcome = "not_sent"
	}
	s.gateway.metrics.trials.WithLabelValues(outcome).Inc()
	s.gateway.logger.WithFields(logrus.Fields{
		"request": s.id, "fingerprint": forwarded.fingerprint().Short(), "route": s.route.Name, "outcome": outcome,
		"reason": result.Reason, "took": steadyclock.Since(s.arrived),
	}).Info("trial_ended")
}

// evidence returns empty evidence for a request of this client.
func (s *exchangeState) evidence() *evidence {
	return &evidence{route: s.route.Name, caller: s.caller()}
}

// caller returns the client's address without the port.
func (s *exchangeState) caller() string {
	host, _, err := net.SplitHostPort(s.request.RemoteAddr)
	if err != nil {
		return s.request.RemoteAddr
	}
	return host
}
