package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// sliceState is the state of one slice of a request.
type sliceState struct {
	slicing.Slice
	// due is when another router sends the parts received so far; zero for never.
	due time.Time
	// origin tells which routers failed with the slice's shards before.
	origin origin
	// open tells, by position in Shards, which are neither received nor lost.
	open []bool
	// local is set if this router gathers the slice itself.
	local *localGather
	ended bool
	// token identifies the slice's claims at this router; 0 for none.
	token claimToken
}

// maxBackupRouters bounds the backup routers that are tried for a shard one after the other,
// before this router gathers it. This router has almost no share of the load that the shard's
// servers admit, and no connection to them.
const maxBackupRouters = 3

// origin tells which routers failed with the shards of a slice before.
type origin struct {
	// failedRouters counts the routers that failed with the shards before.
	failedRouters int
	// earlier counts those of them that may have sent attempts.
	earlier int
}

// startSlice gathers a slice locally or requests it from its router.
func (g *gatherState) startSlice(slice slicing.Slice, from origin) {
	state := &sliceState{Slice: slice, origin: from, open: make([]bool, len(slice.Shards))}
	for position := range slice.Shards {
		state.open[position] = true
	}
	g.slices = append(g.slices, state)
	index := len(g.slices) - 1
	if slice.Router.Name == "" {
		g.gatherLocally(index)
		return
	}
	g.gateway.metrics.slicesAsked.Inc()
	state.token = g.gateway.claims.open()
	request := g.sliceRequest(slice, from)
	request.Claims = claimTarget{Address: g.gateway.config.PeerAddress, Token: state.token}
	if !g.collection.Cutoff.IsZero() {
		state.due = steadyclock.Now().Add(request.CutLeft)
	}
	settings := g.encodedSettings()
	go func() {
		accepted, err := g.gateway.slices.send(g.context, slice.Router, request.encode(settings), len(slice.Shards), func(frame sliceFrame) {
			g.events.add(&gatherEvent{slice: index, frame: &frame, at: steadyclock.Now()})
		})
		if err != nil {
			g.events.add(&gatherEvent{slice: index, failed: true, accepted: accepted, reason: err})
		}
	}()
}

// sliceRequest returns the message that requests a slice from its router, without the settings.
func (g *gatherState) sliceRequest(slice slicing.Slice, from origin) sliceRequest {
	now := steadyclock.Now()
	request := sliceRequest{Shards: slice.Shards, DeadlineLeft: g.collection.Deadline.Sub(now), Earlier: from.earlier}
	if !g.collection.Cutoff.IsZero() {
		request.CutLeft = max(0, g.collection.Cutoff.Sub(now)-g.gateway.sliceLag.margin(firstSliceMargin))
	}
	return request
}

// encodedSettings returns what all slices of the request have in common, as sent to other routers.
func (g *gatherState) encodedSettings() []byte {
	if g.settings == nil {
		g.settings = sliceSettings{
			Request: g.message.Request, Route: g.route.Name, MaxAttempts: g.route.MaxAttempts, Priority: g.route.Priority,
			TopRecords: g.route.TopRecords, LeastShare: g.route.LeastShare, Target: g.route.Target, Tried: g.tried, Caller: g.caller(),
		}.encode()
	}
	return g.settings
}

// gatherLocally submits a slice to this router's engine.
func (g *gatherState) gatherLocally(index int) {
	state := g.slices[index]
	gather := g.gateway.submitShards(localSlice{
		request: g.message, evidence: g.evidence(), route: g.route, shards: state.Shards, deadline: g.collection.Deadline, due: g.collection.Cutoff,
		earlier: state.origin.earlier, events: g.events, slice: index,
	})
	state.local = &gather
}

// fallBack reassigns the shards that a failed router has not delivered to backup routers,
// which know the shards' servers, or gathers them locally if those fail too.
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
	g.gateway.recordMisdirectedAnswer(event.reason)
	g.gateway.isolation.recordFailure(failed.Router.Zone)
	if g.gateway.peers.suspect(failed.Router.Name) {
		g.gateway.reportSuspect(failed.Router.Name)
		g.gateway.logger.WithField("router", failed.Router.Name).WithField("accepted", event.accepted).
			WithField("request", g.id).WithField("reason", event.reason).Info("router_doubted")
	}
	g.fallbacks++
	granted := g.gateway.claims.close(failed.token)
	spent := failed.origin.earlier
	if event.accepted {
		spent++
	}
	for earlier, open := range failed.abandon(spent, granted) {
		g.reassign(open, origin{failedRouters: failed.origin.failedRouters + 1, earlier: earlier})
	}
}

// reassign gathers the shards of a failed router elsewhere. Shards that may already have had
// as many attempts as the route allows are lost.
func (g *gatherState) reassign(shards []string, from origin) {
	switch {
	case from.earlier >= max(1, g.route.MaxAttempts):
		g.collection.Failed += len(shards)
	case from.failedRouters > maxBackupRouters:
		g.startSlice(slicing.Slice{Shards: shards}, from)
	default:
		for _, slice := range g.gateway.peers.layout(g.route.Shards).Assign(g.id, shards) {
			g.startSlice(slice, from)
		}
	}
}

// abandon ends a slice whose router failed. It returns the open shards by the number of
// attempts that may have been sent for them: those already spent and those that were granted.
func (s *sliceState) abandon(spent int, granted map[int]int) map[int][]string {
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
