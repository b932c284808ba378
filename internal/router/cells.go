package router

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Forwarder sends a request to another router and returns its answer.
type Forwarder interface {
	Forward(ctx context.Context, peer Peer, request Request) query.Answer
}

// maxForwards bounds the number of routers that one request is sent to.
const maxForwards = 3

// peersByService maps each service whose cell does not include this router to the
// peers of that cell, those in the own zone first.
type peersByService map[string][]Peer

// updatePeerCells recomputes the peer cells after the plan or the live routers
// changed. It is called from the configuration source's goroutine.
func (r *Router) updatePeerCells(installed *plan.Plan) {
	peers := r.peers.Load()
	if peers == nil || r.config.Standalone {
		return
	}
	byName := lo.KeyBy(*peers, func(peer Peer) string { return peer.Name })
	byService := peersByService{}
	for _, service := range installed.Services {
		members := r.cells.Members(service.Name, service.CellRouters)
		if slices.Contains(members, r.config.Name) {
			continue
		}
		for _, member := range members {
			byService[service.Name] = append(byService[service.Name], byName[member])
		}
		slices.SortStableFunc(byService[service.Name], func(left, right Peer) int {
			return r.zoneDistance(left) - r.zoneDistance(right)
		})
	}
	r.peerCells.Store(&byService)
}

func (r *Router) zoneDistance(peer Peer) int {
	if peer.Zone == r.config.Zone {
		return 0
	}
	return 1
}

// cellPeers returns the peers that serve a service; none means that this router
// queries the back ends itself.
func (r *Router) cellPeers(service string) []Peer {
	byService := r.peerCells.Load()
	if byService == nil {
		return nil
	}
	return (*byService)[service]
}

// forward sends a request to routers of its cell in turn until one answers it.
func (r *Router) forward(ctx context.Context, peers []Peer, route *plan.Route, request Request) query.Answer {
	if !r.leaseValid() {
		return r.refusal(verdict.ReasonNoLease, "the configuration lease has run out")
	}
	request.Deadline = boundedDeadline(route.Policy.Deadline, request.Deadline, steadyclock.Now())
	bounded, cancel := steadyclock.WithDeadline(ctx, request.Deadline.Add(forwardGrace))
	defer cancel()
	answer := r.refusal(verdict.ReasonNoReplica, "no router of the service's cell is known")
	ran := verdict.NotRun
	first := int(xxhash.Sum64String(request.CallerID) % uint64(len(peers)))
	for tried := range min(len(peers), maxForwards) {
		peer := peers[(first+tried)%len(peers)]
		answer = r.forwarder.Forward(bounded, peer, request)
		r.metrics.forwards.WithLabelValues(route.Service, answer.Verdict.String()).Inc()
		ran = verdict.Combine(ran, answer.Verdict)
		if bounded.Err() != nil || !mayTryNextRouter(answer, route.Policy.Once) {
			break
		}
	}
	return withVerdict(answer, ran)
}

// withVerdict gives a failure the combined verdict of all routers tried: that the
// last one ran nothing says nothing about those before it.
func withVerdict(answer query.Answer, ran verdict.Verdict) query.Answer {
	if answer.Err == nil || answer.Verdict == ran {
		return answer
	}
	failure := *answer.Err
	failure.Verdict = ran
	answer.Verdict, answer.Err = ran, &failure
	return answer
}

// forwardGrace is how long after the deadline to wait for a peer's answer.
const forwardGrace = 50 * time.Millisecond

// boundedDeadline is the deadline that a caller requested, or the route's if that is
// earlier.
func boundedDeadline(allowed time.Duration, requested, now time.Time) time.Time {
	longest := now.Add(allowed)
	if requested.IsZero() || requested.After(longest) {
		return longest
	}
	return requested
}

// mayTryNextRouter reports whether another router may be able to answer. A request
// that must run at most once is sent again only when it provably was not run.
func mayTryNextRouter(answer query.Answer, once bool) bool {
	if answer.Err == nil || (once && answer.Verdict != verdict.NotRun) {
		return false
	}
	switch answer.Err.Reason {
	case verdict.ReasonStopping, verdict.ReasonNoLease, verdict.ReasonConnection, verdict.ReasonNoReplica:
		return true
	default:
		return false
	}
}
