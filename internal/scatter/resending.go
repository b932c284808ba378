package scatter

import (
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/verdict"
)

// startResend lets a call be sent again to one of the servers that refused it, if nothing ran
// anywhere, no other server is left, and there is useful time. The number of servers does not
// grow, and each attempt needs a budget token and, where attempts are counted, a grant.
func (e *Engine) startResend(c *call) bool {
	if !e.config.ResendRefused || c.resending || len(c.inFlight) > 0 || !c.refusedEverywhere() || !e.resendUseful(c) {
		return false
	}
	c.resending = true
	last := c.request.usefulUntil().Add(-e.unqueuedTime(c.request.route))
	e.timers.add(timer{at: last.Add(time.Nanosecond), kind: timerCapacity, service: c.group.service})
	return true
}

// refusedEverywhere reports whether all attempts of a call provably did not run, and some
// server refused it. For a call that other routers may have sent, that proves nothing.
func (c *call) refusedEverywhere() bool {
	if c.priorAttempts > 0 && !c.request.route.Repeatable {
		return false
	}
	return len(c.refusers) > 0 && c.notRun == len(c.verdicts) && verdict.Combine(c.verdicts...) == verdict.NotRun
}

// countNotRun records whether an attempt ended without having run.
func (c *call) countNotRun(ended *attempt, outcome Outcome) {
	if outcome.Verdict != verdict.NotRun {
		return
	}
	switch outcome.Failure {
	case Refused:
		c.notRun++
		if !slices.Contains(c.refusers, ended.server) {
			c.refusers = append(c.refusers, ended.server)
		}
	case NotConnected, NotSent:
		c.notRun++
	}
}

// resendUseful reports whether a server that refused the call can still answer it before the
// reply loses value.
func (e *Engine) resendUseful(c *call) bool {
	latest := c.request.usefulUntil().Add(-e.unqueuedTime(c.request.route))
	return slices.ContainsFunc(c.refusers, func(s *server) bool {
		return s.usable() && !s.fullUntil.After(latest) && !e.now.After(latest)
	})
}

// mayResendTo reports whether a call that is sent again may go to a server: to one that refused
// it, or to one that it was not sent to, as long as the route allows more servers.
func (c *call) mayResendTo(candidate *server) bool {
	if slices.Contains(c.refusers, candidate) {
		return true
	}
	return !slices.Contains(c.tried, candidate) && len(c.tried)-c.unsent < c.maxAttempts()
}

// noteTried records the server of an attempt as the last one. Each server counts once.
func (c *call) noteTried(chosen *server) {
	if c.resending {
		c.tried = slices.DeleteFunc(c.tried, func(s *server) bool { return s == chosen })
		c.resending = false
	}
	c.tried = append(c.tried, chosen)
}
