package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Times that a gathered answer keeps from its target.
const (
	// cutMargin and cutShare are for merging and writing.
	cutMargin = 6 * time.Millisecond
	cutShare  = 0.02
	// firstSliceMargin is for the way of a slice from another router, until that
	// was observed.
	firstSliceMargin = 4 * time.Millisecond
)

// gatherState is one request that is put together from slices.
type gatherState struct {
	*exchangeState
	message    *message.Request
	collection slicing.Collection
	events     chan gatherEvent
	slices     []*sliceState
	stamps     []string
	records    [][]byte
	result     scatter.Result
	cancel     context.CancelFunc
	context    context.Context
	fallbacks  int
}

// sliceState is one slice of a request.
type sliceState struct {
	slicing.Slice
	// due is when another router sends what it has by then; zero for never.
	due time.Time
	// open are the positions, in Shards, of which nothing is known yet.
	open map[int]bool
	// local is set once this router gathers the slice itself.
	local *gathering
	ended bool
}

// serveGather answers a request whose route names shards.
func (s *exchangeState) serveGather(passed *message.Request) {
	ctx, cancel := context.WithCancel(s.request.Context())
	defer cancel()
	arrived := s.arrival()
	state := &gatherState{
		exchangeState: s, message: passed, context: ctx, cancel: cancel,
		collection: slicing.Collection{
			Total: len(s.route.Shards), Least: s.route.LeastShare, Deadline: arrived.Deadline, Cut: arrived.Due,
		},
		// Each shard gives a part or is lost, at most twice, and each slice ends.
		events: make(chan gatherEvent, 6*len(s.route.Shards)+16),
	}
	for _, slice := range s.gateway.peers.layout(s.route.Shards).Assign(s.id) {
		state.begin(slice)
	}
	state.wait()
}

// cut is when parts that suffice are answered with; zero for never.
func (s *exchangeState) cut() time.Time {
	if s.route.Target <= 0 {
		return time.Time{}
	}
	margin := s.gateway.answerLag.margin(max(cutMargin, time.Duration(cutShare*float64(s.route.Target))))
	return s.arrived.Add(s.route.Target - s.away() - margin)
}

// begin gathers a slice here or asks its router for it.
func (g *gatherState) begin(slice slicing.Slice) {
	state := &sliceState{Slice: slice, open: make(map[int]bool, len(slice.Shards))}
	for position := range slice.Shards {
		state.open[position] = true
	}
	g.slices = append(g.slices, state)
	index := len(g.slices) - 1
	if slice.Router.Name == "" {
		g.gatherHere(index, false)
		return
	}
	g.gateway.metrics.slicesAsked.Inc()
	asked := g.sliceRequest(slice)
	if !g.collection.Cut.IsZero() {
		state.due = time.Now().Add(asked.CutLeft)
	}
	go func() {
		accepted, err := g.gateway.slices.ask(g.context, slice.Router, asked, func(frame sliceFrame) {
			g.events <- gatherEvent{slice: index, frame: &frame, at: time.Now()}
		})
		if err != nil {
			g.events <- gatherEvent{slice: index, failed: true, accepted: accepted, reason: err}
		}
	}()
}

func (g *gatherState) sliceRequest(slice slicing.Slice) sliceRequest {
	now := time.Now()
	asked := sliceRequest{
		Request: g.message, Shards: slice.Shards, Route: g.route.Name, MaxAttempts: g.route.MaxAttempts,
		Priority: g.route.Priority, TopRecords: g.route.TopRecords, LeastShare: g.route.LeastShare, Target: g.route.Target,
		DeadlineLeft: g.collection.Deadline.Sub(now),
	}
	if !g.collection.Cut.IsZero() {
		asked.CutLeft = max(0, g.collection.Cut.Sub(now)-g.gateway.sliceLag.margin(firstSliceMargin))
	}
	return asked
}

// gatherHere gives what is open of a slice to the own engine.
func (g *gatherState) gatherHere(index int, repeat bool) {
	state := g.slices[index]
	var open []int
	for position := range state.Shards {
		if state.open[position] {
			open = append(open, position)
		}
	}
	shards := make([]string, len(open))
	for number, position := range open {
		shards[number] = state.Shards[position]
	}
	// From now on positions are those of the shards that were open.
	state.Shards, state.open = shards, make(map[int]bool, len(shards))
	for position := range shards {
		state.open[position] = true
	}
	gathering := g.gateway.submitShards(localSlice{
		request: g.message, route: g.route, shards: shards, deadline: g.collection.Deadline, due: g.collection.Cut,
		repeat: repeat, events: g.events, slice: index,
	})
	state.local = &gathering
}

