package virtual

import (
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
	"github.com/martenstage/martenstage/internal/query"
)

const (
	// observationLag is how long the word of one router takes to the others.
	observationLag = time.Second
	// claimDelay is the time that a claim takes to be decided.
	claimDelay = 3 * time.Millisecond
	// leaseTerm is the configuration lease, which is renewed at an interval.
	leaseTerm    = 10 * time.Second
	leaseRenewal = time.Second
)

// router is the shell of one engine.
type router struct {
	world    *World
	index    int
	zone     string
	engine   Engine
	plan     *plan.Plan
	attempts map[query.AttemptID]*attempt
	used     map[netip.AddrPort]*connections
	pending  map[query.RequestID]*callerRequest
	watches  map[netip.AddrPort]*watch
	// shares is how many routers divide a server's connections.
	shares   int
	nextID   query.RequestID
	wake     time.Duration
	stopping bool
	away     bool
	stopped  func()
}

func (w *World) addRouter(index int, zone string) *router {
	added := &router{world: w, index: index, zone: zone, shares: len(w.config.Zones)}
	w.routers = append(w.routers, added)
	return added
}

// boot starts the router's process afresh.
func (r *router) boot() {
	r.engine = r.world.newEngine(r.world, r.index)
	r.attempts = map[query.AttemptID]*attempt{}
	r.used = map[netip.AddrPort]*connections{}
	r.pending = map[query.RequestID]*callerRequest{}
	r.watches = map[netip.AddrPort]*watch{}
	r.wake, r.stopping, r.away = never, false, false
	r.step(query.LeaseRenewed{Until: r.world.wall().Add(leaseTerm)})
	if r.plan != nil {
		r.install(r.world.revision, r.plan)
	}
}

func (r *router) install(revision uint64, installed *plan.Plan) {
	r.plan = installed
	if r.away {
		return
	}
	r.step(query.ConfigInstalled{Revision: revision, Plan: installed})
	for _, server := range r.world.order {
		if server.limit > 0 && r.shares > 1 {
			r.step(query.ShareChanged{Address: server.address, Slots: server.slots, Connections: r.connectionShare(server)})
		}
	}
	r.probeAll()
}

func (r *router) connectionsTo(server *server) *connections {
	if r.used[server.address] == nil {
		r.used[server.address] = &connections{}
	}
	return r.used[server.address]
}

// connectionShare is this router's part of a server's connection limit.
func (r *router) connectionShare(server *server) int {
	const unlimited = 1 << 30
	if server.limit <= 0 {
		return unlimited
	}
	return max(1, server.limit/r.shares)
}

func (r *router) delayTo(server *server) time.Duration {
	if r.zone == server.zone {
		return r.world.config.LocalDelay
	}
	return r.world.config.ZoneDelay
}

// step hands an event to the engine and carries its commands out.
func (r *router) step(event query.Event) {
	if r.away {
		return
	}
	for _, command := range r.engine.Step(r.world.wall(), event) {
		r.carryOut(command)
	}
}

func (r *router) carryOut(command query.Command) {
	w := r.world
	switch typed := command.(type) {
	case query.Send:
		r.send(typed)
	case query.Cancel:
		if known := r.attempts[typed.Attempt]; known != nil {
			w.clock.After(0, known.cancel)
		}
	case query.Claim:
		w.clock.After(claimDelay, func() {
			r.step(query.ClaimDecided{Request: typed.Request, Decision: w.claims.claim(typed)})
		})
	case query.SettleClaim:
		w.claims.settle(typed)
	case query.Respond:
		r.respond(typed)
	case query.SetTimer:
		r.wakeAt(typed.At.Sub(virtualtime.Epoch))
	case query.Warm:
		r.warm(typed)
	case query.PublishMachineState:
		r.passOn(typed)
	case query.Stopped:
		if r.stopped != nil {
			w.clock.After(0, r.stopped)
			r.stopped = nil
		}
	}
}

func (r *router) wakeAt(moment time.Duration) {
	r.wake = moment
	r.world.clock.At(moment, func() {
		if r.wake == moment {
			r.step(query.TimerFired{})
		}
	})
}

func (r *router) warm(command query.Warm) {
	server := r.world.servers[command.Address]
	r.world.clock.After(r.world.config.ConnectionSetup, func() {
		used := r.connectionsTo(server)
		used.open = max(used.open, min(command.Connections, r.connectionShare(server)))
	})
}

func (r *router) passOn(observed query.PublishMachineState) {
	for _, other := range r.world.routers {
		if other != r {
			r.world.clock.After(observationLag, func() {
				other.hear(query.MachineObserved(observed))
			})
		}
	}
}

// admit submits a caller's request to the engine.
func (r *router) admit(request *callerRequest) {
	r.nextID++
	id := r.nextID
	r.pending[id] = request
	arrival := request.arrival
	r.step(query.RequestArrived{Request: query.Request{
		ID: id, CallerID: arrival.ID, Route: arrival.Route, Key: arrival.Key,
		Body: arrival.Body, BodyDigest: backendapi.Digest(arrival.Body),
	}})
}

func (r *router) respond(command query.Respond) {
	request, ok := r.pending[command.Request]
	if !ok {
		return
	}
	delete(r.pending, command.Request)
	request.answered(r, command.Answer)
}
