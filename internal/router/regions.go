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
	// Cross sends a request to an entry router. The context's deadline bounds the
	// call; connecting is given up well before.
	Cross(ctx context.Context, entry netip.AddrPort, request Request) ForwardResult
	// Reach returns nil if the entry router accepts requests. It runs nothing.
	Reach(ctx context.Context, entry netip.AddrPort) error
}

// ForwardResult is the outcome of a request that was sent to an entry router.
type ForwardResult struct {
	Answer  query.Answer
	Outcome remote.Outcome
}

// regions sends requests for remote routes to the regions that own them. Package
// remote decides which entry routers to use; this type adds the lock, the calls and
// the probes.
type regions struct {
	router  *Router
	caller  RegionCaller
	metrics *regionMetrics

	mutex  sync.Mutex
	known  map[string]*remote.Region
	probes sync.WaitGroup
	// probesChanged is signaled when a probe may be due earlier than known.
	probesChanged chan struct{}
}

func newRegions(router *Router, dependencies Dependencies) *regions {
	created := &regions{
		router: router, caller: dependencies.Regions,
		known: map[string]*remote.Region{}, probesChanged: make(chan struct{}, 1),
	}
	created.metrics = newRegionMetrics(dependencies.Registerer)
	return created
}

// install applies the regions of a configuration. The state of entry routers that
// remain is kept.
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
	for name, removed := range s.known {
		if next[name] != nil {
			continue
		}
		if !removed.Reachable() {
			s.report(name, remote.BecameReachable) // its failures no longer matter
		}
		s.metrics.forget(name)
	}
	s.known = next
	s.notifyProber()
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

// admit sends a request to the route's region, or refuses it if this router may not
// or can not do so.
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
	outgoing, refused := s.begin(route)
	if outgoing == nil {
		return refused
	}
	defer outgoing.end()
	request.Deadline = boundedDeadline(route.Deadline, request.Deadline, now)
	bounded, cancel := steadyclock.WithDeadline(ctx, request.Deadline.Add(forwardGrace))
	defer cancel()
	return outgoing.send(bounded, request)
}

// regionRequest is a request in flight to a region.
type regionRequest struct {
	*regions
	route *plan.RemoteRoute
	// region stays the one that counts the request, whatever is installed meanwhile.
	// It is guarded by the mutex of regions.
	region *remote.Region
}

// begin counts a request as in flight to the region, or refuses it.
func (s *regions) begin(route *plan.RemoteRoute) (*regionRequest, query.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	region, found := s.known[route.Region]
	if !found {
		return nil, s.refuseUnreachable(route, nil, "it is not of the configuration in force")
	}
	switch region.Begin() {
	case remote.Unreachable:
		return nil, s.refuseUnreachable(route, region, "every entry router fails")
	case remote.LimitReached:
		return nil, s.router.refusal(verdict.ReasonOverloaded, "too many requests are on their way to region "+route.Region)
	}
	outgoing := &regionRequest{regions: s, route: route, region: region}
	outgoing.countInFlight()
	return outgoing, query.Answer{}
}

func (r *regionRequest) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.region.End()
	r.countInFlight()
}

// isCurrent reports whether the region is still part of the active configuration.
func (r *regionRequest) isCurrent() bool { return r.known[r.route.Region] == r.region }

func (r *regionRequest) countInFlight() {
	if r.isCurrent() {
		r.metrics.inFlight.WithLabelValues(r.route.Region).Set(float64(r.region.InFlight()))
	}
}

// refuseUnreachable refuses a request to an unreachable region. It is called with the
// lock held.
func (s *regions) refuseUnreachable(route *plan.RemoteRoute, region *remote.Region, detail string) query.Answer {
	answer := s.router.refusal(verdict.ReasonRegionUnreachable, "region "+route.Region+" can't be reached: "+detail)
	if region != nil {
		answer.Err.RetryAfter = region.RetryAfter(steadyclock.Now(), answer.Err.RetryAfter)
	}
	return answer
}

// send tries entry routers in turn until one answers. If the request may have run,
// another one is tried only if the route allows that.
func (r *regionRequest) send(ctx context.Context, request Request) query.Answer {
	var tried []netip.AddrPort
	var last query.Answer
	ran := verdict.NotRun
	for range maxForwards {
		started := steadyclock.Now()
		entry, found := r.choose(request, tried)
		if !found {
			break
		}
		result := r.caller.Cross(ctx, entry, request)
		r.recordOutcome(remote.Attempt{Entry: entry, Outcome: result.Outcome, Begun: started})
		last = result.Answer
		ran = verdict.Combine(ran, last.Verdict)
		if ctx.Err() != nil || !mayTryNextRouter(last, !r.route.Repeatable) {
			return withVerdict(last, ran)
		}
		tried = append(tried, entry)
	}
	if last.Err != nil && (ran != verdict.NotRun || last.Err.Reason == verdict.ReasonNoReplica) {
		return withVerdict(last, ran)
	}
	detail := "no entry router takes requests"
	if last.Err != nil {
		detail = strings.TrimSuffix(string(last.Err.Reason)+": "+last.Err.Detail, ": ")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.refuseUnreachable(r.route, r.region, detail)
}

func (r *regionRequest) choose(request Request, tried []netip.AddrPort) (netip.AddrPort, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.region.Choose(xxhash.Sum64String(request.CallerID), tried)
}

func (r *regionRequest) recordOutcome(asked remote.Attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change := r.region.RecordOutcome(steadyclock.Now(), asked)
	if !r.isCurrent() {
		return
	}
	r.report(r.route.Region, change)
	if asked.Outcome != remote.Answered {
		r.notifyProber()
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

// QueryCrossed answers a request that another region's router forwarded. It may be
// forwarded to a router of its service's cell, but never to another region: a route
// that this region does not own is refused.
func (r *Router) QueryCrossed(ctx context.Context, request Request) query.Answer {
	r.regionRequests.Add(1)
	defer r.regionRequests.Add(-1)
	return r.withMetrics(request, func() query.Answer {
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
		status := RegionStatus{Name: name, Reachable: region.Reachable(), InFlight: region.InFlight(), Entries: []EntryStatus{}}
		for _, entry := range region.Entries() {
			status.Entries = append(status.Entries, EntryStatus{Address: entry.Address.String(), Failing: entry.Failing, Failures: entry.Failures})
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(left, right RegionStatus) int { return strings.Compare(left.Name, right.Name) })
	return all
}
