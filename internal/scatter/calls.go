package scatter

import "github.com/martenstage/martenstage/internal/verdict"

// firstAttempt is memory for the lists of a call with one attempt, so that such a call, as most
// are, needs no memory but its own.
type firstAttempt struct {
	tried    [1]*server
	inFlight [1]*attempt
	verdicts [1]verdict.Verdict
	steps    [2]Step
}

// newCalls returns the calls of a request for some services.
func (e *Engine) newCalls(pending *request, services []string, priorAttempts int) []*call {
	memory, calls := make([]call, len(services)), make([]*call, len(services))
	for position, service := range services {
		c := &memory[position]
		c.request, c.position, c.group, c.priorAttempts, c.canaryDraw = pending, position, e.group(service), priorAttempts, undrawn
		c.tried, c.inFlight = c.first.tried[:0], c.first.inFlight[:0]
		c.verdicts, c.steps = c.first.verdicts[:0], c.first.steps[:0]
		calls[position] = c
	}
	return calls
}
