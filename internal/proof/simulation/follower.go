package simulation

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
)

// The intervals of the product's calling end.
const (
	callMargin      = 1500 * time.Millisecond
	pokeSpacing     = 50 * time.Millisecond
	shortestBackoff = 50 * time.Millisecond
	longestBackoff  = time.Second
	maxRedirects    = 2
	// observationLimit is how long an observation is repeated.
	observationLimit = 10 * time.Minute
)

// upstream is a server that a follower can call.
type upstream struct {
	process *process
	granter func() *granter
}

// reportTarget is whom reports are told to: everything is told again to another
// server, and to another leader.
type reportTarget struct {
	process *process
	term    uint64
}

// sink takes what a follower learns.
type sink interface {
	installPlan(revision uint64, installed *plan.Plan)
	extendLease(term uint64, until time.Time)
	mergeRouters(changes membership.Changes[membership.Node])
	mergeMachines(changes membership.Changes[membership.Machine])
}

// follower keeps a node's configuration and lease up to date.
type follower struct {
	process   *process
	role      string
	upstreams []upstream
	sink      sink
	holder    lease.Holder
	installed *plan.Plan
	routers   *membership.Table[membership.Node]
	machines  *membership.Table[membership.Machine]

	index      int
	redirected *process
	redirects  int
	failures   int
	// granted is the server that granted the last lease.
	granted *process
	// lost is the upstream whose loss was recorded last.
	lost    *process
	resync  bool
	left    bool
	holding bool

	observations []seen
	// prepare adds the reports of a relay to a call, delivered notes that they
	// have arrived.
	prepare   func(reportTarget, *syncRequest)
	delivered func(time.Time, reportTarget)
	// current numbers the call under way; a poke ends it and begins another.
	current, sent, completed, wanted uint64
	sentAt                           time.Time
	poked                            bool
	refreshes                        []refresh
}

// seen is what this node saw of a back end, and until when it says so.
type seen struct {
	membership.Observation
	until time.Time
}

// refresh waits for the success of a call that is sent after it began.
type refresh struct {
	target uint64
	done   func()
}

func newFollower(process *process, role string, upstreams []upstream, sink sink) *follower {
	return &follower{
		process: process, role: role, upstreams: upstreams, sink: sink,
		routers: membership.NewRouterTable(), machines: membership.NewMachineTable(), prepare: func(reportTarget, *syncRequest) {},
		delivered: func(time.Time, reportTarget) {},
	}
}

func (f *follower) start() { f.call() }

func (f *follower) node() membership.Node {
	return membership.Node{
		Name: f.process.name(), Role: f.role, Zone: f.process.place.Zone, Address: f.process.name(), Boot: f.process.boot,
	}
}

func (f *follower) target() upstream {
	if f.redirected != nil {
		for _, known := range f.process.world.controlUpstreams() {
			if known.process == f.redirected {
				return known
			}
		}
	}
	return f.upstreams[f.index]
}

// call makes one call after the other.
func (f *follower) call() {
	if f.left {
		return
	}
	f.current++
	f.sent++
	number, round := f.current, f.sent
	sentAt := f.process.now()
	f.sentAt, f.poked = sentAt, false
	target := f.target()
	request := syncRequest{
		node: f.node(), revision: f.holder.Revision(), routers: f.routers.Version(), machines: f.machines.Version(),
		observations: f.observed(sentAt),
	}
	if f.resync {
		request.revision = 0
	}
	if f.wanted <= f.completed {
		request.hold = lease.RenewInterval * time.Duration(80+f.process.world.timing.IntN(20)) / 100
	}
	told := reportTarget{target.process, f.holder.Term()}
	f.prepare(told, &request)
	f.process.world.call(call{
		from: f.process, to: target.process, timeout: lease.RenewInterval + callMargin, repeatable: true,
		handle: func(back reply) { target.granter().sync(request, back) },
		done: func(result callResult) {
			if number == f.current && !f.left {
				f.returned(target, told, round, sentAt, result)
			}
		},
	})
}

func (f *follower) returned(target upstream, told reportTarget, round uint64, sentAt time.Time, result callResult) {
	defer f.noticeLapse()
	if result.failed {
		f.noticeLoss(target)
		f.moveOn(nil)
		return
	}
	response := result.answer.(syncResponse)
	if response.lease <= 0 {
		f.moveOn(response.redirect)
		return
	}
	if !f.take(sentAt, response) {
		f.moveOn(nil)
		return
	}
	f.granted, f.lost = target.process, nil
	f.delivered(f.process.now(), told)
	f.failures, f.redirects = 0, 0
	f.complete(round)
	f.call()
}

