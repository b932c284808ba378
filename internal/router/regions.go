package router

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/remote"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// RegionCaller carries requests and probes to the entry routers of other
// regions.
type RegionCaller interface {
	// Cross hands a request to an entry router. The context's deadline bounds
	// it; the connection is given up well before.
	Cross(ctx context.Context, entry netip.AddrPort, request Request) Crossing
	// Reach returns nil if the entry router takes requests. Nothing is run.
	Reach(ctx context.Context, entry netip.AddrPort) error
}

// Crossing is what became of a request that an entry router was asked.
type Crossing struct {
	Answer  query.Answer
	Outcome remote.Outcome
}

// regions sends requests for remote routes to the regions that own them. The
// judgement is that of package remote; this adds the lock, the calls and the
// probes.
type regions struct {
	router  *Router
	caller  RegionCaller
	metrics *regionMetrics

	mutex  sync.Mutex
	known  map[string]*remote.Region
	probes sync.WaitGroup
	// wake is filled when a probe may be due earlier than was known.
	wake chan struct{}
}

func newRegions(router *Router, dependencies Dependencies) *regions {
	created := &regions{
		router: router, caller: dependencies.Regions,
		known: map[string]*remote.Region{}, wake: make(chan struct{}, 1),
	}
	created.metrics = newRegionMetrics(dependencies.Registerer)
	return created
}

// install takes in the regions of a configuration. What is known of entry
// routers that stay is kept.
func (s *regions) install(declared []plan.Region) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := make(map[string]*remote.Region, len(declared))
	for _, region := range declared {
		if known, found := s.known[region.Name]; found {
			next[region.Name] = known
			s.report(region.Name, known.Update(region.Entries))
			continue
		}
		config := s.router.config.Regions
		config.Seed = xxhash.Sum64String(s.router.config.Name + "/" + region.Name)
		next[region.Name] = remote.New(config, region.Entries)
		s.metrics.reachable.WithLabelValues(region.Name).Set(1)
	}
	for name, gone := range s.known {
		if next[name] != nil {
			continue
		}
		if !gone.Reachable() {
			s.report(name, remote.BecameReachable) // nothing fails any more
		}
		s.metrics.forget(name)
	}
	s.known = next
	s.wakeProber()
}

// query answers a request for a route that another region owns.
func (s *regions) query(ctx context.Context, route *plan.RemoteRoute, request Request) query.Answer {
	answer := s.admit(ctx, route, request)
	reason := ""
	if answer.Err != nil {
		reason = string(answer.Err.Reason)
	}
	s.metrics.requests.WithLabelValues(route.Region, answer.Verdict.String(), reason).Inc()
	return answer
}

// admit refuses what this router may not or can not hand over.
func (s *regions) admit(ctx context.Context, route *plan.RemoteRoute, request Request) query.Answer {
	now := steadyclock.Now()
	switch {
	case s.router.refusing.Load():
		return s.router.refusal(verdict.ReasonStopping, "the router is being stopped")
	case !s.router.leaseValidAt(now):
		return s.router.refusal(verdict.ReasonNoLease, "the configuration lease has run out")
	case !request.Deadline.IsZero() && !now.Before(request.Deadline):
		return s.router.refusalWithoutRetry(verdict.ReasonDeadlinePassed, "the deadline has passed")
	case s.caller == nil:
		return s.router.refusalWithoutRetry(verdict.ReasonRegionUnreachable, "a router without control reaches no other region")
	}
	way, refused := s.begin(route)
	if way == nil {
		return refused
	}
	defer way.end()
	request.Deadline = boundedDeadline(route.Deadline, request.Deadline, now)
	bounded, cancel := steadyclock.WithDeadline(ctx, request.Deadline.Add(forwardGrace))
	defer cancel()
	return way.offer(bounded, request)
}

// crossingWay is a request's place among those on their way to a region.
type crossingWay struct {
	*regions
	route *plan.RemoteRoute
	// region stays the one that counts the request, whatever is installed
	// meanwhile. It is guarded by the mutex of regions.
	region *remote.Region
}

// begin takes a place among the requests on their way to the region, or refuses.
func (s *regions) begin(route *plan.RemoteRoute) (*crossingWay, query.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	region, found := s.known[route.Region]
	if !found {
		return nil, s.unreachable(route, nil, "it is not of the configuration in force")
	}
	switch region.Begin() {
	case remote.Unreachable:
		return nil, s.unreachable(route, region, "every entry router fails")
	case remote.Full:
		return nil, s.router.refusal(verdict.ReasonOverloaded, "too many requests are on their way to region "+route.Region)
	}
	way := &crossingWay{regions: s, route: route, region: region}
	way.countInFlight()
	return way, query.Answer{}
}

func (w *crossingWay) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.region.End()
	w.countInFlight()
}

// current reports whether the region is still of the configuration in force.
func (w *crossingWay) current() bool { return w.known[w.route.Region] == w.region }

func (w *crossingWay) countInFlight() {
	if w.current() {
		w.metrics.inFlight.WithLabelValues(w.route.Region).Set(float64(w.region.InFlight()))
	}
}

