package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Times subtracted from the target time of a gathered response.
const (
	// cutoffMargin and cutoffShare reserve time for merging and writing the response.
	cutoffMargin = 6 * time.Millisecond
	cutoffShare  = 0.02
	// firstSliceMargin reserves time for the transfer of a slice from another router, until
	// the transfer time has been measured.
	firstSliceMargin = 4 * time.Millisecond
)

// gatherState is a request that is assembled from slices.
type gatherState struct {
	*exchangeState
	message *fingerprinted
	// settings are encoded sliceSettings; nil until the first slice is sent.
	settings   []byte
	collection slicing.Collection
	events     *eventQueue
	slices     []*sliceState
	stamps     []string
	records    [][]byte
	result     scatter.Result
	cancel     context.CancelFunc
	context    context.Context
	fallbacks  int
	// withdrawn is why the request is ended early: it became quarantined, or another router
	// already knows it as suspected. Empty for neither.
	withdrawn verdict.Reason
}

// serveGather answers a request whose route has shards.
func (s *exchangeState) serveGather(forwarded *fingerprinted) {
	ctx, cancel := context.WithCancel(s.request.Context())
	defer cancel()
	arrived := s.arrival()
	state := &gatherState{
		exchangeState: s, message: forwarded, context: ctx, cancel: cancel,
		collection: slicing.Collection{
			Total: len(s.route.Shards), MinCoverage: s.route.LeastShare, Deadline: arrived.Deadline, Cutoff: arrived.Due,
		},
		stamps: make([]string, 0, len(s.route.Shards)),
		events: newEventQueue(),
	}
	for _, slice := range s.gateway.peers.layout(s.route.Shards).Assign(s.id, s.route.Shards) {
		state.startSlice(slice, origin{})
	}
	state.run()
}

// cutoff returns when the response is sent with the parts received so far, if they suffice;
// zero for never.
func (s *exchangeState) cutoff() time.Time {
	if s.route.Target <= 0 {
		return time.Time{}
	}
	margin := s.gateway.answerLag.margin(max(cutoffMargin, time.Duration(cutoffShare*float64(s.route.Target))))
	return s.arrived.Add(s.route.Target - s.networkDelay() - margin)
}

// run handles events until the collection decides, and then answers.
func (g *gatherState) run() {
	timer := time.NewTimer(steadyclock.Until(g.collection.Next(steadyclock.Now())))
	defer timer.Stop()
	defer g.cleanUp()
	stopBegun := g.gateway.stop.begun
	for {
		now := steadyclock.Now()
		if g.withdrawn != "" {
			g.failWithdrawn()
			return
		}
		switch decision := g.collection.Decide(now); decision {
		case slicing.Answer:
			g.answer()
			return
		case slicing.FailCoverage, slicing.FailTimeout:
			g.failGather(decision)
			return
		}
		if event := g.events.next(); event != nil {
			g.handleEvent(event)
			continue
		}
		select {
		case <-g.events.ready:
		case <-timer.C:
			timer.Reset(max(time.Millisecond, steadyclock.Until(g.collection.Next(steadyclock.Now()))))
		case <-stopBegun:
			stopBegun = nil
			g.collection.Deadline = g.deadline()
			timer.Reset(steadyclock.Until(g.collection.Next(steadyclock.Now())))
		case <-g.request.Context().Done():
			g.recordOutcome("client_gone", 0, g.result)
			return
		}
	}
}

func (g *gatherState) handleEvent(event *gatherEvent) {
	state := g.slices[event.slice]
	switch {
	case event.frame != nil:
		g.gateway.isolation.recordContact(state.Router.Zone)
		g.observeLag(state, event)
		g.addFrame(state, event.frame, event.at)
	case event.failed:
		g.fallBack(event)
	case event.ended:
		state.ended = true
		if event.result.Reason == verdict.ReasonQuarantined {
			g.withdrawn = verdict.ReasonQuarantined
		}
		for _, position := range event.lost {
			g.markLost(state, position)
		}
		g.addResult(event.result)
	default:
		g.addPart(state, event.part.Shard, event.part.Reply.Stamp, event.at)
		g.records = append(g.records, event.part.Reply.Body)
	}
}

