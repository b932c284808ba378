package query

import (
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/verdict"
)

// claim requests the claim of a request that runs at most once. Nothing is sent
// before it is granted.
func (e *Engine) claim(r *request) {
	r.phase = phaseClaiming
	e.emit(Claim{
		Request: r.ID, CallerID: r.CallerID, Route: r.route.Name, Digest: r.BodyDigest,
		Expiry: r.route.Policy.ClaimExpiry, Timeout: r.decideBy.Sub(e.now),
	})
	e.schedule(r)
}

// abandonClaim ends a request whose claim was not decided in time. A claim that is
// granted later is released.
func (e *Engine) abandonClaim(r *request) {
	e.abandonedClaims[r.ID] = r.CallerID
	e.failWith(r, verdict.ReasonClaimsUnavailable, "no decision on the claim in time")
}

func (e *Engine) claimDecided(event ClaimDecided) {
	if callerID, abandoned := e.abandonedClaims[event.Request]; abandoned {
		delete(e.abandonedClaims, event.Request)
		if event.Decision == ClaimGranted {
			e.emit(SettleClaim{Request: event.Request, CallerID: callerID, Outcome: verdict.NotRun})
		}
		return
	}
	r, known := e.requests[event.Request]
	if !known || r.phase != phaseClaiming {
		return
	}
	if event.Decision == ClaimGranted {
		e.start(r)
		return
	}
	refusal := refusalOfClaim(event.Decision)
	e.record(journal.Event{
		Kind: journal.KindClaimRefused, Service: r.route.service.definition.Name, Detail: string(refusal.Reason),
	})
	answer := e.newAnswer(r)
	answer.Verdict, answer.Err = refusal.Verdict, refusal
	if event.Decision == ClaimUnavailable {
		answer.Err.RetryAfter = e.retryAfter(leaseRetryAfter)
	}
	e.respond(r, answer)
}

// refusalOfClaim returns the verdict about the request with the caller's id. A claim
// with another body proves that this body was not run. An expired claim proves
// nothing: this call sent nothing, but the id may have been used before, and the
// outcome is no longer stored.
func refusalOfClaim(decision ClaimDecision) *verdict.Error {
	switch decision {
	case ClaimHeldRan:
		return &verdict.Error{Verdict: verdict.Ran, Reason: verdict.ReasonClaimHeld}
	case ClaimHeldMayHaveRun:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonClaimHeld}
	case ClaimExpired:
		return &verdict.Error{
			Verdict: verdict.MayHaveRun, Reason: verdict.ReasonClaimExpired,
			Detail: "the id has expired, and whether it was used before is no longer known",
		}
	case ClaimDigestMismatch:
		return verdict.Refuse(verdict.ReasonClaimMismatch, "the id was used with another body")
	default:
		return verdict.Refuse(verdict.ReasonClaimsUnavailable, "")
	}
}

// settleClaimIfResolved settles the claim of an answered request once the outcome of
// all its attempts is known. Until then the claim is kept unchanged, which prevents
// any other dispatch.
func (e *Engine) settleClaimIfResolved(r *request) {
	if r.phase != phaseSettling || r.outstanding > 0 {
		return
	}
	e.emit(SettleClaim{Request: r.ID, CallerID: r.CallerID, Outcome: r.currentVerdict()})
	e.settling--
	e.releaseRequest(r)
}
