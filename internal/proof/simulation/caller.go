package simulation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/proof/dataset"
	"github.com/martenstage/martenstage/internal/proof/simulation/network"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
)

const (
	// maxResends bounds how often a caller sends a request again.
	maxResends = 4
	// patience is how long after the policy's deadline a caller gives up.
	patience = 700 * time.Millisecond
	// readinessLag is how late callers learn that a router is not ready.
	readinessLag = 500 * time.Millisecond
)

// callerRequest is a request as its caller follows it, over its resends.
type callerRequest struct {
	caller   *process
	area     *areaState
	id       string
	route    string
	service  string
	key      string
	once     bool
	body     []byte
	deadline time.Duration // the policy's
	// limit is a shorter deadline that the caller asks for; 0 for none.
	limit   time.Duration
	resends int
}

// submission is one send of a request to one router.
type submission struct {
	*callerRequest
	router *router
	// served is the router that the request was handed over to, or router.
	served *router
	sent   time.Duration
	// read is when the router took the request from its socket, long after it
	// was sent if it did not run. It can't know that, so that its answer is
	// judged from then on; see docs/design/0009-simulation.md.
	read  time.Duration
	ended bool
	// admitted is the number of the request at the router; 0 before.
	admitted query.RequestID
}

// traffic gives each route its share of the requests.
var traffic = []string{routeQuick, routeSweep, routeLookup, routeSend, routeSend}

// generate sends requests of some callers to an area until the end of traffic.
func (w *World) generate(a *areaState, callers []*process, meanGap time.Duration) {
	gap := time.Duration(w.workload.ExpFloat64() * float64(meanGap)).Round(time.Microsecond)
	w.queue.After(gap, func() {
		if w.queue.Now() > w.trafficEnd {
			return
		}
		w.newRequest(a, callers, a.route(traffic[w.workload.IntN(len(traffic))]))
		w.generate(a, callers, meanGap)
	})
}

// newRequest sends a request of one of some callers on a route.
func (w *World) newRequest(a *areaState, callers []*process, route string) {
	w.requests++
	compiled, _ := w.routes.RouteNamed(route)
	id := fmt.Sprintf("%sr%d", w.layout.prefix, w.requests)
	w.closeLater(id)
	request := &callerRequest{
		caller: callers[w.workload.IntN(len(callers))], area: a, id: id, route: route, service: compiled.Service,
		once: compiled.Policy.Once, deadline: compiled.Policy.Deadline, body: fmt.Appendf(nil, `{"q":"%s"}`, id),
		key: fmt.Sprint("k", w.workload.IntN(50)),
	}
	const limited, doubled, chances = 1, 2, 10
	chance := w.workload.IntN(chances)
	if chance == limited && !request.once {
		request.limit = request.deadline / 3
	}
	request.submit(w.workload.IntN(len(a.routers)))
	if chance <= doubled && request.once {
		// A caller that lost patience at once asks another router, too.
		request.submit(w.workload.IntN(len(a.routers)))
	}
}

// abroad reports whether the caller is of another region than the route.
func (c *callerRequest) abroad() bool { return slices.Contains(c.caller.world.visitors, c.caller) }

// routers are those of the caller's region.
func (c *callerRequest) routers() []*router {
	if c.abroad() {
		return c.caller.world.neighbour.routers
	}
	return c.area.routers
}

// submit sends the request to the first router from a number on that its
// caller takes for ready.
func (c *callerRequest) submit(first int) {
	w := c.caller.world
	routers := c.routers()
	chosen := routers[first%len(routers)]
	for offset := range routers {
		candidate := routers[(first+offset)%len(routers)]
		if candidate.running && (!candidate.stopping || w.queue.Wall().Sub(candidate.stopBegan) < readinessLag) {
			chosen = candidate
			break
		}
	}
	sent := &submission{callerRequest: c, router: chosen, served: chosen, sent: w.queue.Now()}
	w.trace.detail(c.caller.name(), "request_sent", c.id, "route", c.route, "router", chosen.name())
	w.queue.After(c.deadline+patience, sent.timeOut)
	if !w.network.Connected(&c.caller.place, &chosen.place) {
		return // no connection is made; the caller times out
	}
	w.network.Send(network.Message{From: &c.caller.place, To: &chosen.place, Arrive: sent.arrive})
}

func (s *submission) arrive() {
	if !s.router.running {
		s.back(func() { s.failed(verdict.NotRun, "connection refused", true) })
		return
	}
	s.router.callers = append(s.router.callers, s)
	frozen := s.router.frozen
	s.router.deliver(s.router.boot, func() {
		if frozen {
			s.read = s.caller.world.queue.Now()
		}
		s.router.query(s)
	})
}

// back sends something from the router to the caller.
func (s *submission) back(act func()) {
	s.caller.world.network.Send(network.Message{From: &s.router.place, To: &s.caller.place, Arrive: act})
}

// timeOut ends the caller's wait. It does not know whose fault it was.
func (s *submission) timeOut() {
	if s.ended {
		return
	}
	router := s.router
	s.caller.world.network.Send(network.Message{From: &s.caller.place, To: &router.place, Arrive: func() {
		router.deliver(router.boot, func() { router.callerGone(s) })
	}})
	s.failed(verdict.MayHaveRun, "no answer in time", false)
}

