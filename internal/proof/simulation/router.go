package simulation

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/cell"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
)

// engine is the decision core of a router; query.Engine is one.
type engine interface {
	Step(now time.Time, event query.Event) []query.Command
}

const (
	// probeInterval is the least pause between probes, longer than a router's to
	// save events; the others are a router's defaults.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	// healthLifetime is that of a router with the default probes.
	healthLifetime = 2875 * time.Millisecond
	// shareDelay is the router's default delay before a bigger share of
	// connections is taken.
	shareDelay = 15 * time.Second
	// notReady is how long a stopping router says so before it refuses.
	notReady = 1500 * time.Millisecond
)

// router carries out what its engine commands.
type router struct {
	process
	engine engine
	wake   alarm
	growth alarm
	follow *follower
	claims *claimClient
	// crossing is nil where there is no other region.
	crossing *crossing
	spool    *spool
	members  []string // live routers
	watches  map[netip.AddrPort]*watch

	revision uint64
	plan     *plan.Plan
	ledger   *cell.Ledger
	lapsed   bool
	shares   map[netip.AddrPort]cell.Share
	open     map[netip.AddrPort]*connections
	attempts map[query.AttemptID]*attempt
	machines map[string]membership.State

	requests uint64
	// callers are those whose connections are open; forwarding counts the
	// requests that another router answers.
	callers    []*submission
	forwarding int
	waiting    map[query.RequestID]func(query.Answer)
	// stopping is set once the router says that it is not ready.
	stopping  bool
	stopBegan time.Time
	startedAt time.Duration
}

func newRouter(world *World, at seat) *router {
	r := &router{process: newProcess(world, at)}
	r.wake = alarm{process: &r.process, act: func() { r.step(query.TimerFired{}) }}
	r.growth = alarm{process: &r.process, act: r.applyShares}
	r.spool = newSpool(&r.process)
	return r
}

// start begins a run of the router. Nothing is kept of the one before but the
// events that its spool holds.
func (r *router) start() {
	if r.running {
		return
	}
	r.begin()
	r.startedAt = r.world.queue.Now()
	r.engine = r.world.mutations.engine(r, query.New(query.Config{
		Zone: r.place.Zone, Seed: r.world.seed ^ r.boot<<8 ^ uint64(len(r.name())),
		Tuning: query.Tuning{Balancer: balancer.Config{HealthLifetime: healthLifetime}},
	}))
	r.revision, r.plan, r.members = 0, nil, []string{r.name()}
	r.ledger, r.lapsed = cell.NewLedger(shareDelay), true
	r.watches = map[netip.AddrPort]*watch{}
	r.shares, r.open = map[netip.AddrPort]cell.Share{}, map[netip.AddrPort]*connections{}
	r.attempts, r.waiting = map[query.AttemptID]*attempt{}, map[query.RequestID]func(query.Answer){}
	r.machines = map[string]membership.State{}
	r.stopping, r.callers, r.forwarding = false, nil, 0
	r.claims = newClaimClient(r)
	r.follow = newFollower(&r.process, membership.RoleRouter, r.world.upstreamsOf(&r.process), routerSink{r})
	r.world.trace.note(r.name(), "router_started", "boot", r.boot)
	r.spool.start()
	r.follow.start()
	r.watchLease()
	if r.world.neighbour != nil {
		r.crossing = newCrossing(r)
		r.crossing.probe()
	}
}

// step feeds one event to the engine and carries out what it commands.
func (r *router) step(event query.Event) {
	for _, command := range slices.Clone(r.engine.Step(r.now(), event)) {
		r.execute(command)
	}
}

func (r *router) execute(command query.Command) {
	switch command := command.(type) {
	case query.Send:
		r.sendAttempt(command)
	case query.Cancel:
		r.cancelAttempt(command.Attempt)
	case query.Claim:
		r.claims.claim(command)
	case query.SettleClaim:
		r.claims.settle(command)
	case query.Respond:
		r.respond(command)
	case query.SetTimer:
		r.wake.set(command.At)
	case query.PublishMachineState:
		r.follow.observe(command.Address.String(), machineState(command.State))
	case query.Record:
		r.spool.record(command.Event)
	case query.Stopped:
		r.drained()
	case query.Warm: // connections are opened when they are needed
	}
}

func machineState(state query.MachineState) membership.State {
	switch state {
	case query.MachineDraining:
		return membership.Leaving
	case query.MachineRemoved:
		return membership.Gone
	default:
		return membership.Live
	}
}

