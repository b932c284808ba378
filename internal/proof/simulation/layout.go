package simulation

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/proof/simulation/network"
)

// seat is a process's name and its zone.
type seat struct{ name, zone string }

// layout says what the world of one control group consists of.
type layout struct {
	// prefix begins the names of all processes and request ids.
	prefix string
	// zones in the order of the back ends; regions holds the region of each.
	zones   []string
	regions map[string]string

	voters, relays, routers []seat
	areas                   []area
	// variants are the configurations that operators choose from. They differ in
	// shard maps, replicas and budgets; routes and policies are the same in all,
	// so that a judge that knows them can judge every answer.
	variants []configuration

	// faultsEnd is when the last fault is over; meanGap is the mean time between
	// two requests of an area, changeGap between two changes of configuration.
	faultsEnd, meanGap, changeGap time.Duration
	// cut is how long the regions lose each other from faultsBegin on; 0 for
	// never.
	cut time.Duration
	// visitors are callers of another region.
	visitors []seat
	// texts are the variants as operators write them, compiled what the compiler
	// reads in each.
	texts    []string
	compiled func() map[string]*plan.Plan
}

// area is a region's services with their back ends and callers.
type area struct {
	// suffix ends the names of its services and routes.
	suffix string
	zones  []string
	// firstBackend is the number of its first back end.
	firstBackend, desksBackends int
	// notifyBackends are those of the service that sends go to; with none they
	// go to the desks service.
	notifyBackends int
	// groups is the number of groups of each generation of the desks service.
	groups  map[uint32]int
	callers []seat
	// operators are those who change the configuration.
	operators []seat
}

func (a *area) backends() int { return a.desksBackends + a.notifyBackends }

// route returns the name of one of the area's routes.
func (a *area) route(name string) string { return name + a.suffix }

// finish makes a layout ready for use.
func (l layout) finish() *layout {
	l.texts = lo.Map(l.variants, func(candidate configuration, _ int) string { return l.text(candidate) })
	l.compiled = sync.OnceValue(l.compile)
	return &l
}

func (l *layout) compile() map[string]*plan.Plan {
	compiled := make(map[string]*plan.Plan, len(l.texts))
	for _, text := range l.texts {
		result, err := policy.Compile("simulation", []byte(text))
		if err != nil {
			panic(err) // a programming error in the texts
		}
		compiled[text] = result
	}
	return compiled
}

func (l *layout) place(at seat) network.Place {
	return network.Place{Name: at.name, Zone: at.zone, Region: l.regions[at.zone]}
}

// variant returns the text of a configuration by a number of any size.
func (l *layout) variant(number int) string { return l.texts[number%len(l.texts)] }

func (l *layout) backendNames() []string {
	return lo.FlatMap(l.areas, func(a area, _ int) []string {
		return lo.Times(a.backends(), func(index int) string { return backendAddress(a.firstBackend + index) })
	})
}

func names(seats []seat) []string {
	return lo.Map(seats, func(at seat, _ int) string { return at.name })
}

// systemNames are the processes of the system itself.
func (l *layout) systemNames() []string {
	return slices.Concat(names(l.voters), names(l.relays), names(l.routers))
}

// allNames gives voters and routers twice the weight of others.
func (l *layout) allNames() []string {
	return slices.Concat(names(l.voters), names(l.voters), names(l.relays), names(l.routers), names(l.routers), l.backendNames())
}

// nodesFor returns the nodes or zones that faults of a kind choose from.
func (l *layout) nodesFor(kind FaultKind) []string {
	switch kind {
	case FaultStop:
		return names(l.routers)
	case FaultDiskSlow, FaultDiskFail, FaultReplace:
		return names(l.voters)
	case FaultSlow, FaultDrain, FaultDrainLie, FaultHealthLate, FaultLost, FaultConfused:
		return l.backendNames()
	case FaultZoneSplit:
		return l.zones
	case FaultRegion, FaultRoll, FaultRace, FaultDuplicate:
		return []string{""}
	default:
		return l.allNames()
	}
}

// alwaysUsed are the back ends that every configuration names.
func (l *layout) alwaysUsed() []string {
	return lo.Filter(l.backendNames(), func(node string, _ int) bool {
		return lo.EveryBy(l.texts, func(text string) bool { return strings.Contains(text, "replica "+node+" ") })
	})
}

// seats names processes of one kind, one in each of the zones given.
func seats(name string, zones ...string) []seat {
	return lo.Map(zones, func(zone string, index int) seat { return seat{fmt.Sprint(name, "-", index+1), zone} })
}

// The times of the layouts of one group without a cut.
const (
	usualFaultsEnd = 26 * time.Second
	usualGap       = 180 * time.Millisecond
	usualChangeGap = 4 * time.Second
)

// usual is the world of 3 voters, 2 relays, 3 routers and 11 back ends of two
// services in three zones, of which the third is a region of its own.
var usual = layout{
	zones:   []string{"a", "b", "c"},
	regions: map[string]string{"a": "north", "b": "north", "c": "south"},
	voters:  seats("control", "a", "b", "c"), relays: seats("relay", "a", "b"), routers: seats("router", "a", "b", "c"),
	areas: []area{{
		zones: []string{"a", "b", "c"}, desksBackends: 8, notifyBackends: 3, groups: map[uint32]int{1: 3, 2: 4},
		callers: seats("callers", "a", "b"), operators: seats("operator", "a", "b"),
	}},
	variants: usualVariants(2), faultsEnd: usualFaultsEnd, meanGap: usualGap, changeGap: usualChangeGap,
}.finish()

// small is the world of 3 voters, 1 relay, 2 routers and 6 back ends of one
// service. It has all kinds of faults, and as many requests a second.
var small = layout{
	zones:   []string{"a", "b", "c"},
	regions: map[string]string{"a": "north", "b": "north", "c": "south"},
	voters:  seats("control", "a", "b", "c"), relays: seats("relay", "a"), routers: seats("router", "a", "b"),
	areas: []area{{
		zones: []string{"a", "b", "c"}, desksBackends: 6, groups: map[uint32]int{1: 2, 2: 3},
		callers: seats("callers", "a", "b"), operators: seats("operator", "a", "b"),
	}},
	variants: usualVariants(1), faultsEnd: usualFaultsEnd, meanGap: usualGap, changeGap: usualChangeGap,
}.finish()

// usualVariants are configurations of two shard maps; cells of routers have a
// size in the last of them.
func usualVariants(cells int) []configuration {
	return []configuration{
		{generations: []uint32{1}, hedges: 10},
		{generations: []uint32{1, 2}, hedges: 10},
		{generations: []uint32{2}, hedges: 10},
		{generations: []uint32{1}, hedges: 5, fewer: true},
		{generations: []uint32{1, 2}, hedges: 20, fewer: true},
		{generations: []uint32{1}, hedges: 20, cells: cells},
	}
}