// failed ends a submission without an answer. Blamed says that the router is
// known to have caused it.
func (s *submission) failed(known verdict.Verdict, cause string, blamed bool) {
	if s.ended {
		return
	}
	record := s.record()
	record.Verdict, record.Error = known.String(), cause
	if !blamed {
		record.Router = ""
	}
	s.end(record, 0)
}

// answered takes the router's answer in.
func (s *submission) answered(answer query.Answer, forwarded bool) {
	if s.ended {
		return
	}
	record := s.record()
	record.Status, record.Verdict = http.StatusOK, answer.Verdict.String()
	if answer.Snapshot.Service != "" {
		record.Service = answer.Snapshot.Service
	}
	record.Generation, record.Version = answer.Snapshot.Generation, answer.Snapshot.Version
	record.Covered = lo.Map(answer.Covered, func(shard query.ShardCoverage, _ int) uint32 { return shard.Shard })
	record.Missing = lo.Map(answer.Missing, func(shard query.MissingShard, _ int) uint32 { return shard.Shard })
	record.Complete, record.Late, record.Superseded = answer.Complete, answer.Late, answer.Superseded
	record.Attempts = answer.Attempts.First + answer.Attempts.Hedges + answer.Attempts.Retries
	record.Hedges, record.Retries = answer.Attempts.Hedges, answer.Attempts.Retries
	record.ElapsedMs = float64(answer.Elapsed) / float64(time.Millisecond)
	record.ItemDigests = dataset.FormatDigests(lo.Map(answer.Items, func(item json.RawMessage, _ int) uint64 { return xxhash.Sum64(item) }))
	// A refusal is no admission, and a forwarded request was admitted by
	// another router; the admission itself is recorded in both cases.
	if !forwarded && answer.Err == nil {
		record.ConfigRevision = answer.ConfigRevision
	}
	pause := time.Duration(0)
	if answer.Err != nil {
		record.Status, record.Reason = http.StatusServiceUnavailable, string(answer.Err.Reason)
		record.Verdict = answer.Err.Verdict.String()
		pause = answer.Err.RetryAfter
	}
	s.end(record, pause)
}

func (s *submission) record() records.CallerAnswer {
	w := s.caller.world
	return records.CallerAnswer{
		Request: s.id, Route: s.route, Service: s.service, Once: s.once, Router: s.router.name(),
		Intended: wallAt(s.sent), Sent: wallAt(max(s.sent, s.read)), Received: w.queue.Wall(),
		BodyDigest: backendapi.Digest(s.body), DeadlineMs: s.limit.Milliseconds(),
	}
}

// end hands the record to the judge and sends the request again if its kind of
// caller does so.
func (s *submission) end(record records.CallerAnswer, pause time.Duration) {
	s.ended = true
	w := s.caller.world
	w.judge.AddAnswer(record)
	w.watchIsolation(s, &record)
	w.answers[record.Verdict]++
	w.hedges += record.Hedges
	w.retries += record.Retries
	if len(record.Covered) > 0 && len(record.Missing) > 0 {
		w.partial++
	}
	if record.Status == http.StatusOK && record.Complete {
		w.completed[s.route] = w.queue.Now()
	}
	w.trace.detail(s.caller.name(), "answered", s.id, "router", record.Router, "status", record.Status, "verdict", record.Verdict,
		"reason", record.Reason, "error", record.Error, "covered", len(record.Covered), "missing", len(record.Missing),
		"version", record.Version, "items", len(record.ItemDigests), "revision", record.ConfigRevision)
	again := record.Verdict == verdict.NotRun.String() || (s.once && record.Status != http.StatusOK)
	if !again || s.resends >= maxResends {
		return
	}
	s.resends++
	const leastPause = 50 * time.Millisecond
	pause = max(pause, leastPause) + time.Duration(w.workload.Int64N(int64(leastPause)))
	w.queue.After(pause, func() { s.submit(slices.Index(s.routers(), s.router) + 1) })
}

// query answers a request here, or through a router of its service's cell.
func (r *router) query(s *submission) {
	request := query.Request{
		CallerID: s.id, Route: s.route, Key: s.key, Body: s.body, BodyDigest: backendapi.Digest(s.body),
	}
	if s.limit > 0 {
		request.Deadline = r.now().Add(s.limit)
	}
	if s.abroad() {
		r.cross(s, request)
		return
	}
	if peer := r.cellPeer(s.service); peer != nil {
		r.forward(peer, s, request)
		return
	}
	s.admitted = r.admit(request, func(answer query.Answer) { r.answerCaller(s, answer, false) })
}

func (r *router) answerCaller(s *submission, answer query.Answer, forwarded bool) {
	r.callers = remove(r.callers, s)
	s.back(func() { s.answered(answer, forwarded) })
}

func (r *router) callerGone(s *submission) {
	if s.admitted != 0 {
		if _, waiting := r.waiting[s.admitted]; waiting {
			r.step(query.CallerDisconnected{Request: s.admitted})
		}
	}
	r.callers = remove(r.callers, s)
}

// cutCallers ends the connections of callers when a router's process ends.
func (w *World) cutCallers(r *router, planned bool) {
	callers := r.callers
	r.callers = nil
	for _, s := range callers {
		// After a crash nobody takes the end for that of a planned stop.
		s.back(func() { s.failed(verdict.MayHaveRun, "connection closed by the router", planned) })
	}
}
