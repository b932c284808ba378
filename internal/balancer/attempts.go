package balancer

import (
	"time"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/backendapi"
)

// Outcome classifies the end of an attempt by what it shows about the server.
type Outcome uint8

// Outcomes.
const (
	// Answered: the server returned a valid part.
	Answered Outcome = iota + 1
	// Refused: the server did not run the attempt, or the router cancelled it.
	Refused
	// Overloaded: the server refused because of load, or did not answer in time.
	Overloaded
	// Failed: an error, a lost connection or an invalid reply.
	Failed
)

// averageWeight is the weight of one answer in Group.Typical.
const averageWeight = 0.05

// Begin records the start of an attempt.
func (p *Pool) Begin(server *Server) { server.inFlight++ }

// Result is the result of one attempt.
type Result struct {
	Outcome Outcome
	Elapsed time.Duration
}

// Finish records the end of an attempt that Begin recorded.
func (p *Pool) Finish(now time.Time, group *Group, server *Server, result Result) {
	full := server.inFlight >= server.limit.Value()
	server.inFlight--
	switch result.Outcome {
	case Answered:
		p.observeLatency(now, group, server, result.Elapsed)
		if server.load.congested() {
			// Other routers may have caused the queue, so this router keeps its share.
			server.limit.LowerTo(now, admission.Floor(server.slots))
		} else if full {
			server.limit.Raise()
		}
		p.recordSuccess(now, server)
	case Overloaded:
		server.limit.Lower(now)
	case Failed:
		p.recordFailure(now, server)
	case Refused:
	}
	p.forgetUnused(server)
}

func (p *Pool) observeLatency(now time.Time, group *Group, server *Server, elapsed time.Duration) {
	group.observeAnswer(now, server, elapsed)
	if !server.suspect {
		server.latency.Observe(now, elapsed)
		if float64(elapsed) > group.typical && group.muchSlowerThanFastest(server) {
			p.markSuspect(now, server, elapsed)
		}
		return
	}
	// Latencies from before or during the suspicion don't describe the server now.
	server.latency.Reset(now, elapsed)
	server.setSuspect(float64(elapsed) > slowFactor*group.typical)
	server.resetProbeWait(now)
}

// observeAnswer adds the latency of an answered attempt to the group's statistics.
// Suspect servers are left out, since a hedge would go to another server, unless all
// are suspect.
func (g *Group) observeAnswer(now time.Time, server *Server, elapsed time.Duration) {
	if server.suspect && g.suspects < len(g.members) {
		return
	}
	g.observe(now, elapsed)
	if g.typical == 0 {
		g.typical = float64(elapsed)
	}
	g.typical += averageWeight * (float64(elapsed) - g.typical)
}

func (g *Group) observe(now time.Time, elapsed time.Duration) {
	g.Latency.Observe(now, elapsed)
	g.generation.Latency.Observe(now, elapsed)
}

// muchSlowerThanFastest reports whether the average latency of a server exceeds slowFactor
// times that of the fastest other server of the group.
func (g *Group) muchSlowerThanFastest(server *Server) bool {
	fastest := time.Duration(0)
	for _, member := range g.members {
		average := member.server.latency.Value()
		if member.server != server && average > 0 && (fastest == 0 || average < fastest) {
			fastest = average
		}
	}
	return fastest > 0 && server.latency.Value() > slowFactor*fastest
}

// slowFactor is the multiple of the group's typical latency, or of the average
// latency of its fastest server, beyond which a server becomes suspect.
const slowFactor = 3

func (p *Pool) markSuspect(now time.Time, server *Server, elapsed time.Duration) {
	server.latency.Reset(now, elapsed)
	server.setSuspect(true)
	server.resetProbeWait(now)
}

// ObserveSlow records the age of an attempt that is still in flight, a lower bound
// of the server's latency. A server that takes much longer than its group becomes
// suspect and gets one attempt at a time until it answers one.
func (p *Pool) ObserveSlow(now time.Time, group *Group, server *Server, age time.Duration) {
	if age <= server.latency.Value() || group.typical == 0 {
		return
	}
	if float64(age) > slowFactor*group.typical {
		p.markSuspect(now, server, age)
	}
}

// ObserveCancel records that an attempt was cancelled at an age. An age up to the
// typical latency is ignored, since it says nothing about the server.
func (p *Pool) ObserveCancel(now time.Time, group *Group, server *Server, age time.Duration) {
	if float64(age) <= group.typical {
		return
	}
	if !server.suspect || group.suspects == len(group.members) {
		group.observe(now, age)
	}
	p.ObserveSlow(now, group, server, age)
}

// ObserveLoad records the load that a reply reported.
func (p *Pool) ObserveLoad(now time.Time, server *Server, load backendapi.Load) {
	server.load.observe(now, load, server.inFlight)
}
