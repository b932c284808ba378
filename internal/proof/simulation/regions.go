package simulation

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/proof/simulation/network"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
)

// regionalGap is the mean time between two requests of a region's own callers.
const regionalGap = 500 * time.Millisecond

// changeGapOf is the mean time between two changes in a region. In a long cut it is
// that of 37,000 changes a day over nine regions.
func changeGapOf(cut time.Duration) time.Duration {
	const longGap = 21 * time.Second
	if cut > shortCut {
		return longGap
	}
	return usualChangeGap
}

// regionNames are the regions of the worlds of two.
var regionNames = []string{"north", "south"}

// regionZones are the zones of each region.
var regionZones = map[string][]string{"north": {"a", "b", "c"}, "south": {"d", "e", "f"}}

// regionsOfZones is the reverse of regionZones.
func regionsOfZones() map[string]string {
	of := map[string]string{}
	for region, zones := range regionZones {
		for _, zone := range zones {
			of[zone] = region
		}
	}
	return of
}

const regionBackends = 8 + 3

// areaOf is the area of a region, by its number.
func areaOf(number int) area {
	region := regionNames[number]
	zones := regionZones[region]
	return area{
		suffix: "-" + region, zones: zones, firstBackend: number * regionBackends, desksBackends: 8, notifyBackends: 3,
		groups:  map[uint32]int{1: 3, 2: 4},
		callers: seats(region+"-callers", zones[:2]...), operators: seats(region+"-operator", zones[:2]...),
	}
}

// regionLayout is a region with a control group of its own.
func regionLayout(number int, cut time.Duration) *layout {
	region, zones := regionNames[number], regionZones[regionNames[number]]
	other := regionNames[1-number]
	return layout{
		prefix: region + "-", zones: zones, regions: regionsOfZones(),
		voters: seats(region+"-control", zones...), relays: seats(region+"-relay", zones[:2]...),
		routers: seats(region+"-router", zones...), areas: []area{areaOf(number)},
		variants: usualVariants(2), faultsEnd: faultsBegin + cut + time.Second, meanGap: regionalGap, changeGap: changeGapOf(cut), cut: cut,
		visitors: seats(other+"-visitors-of-"+region, regionZones[other][0]),
	}.finish()
}

// oneGroup are both regions under one control group: two voters in the first
// region and one in the second, and all else as with a group for each.
func oneGroup(cut time.Duration) *layout {
	both := layout{
		regions: regionsOfZones(), variants: usualVariants(2),
		faultsEnd: faultsBegin + cut + time.Second, meanGap: regionalGap, changeGap: changeGapOf(cut), cut: cut,
	}
	for number := range regionNames {
		of := regionLayout(number, cut)
		both.zones = append(both.zones, of.zones...)
		both.relays = append(both.relays, of.relays...)
		both.routers = append(both.routers, of.routers...)
		both.areas = append(both.areas, of.areas...)
		both.voters = append(both.voters, of.voters[:len(regionNames)-number]...)
	}
	return both.finish()
}

// regions makes a world of two regions with a control group each, which own
// that region's services. They share time and network.
func regions(cut time.Duration) func(seed uint64) []*World {
	layouts := []*layout{regionLayout(0, cut), regionLayout(1, cut)}
	return func(seed uint64) []*World {
		const apart = 1 << 40
		common := newShared(seed)
		north, south := newWorldOf(seed, layouts[0], common), newWorldOf(seed+apart, layouts[1], common)
		north.neighbour, south.neighbour = south, north
		return []*World{north, south}
	}
}

// regionalFaults lets the regions lose each other and draws faults within each
// region meanwhile, one of the system at a time: a voter, a relay or a router
// is lost, stopped or replaced, a voter's disk is slow, back ends fail.
func regionalFaults(w *World) {
	random := w.drawer()
	const pause, longest = 15 * time.Second, 8 * time.Second
	for at := faultsBegin + 2*time.Second; at+longest < w.layout.faultsEnd; at += pause {
		for _, fault := range w.drawRegional(random) {
			fault.At = at + time.Duration(random.Int64N(int64(2*time.Second))).Round(time.Millisecond)
			fault.For = time.Second + time.Duration(random.Int64N(int64(longest-3*time.Second))).Round(time.Millisecond)
			w.schedule(fault)
		}
	}
}

// drawRegional draws one fault of the system and one of a back end.
func (w *World) drawRegional(random *rand.Rand) []Fault {
	system := []FaultKind{FaultCrash, FaultCrash, FaultStop, FaultReplace, FaultDiskSlow}
	backends := []FaultKind{FaultCrash, FaultSlow, FaultDrain, FaultDrainLie, FaultLost, FaultRoll}
	first := Fault{Kind: system[random.IntN(len(system))], Amount: 200}
	nodes := w.layout.nodesFor(first.Kind)
	if first.Kind == FaultCrash {
		nodes = w.layout.systemNames()
	}
	first.Node = nodes[random.IntN(len(nodes))]
	second := Fault{Kind: backends[random.IntN(len(backends))], Amount: 80}
	if second.Kind != FaultRoll {
		nodes = w.layout.backendNames()
		second.Node = nodes[random.IntN(len(nodes))]
	}
	return []Fault{first, second}
}

