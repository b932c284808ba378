package simulation

import (
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/cell"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// cellPeer returns the router to hand a request over to, nil when this one is
// of the service's cell.
func (r *router) cellPeer(service string) *router {
	if r.plan == nil {
		return nil
	}
	definition, known := r.plan.ServiceNamed(service)
	if !known || definition.CellRouters == 0 {
		return nil
	}
	members := cell.Members(service, r.members, definition.CellRouters)
	if slices.Contains(members, r.name()) {
		return nil
	}
	for _, peer := range r.world.routers {
		if slices.Contains(members, peer.name()) {
			return peer
		}
	}
	return nil
}

// forward hands a request to a router of the cell and passes its answer on.
func (r *router) forward(peer *router, s *submission, request query.Request) {
	const margin = 200 * time.Millisecond
	left := time.Duration(0)
	if !request.Deadline.IsZero() {
		left = request.Deadline.Sub(r.now())
	}
	r.forwarding++
	s.served = peer
	r.world.call(call{
		from: &r.process, to: &peer.process, timeout: s.deadline + margin,
		handle: func(back reply) {
			if left > 0 {
				request.Deadline = peer.now().Add(left)
			}
			peer.admit(request, func(answer query.Answer) { back(answer) })
		},
		done: func(result callResult) {
			r.forwarding--
			r.answerCaller(s, forwardedAnswer(result), true)
		},
	})
}

// forwardedAnswer is what is known after a hand-over.
func forwardedAnswer(result callResult) query.Answer {
	ran := verdict.MayHaveRun
	switch {
	case result.refused:
		ran = verdict.NotRun
	case !result.failed:
		return result.answer.(query.Answer)
	}
	return query.Answer{Verdict: ran, Err: &verdict.Error{Verdict: ran, Reason: verdict.ReasonConnection}}
}
