package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
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

// eventsPerShard bounds the events of a request: a shard is in the slices of the router
// that gathers it, of those that stand in for it and of this one; in each it gives a
// part or is lost, and each slice has two frames more than parts and a failure.
const eventsPerShard = (maxStandIns + 2) * 4

// gatherState is one request that is put together from slices.
type gatherState struct {
	*exchangeState
	message *fingerprinted
	// encoded is message as it travels to other routers; nil until one is asked.
	encoded    json.RawMessage
	collection slicing.Collection
	events     chan *gatherEvent
	slices     []*sliceState
	stamps     []string
	records    [][]byte
	result     scatter.Result
	cancel     context.CancelFunc
	context    context.Context
	fallbacks  int
	// withdrawn is why the request ends on its way: it was found to be quarantined, or another
	// router knows it to be suspected, which this one was not told yet; empty for neither.
	withdrawn verdict.Reason
}

// serveGather answers a request whose route names shards.
func (s *exchangeState) serveGather(passed *fingerprinted) {
	ctx, cancel := context.WithCancel(s.request.Context())
	defer cancel()
	arrived := s.arrival()
	state := &gatherState{
		exchangeState: s, message: passed, context: ctx, cancel: cancel,
		collection: slicing.Collection{
			Total: len(s.route.Shards), Least: s.route.LeastShare, Deadline: arrived.Deadline, Cut: arrived.Due,
		},
		events: make(chan *gatherEvent, eventsPerShard*len(s.route.Shards)+16),
	}
	for _, slice := range s.gateway.peers.layout(s.route.Shards).Assign(s.id, s.route.Shards) {
		state.begin(slice, origin{})
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

// wait takes events in until the collection decides, then answers.
func (g *gatherState) wait() {
	timer := time.NewTimer(steadyclock.Until(g.collection.Next(steadyclock.Now())))
	defer timer.Stop()
	defer g.finish()
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
		select {
		case event := <-g.events:
			g.takeIn(event)
		case <-timer.C:
			timer.Reset(max(time.Millisecond, steadyclock.Until(g.collection.Next(steadyclock.Now()))))
		case <-g.request.Context().Done():
			g.tell("client_gone", 0, g.result)
			return
		}
	}
}

func (g *gatherState) takeIn(event *gatherEvent) {
	state := g.slices[event.slice]
	switch {
	case event.frame != nil:
		g.gateway.reach.hear(state.Router.Zone)
		g.observeLag(state, event)
		g.takeFrame(state, event.frame, event.at)
	case event.failed:
		g.fallBack(event)
	case event.ended:
		state.ended = true
		if event.result.Reason == verdict.ReasonQuarantined {
			g.withdrawn = verdict.ReasonQuarantined
		}
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
func (g *gatherState) observeLag(state *sliceState, event *gatherEvent) {
	if state.due.IsZero() || event.at.Before(state.due) || event.frame.Last && len(event.frame.Lost) == 0 {
		return
	}
	g.gateway.sliceLag.observe(steadyclock.Since(state.due))
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
		g.gateway.claims.close(state.token)
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
	if late := steadyclock.Since(g.collection.Cut); late > 0 && g.collection.DueAtCut() {
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

// failWithdrawn answers a request that ends after it had been sent to servers or routers.
func (g *gatherState) failWithdrawn() {
	g.result.Verdict, g.result.Reason = verdict.MayHaveRun, g.withdrawn
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
