package simulation

import (
	"time"

	productfollower "github.com/martenstage/martenstage/internal/follower"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
)

// syncRequest is a follower's call for news and a lease.
type syncRequest struct {
	node              membership.Node
	revision, subtree uint64
	routers, machines uint64
	hold              time.Duration
	leaving           bool
	observations      []membership.Observation
	followers         []membership.NodeView
}

// syncResponse answers it. Without a lease another server is to be asked.
type syncResponse struct {
	term, revision uint64
	lease          time.Duration
	redirect       *process
	plan           *plan.Plan
	delta          *v1.PlanDelta
	routers        membership.Changes[membership.Node]
	machines       membership.Changes[membership.Machine]
}

// entitlement is the right to grant leases.
type entitlement struct {
	term  uint64
	lease time.Duration
}

// grantRefusal says that nothing may be granted, and who may.
type grantRefusal struct {
	refused  bool
	redirect *process
}

// grantSource is where a granter has its plans and its right from.
type grantSource interface {
	latest() (uint64, *plan.Plan)
	confirm(first bool, done func(entitlement, grantRefusal))
}

// The intervals of the product's serving end.
const (
	granterTick   = 250 * time.Millisecond
	progressDelay = 5 * time.Millisecond
	planDelay     = 2 * time.Millisecond
	maxHold       = 2 * time.Second
	leftMemory    = time.Minute
	keptPlans     = 16
)

// granter serves followers of a control voter or of a relay.
type granter struct {
	process *process
	root    bool
	tables  productfollower.Tables
	source  grantSource
	term    uint64
	grantor *lease.Grantor
	plans   map[uint64]*plan.Plan
	kept    []uint64
	// roles of children by name.
	roles map[string]string
	held  []*heldCall
	// published are the versions of the tables at the last news.
	publishedRouters, publishedMachines uint64
	inForce                             uint64
	summing                             bool
	// onProgress is called after the revision in force below rose.
	onProgress func()
}

// heldCall is a call that waits for news.
type heldCall struct {
	request syncRequest
	answer  func()
	over    bool
}

func newGranter(process *process, root bool, tables productfollower.Tables, source grantSource) *granter {
	return &granter{
		process: process, root: root, tables: tables, source: source,
		grantor: lease.NewGrantor(time.Time{}), plans: map[uint64]*plan.Plan{}, roles: map[string]string{},
		onProgress: func() {},
	}
}

func (g *granter) start() { g.process.after(granterTick, g.tick) }

func (g *granter) tick() {
	g.process.after(granterTick, g.tick)
	now := g.process.now()
	routers, machines := g.publishedRouters, g.publishedMachines
	if table := g.tables.Routers(now); table != nil {
		routers = table.Version()
	}
	if table := g.tables.Machines(now); table != nil {
		machines = table.Version()
	}
	if routers != g.publishedRouters || machines != g.publishedMachines {
		g.publishedRouters, g.publishedMachines = routers, machines
		g.wake()
	}
	g.expire(now)
	g.progress()
}

func (g *granter) expire(now time.Time) {
	g.tables.Expire(now)
	lapsed := g.grantor.Expire(now)
	back := map[string]bool{}
	for _, child := range g.grantor.Children() {
		back[child.ID.Name] = true
	}
	for _, child := range lapsed {
		if !back[child.Name] {
			kind := journal.KindLeaseLost
			if g.roles[child.Name] == membership.RoleRelay {
				kind = journal.KindRelayLost
			}
			g.process.world.recordEvent(g.process, journal.Event{Kind: kind, Detail: child.Name})
			g.tables.LapseChild(now, child.Name)
		}
	}
}

// sync answers one call of a child; it is held while there is no news.
func (g *granter) sync(request syncRequest, reply reply) {
	now := g.process.now()
	if request.leaving {
		g.grantor.Release(now, childOf(request.node), leftMemory)
		g.tables.LapseChild(now, request.node.Name)
		g.sumUp()
		reply(syncResponse{})
		return
	}
	first := g.receive(now, request)
	answer := func() { g.answer(request, first, reply) }
	if first || request.hold <= 0 || g.newsFor(request) {
		answer()
		return
	}
	waiting := &heldCall{request: request, answer: answer}
	g.held = append(g.held, waiting)
	g.process.after(min(request.hold, maxHold), func() { g.release(waiting) })
}

func (g *granter) release(waiting *heldCall) {
	if waiting.over {
		return
	}
	waiting.over = true
	g.held = remove(g.held, waiting)
	waiting.answer()
}

func childOf(node membership.Node) lease.ChildID {
	return lease.ChildID{Name: node.Name, Boot: node.Boot}
}