// observeLag measures how late the frame arrived that was due at the cutoff.
func (g *gatherState) observeLag(state *sliceState, event *gatherEvent) {
	if state.due.IsZero() || event.at.Before(state.due) || event.frame.Last && len(event.frame.Lost) == 0 {
		return
	}
	g.gateway.sliceLag.observe(steadyclock.Since(state.due))
	state.due = time.Time{}
}

func (g *gatherState) addFrame(state *sliceState, frame *sliceFrame, at time.Time) {
	for number, position := range frame.Shards {
		g.addPart(state, position, frame.Stamps[number], at)
	}
	g.records = append(g.records, frame.Records)
	for _, position := range frame.Lost {
		g.markLost(state, position)
	}
	state.ended = state.ended || frame.Last
}

func (g *gatherState) addPart(state *sliceState, position int, stamp string, at time.Time) {
	if state.open[position] {
		state.open[position] = false
		g.collection.Add(at)
		g.stamps = append(g.stamps, stamp)
	}
}

func (g *gatherState) markLost(state *sliceState, position int) {
	if state.open[position] {
		state.open[position] = false
		g.collection.Failed++
	}
}

func (g *gatherState) addResult(result scatter.Result) {
	g.result.Attempts += result.Attempts
	g.result.Extras += result.Extras
	g.result.Denied += result.Denied
	g.result.Verdict = result.Verdict
}

// cleanUp ends the slices that are still in flight.
func (g *gatherState) cleanUp() {
	g.cancel()
	for _, state := range g.slices {
		g.gateway.claims.close(state.token)
		if state.local != nil && !state.ended {
			state.local.abandon()
		}
	}
}

func (g *gatherState) answer() {
	missing := g.collection.Total - g.collection.Received
	header := g.writer.Header()
	g.gateway.config.Dialect.SetGathered(header, g.stamps, missing)
	header.Set("Content-Type", "application/octet-stream")
	g.write(http.StatusOK, greatestRecords(g.records, g.route.TopRecords))
	if late := steadyclock.Since(g.collection.Cutoff); late > 0 && g.collection.DueAtCutoff() {
		g.gateway.answerLag.observe(late)
	}
	g.gathered = g.summarize()
	g.recordOutcome("answered", http.StatusOK, g.result)
}

// failGather answers a request with too few parts. That nothing has run is certain only if
// this router gathered all parts itself, and no trial preceded them.
func (g *gatherState) failGather(decision slicing.Decision) {
	alone := len(g.slices) == 1 && g.slices[0].Router.Name == "" && g.slices[0].ended && !g.trialRan
	g.result.Reason = verdict.ReasonCoverage
	if decision == slicing.FailTimeout {
		g.result.Reason = verdict.ReasonTimeout
	}
	if !alone || g.result.Verdict != verdict.NotRun {
		g.result.Verdict = verdict.MayHaveRun
	} else {
		g.result.RetryAfter = g.retryAfter()
	}
	g.gathered = g.summarize()
	g.fail(g.result)
}

// failWithdrawn answers a request that was ended after it had been sent to servers or routers.
func (g *gatherState) failWithdrawn() {
	g.result.Verdict, g.result.Reason = verdict.MayHaveRun, g.withdrawn
	g.gathered = g.summarize()
	g.fail(g.result)
}

func (g *gatherState) summarize() gatherSummary {
	summary := gatherSummary{shards: g.collection.Total, missing: g.collection.Total - g.collection.Received, slices: len(g.slices), fallbacks: g.fallbacks}
	if !g.collection.Cutoff.IsZero() {
		summary.cut = g.collection.Cutoff.Sub(g.arrived)
	}
	return summary
}

// gatherSummary describes a gathered response in the log.
type gatherSummary struct {
	shards    int
	missing   int
	slices    int
	fallbacks int
	// cut is the cutoff, counted from the arrival of the request; 0 for never.
	cut time.Duration
}
