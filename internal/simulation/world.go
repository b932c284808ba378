package simulation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/dataset"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/judge"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/servicetime"
	"github.com/martenstage/martenstage/internal/simulation/disk"
	"github.com/martenstage/martenstage/internal/simulation/network"
	"github.com/martenstage/martenstage/internal/virtualtime"
)

// Sizes of the world.
const (
	voterCount  = 3
	routerCount = 3
	relayCount  = 2
)

// Times of a run. Faults end early enough for the fleet to recover before it is
// checked whether it did.
const (
	faultsBegin = 4 * time.Second
	faultsEnd   = 26 * time.Second
	calm        = 14 * time.Second
	checkFor    = 10 * time.Second
)

// World is one run.
type World struct {
	seed  uint64
	queue *virtualtime.Queue
	// Each kind of choice has a random source of its own, so that one schedule
	// of faults can be changed without changing the workload.
	setup, timing, workload *rand.Rand

	network   *network.Network
	trace     *trace
	judge     *judge.Judge
	raft      *raftChecks
	mutations mutations
	model     servicetime.Model
	routes    *plan.Plan

	voters    []*voter
	relays    []*relay
	routers   []*router
	backends  []*backend
	backendAt map[netip.AddrPort]*backend
	callers   []*process
	operators []*operator
	platform  *platform

	horizon, trafficEnd time.Duration
	lastVoter           uint64
	version             uint64
	replacing           bool
	replaced            func()
	journaled           []journal.Event
	// completed is when the last whole answer of a route came.
	completed map[string]time.Duration
	answers   map[string]int
	inForce   uint64
	failures  []Failure
	// expected are words of which each must be in some event of the journal.
	expected []string
	// disturbed is set by faults of the system itself, as opposed to those of
	// back ends: news may then be late.
	disturbed bool
	// operatorsAway keeps operators from changing anything by themselves.
	operatorsAway bool

	requests, faults, configChanges, leaderChanges int
	hedges, retries, partial                       int
	faultKinds                                     map[FaultKind]int
}

// Failure is a breach that the records do not show: of a safety property of
// Raft, or that the fleet did not recover.
type Failure struct {
	Property string `json:"property"`
	Detail   string `json:"detail"`
}

func (w *World) fail(property, format string, arguments ...any) {
	const most = 20
	failure := Failure{Property: property, Detail: fmt.Sprintf(format, arguments...)}
	w.trace.note("world", "failure", "property", property, "detail", failure.Detail)
	if len(w.failures) < most {
		w.failures = append(w.failures, failure)
	}
}

// itemsOfPart recomputes a shard's items for the judge without a reply body.
func itemsOfPart(query dataset.Query) []json.RawMessage {
	items, _ := dataset.Part(query)
	return items
}

// newWorld returns a world in which nothing has happened yet.
func newWorld(seed uint64) *World {
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	const setupStream, timingStream, workloadStream, networkStream = 1, 2, 3, 4
	queue := &virtualtime.Queue{}
	w := &World{
		seed: seed, queue: queue, setup: source(setupStream), timing: source(timingStream), workload: source(workloadStream),
		network: network.New(queue, source(networkStream)), trace: newTrace(queue),
		judge: judge.New(judge.Config{Items: itemsOfPart}),
		model: servicetime.Model{
			Seed: seed, Default: servicetime.Distribution{Median: 8 * time.Millisecond, Sigma: 0.6},
			Stragglers: servicetime.Stragglers{Fraction: 0.08, Factor: 8, Period: 5 * time.Second},
		},
		backendAt: map[netip.AddrPort]*backend{}, completed: map[string]time.Duration{}, answers: map[string]int{},
		faultKinds: map[FaultKind]int{},
		lastVoter:  voterCount, version: firstVersion, replaced: func() {},
		trafficEnd: faultsEnd + calm + checkFor, horizon: faultsEnd + calm + checkFor + 3*time.Second,
	}
	w.raft = newRaftChecks(w)
	w.build()
	return w
}

func (w *World) build() {
	for index := range backendCount {
		b := newBackend(w, index)
		w.backends = append(w.backends, b)
		w.backendAt[b.address] = b
	}
	compiled := compiledTexts()
	for _, candidate := range configurations {
		installed := compiled[candidate.text()]
		w.judge.AddPlan(installed)
		w.routes = installed
		for place := range installed.Placements() {
			w.backendAt[place.Replica.Address].hold(place)
		}
	}
	for index := range voterCount {
		v := newVoter(w, index)
		initial := initialState(voterCount)
		v.disk = w.newDisk(&initial)
		w.voters = append(w.voters, v)
	}
	for index := range relayCount {
		w.relays = append(w.relays, newRelay(w, zones[index], fmt.Sprint("relay-", index+1)))
	}
	for index := range routerCount {
		w.routers = append(w.routers, newRouter(w, zones[index%len(zones)], fmt.Sprint("router-", index+1)))
	}
	for index := range 2 {
		caller := newProcess(w, placeIn(zones[index], fmt.Sprint("callers-", index+1)))
		w.callers = append(w.callers, &caller)
		w.operators = append(w.operators, newOperator(w, zones[index], fmt.Sprint("operator-", index+1)))
	}
	w.platform = newPlatform(w)
}

func (w *World) newDisk(initial *consensus.Restored) *disk.Disk {
	restored := consensus.Restored{}
	if initial != nil {
		restored = *initial
	}
	return disk.New(w.queue, rand.New(rand.NewPCG(w.seed, w.setup.Uint64())), restored)
}

func voterName(index int) string { return fmt.Sprint("control-", index+1) }

