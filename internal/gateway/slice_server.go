package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// maxSliceBytes bounds a request for a slice.
const maxSliceBytes = 16 << 20

// PeerHandler serves the calls of other routers.
func (g *Gateway) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathSlice, g.serveSlice)
	mux.HandleFunc("POST "+pathClaim, g.serveClaim)
	mux.HandleFunc("POST "+pathProbe, g.serveProbe)
	return addressee.Handler(g.identity, g.noteMisdirected, mux)
}

// serveSlice gathers shards for another router: it accepts at once, sends what is
// in when all is or at the cut, and then whatever comes later.
func (g *Gateway) serveSlice(writer http.ResponseWriter, request *http.Request) {
	var asked sliceRequest
	var passed message.Request
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxSliceBytes)).Decode(&asked)
	if err == nil {
		err = json.Unmarshal(asked.Request, &passed)
	}
	if err != nil || len(asked.Shards) == 0 {
		http.Error(writer, "the slice can't be read", http.StatusBadRequest)
		return
	}
	fingerprinted := newFingerprinted(&passed)
	switch standing := g.quarantine.standing(fingerprinted); {
	case standing == quarantine.Quarantined:
		http.Error(writer, "the request is quarantined", statusQuarantined)
		return
	case standing == quarantine.Suspected && !asked.Tried:
		http.Error(writer, "the request is suspected", statusSuspected)
		return
	}
	if g.stopping.Load() || g.inFlight.Add(1) > maxInFlight {
		http.Error(writer, "no slices are taken", http.StatusServiceUnavailable)
		return
	}
	defer g.inFlight.Add(-1)
	writer.WriteHeader(http.StatusOK)
	stream := &sliceStream{writer: writer, controller: http.NewResponseController(writer), asked: &asked, request: fingerprinted}
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
	asked      *sliceRequest
	request    *fingerprinted
	pending    sliceFrame
	parts      [][]byte
}

func (s *sliceStream) add(part scatter.Part) {
	s.pending.Shards = append(s.pending.Shards, part.Shard)
	s.pending.Stamps = append(s.pending.Stamps, part.Reply.Stamp)
	s.parts = append(s.parts, part.Reply.Body)
}

// send writes what was added since the last frame.
func (s *sliceStream) send() {
	s.pending.Records = greatestRecords(s.parts, s.asked.TopRecords)
	_, _ = s.writer.Write(s.pending.encode())
	_ = s.controller.Flush()
	s.pending, s.parts = sliceFrame{}, nil
}

func (g *Gateway) gatherSlice(request *http.Request, stream *sliceStream) {
	asked := stream.asked
	now := steadyclock.Now()
	events := make(chan *gatherEvent, 2*len(asked.Shards)+1)
	gathering := g.submitShards(localSlice{
		request: stream.request, evidence: &evidence{route: asked.Route, caller: asked.Caller}, shards: asked.Shards, deadline: now.Add(asked.DeadlineLeft), due: asked.due(now), events: events, earlier: asked.Earlier, claims: asked.Claims,
		route: &routing.Route{
			Name: asked.Route, Repeatable: true, Timeout: asked.DeadlineLeft, Target: asked.Target, Priority: asked.Priority,
			MaxAttempts: asked.MaxAttempts, Shards: asked.Shards, LeastShare: asked.LeastShare,
		},
	})
	cut := time.NewTimer(asked.CutLeft)
	defer cut.Stop()
	pastCut := false
	for {
		select {
		case event := <-events:
			if event.ended {
				stream.pending.Lost, stream.pending.Last = event.lost, true
				stream.send()
				return
			}
			stream.add(event.part)
			if pastCut {
				stream.send()
			}
		case <-cut.C:
			pastCut = true
			if len(stream.parts) > 0 {
				stream.send()
			}
		case <-request.Context().Done():
			gathering.abandon()
			return
		}
	}
}

// localSlice is shards that this router gathers itself.
type localSlice struct {
	request  *fingerprinted
	evidence *evidence
	route    *routing.Route
	shards   []string
	deadline time.Time
	// due is when the parts that are in are sent.
	due time.Time
	// earlier is how many other routers may have asked servers before.
	earlier int
	// claims is where attempts beyond the first of a shard are asked for; a zero token
	// is for those that need not be.
	claims claimTarget
	// events receives one event for each part and one at the end; it has room for
	// them all.
	events chan<- *gatherEvent
	// slice is the mark of its events.
	slice int
}

// gatherEvent is what becomes of a slice.
type gatherEvent struct {
	slice int
	// part is one that came in here, unless ended.
	part scatter.Part
	// frame is what another router sent, unless nil.
	frame *sliceFrame
	// at is when the part or the frame came in.
	at time.Time
	// ended says that nothing more comes; lost are the positions without a part.
	ended bool
	lost  []int
	// result tells of the attempts of a slice that was gathered here.
	result scatter.Result
	// failed says that another router failed; accepted that it may have sent
	// something to servers.
	failed   bool
	accepted bool
	reason   error
}

// gathering is a slice on its way through the engine.
type gathering struct {
	gateway *Gateway
	id      chan scatter.RequestID
}

// submitShards gives shards to the engine.
func (g *Gateway) submitShards(local localSlice) gathering {
	arriving := submitted{
		arrived: scatter.Arrived{
			Route: local.route, Services: local.shards, Deadline: local.deadline, Due: local.due, Earlier: local.earlier,
			Claims: local.claims.Token != 0,
		},
		claims: local.claims, request: local.request, evidence: local.evidence, id: make(chan scatter.RequestID, 1), events: local.events, slice: local.slice,
	}
	g.shardCalls.add(len(local.shards))
	g.loop.requests <- arriving
	return gathering{gateway: g, id: arriving.id}
}

// abandon tells the engine that nobody waits any more.
func (g gathering) abandon() { g.gateway.loop.events <- scatter.Abandoned{Request: <-g.id} }