// wait takes events in until the collection decides, then answers.
func (g *gatherState) wait() {
	timer := time.NewTimer(time.Until(g.collection.Next(time.Now())))
	defer timer.Stop()
	defer g.finish()
	for {
		now := time.Now()
		switch decision := g.collection.Decide(now); decision {
		case slicing.Answer:
			g.answer()
			return
		case slicing.FailCoverage, slicing.FailTimeout:
			g.failGather(decision)
			return
		}
		select {
		case event := <-g.events:
			g.takeIn(event)
		case <-timer.C:
			timer.Reset(max(time.Millisecond, time.Until(g.collection.Next(time.Now()))))
		case <-g.request.Context().Done():
			g.tell("client_gone", 0, g.result)
			return
		}
	}
}

func (g *gatherState) takeIn(event gatherEvent) {
	state := g.slices[event.slice]
	switch {
	case event.frame != nil:
		g.observeLag(state, event)
		g.takeFrame(state, event.frame, event.at)
	case event.failed:
		g.fallBack(event)
	case event.ended:
		state.ended = true
		for _, position := range event.lost {
			g.lose(state, position)
		}
		g.addResult(event.result)
	default:
		g.takePart(state, event.part.Shard, event.part.Reply.Stamp, event.at)
		g.records = append(g.records, event.part.Reply.Body)
	}
}

// observeLag learns how late the frame that was sent at the cut came in.
func (g *gatherState) observeLag(state *sliceState, event gatherEvent) {
	if state.due.IsZero() || event.at.Before(state.due) || event.frame.Last && len(event.frame.Lost) == 0 {
		return
	}
	g.gateway.sliceLag.observe(time.Since(state.due))
	state.due = time.Time{}
}

func (g *gatherState) takeFrame(state *sliceState, frame *sliceFrame, at time.Time) {
	for number, position := range frame.Shards {
		g.takePart(state, position, frame.Stamps[number], at)
	}
	g.records = append(g.records, frame.Records)
	for _, position := range frame.Lost {
		g.lose(state, position)
	}
	state.ended = state.ended || frame.Last
}

func (g *gatherState) takePart(state *sliceState, position int, stamp string, at time.Time) {
	if state.open[position] {
		delete(state.open, position)
		g.collection.Add(at)
		g.stamps = append(g.stamps, stamp)
	}
}

func (g *gatherState) lose(state *sliceState, position int) {
	if state.open[position] {
		delete(state.open, position)
		g.collection.Out++
	}
}

// fallBack gathers here what a router that failed has not brought.
func (g *gatherState) fallBack(event gatherEvent) {
	state := g.slices[event.slice]
	if g.context.Err() != nil || state.ended {
		return
	}
	g.gateway.metrics.slicesFailed.Inc()
	if g.gateway.peers.doubt(state.Router.Name) {
		g.gateway.logger.WithField("router", state.Router.Name).WithField("accepted", event.accepted).
			WithField("request", g.id).WithField("reason", event.reason).Info("router_doubted")
	}
	g.fallbacks++
	g.gatherHere(event.slice, event.accepted)
}

func (g *gatherState) addResult(result scatter.Result) {
	g.result.Attempts += result.Attempts
	g.result.Extras += result.Extras
	g.result.Denied += result.Denied
	g.result.Verdict = result.Verdict
}

// finish ends what is still on its way.
func (g *gatherState) finish() {
	g.cancel()
	for _, state := range g.slices {
		if state.local != nil && !state.ended {
			state.local.abandon()
		}
	}
}

func (g *gatherState) answer() {
	missing := g.collection.Total - g.collection.In
	header := g.writer.Header()
	g.gateway.config.Dialect.Gathered(header, g.stamps, missing)
	header.Set("Content-Type", "application/octet-stream")
	g.write(http.StatusOK, greatestRecords(g.records, g.route.TopRecords))
	if late := time.Since(g.collection.Cut); late > 0 && g.collection.DueAtCut() {
		g.gateway.answerLag.observe(late)
	}
	g.told = g.toTell()
	g.tell("answered", http.StatusOK, g.result)
}

// failGather answers that too few parts came. Only what one router gathered alone
// can be proved not to have run.
func (g *gatherState) failGather(decision slicing.Decision) {
	alone := len(g.slices) == 1 && g.slices[0].Router.Name == "" && g.slices[0].ended
	g.result.Reason = verdict.ReasonCoverage
	if decision == slicing.FailTimeout {
		g.result.Reason = verdict.ReasonTimeout
	}
	if !alone || g.result.Verdict != verdict.NotRun {
		g.result.Verdict = verdict.MayHaveRun
	} else {
		g.result.RetryAfter = g.comeBack()
	}
	g.told = g.toTell()
	g.fail(g.result)
}

func (g *gatherState) toTell() gatherTold {
	told := gatherTold{shards: g.collection.Total, missing: g.collection.Total - g.collection.In, slices: len(g.slices), fallbacks: g.fallbacks}
	if !g.collection.Cut.IsZero() {
		told.cut = g.collection.Cut.Sub(g.arrived)
	}
	return told
}

// gatherTold is what the log says of a gathered answer.
type gatherTold struct {
	shards    int
	missing   int
	slices    int
	fallbacks int
	// cut is how long after its arrival the request was to be answered with the
	// parts that are in; 0 for never.
	cut time.Duration
}
