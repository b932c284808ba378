package simulation

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/proof/judge"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/proof/simulation/disk"
	"github.com/martenstage/martenstage/internal/proof/simulation/network"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
)

// areaState is an area in a run.
type areaState struct {
	*area
	callers []*process
	routers []*router
	// isolated is what became of its callers' requests during the cut.
	isolated isolation
}

// shared is what the worlds of one run have in common.
type shared struct {
	queue   *virtualtime.Queue
	network *network.Network
	trace   *trace
}

const setupStream, timingStream, workloadStream, networkStream = 1, 2, 3, 4

func newShared(seed uint64) *shared {
	queue := &virtualtime.Queue{}
	return &shared{queue: queue, network: network.New(queue, rand.New(rand.NewPCG(seed, networkStream))), trace: newTrace(queue)}
}

// newWorld returns the usual world, in which nothing has happened yet.
func newWorld(seed uint64) *World { return newWorldOf(seed, usual, newShared(seed)) }

// newWorldOf returns a world of a layout.
func newWorldOf(seed uint64, of *layout, common *shared) *World {
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	end := of.faultsEnd + calm + checkFor
	w := &World{
		seed: seed, layout: of, queue: common.queue, network: common.network, trace: common.trace,
		setup: source(setupStream), timing: source(timingStream), workload: source(workloadStream),
		judge: judge.New(judge.Config{Items: itemsOfPart}),
		model: servicetime.Model{
			Seed: seed, Default: servicetime.Distribution{Median: 8 * time.Millisecond, Sigma: 0.6},
			Stragglers: servicetime.Stragglers{Fraction: 0.08, Factor: 8, Period: 5 * time.Second},
		},
		backendAt: map[netip.AddrPort]*backend{}, completed: map[string]time.Duration{}, answers: map[string]int{},
		faultKinds: map[FaultKind]int{}, crossings: map[string]int{},
		lastVoter: uint64(len(of.voters)), version: firstVersion, replaced: func() {},
		platformLag: usualPlatformLag,
		trafficEnd:  end, horizon: end + 3*time.Second,
	}
	w.raft = newRaftChecks(w)
	w.build()
	return w
}

func (w *World) build() {
	for index := range w.layout.areas {
		w.buildBackends(&w.layout.areas[index])
	}
	compiled := w.layout.compiled()
	for index := range w.layout.variants {
		installed := compiled[w.layout.variant(index)]
		w.judge.AddPlan(installed)
		w.routes = installed
		for place := range installed.Placements() {
			w.backendAt[place.Replica.Address].hold(place)
		}
	}
	for index, at := range w.layout.voters {
		v := newVoter(w, at, uint64(index+1))
		initial := initialState(w.layout.voters)
		v.disk = w.newDisk(&initial)
		w.voters = append(w.voters, v)
	}
	for _, at := range w.layout.relays {
		w.relays = append(w.relays, newRelay(w, at))
	}
	for _, at := range w.layout.routers {
		w.routers = append(w.routers, newRouter(w, at))
	}
	for index := range w.layout.areas {
		w.buildArea(&w.layout.areas[index])
	}
	for _, at := range w.layout.visitors {
		visitor := newProcess(w, at)
		w.visitors = append(w.visitors, &visitor)
	}
	w.platform = newPlatform(w)
}

func (w *World) buildBackends(a *area) {
	for index := range a.backends() {
		b := newBackend(w, seat{backendAddress(a.firstBackend + index), a.zones[index%len(a.zones)]})
		w.backends = append(w.backends, b)
		w.backendAt[b.address] = b
	}
}

func (w *World) buildArea(a *area) {
	state := &areaState{area: a, routers: w.routers}
	if len(w.layout.areas) > 1 {
		// Callers use the routers of their region.
		state.routers = lo.Filter(w.routers, func(r *router, _ int) bool { return slices.Contains(a.zones, r.place.Zone) })
	}
	for _, at := range a.callers {
		caller := newProcess(w, at)
		state.callers = append(state.callers, &caller)
	}
	for _, at := range a.operators {
		w.operators = append(w.operators, newOperator(w, state, at))
	}
	w.areas = append(w.areas, state)
}

func (w *World) newDisk(initial *consensus.Restored) *disk.Disk {
	restored := consensus.Restored{}
	if initial != nil {
		restored = *initial
	}
	return disk.New(w.queue, rand.New(rand.NewPCG(w.seed, w.setup.Uint64())), restored)
}

// start lets all processes begin and the operators make the first change.
func (w *World) start() {
	for _, p := range w.processes() {
		p.local = newClock(w)
	}
	for _, caller := range w.allCallers() {
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
	w.queue.At(time.Second, func() { w.operators[0].submit(w.layout.variant(0)) })
	w.queue.At(3*time.Second, w.generateAll)
	if !w.operatorsAway {
		w.queue.At(faultsBegin, w.operate)
	}
	w.platform.publish()
}

func (w *World) generateAll() {
	for _, a := range w.areas {
		w.generate(a, a.callers, w.layout.meanGap)
	}
	if len(w.visitors) > 0 {
		const rarer = 10
		w.generate(w.areas[0], w.visitors, rarer*w.layout.meanGap)
	}
}

// allCallers returns the callers of all areas, visitors last.
func (w *World) allCallers() []*process {
	own := lo.FlatMap(w.areas, func(a *areaState, _ int) []*process { return a.callers })
	return append(own, w.visitors...)
}
