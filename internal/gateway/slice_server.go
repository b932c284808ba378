package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// maxSliceBytes bounds the body of a slice request.
const maxSliceBytes = 16 << 20

// PeerHandler serves the calls of other routers.
func (g *Gateway) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathSlice, g.serveSlice)
	mux.HandleFunc("POST "+pathClaim, g.serveClaim)
	mux.HandleFunc("POST "+pathProbe, g.serveProbe)
	return addressee.Handler(g.identity, g.recordMisdirected, mux)
}

// serveSlice gathers shards for another router. It accepts the slice at once, sends one frame
// when all parts have arrived or at the cutoff, and then each part that arrives later.
func (g *Gateway) serveSlice(writer http.ResponseWriter, request *http.Request) {
	var slice sliceRequest
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxSliceBytes)).Decode(&slice)
	if err != nil || slice.Request == nil || len(slice.Shards) == 0 {
		http.Error(writer, "the slice can't be read", http.StatusBadRequest)
		return
	}
	fingerprinted := newFingerprinted(slice.Request)
	switch standing := g.quarantine.standing(fingerprinted); {
	case standing == quarantine.Quarantined:
		http.Error(writer, "the request is quarantined", statusQuarantined)
		return
	case standing == quarantine.Suspected && !slice.Tried:
		http.Error(writer, "the request is suspected", statusSuspected)
		return
	}
	if g.stopping.Load() || !g.knowsServers() || g.inFlight.Add(1) > maxInFlight {
		http.Error(writer, "no slices are taken", http.StatusServiceUnavailable)
		return
	}
	defer g.inFlight.Add(-1)
	writer.WriteHeader(http.StatusOK)
	stream := &sliceStream{writer: writer, controller: http.NewResponseController(writer), slice: &slice, request: fingerprinted}
	if stream.controller.Flush() != nil {
		return
	}
	g.metrics.slicesServed.Inc()
	g.gatherSlice(request, stream)
}

// sliceStream writes the frames of one slice.
type sliceStream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	slice      *sliceRequest
	request    *fingerprinted
	pending    sliceFrame
	parts      [][]byte
}

func (s *sliceStream) add(part scatter.Part) {
	if s.parts == nil {
		count := len(s.slice.Shards)
		s.pending.Shards, s.pending.Stamps, s.parts = make([]int, 0, count), make([]string, 0, count), make([][]byte, 0, count)
	}
	s.pending.Shards = append(s.pending.Shards, part.Shard)
	s.pending.Stamps = append(s.pending.Stamps, part.Reply.Stamp)
	s.parts = append(s.parts, part.Reply.Body)
}

// send writes the parts added since the last frame.
func (s *sliceStream) send() {
	s.pending.Records = greatestRecords(s.parts, s.slice.TopRecords)
	_, _ = s.writer.Write(s.pending.encode())
	_ = s.controller.Flush()
	s.pending, s.parts = sliceFrame{}, nil
}

func (g *Gateway) gatherSlice(request *http.Request, stream *sliceStream) {
	slice := stream.slice
	now := steadyclock.Now()
	events := make(eventChannel, 2*len(slice.Shards)+1)
	gather := g.submitShards(localSlice{
		request: stream.request, evidence: &evidence{route: slice.Route, caller: slice.Caller}, shards: slice.Shards, deadline: now.Add(slice.DeadlineLeft), due: slice.due(now), events: events, earlier: slice.Earlier, claims: slice.Claims,
		route: &routing.Route{
			Name: slice.Route, Repeatable: true, Timeout: slice.DeadlineLeft, Target: slice.Target, Priority: slice.Priority,
			MaxAttempts: slice.MaxAttempts, Shards: slice.Shards, LeastShare: slice.LeastShare,
		},
	})
	frames := slicing.NewFrameSchedule(now, slice.CutLeft)
	next := time.NewTimer(steadyclock.Until(frames.Next()))
	defer next.Stop()
	for {
		select {
		case event := <-events:
			if event.ended {
				stream.pending.Lost, stream.pending.Last = event.lost, true
				stream.send()
				return
			}
			stream.add(event.part)
			if frames.PastCutoff() {
				stream.send()
			}
		case <-next.C:
			if len(stream.parts) > 0 {
				stream.send()
			}
			if frames.Advance(); !frames.PastCutoff() {
				next.Reset(steadyclock.Until(frames.Next()))
			}
		case <-request.Context().Done():
			gather.abandon()
			return
		}
	}
}

// localSlice describes shards that this router gathers itself.
type localSlice struct {
	request  *fingerprinted
	evidence *evidence
	route    *routing.Route
	shards   []string
	deadline time.Time
	// due is when the parts received so far are sent.
	due time.Time
	// earlier is how many other routers may have sent attempts before.
	earlier int
	// claims is where to claim attempts beyond the first of a shard; with a zero token they
	// need no claim.
	claims claimTarget
	// events receives one event for each part and one at the end, and has room for all of
	// them.
	events eventSink
	// slice identifies the slice in its events.
	slice int
}

// gatherEvent is a part, a frame or the end of a slice.
type gatherEvent struct {
	slice int
	// part is a part that this router received from a server, unless ended.
	part scatter.Part
	// frame is a frame from another router, or nil.
	frame *sliceFrame
	// at is when the part or the frame arrived.
	at time.Time
	// ended is set when no more parts follow; lost are the positions of the missing ones.
	ended bool
	lost  []int
	// result describes the attempts of a slice that this router gathered itself.
	result scatter.Result
	// failed is set if another router failed, and accepted if it may have sent anything to
	// servers.
	failed   bool
	accepted bool
	reason   error
}

// localGather is a slice that the engine of this router gathers.
type localGather struct {
	gateway *Gateway
	id      chan scatter.RequestID
}

// submitShards submits shards to the engine.
func (g *Gateway) submitShards(local localSlice) localGather {
	incoming := submission{
		arrived: scatter.Arrived{
			Route: local.route, Services: local.shards, Deadline: local.deadline, Due: local.due, PriorAttempts: local.earlier,
			ClaimExtras: local.claims.Token != 0,
		},
		claims: local.claims, request: local.request, evidence: local.evidence, id: make(chan scatter.RequestID, 1), events: local.events, slice: local.slice,
	}
	g.shardCalls.add(len(local.shards))
	g.loop.requests <- incoming
	return localGather{gateway: g, id: incoming.id}
}

// abandon tells the engine that the result is no longer needed.
func (g localGather) abandon() { g.gateway.loop.events <- scatter.Abandoned{Request: <-g.id} }
