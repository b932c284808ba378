package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/martenstage/martenstage/internal/quota"
)

// Times of the simulated site, beside those of fleet.
const (
	// roundTrip is the time from a router's message to its reply; the ledger processes it half way.
	roundTrip = 16 * time.Millisecond
	// probePause is the pause between messages of a router that reaches no leader.
	probePause = 100 * time.Millisecond
	// electionTime is the time from the start of the directory until it has a leader.
	electionTime = 500 * time.Millisecond
	// previousSpread is the greatest spread that routers of the previous release add to a
	// retry time.
	previousSpread = 300 * time.Millisecond
)

// siteTenant is one tenant of a simulated site, with the requests that passed and were refused.
type siteTenant struct {
	name    string
	usual   float64
	limit   quota.Limit
	passed  []time.Duration
	refused []siteRefusal
}

// siteRefusal is a refused request.
type siteRefusal struct {
	at time.Duration
	// within says that a sliding window over all requests that passed would have allowed it.
	within bool
	// isolated says that the router reached no leader, returned that the request came back after a refusal.
	isolated, returned bool
	// promised says that it had been promised the token that it did not get.
	promised bool
	// told is the retry time.
	told time.Duration
}

// siteRequest is a request that waits for a token.
type siteRequest struct {
	tenant   *siteTenant
	key      uint64
	returned bool
	// promised says that it was refused with a promise.
	promised bool
}

// siteRouter is a router of a simulated site: it has one message under way at a time.
type siteRouter struct {
	gate     *quota.Gate
	name     string
	busy     bool
	probeAt  time.Duration
	queue    []siteRequest
	sequence uint64
	// cut says that the router can't reach the directory.
	cut bool
}

// simulatedSite has several tenants share routers and one ledger, through losses of the directory.
type simulatedSite struct {
	random  *rand.Rand
	tenants []*siteTenant
	routers []*siteRouter
	ledger  *quota.Ledger
	now     time.Duration
	events  []siteEvent
	// down and up are when the directory is off.
	down, up time.Duration
	revision uint64
	// exceeding are the last published tenants that may have got tokens beyond their buckets.
	exceeding []string
	// retry says whether clients come back once after a refusal; maxWait is the longest wait.
	retry   bool
	maxWait time.Duration
	// spread is the greatest delay that is added to a retry time.
	spread time.Duration
	// rate returns a tenant's rate at a time.
	rate    func(tenant int, at time.Duration) float64
	nextKey uint64
	// starts counts the starts of routers, count is how many there are.
	starts, count int
	// previousRelease says that routers neither describe the requests that wait nor recall.
	previousRelease bool
	// returns counts the requests that came back.
	returns int
}

type siteEvent struct {
	at  time.Duration
	run func()
}

// newSite returns a site whose tenants have usual rates up to a greatest one, and limits of 1.6
// times these.
func newSite(seed uint64, routers, tenants int, greatest float64) *simulatedSite {
	s := &simulatedSite{random: rand.New(rand.NewPCG(seed, 3)), down: time.Hour, up: time.Hour, count: routers}
	for number := range tenants {
		usual := 0.5 + (greatest-0.5)*s.random.Float64()*s.random.Float64()
		added := &siteTenant{name: fmt.Sprint("t", number), usual: usual, limit: quota.Limit{Rate: 1.6 * usual, Burst: math.Ceil(1.6 * usual)}}
		s.tenants = append(s.tenants, added)
	}
	for range routers {
		added := &siteRouter{}
		s.routers = append(s.routers, added)
		s.startRouter(added)
	}
	s.rate = func(tenant int, _ time.Duration) float64 { return s.tenants[tenant].usual }
	s.startLedger()
	return s
}

func (s *simulatedSite) clock() time.Time { return start.Add(s.now) }

// startRouter starts a router without state.
func (s *simulatedSite) startRouter(router *siteRouter) {
	gate := quota.NewGate(s.random.Uint64())
	gate.SetLimits(s.limits())
	gate.SetRouters(s.count)
	gate.Start(s.clock())
	s.starts++
	*router = siteRouter{gate: gate, name: fmt.Sprint(s.starts), cut: router.cut}
}

func (s *simulatedSite) limits() map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	for _, each := range s.tenants {
		limits[each.name] = each.limit
	}
	return limits
}

// startLedger starts a ledger without state, as a new leader does.
func (s *simulatedSite) startLedger() {
	s.ledger = quota.NewLedger(tolerance)
	s.ledger.Resume(s.exceeding)
	s.ledger.SetLimits(s.clock(), s.limits())
	s.revision = math.MaxUint64
}

func (s *simulatedSite) directoryReachable() bool {
	return s.now < s.down || s.now >= s.up+electionTime
}

func (s *simulatedSite) after(delay time.Duration, run func()) {
	s.events = append(s.events, siteEvent{s.now + delay, run})
}

// run simulates the site until a time.
func (s *simulatedSite) run(until time.Duration) {
	for ; s.now < until; s.now += step {
		s.turnDirectory()
		pending := s.events
		s.events = nil
		for _, one := range pending {
			if one.at > s.now {
				s.events = append(s.events, one)
			} else {
				one.run()
			}
		}
		for number, each := range s.tenants {
			for range poisson(s.random, s.rate(number, s.now)*step.Seconds()) {
				s.nextKey++
				s.arrive(siteRequest{tenant: each, key: s.nextKey})
			}
		}
		for _, router := range s.routers {
			s.send(router)
		}
		s.publish()
	}
}

// turnDirectory plays what happens at the times of a loss.
func (s *simulatedSite) turnDirectory() {
	if s.now == s.up+electionTime && s.down < s.up {
		s.startLedger()
	}
	if s.now == s.down+detectionTimeout && s.now < s.up {
		for _, router := range s.routers {
			router.gate.SetIsolated()
		}
	}
}

