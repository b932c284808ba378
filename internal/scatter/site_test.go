package scatter_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// site plays routers against servers with slots and queues in steps of a millisecond.
type site struct {
	random  *rand.Rand
	now     time.Time
	routers []*harness
	servers map[string]*siteServer
	order   []string
	pending []pendingRequest
	// sent counts the attempts by server, and tallies the requests by route.
	sent    map[string]int
	tallies map[string]*tally
	// extras counts the attempts beyond the first.
	extras int
}

// tally counts the requests of a route and how they ended.
type tally struct{ offered, inTime, answered int }

func (t tally) share() float64 { return float64(t.inTime) / float64(max(1, t.offered)) }

type pendingRequest struct {
	router *harness
	id     scatter.RequestID
	route  *routing.Route
	due    time.Time
}

// siteServer works on its queue first come, first served.
type siteServer struct {
	scatter.Server
	work    time.Duration
	silent  bool
	refuses float64
	queue   []*siteJob
}

// siteJob is an attempt at a server; endsAt is zero until it has a slot.
type siteJob struct {
	router *harness
	send   scatter.Send
	endsAt time.Time
}

const siteQueue = 12

func newSite(t reporter, seed uint64, routers int, config scatter.Config) *site {
	s := &site{
		random: rand.New(rand.NewPCG(seed, 7)), now: origin, servers: map[string]*siteServer{},
		sent: map[string]int{}, tallies: map[string]*tally{},
	}
	config.Zone, config.Budget = "a", ampleBudget
	for index := range routers {
		h := newHarness(t, ampleBudget)
		config.Seed = seed + uint64(index)
		h.engine = scatter.New(config)
		h.step(scatter.RoutersChanged{Count: routers, Rank: index})
		s.routers = append(s.routers, h)
	}
	return s
}

// add adds a server that all routers know.
func (s *site) add(service, id, zone string, work time.Duration) *siteServer {
	added := &siteServer{Server: scatter.Server{ID: id, Service: service, Address: id, Zone: zone, Slots: 2}, work: work}
	s.servers[id] = added
	s.order = append(s.order, id)
	for _, router := range s.routers {
		router.step(scatter.ServersChanged{Servers: []scatter.Server{added.Server}})
	}
	return added
}

// arrive submits a request at a random router.
func (s *site) arrive(route *routing.Route) {
	router := s.routers[s.random.IntN(len(s.routers))]
	id := router.arrive(route)
	s.pending = append(s.pending, pendingRequest{router: router, id: id, route: route, due: s.now.Add(route.Target)})
	s.tally(route.Name).offered++
}

func (s *site) tally(route string) *tally {
	if s.tallies[route] == nil {
		s.tallies[route] = &tally{}
	}
	return s.tallies[route]
}

// run plays a period; arrivals is called every millisecond.
func (s *site) run(period time.Duration, arrivals func(elapsed time.Duration)) {
	for elapsed := time.Duration(0); elapsed < period; elapsed += time.Millisecond {
		s.now = s.now.Add(time.Millisecond)
		for _, router := range s.routers {
			router.advance(s.now.Sub(router.now))
		}
		for _, id := range s.order {
			s.work(s.servers[id])
		}
		arrivals(elapsed)
		for _, router := range s.routers {
			s.deliver(router)
		}
		s.settle()
	}
}

// poisson calls do for each of the events that occur within a millisecond at a rate per second.
func (s *site) poisson(rate float64, do func()) {
	for next := s.random.ExpFloat64(); next < rate/1000; next += s.random.ExpFloat64() {
		do()
	}
}

// deliver takes the attempts of a router to their servers.
func (s *site) deliver(router *harness) {
	for sends := router.take(); len(sends) > 0; sends = router.take() {
		for _, send := range sends {
			at := s.servers[send.Server.ID]
			s.sent[at.ID]++
			if send.Extra {
				s.extras++
			}
			if !at.silent && (len(at.queue) >= at.Slots+siteQueue || s.random.Float64() < at.refuses) {
				router.end(send, failure(scatter.Refused, verdict.NotRun))
				continue
			}
			at.queue = append(at.queue, &siteJob{router: router, send: send})
		}
	}
}

// work ends the jobs of a server that are done or aborted, and starts waiting ones.
func (s *site) work(at *siteServer) {
	var ended []*siteJob
	at.queue = slices.DeleteFunc(at.queue, func(job *siteJob) bool {
		done := job.router.aborted[job.send.Attempt] || !at.silent && !job.endsAt.IsZero() && !job.endsAt.After(s.now)
		if done {
			ended = append(ended, job)
		}
		return done
	})
	for index, job := range at.queue {
		if index < at.Slots && job.endsAt.IsZero() {
			job.endsAt = s.now.Add(time.Duration((0.7 + 0.6*s.random.Float64()) * float64(at.work)))
		}
	}
	for _, job := range ended {
		if job.router.aborted[job.send.Attempt] {
			job.router.end(job.send, failure(scatter.Aborted, verdict.MayHaveRun))
			continue
		}
		outcome := good("x")
		outcome.Load = message.Load{Known: true, Running: min(at.Slots, len(at.queue)), Waiting: max(0, len(at.queue)-at.Slots), Slots: at.Slots}
		job.router.end(job.send, outcome)
	}
}

// settle counts the requests that ended.
func (s *site) settle() {
	s.pending = slices.DeleteFunc(s.pending, func(p pendingRequest) bool {
		result, ended := p.router.results[p.id]
		if ended && result.Reply != nil {
			s.tally(p.route.Name).answered++
			if !s.now.After(p.due) {
				s.tally(p.route.Name).inTime++
			}
		}
		return ended
	})
}

// share sends the routers what is known of some servers.
func (s *site) share(event scatter.ConditionsShared) {
	for _, router := range s.routers {
		event.Servers = maps.Clone(event.Servers)
		router.step(event)
	}
}
