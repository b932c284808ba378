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

// Forwarder hands a request to another router and returns its answer.
type Forwarder interface {
	Forward(ctx context.Context, peer Peer, request Request) query.Answer
}

// maxForwards bounds the routers that one request is offered to.
const maxForwards = 3

// foreignCells maps a service whose cell this router is not of to the peers of
// that cell, those of the own zone first.
type foreignCells map[string][]Peer

// refreshCells computes the foreign cells anew after the plan or the live
// routers changed. It is called from the configuration source's goroutine.
func (r *Router) refreshCells(installed *plan.Plan) {
	peers := r.peers.Load()
	if peers == nil || r.config.Alone {
		return
	}
	byName := lo.KeyBy(*peers, func(peer Peer) string { return peer.Name })
	foreign := foreignCells{}
	for _, service := range installed.Services {
		members := r.cells.Members(service.Name, service.CellRouters)
		if slices.Contains(members, r.config.Name) {
			continue
		}
		for _, member := range members {
			foreign[service.Name] = append(foreign[service.Name], byName[member])
		}
		slices.SortStableFunc(foreign[service.Name], func(left, right Peer) int {
			return r.distance(left) - r.distance(right)
		})
	}
	r.foreign.Store(&foreign)
}

func (r *Router) distance(peer Peer) int {
	if peer.Zone == r.config.Zone {
		return 0
	}
	return 1
}

// cellOf returns the peers to ask for a service; none means that this router
// asks the back ends itself.
func (r *Router) cellOf(service string) []Peer {
	foreign := r.foreign.Load()
	if foreign == nil {
		return nil
	}
	return (*foreign)[service]
}

// forward offers a request to routers of its cell until one answers it.
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
	for offered := range min(len(peers), maxForwards) {
		peer := peers[(first+offered)%len(peers)]
		answer = r.forwarder.Forward(bounded, peer, request)
		r.metrics.forwards.WithLabelValues(route.Service, answer.Verdict.String()).Inc()
		ran = verdict.Combine(ran, answer.Verdict)
		if bounded.Err() != nil || !mayOfferAgain(answer, route.Policy.Once) {
			break
		}
	}
	return withVerdict(answer, ran)
}

// withVerdict gives a failure the verdict of all that was tried: that the last
// router ran nothing says nothing of those before it.
func withVerdict(answer query.Answer, ran verdict.Verdict) query.Answer {
	if answer.Err == nil || answer.Verdict == ran {
		return answer
	}
	failure := *answer.Err
	failure.Verdict = ran
	answer.Verdict, answer.Err = ran, &failure
	return answer
}

// forwardGrace is how long after the deadline a peer's last word is awaited.
const forwardGrace = 50 * time.Millisecond

// boundedDeadline is the deadline that a caller asked for, or the route's if
// that is earlier.
func boundedDeadline(allowed time.Duration, asked, now time.Time) time.Time {
	longest := now.Add(allowed)
	if asked.IsZero() || asked.After(longest) {
		return longest
	}
	return asked
}

// mayOfferAgain reports whether another router may do better. A request that
// must run at most once is offered again only when it provably was not run.
func mayOfferAgain(answer query.Answer, once bool) bool {
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
