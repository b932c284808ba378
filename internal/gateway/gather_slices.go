package gateway

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// sliceState is one slice of a request.
type sliceState struct {
	slicing.Slice
	// due is when another router sends what it has by then; zero for never.
	due time.Time
	// origin says how the slice came about.
	origin origin
	// open are the positions, in Shards, of which nothing is known yet.
	open map[int]bool
	// local is set once this router gathers the slice itself.
	local *gathering
	ended bool
	// token is that of its claims, at this router; 0 for none.
	token claimToken
}

// maxStandIns bounds the routers that are asked for a shard one after the other, before
// it is gathered here: by a router that has next to no share of what its servers allow,
// and no connection to them.
const maxStandIns = 3

// origin says how a slice came about.
type origin struct {
	// failed is how many routers failed with the shards before.
	failed int
	// earlier is how many of them may have sent attempts.
	earlier int
}

// begin gathers a slice here or asks its router for it.
func (g *gatherState) begin(slice slicing.Slice, from origin) {
	state := &sliceState{Slice: slice, origin: from, open: make(map[int]bool, len(slice.Shards))}
	for position := range slice.Shards {
		state.open[position] = true
	}
	g.slices = append(g.slices, state)
	index := len(g.slices) - 1
	if slice.Router.Name == "" {
		g.gatherHere(index)
		return
	}
	g.gateway.metrics.slicesAsked.Inc()
	state.token = g.gateway.claims.open()
	asked := g.sliceRequest(slice, from)
	asked.Claims = claimTarget{Address: g.gateway.config.PeerAddress, Token: state.token}
	if !g.collection.Cut.IsZero() {
		state.due = steadyclock.Now().Add(asked.CutLeft)
	}
	go func() {
		accepted, err := g.gateway.slices.ask(g.context, slice.Router, asked, func(frame sliceFrame) {
			g.events <- &gatherEvent{slice: index, frame: &frame, at: steadyclock.Now()}
		})
		if err != nil {
			g.events <- &gatherEvent{slice: index, failed: true, accepted: accepted, reason: err}
		}
	}()
}

// sliceRequest is what the router of a slice is asked.
func (g *gatherState) sliceRequest(slice slicing.Slice, from origin) sliceRequest {
	now := steadyclock.Now()
	asked := sliceRequest{
		Request: g.encode(), Shards: slice.Shards, Route: g.route.Name, MaxAttempts: g.route.MaxAttempts,
		Priority: g.route.Priority, TopRecords: g.route.TopRecords, LeastShare: g.route.LeastShare, Target: g.route.Target,
		DeadlineLeft: g.collection.Deadline.Sub(now), Earlier: from.earlier, Tried: g.tried, Caller: g.caller(),
	}
	if !g.collection.Cut.IsZero() {
		asked.CutLeft = max(0, g.collection.Cut.Sub(now)-g.gateway.sliceLag.margin(firstSliceMargin))
	}
	return asked
}

// encode returns the client's request as it travels to other routers.
func (g *gatherState) encode() json.RawMessage {
	if g.encoded != nil {
		return g.encoded
	}
	encoded, err := json.Marshal(g.message.Request)
	if err != nil {
		panic(errors.Wrap(err, "a request holds only texts and bytes"))
	}
	g.encoded = encoded
	return encoded
}

// gatherHere gives a slice to the own engine.
func (g *gatherState) gatherHere(index int) {
	state := g.slices[index]
	gathering := g.gateway.submitShards(localSlice{
		request: g.message, evidence: g.evidence(), route: g.route, shards: state.Shards, deadline: g.collection.Deadline, due: g.collection.Cut,
		earlier: state.origin.earlier, events: g.events, slice: index,
	})
	state.local = &gathering
}

// fallBack has what a router that failed has not brought gathered by those that stand
// in for it, which know its servers, or here if those fail too.
func (g *gatherState) fallBack(event *gatherEvent) {
	failed := g.slices[event.slice]
	if g.context.Err() != nil || failed.ended {
		return
	}
	switch {
	case errors.Is(event.reason, errQuarantined):
		g.withdrawn = verdict.ReasonQuarantined
		return
	case errors.Is(event.reason, errSuspected):
		g.withdrawn = verdict.ReasonOnTrial
		return
	}
	g.gateway.metrics.slicesFailed.Inc()
	g.gateway.noteAnswer(event.reason)
	g.gateway.reach.fail(failed.Router.Zone)
	if g.gateway.peers.doubt(failed.Router.Name) {
		g.gateway.tellDoubt(failed.Router.Name)
		g.gateway.logger.WithField("router", failed.Router.Name).WithField("accepted", event.accepted).
			WithField("request", g.id).WithField("reason", event.reason).Info("router_doubted")
	}
	g.fallbacks++
	granted := g.gateway.claims.close(failed.token)
	spent := failed.origin.earlier
	if event.accepted {
		spent++
	}
	for earlier, open := range failed.leave(spent, granted) {
		g.standIn(open, origin{failed: failed.origin.failed + 1, earlier: earlier})
	}
}

// standIn has shards gathered whose router failed. Those for which as many servers may
// have been asked as the route allows are lost.
func (g *gatherState) standIn(shards []string, from origin) {
	switch {
	case from.earlier >= max(1, g.route.MaxAttempts):
		g.collection.Out += len(shards)
	case from.failed > maxStandIns:
		g.begin(slicing.Slice{Shards: shards}, from)
	default:
		for _, slice := range g.gateway.peers.layout(g.route.Shards).Assign(g.id, shards) {
			g.begin(slice, from)
		}
	}
}

// leave ends a slice whose router failed and returns the shards that it leaves open, by
// how many attempts may have been sent for them: as many as were spent, and those that
// were granted.
func (s *sliceState) leave(spent int, granted map[int]int) map[int][]string {
	open := make(map[int][]string)
	for position, shard := range s.Shards {
		if !s.open[position] {
			continue
		}
		attempts := spent + granted[position]
		open[attempts] = append(open[attempts], shard)
	}
	s.ended = true
	clear(s.open)
	return open
}
