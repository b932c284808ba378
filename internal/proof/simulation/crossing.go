package simulation

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/remote"
	"github.com/martenstage/martenstage/internal/verdict"
)

// The bounds of the product's way to another region.
const (
	// mostCrossings is how many entry routers one request is offered to.
	mostCrossings = 3
	// connectShare is the part of the time left that a connection may take.
	connectShare = 4
	crossingPoll = 50 * time.Millisecond
	crossingWait = 200 * time.Millisecond
	reachTimeout = time.Second
)

// crossing hands a router's requests for routes of the other region to the entry
// routers that the product's core chooses.
type crossing struct {
	router  *router
	region  *remote.Region
	entries map[netip.AddrPort]*router
}

// newCrossing takes all routers of the neighbour as its entries.
func newCrossing(r *router) *crossing {
	c := &crossing{router: r, entries: map[netip.AddrPort]*router{}}
	var addresses []netip.AddrPort
	for index, entry := range r.world.neighbour.routers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(index + 1)}), 8081)
		addresses = append(addresses, address)
		c.entries[address] = entry
	}
	c.region = remote.New(remote.Config{Seed: xxhash.Sum64String(r.name()) + r.boot}, addresses)
	return c
}

// probe asks the entries whose probe is due whether they take requests.
func (c *crossing) probe() {
	c.router.after(crossingPoll, c.probe)
	for _, address := range c.region.DueProbes(c.router.now()) {
		entry := c.entries[address]
		c.router.world.call(call{
			from: &c.router.process, to: &entry.process, timeout: reachTimeout,
			handle: func(back reply) { back(entry.takesRequests()) },
			done: func(result callResult) {
				reached := !result.failed && result.answer.(bool)
				c.report(c.region.RecordProbe(c.router.now(), address, reached))
			},
		})
	}
}

// takesRequests reports whether a router with a lease is not being stopped.
func (r *router) takesRequests() bool {
	refusing := r.stopping && r.world.queue.Wall().Sub(r.stopBegan) >= notReady
	return !refusing && r.follow.holder.Valid(r.now())
}

func (c *crossing) report(change remote.Change) {
	kind := map[remote.Change]journal.Kind{
		remote.BecameUnreachable: journal.KindRegionUnreachable, remote.BecameReachable: journal.KindRegionReachable,
	}[change]
	if kind != "" {
		c.router.spool.record(journal.Event{Kind: kind, Detail: c.router.world.neighbour.layout.prefix})
	}
}

// crossingWay is one request on its way to the other region.
type crossingWay struct {
	*crossing
	submission *submission
	request    query.Request
	until      time.Time
	tried      []netip.AddrPort
	ran        verdict.Verdict
}

// cross answers a request by the other region.
func (r *router) cross(s *submission, request query.Request) {
	refuse := func(reason verdict.Reason) {
		r.answerCaller(s, query.Answer{Verdict: verdict.NotRun, Err: verdict.Refuse(reason, "")}, true)
	}
	if !r.takesRequests() {
		refuse(lo.Ternary(r.stopping, verdict.ReasonStopping, verdict.ReasonNoLease))
		return
	}
	if r.crossing.region.Begin() != remote.Accepted {
		refuse(verdict.ReasonRegionUnreachable)
		return
	}
	r.forwarding++
	way := &crossingWay{crossing: r.crossing, submission: s, request: request, until: r.now().Add(s.deadline), ran: verdict.NotRun}
	if !request.Deadline.IsZero() && request.Deadline.Before(way.until) {
		way.until = request.Deadline
	}
	way.offer()
}

// offer asks the next entry router.
func (w *crossingWay) offer() {
	entry, found := w.region.Choose(xxhash.Sum64String(w.request.CallerID), w.tried)
	if !found || len(w.tried) == mostCrossings {
		w.end(query.Answer{Verdict: w.ran, Err: &verdict.Error{Verdict: w.ran, Reason: verdict.ReasonRegionUnreachable}})
		return
	}
	w.tried = append(w.tried, entry)
	begun, peer := w.router.now(), w.entries[entry]
	left := max(w.until.Sub(begun), 0)
	timeout := left + crossingWait
	connected := w.router.world.network.Connected(&w.router.place, &peer.place)
	if !connected {
		timeout = left / connectShare
	}
	w.router.world.call(call{
		from: &w.router.process, to: &peer.process, timeout: timeout,
		handle: func(back reply) { peer.enter(w.submission, w.request, left, back) },
		done: func(result callResult) {
			w.ended(remote.Attempt{Entry: entry, Begun: begun, Outcome: outcomeOf(result, connected)}, result)
		},
	})
}

// outcomeOf tells the core what became of a call.
func outcomeOf(result callResult, connected bool) remote.Outcome {
	switch {
	case !connected:
		return remote.SlowConnect
	case result.refused:
		return remote.NotConnected
	case result.failed:
		return remote.TimedOut
	}
	answer := result.answer.(query.Answer)
	if answer.Err != nil && answer.Verdict == verdict.NotRun &&
		(answer.Err.Reason == verdict.ReasonStopping || answer.Err.Reason == verdict.ReasonNoLease) {
		return remote.Rejected
	}
	return remote.Answered
}

// ended takes in what became of an offer, and makes another one after a proof
// that the request did not run.
func (w *crossingWay) ended(asked remote.Attempt, result callResult) {
	w.report(w.region.RecordOutcome(w.router.now(), asked))
	answer := forwardedAnswer(result)
	w.ran = verdict.Combine(w.ran, answer.Verdict)
	if asked.Outcome == remote.Answered || w.ran != verdict.NotRun || !w.router.now().Before(w.until) {
		w.end(answer)
		return
	}
	w.offer()
}

func (w *crossingWay) end(answer query.Answer) {
	w.region.End()
	w.router.forwarding--
	w.router.answerCaller(w.submission, answer, true)
}

// enter takes in a request from another region, for a router of its cell if this
// one is none.
func (r *router) enter(s *submission, request query.Request, left time.Duration, back reply) {
	admit := func(by *router, back reply) {
		request.Deadline = by.now().Add(left)
		by.admit(request, func(answer query.Answer) { back(answer) })
	}
	peer := r.cellPeer(s.service)
	if peer == nil {
		admit(r, back)
		return
	}
	r.forwarding++
	r.world.call(call{
		from: &r.process, to: &peer.process, timeout: left + crossingWait,
		handle: func(inner reply) { admit(peer, inner) },
		done: func(result callResult) {
			r.forwarding--
			back(forwardedAnswer(result))
		},
	})
}
