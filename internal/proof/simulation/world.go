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

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/dataset"
	"github.com/martenstage/martenstage/internal/proof/judge"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/proof/simulation/network"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
)

// Times of a run. Faults end early enough for the fleet to recover before it is
// checked whether it did.
const (
	faultsBegin = 4 * time.Second
	calm        = 14 * time.Second
	checkFor    = 10 * time.Second
)

// World is one run.
type World struct {
	seed   uint64
	layout *layout
	// neighbour is the world of the other region, nil without one. Callers of
	// each ask routers of their own region for routes of the other.
	neighbour *World
	queue     *virtualtime.Queue
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
	areas     []*areaState
	visitors  []*process
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
	// crossed is when the last whole answer to a caller of the other region came.
	crossed time.Duration
	// crossings counts what became of the requests of those callers.
	crossings map[string]int
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
	// platformLag is how far the platform's list lags behind.
	platformLag time.Duration
	// driftAtBound lets every clock run as fast or as slow as it may.
	driftAtBound bool
	// voterTrouble is when the last fault of a voter began or ended.
	voterTrouble time.Duration

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

// operate lets the operators submit changes now and then.
func (w *World) operate() {
	gap := time.Duration(w.workload.ExpFloat64() * float64(w.layout.changeGap)).Round(time.Microsecond)
	w.queue.After(gap, func() {
		if w.queue.Now() > w.trafficEnd-checkFor/2 {
			return
		}
		o := w.operators[w.workload.IntN(len(w.operators))]
		o.submit(w.layout.variant(w.workload.IntN(len(w.layout.variants))))
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
	all = append(all, w.allCallers()...)
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
	relays := lo.Filter(w.relays, func(r *relay, _ int) bool { return r.place.Region == p.place.Region })
	if len(relays) == 0 {
		relays = slices.Clone(w.relays)
	}
	if p.place.Zone != relays[0].place.Zone {
		slices.Reverse(relays)
	}
	return lo.Map(relays, func(r *relay, _ int) upstream {
		return upstream{process: &r.process, granter: func() *granter { return r.granter }}
	})
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

func sortedKeys[Key cmp.Ordered, Value any](values map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(values))
}

func sortedObservations(observations map[observationKey]*passedOn) []observationKey {
	return slices.SortedFunc(maps.Keys(observations), func(left, right observationKey) int {
		return cmp.Or(cmp.Compare(left.address, right.address), cmp.Compare(left.router, right.router))
	})
}