// cancelAttempt gives an attempt up. The engine gets its outcome afterwards,
// not within the step that asked for it.
func (r *router) cancelAttempt(id query.AttemptID) {
	if canceled, ok := r.attempts[id]; ok {
		r.after(0, func() { canceled.fail(verdict.MayHaveRun, verdict.ReasonCanceled, false) })
	}
}

// admit hands a request to the engine; answer is called once.
func (r *router) admit(request query.Request, answer func(query.Answer)) query.RequestID {
	r.requests++
	request.ID = query.RequestID(r.requests)
	refused := false
	r.waiting[request.ID] = func(given query.Answer) {
		refused = given.Err != nil && given.Verdict == verdict.NotRun
		answer(given)
	}
	revision := r.revision
	r.step(query.RequestArrived{Request: request})
	if !refused && revision != 0 {
		r.world.judge.AddAdmission(records.Admission{Node: r.name(), At: r.world.queue.Wall(), Revision: revision})
	}
	return request.ID
}

func (r *router) respond(command query.Respond) {
	answer, ok := r.waiting[command.Request]
	if !ok {
		return
	}
	delete(r.waiting, command.Request)
	answer(command.Answer)
}

// stop begins a planned stop: the router says that it is not ready, serves on
// until callers have moved, finishes what is under way and exits.
func (r *router) stop() {
	if !r.running || r.stopping {
		return
	}
	r.stopping, r.stopBegan = true, r.world.queue.Wall()
	r.world.trace.note(r.name(), "stop_begun")
	r.after(notReady, func() { r.step(query.StopRequested{}) })
	r.world.mutations.stopping(r)
}

// drained ends a planned stop once claims are settled and events delivered.
func (r *router) drained() {
	const settleBound = 5 * time.Second
	deadline := r.now().Add(settleBound)
	var poll func()
	poll = func() {
		if (r.claims.idle() && r.forwarding == 0 && r.spool.empty()) || !r.now().Before(deadline) {
			r.follow.leave()
			r.exit()
			return
		}
		r.after(50*time.Millisecond, poll)
	}
	poll()
}

func (r *router) exit() {
	r.world.trace.note(r.name(), "stopped")
	stop := records.PlannedStop{Router: r.name(), Began: r.stopBegan, Exited: r.world.queue.Wall()}
	r.world.judge.AddPlannedStop(stop)
	if r.world.neighbour != nil {
		r.world.neighbour.judge.AddPlannedStop(stop) // it judges the requests that crossed
	}
	r.end()
	r.world.cutCallers(r, true)
}

// crash ends the router at once.
func (r *router) crash() {
	if !r.running {
		return
	}
	r.end()
	r.world.cutCallers(r, false)
}

func (r *router) connectionsTo(address netip.AddrPort) *connections {
	known, ok := r.open[address]
	if !ok {
		known = &connections{}
		r.open[address] = known
	}
	return known
}

// refreshShares takes in a change of the plan or of the live routers.
func (r *router) refreshShares() {
	if r.plan == nil {
		return
	}
	if !r.lapsed {
		r.ledger.Install(r.now(), cell.Shares(r.plan, r.members, r.name()))
	}
	r.applyShares()
}

// applyShares hands out the shares that hold now, smaller ones first.
func (r *router) applyShares() {
	effective, next := r.ledger.Effective(r.now())
	if r.lapsed {
		effective = lo.MapValues(cell.Limits(r.plan), func(cell.Share, netip.AddrPort) cell.Share { return cell.Share{} })
		next = time.Time{}
	}
	addresses := lo.Keys(effective)
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	before := r.shares
	r.shares = effective
	for _, growing := range []bool{false, true} {
		for _, address := range addresses {
			share := effective[address]
			applied, known := before[address]
			if (share.Connections > applied.Connections) != growing || (known && applied == share) {
				continue
			}
			r.step(query.ShareChanged{Address: address, Slots: share.Slots, Connections: share.Connections})
		}
	}
	r.watchShared()
	r.growth.set(next)
}

// watchLease gives the shares up some time after the lease has lapsed.
func (r *router) watchLease() {
	const leaseCheck, lapseFraction = 250 * time.Millisecond, 4
	r.after(leaseCheck, r.watchLease)
	if !r.lapsed && !r.follow.holder.Valid(r.now().Add(-shareDelay/lapseFraction)) {
		r.setLapsed(true)
	}
}

func (r *router) setLapsed(lapsed bool) {
	if r.lapsed == lapsed {
		return
	}
	r.lapsed = lapsed
	if lapsed {
		r.ledger.Reset()
	}
	r.refreshShares()
}