// take installs what a response brings, in the order that makes leases safe:
// revision first, lease after.
func (f *follower) take(sentAt time.Time, response syncResponse) bool {
	if f.holder.Current(response.term, response.revision) && !f.install(response) {
		f.resync = true
		return false
	}
	verdict := f.holder.Offer(lease.Grant{
		Term: response.term, Revision: response.revision, SentAt: sentAt, Duration: response.lease,
	})
	if verdict != lease.Taken {
		return false
	}
	f.sink.extendLease(response.term, f.holder.Until())
	f.sink.mergeRouters(response.routers)
	f.sink.mergeMachines(response.machines)
	return true
}

func (f *follower) install(response syncResponse) bool {
	if response.revision <= f.holder.Revision() {
		return true
	}
	next := response.plan
	if response.delta != nil {
		if response.delta.GetBaseRevision() != f.holder.Revision() || f.installed == nil {
			return false
		}
		applied, err := plan.ApplyDelta(f.installed, response.delta)
		if err != nil {
			return false
		}
		next = applied
	}
	if next == nil {
		return false
	}
	f.sink.installPlan(response.revision, next)
	f.installed, f.resync = next, false
	f.holder.Install(response.revision)
	return true
}

// moveOn turns to another upstream, after a pause once all were tried.
func (f *follower) moveOn(redirect *process) {
	pause := time.Duration(0)
	f.redirects++
	if redirect != nil && f.redirects <= maxRedirects && redirect != f.target().process {
		f.redirected = redirect
	} else {
		pause = f.failed()
	}
	f.process.after(pause, f.call)
}

func (f *follower) failed() time.Duration {
	f.redirected, f.redirects = nil, 0
	f.index = (f.index + 1) % len(f.upstreams)
	f.failures++
	rounds := f.failures / len(f.upstreams)
	if rounds == 0 {
		return 0
	}
	const largestShift = 10
	longest := min(shortestBackoff<<min(rounds-1, largestShift), longestBackoff)
	return longest/2 + time.Duration(f.process.world.timing.Int64N(int64(longest/2)))
}

// noticeLoss records that the upstream that granted the last lease does not
// answer.
func (f *follower) noticeLoss(target upstream) {
	if target.process != f.granted || target.process == f.lost {
		return
	}
	f.lost = target.process
	f.process.world.recordEvent(f.process, journal.Event{Kind: journal.KindUpstreamLost, Address: target.process.name()})
}

// noticeLapse records that the lease was lost or gained.
func (f *follower) noticeLapse() {
	valid := f.holder.Valid(f.process.now())
	if valid == f.holding {
		return
	}
	f.holding = valid
	kind := journal.KindLeaseGained
	if !valid {
		kind = journal.KindLeaseLost
	}
	f.process.world.trace.note(f.process.name(), string(kind), "term", f.holder.Term(), "revision", f.holder.Revision())
	f.process.world.recordEvent(f.process, journal.Event{Kind: kind})
}

func (f *follower) complete(round uint64) {
	f.completed = max(f.completed, round)
	waiting := f.refreshes
	f.refreshes = nil
	for _, one := range waiting {
		if one.target <= f.completed {
			one.done()
		} else {
			f.refreshes = append(f.refreshes, one)
		}
	}
}

// refresh calls done after the success of a call that is sent from now on.
func (f *follower) refresh(done func()) {
	f.wanted = f.sent + 1
	f.refreshes = append(f.refreshes, refresh{target: f.wanted, done: done})
	f.poke()
}

// poke replaces a call that is held by one that reports anew.
func (f *follower) poke() {
	if f.poked {
		return
	}
	f.poked = true
	number := f.current
	f.process.after(pokeSpacing-f.process.now().Sub(f.sentAt), func() {
		if number == f.current && !f.left {
			f.call()
		}
	})
}

// observe reports what this node saw of a back end.
func (f *follower) observe(address string, state membership.State) {
	f.observations = slices.DeleteFunc(f.observations, func(known seen) bool { return known.Address == address })
	f.observations = append(f.observations, seen{
		Observation: membership.Observation{Address: address, State: state, Router: f.process.name()},
		until:       f.process.now().Add(observationLimit),
	})
	f.poke()
}

func (f *follower) observed(now time.Time) []membership.Observation {
	f.observations = slices.DeleteFunc(f.observations, func(known seen) bool { return !now.Before(known.until) })
	return lo.Map(f.observations, func(known seen, _ int) membership.Observation { return known.Observation })
}

// leave gives the lease back. The node admits nothing any more.
func (f *follower) leave() {
	f.left = true
	f.holder.Release()
	if f.granted == nil {
		return
	}
	request := syncRequest{node: f.node(), leaving: true}
	for _, known := range slices.Concat(f.upstreams, f.process.world.controlUpstreams()) {
		if known.process == f.granted {
			f.process.world.call(call{
				from: f.process, to: known.process, timeout: callMargin,
				handle: func(back reply) { known.granter().sync(request, back) }, done: func(callResult) {},
			})
			return
		}
	}
}