// receive takes in what a call reports and says whether the child is new here.
func (g *granter) receive(now time.Time, request syncRequest) bool {
	before, known := g.grantor.Acknowledged(childOf(request.node))
	if reported := request.acknowledged(); known && reported > before {
		g.grantor.Acknowledge(now, childOf(request.node), reported)
		g.sumUp()
	}
	for _, seen := range request.observations {
		g.tables.Observe(now, seen)
	}
	for _, view := range request.followers {
		if view.Relay == "" {
			view.Relay = request.node.Name
		}
		if view.Lapsed {
			g.tables.Lapse(now, request.node.Name, view.Name)
		} else {
			g.tables.Report(request.node.Name, view)
		}
	}
	return !known
}

// acknowledged is the revision that a child vouches for: a relay for its whole
// subtree, a router for itself.
func (r *syncRequest) acknowledged() uint64 {
	if r.node.Role == membership.RoleRelay {
		return r.subtree
	}
	return r.revision
}

func (g *granter) newsFor(request syncRequest) bool {
	revision, _ := g.source.latest()
	return revision > request.revision || g.publishedRouters > request.routers || g.publishedMachines > request.machines
}

// planChanged lets held calls look for news soon.
func (g *granter) planChanged() { g.process.after(planDelay, g.wake) }

func (g *granter) wake() {
	held := g.held
	g.held = nil
	for _, waiting := range held {
		if g.newsFor(waiting.request) {
			waiting.over = true
			waiting.answer()
		} else {
			g.held = append(g.held, waiting)
		}
	}
}

func (g *granter) answer(request syncRequest, first bool, reply reply) {
	g.source.confirm(first, func(right entitlement, refusal grantRefusal) {
		if refusal.refused {
			reply(syncResponse{redirect: refusal.redirect})
			return
		}
		if !g.enterTerm(right.term) {
			reply(syncResponse{})
			return
		}
		// Read after the confirmation, which guarantees that it is the latest.
		g.installLatest()
		reply(g.grant(right, request))
	})
}

// enterTerm reports whether a confirmation is of the newest term.
func (g *granter) enterTerm(term uint64) bool {
	if term <= g.term {
		return term == g.term
	}
	now := g.process.now()
	g.term = term
	g.publishedRouters, g.publishedMachines = 0, 0
	if g.root {
		g.grantor = lease.NewGrantor(now.Add(lease.Lengthened(lease.DefaultDuration)))
		g.inForce = 0
	}
	g.tables.StartTerm(now, term)
	return true
}

func (g *granter) installLatest() {
	revision, latest := g.source.latest()
	g.grantor.Install(revision)
	if len(g.kept) > 0 && revision <= g.kept[len(g.kept)-1] || revision == 0 {
		return
	}
	g.kept = append(g.kept, revision)
	g.plans[revision] = latest
	if len(g.kept) > keptPlans {
		delete(g.plans, g.kept[0])
		g.kept = g.kept[1:]
	}
}

func (g *granter) grant(right entitlement, request syncRequest) syncResponse {
	now := g.process.now()
	revision, err := g.grantor.Grant(now, childOf(request.node), right.lease)
	if err != nil {
		return syncResponse{}
	}
	g.roles[request.node.Name] = request.node.Role
	g.tables.Report(membership.Direct, membership.NodeView{
		Node: request.node, Revision: request.acknowledged(), LastSeen: now,
	})
	response := syncResponse{term: right.term, revision: revision, lease: right.lease}
	g.encodePlan(request.revision, &response)
	if table := g.tables.Routers(now); table != nil {
		response.routers, _ = table.ChangesSince(request.routers)
	}
	if table := g.tables.Machines(now); table != nil {
		response.machines, _ = table.ChangesSince(request.machines)
	}
	return response
}

func (g *granter) encodePlan(installed uint64, response *syncResponse) {
	if installed >= response.revision {
		return
	}
	latest := g.plans[response.revision]
	if base, kept := g.plans[installed]; kept {
		response.delta = plan.Delta(base, latest)
		response.delta.BaseRevision = installed
		return
	}
	response.plan = latest
}

// sumUp derives soon what is in force below.
func (g *granter) sumUp() {
	if g.summing {
		return
	}
	g.summing = true
	g.process.after(progressDelay, func() {
		g.summing = false
		g.progress()
	})
}

func (g *granter) progress() {
	if inForce := g.revisionInForce(); inForce > g.inForce {
		g.inForce = inForce
		g.onProgress()
	}
}

// revisionInForce returns the highest revision that whoever admits work below
// admits it under at least. A relay counts its own plan; a control voter only
// what it confirmed itself.
func (g *granter) revisionInForce() uint64 {
	if !g.root {
		g.installLatest()
	}
	return g.grantor.InEffect(g.process.now())
}