// scheduleCut cuts the regions of a run from each other. Worlds that share a
// network share the cut; the first of them makes it.
func (w *World) scheduleCut() {
	if w.layout.cut == 0 {
		return
	}
	w.queue.At(faultsBegin, func() {
		w.faults++
		w.faultKinds[FaultRegion]++
		rules := split(network.Selector{Region: regionNames[0]})
		w.trace.note("world", "regions_cut", "for", w.layout.cut)
		for _, rule := range rules {
			w.network.Add(rule)
		}
		w.queue.After(w.layout.cut, func() {
			w.trace.note("world", "regions_joined")
			for _, rule := range rules {
				w.network.Remove(rule)
			}
		})
	})
}

// isolation is what became of the requests of a region's own callers to its own
// routes, and of its operators' changes, during the cut.
type isolation struct {
	answered, whole int
	refused         map[string]int
	accepted        int
	inForce         int
}

// During a cut a region must do without the other. These are how long its own
// faults may be felt.
const (
	// leaseRegained is how long a router that was started may lack a lease.
	leaseRegained = 10 * time.Second
	// leaderRegained is how long claims may be refused after a fault of a voter.
	leaderRegained = 5 * time.Second
)

// cutOff reports whether the regions have been without each other for longer
// than a lease lasts, and still are.
func (w *World) cutOff(moment time.Duration) bool {
	return w.layout.cut > 0 && moment > faultsBegin && moment < faultsBegin+w.layout.cut
}

// watchIsolation notes an answer to a request of a region's own caller that was
// sent during the cut, and fails when it was refused because of the cut.
func (w *World) watchIsolation(s *submission, answer *records.CallerAnswer) {
	if s.abroad() {
		w.noteCrossing(s, answer)
		return
	}
	if !w.cutOff(s.sent) {
		return
	}
	seen := &s.area.isolated
	if answer.Reason == "" {
		seen.answered++
		if answer.Complete {
			seen.whole++
		}
		return
	}
	if seen.refused == nil {
		seen.refused = map[string]int{}
	}
	seen.refused[answer.Reason]++
	switch verdict.Reason(answer.Reason) {
	case verdict.ReasonNoLease:
		if w.queue.Now()-s.served.startedAt > leaseRegained {
			w.fail(propertyIsolation, "%s has no lease during the cut: request %s refused", s.served.name(), s.id)
		}
	case verdict.ReasonClaimsUnavailable:
		if w.queue.Now()-w.voterTrouble > leaderRegained {
			w.fail(propertyIsolation, "%s gets no claims during the cut: request %s refused", s.router.name(), s.id)
		}
	}
}

// noteCrossing notes what became of a request of a caller of the other region.
func (w *World) noteCrossing(s *submission, answer *records.CallerAnswer) {
	when := "apart: "
	if !w.cutOff(s.sent) {
		when = "joined: "
	}
	w.crossings[when+cmp.Or(answer.Reason, answer.Error, "answered")]++
	if answer.Complete && answer.Status == http.StatusOK {
		w.crossed = w.queue.Now()
	}
}

// propertyIsolation is that a region goes on without the other.
const propertyIsolation = "region_alone"

// checkIsolation fails when a region did nothing by itself during the cut.
func (w *World) checkIsolation() {
	if w.layout.cut == 0 {
		return
	}
	if len(w.visitors) > 0 && w.crossed < w.layout.faultsEnd+calm {
		w.fail("recovery", "no whole answer to a caller of the other region in the last %v", checkFor)
	}
	for _, a := range w.areas {
		seen := a.isolated
		w.trace.note("world", "isolation", "area", a.suffix, "answered", seen.answered, "whole", seen.whole,
			"accepted", seen.accepted, "in_force", seen.inForce)
		if seen.whole == 0 {
			w.fail(propertyIsolation, "no whole answer in%s during the cut", a.suffix)
		}
		if seen.accepted == 0 || seen.inForce == 0 {
			w.fail(propertyIsolation, "of the changes of the operators in%s, %d were accepted and %d in force during the cut",
				a.suffix, seen.accepted, seen.inForce)
		}
	}
}

// closeLater lets the judge forget a request of a long run when nothing can come
// of it any more.
func (w *World) closeLater(id string) {
	const settled = 2 * time.Minute
	if w.layout.cut > settled {
		w.queue.After(settled, func() { w.judge.CloseRequest(id) })
	}
}