func (s *simulatedSite) arrive(request siteRequest) {
	router := s.routers[s.random.IntN(len(s.routers))]
	decision, after := router.gate.Admit(s.clock(), request.tenant.name)
	s.decided(router, request, decision, after)
}

func (s *simulatedSite) decided(router *siteRouter, request siteRequest, decision quota.Decision, after time.Duration) {
	switch decision {
	case quota.Pass:
		request.tenant.passed = append(request.tenant.passed, s.now)
	case quota.RequestToken:
		router.queue = append(router.queue, request)
	case quota.Refuse:
		s.refuse(router, request, after)
	}
}

// refuse records a refusal, and has the client come back if it has not yet.
func (s *simulatedSite) refuse(router *siteRouter, request siteRequest, after time.Duration) {
	each := request.tenant
	each.refused = append(each.refused, siteRefusal{
		at: s.now, within: each.within(s.now), isolated: router.gate.Isolated(), returned: request.returned,
		promised: request.returned && request.promised, told: after,
	})
	wait := max(after, 50*time.Millisecond)
	if !request.promised {
		wait += time.Duration(s.random.Float64() * float64(s.spread))
	}
	if s.retry && !request.returned && wait <= s.maxWait {
		request.returned = true
		s.returns++
		s.after(wait, func() { s.arrive(request) })
	}
}

// within reports whether one more request at a time fits into the limit, without its tolerance.
func (t *siteTenant) within(at time.Duration) bool {
	count := 0
	for _, passed := range t.passed {
		if passed > at-window {
			count++
		}
	}
	return float64(count+1) <= t.limit.Rate*window.Seconds()+t.limit.Burst
}

// send sends a router's next message if there is something to send and none is under way.
func (s *simulatedSite) send(router *siteRouter) {
	if router.busy {
		return
	}
	queue, spent := router.queue, router.gate.TakeUnreported()
	if len(queue) == 0 && spent == nil && (!router.gate.Isolated() || s.now < router.probeAt) {
		return
	}
	router.queue, router.busy = nil, true
	router.sequence++
	message := quota.Message{
		Router: router.name, Sequence: router.sequence, Spent: spent,
		Wanted: make(map[string]int), Waiting: make(map[string][]quota.Waiting), Recalls: true,
	}
	if s.previousRelease {
		message.Waiting, message.Recalls = nil, false
	}
	for _, queued := range queue {
		name := queued.tenant.name
		message.Wanted[name]++
		if s.previousRelease {
			continue
		}
		message.Waiting[name] = append(message.Waiting[name], quota.Waiting{Key: queued.key, MaxWait: s.maxWait})
	}
	s.deliver(router, queue, message)
}

// deliver carries a message to the ledger and its reply back.
func (s *simulatedSite) deliver(router *siteRouter, queue []siteRequest, message quota.Message) {
	current := func() bool { return router.name == message.Router }
	if !s.directoryReachable() || router.cut {
		s.after(reportTimeout, func() {
			if current() {
				s.failed(router, queue, message.Spent)
			}
		})
		return
	}
	s.after(roundTrip/2, func() {
		reply := s.ledger.Process(s.clock(), message)
		s.after(roundTrip/2, func() {
			if !current() {
				return
			}
			if reply.Recall > 0 {
				recall, spent := router.gate.Recall(s.clock(), reply.Recall, message.Spent)
				router.sequence++
				message.Sequence, message.Spent, message.Recall = router.sequence, spent, &recall
				s.deliver(router, queue, message)
				return
			}
			s.answered(router, queue, message, reply)
		})
	})
}

func (s *simulatedSite) failed(router *siteRouter, queue []siteRequest, spent map[string]int) {
	router.gate.ReportFailed(spent)
	router.busy, router.probeAt = false, s.now+probePause
	for _, queued := range queue {
		decision, after := router.gate.Admit(s.clock(), queued.tenant.name)
		s.decided(router, queued, decision, after)
	}
}

func (s *simulatedSite) answered(router *siteRouter, queue []siteRequest, message quota.Message, reply quota.Reply) {
	router.gate.ReportSucceeded(s.clock(), message.Spent, reply)
	router.busy = false
	position := make(map[string]int)
	for _, queued := range queue {
		name := queued.tenant.name
		given := reply.Grants[name]
		outcome := quota.Outcome{Granted: position[name] < given.Granted, Next: given.Next}
		if len(given.Outcomes) > 0 {
			outcome = given.Outcomes[position[name]]
		}
		position[name]++
		if outcome.Granted {
			queued.tenant.passed = append(queued.tenant.passed, s.now)
			continue
		}
		queued.promised = outcome.Promised
		s.refuse(router, queued, outcome.Next)
	}
}

// publish sends the metered tenants to all routers after a delay.
func (s *simulatedSite) publish() {
	if !s.directoryReachable() {
		return
	}
	exceeding := s.ledger.Exceeding(s.clock())
	names, revision := s.ledger.Metered(s.clock())
	if revision == s.revision {
		return
	}
	s.revision, s.exceeding = revision, exceeding
	s.after(150*time.Millisecond, func() {
		for _, router := range s.routers {
			if s.directoryReachable() {
				router.gate.SetMetered(names)
			}
		}
	})
}

// maxInWindow returns the most requests of the tenant that passed in any window.
func (t *siteTenant) maxInWindow() int {
	highest, first := 0, 0
	for last, at := range t.passed {
		for at-t.passed[first] > window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

func (t *siteTenant) allowed() float64 {
	return (t.limit.Rate*window.Seconds()+t.limit.Burst)*(1+tolerance.Fraction) + tolerance.Slack
}
