package balancer

import (
	"time"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/backendapi"
)

// Outcome is how an attempt ended, as far as it says something about the
// server.
type Outcome uint8

// Outcomes.
const (
	// Answered with a valid part.
	Answered Outcome = iota + 1
	// Refused without running, or cancelled by the router.
	Refused
	// Overloaded refused for its load, or did not answer in time.
	Overloaded
	// Failed by error, lost connection or a false reply.
	Failed
)

// typicalWeight is the weight of one answer in Group.Typical.
const typicalWeight = 0.05

// Begin counts an attempt as in flight.
func (p *Pool) Begin(server *Server) { server.inFlight++ }

// Result is the end of one attempt.
type Result struct {
	Outcome Outcome
	Elapsed time.Duration
}

// Finish takes in the end of an attempt that was begun.
func (p *Pool) Finish(now time.Time, group *Group, server *Server, result Result) {
	full := server.inFlight >= server.limit.Value()
	server.inFlight--
	switch result.Outcome {
	case Answered:
		p.observeLatency(now, group, server, result.Elapsed)
		if server.load.congested() {
			// The queue may be of others' making.
			server.limit.LowerTo(now, admission.Floor(server.slots))
		} else if full {
			server.limit.Raise()
		}
		p.succeed(now, server)
	case Overloaded:
		server.limit.Lower(now)
	case Failed:
		p.fail(now, server)
	case Refused:
	}
	p.forgetUnused(server)
}

func (p *Pool) observeLatency(now time.Time, group *Group, server *Server, elapsed time.Duration) {
	group.learn(now, server, elapsed)
	if !server.suspect {
		server.latency.Observe(now, elapsed)
		if float64(elapsed) > group.typical && group.lagsBehind(server) {
			p.suspectFor(now, server, elapsed)
		}
		return
	}
	// What was learnt before the server became suspect, or while it was, says
	// nothing about it now.
	server.latency.Reset(now, elapsed)
	server.setSuspect(float64(elapsed) > slowFactor*group.typical)
	server.avoid(now)
}

// learn takes the latency of an answered attempt into what is known about the
// group. A suspect server says nothing about what a hedge would find, unless
// there is no better one.
func (g *Group) learn(now time.Time, server *Server, elapsed time.Duration) {
	if server.suspect && g.suspects < len(g.members) {
		return
	}
	g.observe(now, elapsed)
	if g.typical == 0 {
		g.typical = float64(elapsed)
	}
	g.typical += typicalWeight * (float64(elapsed) - g.typical)
}

func (g *Group) observe(now time.Time, elapsed time.Duration) {
	g.Latency.Observe(now, elapsed)
	g.generation.Latency.Observe(now, elapsed)
}

// lagsBehind reports whether the average latency of a server is far above that
// of the fastest other server of the group.
func (g *Group) lagsBehind(server *Server) bool {
	fastest := time.Duration(0)
	for _, member := range g.members {
		average := member.server.latency.Value()
		if member.server != server && average > 0 && (fastest == 0 || average < fastest) {
			fastest = average
		}
	}
	return fastest > 0 && server.latency.Value() > slowFactor*fastest
}

// slowFactor is how many times the group's typical latency, or the average of
// its fastest server, makes a server suspect.
const slowFactor = 3

func (p *Pool) suspectFor(now time.Time, server *Server, elapsed time.Duration) {
	server.latency.Reset(now, elapsed)
	server.setSuspect(true)
	server.avoid(now)
}

// ObserveSlow takes in that an attempt has been out for some time: the server
// takes at least as long. A server that takes much longer than its group does
// is suspect, and gets one attempt at a time until it answers one.
func (p *Pool) ObserveSlow(now time.Time, group *Group, server *Server, age time.Duration) {
	if age <= server.latency.Value() || group.typical == 0 {
		return
	}
	if float64(age) > slowFactor*group.typical {
		p.suspectFor(now, server, age)
	}
}

// ObserveCancel takes in that an attempt was cancelled at an age. An age below
// the typical latency says nothing about the server.
func (p *Pool) ObserveCancel(now time.Time, group *Group, server *Server, age time.Duration) {
	if float64(age) <= group.typical {
		return
	}
	if !server.suspect || group.suspects == len(group.members) {
		group.observe(now, age)
	}
	p.ObserveSlow(now, group, server, age)
}

// ObserveLoad takes in the load that a reply reported.
func (p *Pool) ObserveLoad(now time.Time, server *Server, load backendapi.Load) {
	server.load.observe(now, load, server.inFlight)
}
