package simulation

import (
	"time"

	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
)

// relay follows control and serves the routers of its zones within its own
// lease.
type relay struct {
	process
	follow   *follower
	granter  *granter
	tables   *relayTables
	revision uint64
	plan     *plan.Plan
	term     uint64
	until    time.Time
}

func newRelay(world *World, at seat) *relay {
	return &relay{process: newProcess(world, at)}
}

func (r *relay) start() {
	if r.running {
		return
	}
	r.begin()
	r.revision, r.plan, r.term, r.until = 0, nil, 0, time.Time{}
	r.follow = newFollower(&r.process, membership.RoleRelay, r.world.controlUpstreams(), r)
	r.tables = &relayTables{
		follow: r.follow, children: map[string]membership.NodeView{},
		observations: map[observationKey]*passedOn{},
	}
	r.granter = newGranter(&r.process, false, r.tables, r)
	r.granter.onProgress = r.follow.poke
	r.follow.prepare, r.follow.delivered = r.report, r.tables.delivered
	r.world.trace.note(r.name(), "relay_started", "boot", r.boot)
	r.granter.start()
	r.follow.start()
}

func (r *relay) crash() {
	if r.running {
		r.end()
	}
}

// report sums up what the relay's followers reported.
func (r *relay) report(to reportTarget, request *syncRequest) {
	request.subtree = r.granter.revisionInForce()
	for _, name := range sortedKeys(r.tables.children) {
		request.followers = append(request.followers, r.tables.children[name])
	}
	for _, key := range sortedObservations(r.tables.observations) {
		known := r.tables.observations[key]
		known.pending = known.told != to || r.now().Sub(known.toldAt) >= reportAgain
		if known.pending {
			request.observations = append(request.observations, known.Observation)
		}
	}
}

// latest implements grantSource.
func (r *relay) latest() (uint64, *plan.Plan) { return r.revision, r.plan }

// confirm implements grantSource: grants last as long as the relay's own lease.
// A child's first call waits for a call upwards that is sent after it.
func (r *relay) confirm(first bool, done func(entitlement, grantRefusal)) {
	grant := func() {
		remaining := r.until.Sub(r.now())
		if r.until.IsZero() || remaining <= 0 {
			done(entitlement{}, grantRefusal{refused: true})
			return
		}
		done(entitlement{term: r.term, lease: remaining}, grantRefusal{})
	}
	if first {
		r.follow.refresh(grant)
		return
	}
	grant()
}

func (r *relay) installPlan(revision uint64, installed *plan.Plan) {
	r.revision, r.plan = revision, installed
	r.world.trace.note(r.name(), "plan_installed", "revision", revision)
	r.granter.planChanged()
}

func (r *relay) extendLease(term uint64, until time.Time) { r.term, r.until = term, until }

func (r *relay) mergeRouters(changes membership.Changes[membership.Node]) {
	r.follow.routers.Merge(changes)
}

func (r *relay) mergeMachines(changes membership.Changes[membership.Machine]) {
	r.follow.machines.Merge(changes)
}

type observationKey struct{ address, router string }

// reportAgain is how often an observation is passed on that was passed on
// before.
const reportAgain = 30 * time.Second

// passedOn is an observation of a router below, and whom it was told to.
type passedOn struct {
	seen
	told    reportTarget
	toldAt  time.Time
	pending bool
}

// relayTables are what a relay spreads, heard from above, and what it reports.
type relayTables struct {
	follow       *follower
	children     map[string]membership.NodeView
	observations map[observationKey]*passedOn
}

// StartTerm implements the product's Tables: children keep their leases.
func (t *relayTables) StartTerm(time.Time, uint64) {}

// Report notes a node below.
func (t *relayTables) Report(_ string, view membership.NodeView) {
	view.Lapsed = false
	if before, known := t.children[view.Name]; known && before.Boot < view.Boot {
		t.forgetObservations(view.Name)
	}
	t.children[view.Name] = view
}

func (t *relayTables) forgetObservations(router string) {
	for _, key := range sortedObservations(t.observations) {
		if key.router == router {
			delete(t.observations, key)
		}
	}
}

// Lapse notes that nobody vouches for a node any more.
func (t *relayTables) Lapse(_ time.Time, _, name string) {
	if view, known := t.children[name]; known {
		view.Lapsed = true
		t.children[name] = view
	}
}

// LapseChild notes that a direct child is gone.
func (t *relayTables) LapseChild(now time.Time, child string) {
	t.Lapse(now, membership.Direct, child)
	t.forgetObservations(child)
}

// Observe keeps an observation to pass it on.
func (t *relayTables) Observe(now time.Time, observation membership.Observation) {
	key := observationKey{observation.Address, observation.Router}
	known, found := t.observations[key]
	switch {
	case !found && observation.State == membership.Live:
		return
	case !found:
		known = &passedOn{}
		t.observations[key] = known
	case known.State != observation.State:
		known.told, known.pending = reportTarget{}, false
	}
	known.seen = seen{Observation: observation, until: now.Add(membership.ObservationLifetime)}
}

// delivered notes that a report has arrived.
func (t *relayTables) delivered(now time.Time, to reportTarget) {
	for key, known := range t.observations {
		if !known.pending {
			continue
		}
		known.pending, known.told, known.toldAt = false, to, now
		if known.State == membership.Live {
			delete(t.observations, key)
		}
	}
}

// Expire drops observations that were not repeated.
func (t *relayTables) Expire(now time.Time) {
	for key, known := range t.observations {
		if !now.Before(known.until) {
			delete(t.observations, key)
		}
	}
}

// Routers returns the routers as heard from above; nil before.
func (t *relayTables) Routers(time.Time) *membership.Table[membership.Node] {
	if t.follow.routers.Version() == 0 {
		return nil
	}
	return t.follow.routers
}

// Machines returns the states of machines as heard from above; nil before.
func (t *relayTables) Machines(time.Time) *membership.Table[membership.Machine] {
	if t.follow.machines.Version() == 0 {
		return nil
	}
	return t.follow.machines
}
