package experiment

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
)

// setting is everything that a scenario decides about a run, on the virtual
// clock and over sockets alike.
type setting struct {
	plan        *plan.Plan
	model       servicetime.Model
	zoneDelay   time.Duration
	slowdown    time.Duration
	duration    time.Duration
	utilization float64
	phases      []load.Phase
	script      []emulator.Fault
	rolls       []emulator.Roll
	plans       []schedule.PlanStep
	routerStops []schedule.RouterStop
	resends     int
	// honorRetryAfter makes callers keep the pause that an answer names.
	honorRetryAfter bool
}

// Utilization of the scenarios that are not about overload.
const usualUtilization = 0.3

// scenarios says how each scenario differs from the steady one.
var scenarios = map[string]func(*setting){
	"steady":        func(*setting) {},
	"stragglers":    stragglers,
	"slow-replica":  slowReplica,
	"surge":         surge,
	"retry-storm":   retryStorm,
	"rolling-index": rollingIndex,
	"repartition":   repartition,
	"drain":         drain,
	"restart":       restart,
	"replica-loss":  replicaLoss,
	"lying-health":  lyingHealth,
}

// Scenarios returns the names of all scenarios, sorted.
func Scenarios() []string {
	names := lo.Keys(scenarios)
	slices.Sort(names)
	return names
}

func newSetting(name string, compiled *plan.Plan, seed uint64, duration time.Duration) (*setting, error) {
	change, ok := scenarios[name]
	if !ok {
		return nil, errors.Newf("unknown scenario %q; there are %v", name, Scenarios())
	}
	made := &setting{
		plan: compiled, duration: duration, utilization: usualUtilization, zoneDelay: zoneDelay, slowdown: 1,
		model: servicetime.Model{Seed: seed, Default: servicetime.Distribution{
			Median: emulator.DefaultMedian, Sigma: emulator.DefaultSigma,
		}},
		plans: []schedule.PlanStep{{Plan: compiled}},
	}
	change(made)
	return made, nil
}

// stragglers makes one server in 20 slow at any time, by a factor of 20, and
// others every two seconds.
func stragglers(s *setting) {
	s.model.Stragglers = servicetime.Stragglers{Fraction: 0.05, Factor: 20, Period: 2 * time.Second}
}

// slowReplica makes the first replica of the first shard of every service slow
// from a quarter of the run on.
func slowReplica(s *setting) {
	for _, service := range s.plan.Services {
		first := service.Generations[0].Shards[0].Replicas[0].Address
		s.addFault(emulator.Fault{Kind: emulator.FaultSlow, Factor: 20, At: s.duration / 4}, first)
	}
}

// surge offers the capacity of the slots in the first half of the run and
// twice as much in the second.
func surge(s *setting) {
	s.utilization = 1
	s.phases = []load.Phase{{From: s.duration / 2, Factor: 2}}
}

// retryStorm offers twice the capacity for a third of the run, to callers that
// send every failed request again, up to three times.
func retryStorm(s *setting) {
	s.phases = []load.Phase{
		{From: s.duration / 3, Factor: 2 / s.utilization},
		{From: 2 * s.duration / 3, Factor: 1},
	}
	s.resends, s.honorRetryAfter = 3, true
}

// rollingIndex brings a new index version every four seconds. Servers get it
// at moments of their own within two seconds and keep the old one for three.
func rollingIndex(s *setting) {
	const every, stagger, keep = 4 * time.Second, 2 * time.Second, 3 * time.Second
	for _, service := range s.plan.Services {
		for at := time.Second; at < s.duration; at += every {
			s.rolls = append(s.rolls, emulator.Roll{Service: service.Name, At: at, Stagger: stagger, Keep: keep})
		}
	}
}

// repartition adds a second shard map after a third of the run and takes the
// first away after two.
func repartition(s *setting) {
	both, after := repartitioned(s.plan)
	s.plans = append(s.plans, schedule.PlanStep{At: s.duration / 3, Plan: both}, schedule.PlanStep{At: 2 * s.duration / 3, Plan: after})
}

// drain lets the first replica of every second shard leave for the middle half
// of the run, while its health endpoint goes on calling it ready.
func drain(s *setting) {
	for index, address := range addressesOf(s.plan, 0) {
		if index%2 == 0 {
			s.addFault(emulator.Fault{Kind: emulator.FaultHealthLie, State: backendapi.StateReady, At: s.duration / 4, For: s.duration / 2}, address)
			s.addFault(emulator.Fault{Kind: emulator.FaultDrain, At: s.duration / 4, For: s.duration / 2}, address)
		}
	}
}

// restart restarts back ends in turn, the first replicas of all shards before
// the second, and each router once. Each back end drains before it goes and
// comes back cold. Callers of a stopping router turn to another.
func restart(s *setting) {
	const drains, away = 500 * time.Millisecond, 500 * time.Millisecond
	for nth := range 2 {
		addresses := addressesOf(s.plan, nth)
		for index, address := range addresses {
			share := time.Duration(index) * s.duration / 2 / time.Duration(len(addresses)+1)
			at := time.Duration(nth)*s.duration/2 + share
			s.addFault(emulator.Fault{Kind: emulator.FaultDrain, At: at, For: drains + away}, address)
			s.addFault(emulator.Fault{Kind: emulator.FaultCrash, At: at + drains, For: away}, address)
		}
	}
	s.routerStops = []schedule.RouterStop{
		{Router: 0, At: s.duration / 4, Away: time.Second},
		{Router: 1, At: 3 * s.duration / 4, Away: time.Second},
	}
	s.resends, s.honorRetryAfter = 3, true
}

// replicaLoss crashes one server in ten for the middle third of the run.
func replicaLoss(s *setting) {
	s.addFault(emulator.Fault{Kind: emulator.FaultCrash, At: s.duration / 3, For: s.duration / 3,
		Servers: emulator.Selector{Fraction: 0.1}}, netip.AddrPort{})
}

// lyingHealth lets a third of the servers call themselves ready and idle
// whatever the truth; of these some are slow, and some drain.
func lyingHealth(s *setting) {
	for index, address := range addressesOf(s.plan, 0) {
		if index%3 != 0 {
			continue
		}
		s.addFault(emulator.Fault{Kind: emulator.FaultHealthLie, State: backendapi.StateReady}, address)
		truth := emulator.Fault{Kind: emulator.FaultSlow, Factor: 10, At: s.duration / 4, For: s.duration / 2}
		if index%2 == 1 {
			truth.Kind = emulator.FaultDrain
		}
		s.addFault(truth, address)
	}
}

// slowDown multiplies service times, delays, the stragglers' period and, over
// sockets, the pause between probes.
func (s *setting) slowDown(factor time.Duration) {
	s.model.Default.Median *= factor
	s.model.Stragglers.Period *= factor
	s.zoneDelay *= factor
	s.slowdown *= factor
}

// addFault adds a fault of one server, or of those that it selects itself if
// the address is not valid.
func (s *setting) addFault(fault emulator.Fault, address netip.AddrPort) {
	fault.Servers.Address = address
	fault.ID = string(fault.Kind) + " " + address.String() + " " + fault.At.String()
	s.script = append(s.script, fault)
}

func (s *setting) rates() []load.RouteRate {
	rates := ratesAt(s.utilization, s.plan, &s.model)
	for index := range rates {
		rates[index].Phases = s.phases
	}
	return rates
}