// unreachable refuses a request. It is called with the lock held.
func (s *regions) unreachable(route *plan.RemoteRoute, region *remote.Region, why string) query.Answer {
	answer := s.router.refusal(verdict.ReasonRegionUnreachable, "region "+route.Region+" can't be reached: "+why)
	if region != nil {
		answer.Err.RetryAfter = region.RetryAfter(steadyclock.Now(), answer.Err.RetryAfter)
	}
	return answer
}

// offer asks entry routers until one answers. After a doubt whether the request
// ran, another one is asked only if the route allows that.
func (w *crossingWay) offer(ctx context.Context, request Request) query.Answer {
	var tried []netip.AddrPort
	var last query.Answer
	ran := verdict.NotRun
	for range maxForwards {
		begun := steadyclock.Now()
		entry, found := w.choose(request, tried)
		if !found {
			break
		}
		crossing := w.caller.Cross(ctx, entry, request)
		w.step(remote.Asked{Entry: entry, Outcome: crossing.Outcome, Begun: begun})
		last = crossing.Answer
		ran = verdict.Combine(ran, last.Verdict)
		if ctx.Err() != nil || !mayOfferAgain(last, !w.route.Repeatable) {
			return withVerdict(last, ran)
		}
		tried = append(tried, entry)
	}
	if last.Err != nil && (ran != verdict.NotRun || last.Err.Reason == verdict.ReasonNoReplica) {
		return withVerdict(last, ran)
	}
	why := "no entry router takes requests"
	if last.Err != nil {
		why = strings.TrimSuffix(string(last.Err.Reason)+": "+last.Err.Detail, ": ")
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.unreachable(w.route, w.region, why)
}

func (w *crossingWay) choose(request Request, tried []netip.AddrPort) (netip.AddrPort, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.region.Choose(xxhash.Sum64String(request.CallerID), tried)
}

func (w *crossingWay) step(asked remote.Asked) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change := w.region.Step(steadyclock.Now(), asked)
	if !w.current() {
		return
	}
	w.report(w.route.Region, change)
	if asked.Outcome != remote.Answered {
		w.wakeProber()
	}
}

// report records that a region became unreachable or reachable.
func (s *regions) report(name string, change remote.Change) {
	event := journal.Event{Detail: "region " + name, Count: 1}
	switch change {
	case remote.BecameUnreachable:
		event.Kind = journal.KindRegionUnreachable
		s.metrics.reachable.WithLabelValues(name).Set(0)
	case remote.BecameReachable:
		event.Kind = journal.KindRegionReachable
		s.metrics.reachable.WithLabelValues(name).Set(1)
	default:
		return
	}
	s.router.logger.WithField("region", name).WithField("event", event.Kind).Warn("reachability of a region changed")
	s.router.record(event)
}

// QueryCrossed answers a request that another region's router handed over. It
// may go to a router of its service's cell, but never to another region: a
// route that is not this region's own is refused.
func (r *Router) QueryCrossed(ctx context.Context, request Request) query.Answer {
	r.handed.Add(1)
	defer r.handed.Add(-1)
	return r.counted(request, func() query.Answer {
		if r.installed.Load() == nil {
			return r.refusal(verdict.ReasonNoLease, "no configuration yet")
		}
		route, own := r.RouteNamed(request.Route)
		switch {
		case !own:
			return r.refusal(verdict.ReasonWrongRegion, "the region that was asked does not own route "+request.Route)
		case route.Policy.Once && request.IDGenerated:
			return r.refusalWithoutRetry(verdict.ReasonBadRequest, "route "+route.Name+" runs at most once and needs a request id of the caller")
		case route.Target == plan.TargetKey && request.Key == "":
			return r.refusalWithoutRetry(verdict.ReasonBadRequest, "route "+route.Name+" needs the parameter key")
		}
		return r.dispatch(ctx, request)
	})
}

// RegionStatus describes another region as the router sees it.
type RegionStatus struct {
	Name      string        `json:"name"`
	Reachable bool          `json:"reachable" doc:"Some entry router gets requests"`
	InFlight  int           `json:"in_flight" doc:"Requests on their way to it"`
	Entries   []EntryStatus `json:"entries" nullable:"false"`
}

// EntryStatus describes an entry router of another region.
type EntryStatus struct {
	Address  string `json:"address"`
	Failing  bool   `json:"failing" doc:"It gets no requests and is probed"`
	Failures int    `json:"failures" doc:"Failures in a row"`
}

func (s *regions) status() []RegionStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]RegionStatus, 0, len(s.known))
	for name, region := range s.known {
		one := RegionStatus{Name: name, Reachable: region.Reachable(), InFlight: region.InFlight(), Entries: []EntryStatus{}}
		for _, entry := range region.Entries() {
			one.Entries = append(one.Entries, EntryStatus{Address: entry.Address.String(), Failing: entry.Failing, Failures: entry.Failures})
		}
		all = append(all, one)
	}
	slices.SortFunc(all, func(left, right RegionStatus) int { return strings.Compare(left.Name, right.Name) })
	return all
}
