package scatter

import (
	"slices"
	"time"
)

// Cause says why a call has no part yet.
type Cause uint8

// Causes, as seen when a part is due or its request ends.
const (
	// CauseWorking: it was sent at once, and its server answers others.
	CauseWorking Cause = iota
	// CauseNoServer: no server of the shard is known, or none answers.
	CauseNoServer
	// CauseSlow: its server takes several times as long as others.
	CauseSlow
	// CausePaused: nothing has come from its server since it was sent.
	CausePaused
	// CauseNoRoom: it waits with this router for room at a server.
	CauseNoRoom
	// CauseWaited: it was sent late, since it had waited for room.
	CauseWaited
	// CauseNoToken: the budget does not pay for another attempt.
	CauseNoToken
	// CauseFailed: its attempts have failed.
	CauseFailed
)

// String returns the cause in lower case, for logs.
func (c Cause) String() string {
	return [...]string{"working", "no_server", "slow", "paused", "no_room", "waited", "no_token", "failed"}[c]
}

// Lack is a call that brought no part.
type Lack struct {
	Service string
	// Server is the one that was asked last; empty for none.
	Server  string
	Failure Failure
	Cause   Cause
	// Open says that an attempt was still out.
	Open bool
	// Steps are what was done for the call, in order.
	Steps []Step
}

// maxLacking bounds the calls that a result tells of.
const maxLacking = 8

func (e *Engine) result(waiting *request) Result {
	result := Result{Attempts: waiting.attempts, Extras: waiting.extras, Denied: waiting.denied}
	for _, called := range waiting.calls {
		if called.part != nil {
			continue
		}
		result.Lacked++
		if len(result.Lacking) < maxLacking {
			result.Lacking = append(result.Lacking, e.lack(called))
		}
	}
	return result
}

func (e *Engine) lack(called *call) Lack {
	lack := Lack{
		Service: called.group.service, Failure: called.last, Cause: e.cause(called),
		Open: len(called.live) > 0, Steps: called.steps,
	}
	if len(called.tried) > 0 {
		lack.Server = called.tried[len(called.tried)-1].ID
	}
	return lack
}

// Thresholds of causes.
const (
	// slowPace is from how many times the typical time on a server is called slow.
	slowPace = 3.0
	// longWait is the part of the time until the due time from which on a wait for
	// room is called the cause.
	longWait = 0.25
)

// cause works out why a call has no part.
func (e *Engine) cause(called *call) Cause {
	switch {
	case !called.group.hasSound(e.now):
		return CauseNoServer
	case len(called.live) > 0:
		return e.causeOut(called)
	case called.waiting && called.lastStep() == StepDenied:
		return CauseNoToken
	case called.waiting:
		return CauseNoRoom
	case len(called.tried) > 0:
		return CauseFailed
	}
	return CauseNoServer
}

// causeOut is the cause of a call whose attempt is out.
func (e *Engine) causeOut(called *call) Cause {
	out := called.live[len(called.live)-1]
	waited := out.started.Sub(called.request.arrived)
	switch {
	case out.server.stalled(e.now):
		return CausePaused
	case out.server.currentPace(e.now) >= slowPace:
		return CauseSlow
	case float64(waited) > longWait*float64(called.request.allowed()):
		return CauseWaited
	}
	return CauseWorking
}

// allowed is the time from the arrival of a request until it is due, or its
// deadline.
func (r *request) allowed() time.Duration { return r.usefulUntil().Sub(r.arrived) }

// usefulUntil is by when a reply is of full use: when the request is due, or its deadline
// where its route has no target.
func (r *request) usefulUntil() time.Time {
	if r.due.IsZero() {
		return r.deadline
	}
	return r.due
}

// lastStep returns the kind of the last step that was noted.
func (c *call) lastStep() StepKind {
	if len(c.steps) == 0 {
		return StepSent
	}
	return c.steps[len(c.steps)-1].Kind
}

// hasSound reports whether a server may get work that is not believed to fail.
func (g *group) hasSound(now time.Time) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return s.usable() && s.condition(now) < doubted })
}