// start lets all processes begin and the operators make the first change.
func (w *World) start() {
	for _, p := range w.processes() {
		p.local = newClock(w)
	}
	for _, caller := range w.callers {
		caller.begin()
	}
	w.platform.begin()
	for _, o := range w.operators {
		o.begin()
	}
	for _, b := range w.backends {
		b.begin()
	}
	for _, v := range w.voters {
		v.start()
	}
	for _, r := range w.relays {
		r.start()
	}
	for _, r := range w.routers {
		r.start()
	}
	w.queue.At(time.Second, func() { w.operators[0].submit(configurations[0]) })
	w.queue.At(3*time.Second, w.generate)
	if !w.operatorsAway {
		w.queue.At(faultsBegin, w.operate)
	}
	w.platform.publish()
}

// operate lets the operators submit changes now and then.
func (w *World) operate() {
	const meanGap = 4 * time.Second
	gap := time.Duration(w.workload.ExpFloat64() * float64(meanGap)).Round(time.Microsecond)
	w.queue.After(gap, func() {
		if w.queue.Now() > w.trafficEnd-checkFor/2 {
			return
		}
		o := w.operators[w.workload.IntN(len(w.operators))]
		o.submit(configurations[w.workload.IntN(len(configurations))])
		w.operate()
	})
}

// processes returns all processes in a fixed order.
func (w *World) processes() []*process {
	var all []*process
	for _, v := range w.voters {
		all = append(all, &v.process)
	}
	for _, r := range w.relays {
		all = append(all, &r.process)
	}
	for _, r := range w.routers {
		all = append(all, &r.process)
	}
	for _, b := range w.backends {
		all = append(all, &b.process)
	}
	for _, o := range w.operators {
		all = append(all, &o.process)
	}
	all = append(all, w.callers...)
	return append(all, &w.platform.process)
}

func named[T interface{ name() string }](all []T, name string) (found T) {
	for _, one := range all {
		if one.name() == name {
			return one
		}
	}
	return found
}

func (w *World) voterNamed(name string) *voter     { return named(w.voters, name) }
func (w *World) relayNamed(name string) *relay     { return named(w.relays, name) }
func (w *World) routerNamed(name string) *router   { return named(w.routers, name) }
func (w *World) backendNamed(name string) *backend { return named(w.backends, name) }

// voterOf returns the machine that a voter's id belongs to now, nil for none.
func (w *World) voterOf(id uint64) *voter {
	for _, v := range w.voters {
		if v.id == id {
			return v
		}
	}
	return nil
}

func (w *World) processOfVoter(id uint64) *process {
	if v := w.voterOf(id); v != nil {
		return &v.process
	}
	return nil
}

func (w *World) controlUpstreams() []upstream {
	upstreams := make([]upstream, 0, len(w.voters))
	for _, v := range w.voters {
		upstreams = append(upstreams, upstream{process: &v.process, granter: func() *granter { return v.control.granter }})
	}
	return upstreams
}

// upstreamsOf returns whom a router follows: the relays, nearest first. The last
// router follows control itself, as on a small site.
func (w *World) upstreamsOf(p *process) []upstream {
	if p == &w.routers[len(w.routers)-1].process {
		return w.controlUpstreams()
	}
	upstreams := make([]upstream, 0, len(w.relays))
	for _, r := range w.relays {
		upstreams = append(upstreams, upstream{process: &r.process, granter: func() *granter { return r.granter }})
	}
	if p.place.Zone != w.relays[0].place.Zone {
		slices.Reverse(upstreams)
	}
	return upstreams
}

// latestRevision is the highest revision that any voter has applied.
func (w *World) latestRevision() uint64 {
	latest := uint64(0)
	for _, v := range w.voters {
		if v.machine != nil {
			latest = max(latest, v.machine.Latest().Number)
		}
	}
	return latest
}

func (w *World) recordExecution(run *execution) {
	run.record.Finished = w.queue.Wall()
	w.trace.detail(run.record.Backend, "query_done", run.record.Request, "attempt", run.record.Attempt,
		"executed", run.record.Executed, "refusal", run.record.Refusal, "canceled", run.record.Canceled)
	w.judge.AddExecution(run.record)
}

// recordEvent hands an event to the spool of the process that it comes from.
func (w *World) recordEvent(p *process, event journal.Event) {
	for _, r := range w.routers {
		if &r.process == p {
			r.spool.record(event)
		}
	}
	for _, v := range w.voters {
		if &v.process == p {
			v.control.spool.record(event)
		}
	}
}

// platform is the list of machines, which lags behind reality.
type platform struct {
	process
	list map[string]membership.State
}

const (
	platformLag      = 3 * time.Second
	platformInterval = time.Second
)

func newPlatform(world *World) *platform {
	return &platform{process: newProcess(world, placeIn(zones[0], "platform")), list: map[string]membership.State{}}
}

// publish writes the list of a while ago.
func (p *platform) publish() {
	current := map[string]membership.State{}
	for _, b := range p.world.backends {
		switch {
		case !b.process.running:
		case b.departing:
			current[b.name()] = membership.Leaving
		default:
			current[b.name()] = membership.Live
		}
	}
	p.world.queue.After(platformLag, func() { p.list = current })
	p.world.queue.After(platformInterval, p.publish)
}

func sortedKeys[Key cmp.Ordered, Value any](values map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(values))
}

func sortedObservations(observations map[observationKey]*passedOn) []observationKey {
	return slices.SortedFunc(maps.Keys(observations), func(left, right observationKey) int {
		return cmp.Or(cmp.Compare(left.address, right.address), cmp.Compare(left.router, right.router))
	})
}
