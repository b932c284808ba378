package simulation

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/state"
)

// defaultScenario draws faults of all kinds.
const defaultScenario = "random"

// everyEvent selects the whole journal.
var everyEvent = state.EventFilter{Limit: 1 << 20}

// scenario arranges faults in a world.
type scenario func(w *World)

// scenarios are the named ones.
var scenarios = map[string]scenario{
	defaultScenario:                     randomFaults,
	"stragglers":                        stragglers,
	"replica-loss":                      replicaLoss,
	"repartition":                       repartition,
	"silent-cut-control":                silentCut,
	"racing-operators":                  racingOperators,
	"resent-changes":                    resentChanges,
	"second-loss-after-repair":          secondLoss,
	"restart-after-hundreds-of-changes": restartAfterChanges,
	"night-failure":                     nightFailure,
	"disk-trouble-in-replacement":       diskTroubleInReplacement,
	"paused-leader":                     pausedLeader,
	"return-before-the-list":            returnBeforeTheList,
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string { return sortedKeys(scenarios) }

// ErrUnknownScenario is returned for a name that is none.
var ErrUnknownScenario = errors.New("unknown scenario")

// scenarioNamed returns a scenario, or several joined by "+" as one.
func scenarioNamed(name string) (scenario, error) {
	var parts []scenario
	for _, part := range strings.Split(lo.CoalesceOrEmpty(name, defaultScenario), "+") {
		chosen, known := scenarios[part]
		if !known {
			return nil, errors.Wrapf(ErrUnknownScenario, "%q; there are %s", part, strings.Join(Scenarios(), ", "))
		}
		parts = append(parts, chosen)
	}
	return func(w *World) {
		for _, part := range parts {
			part(w)
		}
	}, nil
}

// faultKinds are drawn by random schedules, with the share of each.
var faultKinds = []struct {
	kind  FaultKind
	share int
}{
	{FaultCut, 5}, {FaultCutOut, 4}, {FaultCutIn, 4}, {FaultCutPair, 5}, {FaultZoneSplit, 3}, {FaultRegion, 2},
	{FaultLoss, 4}, {FaultDelay, 5}, {FaultDuplicate, 3}, {FaultCrash, 12}, {FaultFreeze, 6}, {FaultStop, 6},
	{FaultDiskSlow, 4}, {FaultDiskFail, 3}, {FaultReplace, 4}, {FaultSlow, 4}, {FaultDrain, 5}, {FaultDrainLie, 4},
	{FaultHealthLate, 3}, {FaultLost, 3}, {FaultConfused, 2}, {FaultRoll, 5}, {FaultRace, 5},
}

// draw makes a fault of evenly drawn numbers; number returns one in [0, limit).
func (l *layout) draw(number func(label string, limit int) int) Fault {
	total := lo.SumBy(faultKinds, func(entry struct {
		kind  FaultKind
		share int
	}) int {
		return entry.share
	})
	fault := Fault{Kind: pickKind(number("kind", total))}
	nodes := l.nodesFor(fault.Kind)
	fault.Node = nodes[number("node", len(nodes))]
	peers := l.systemNames()
	fault.Peer = peers[number("peer", len(peers))]
	const longest = 9000
	length := time.Duration(number("milliseconds", longest)+50) * time.Millisecond
	latest := int((l.faultsEnd - faultsBegin - length) / time.Millisecond)
	fault.At = faultsBegin + time.Duration(number("at", latest))*time.Millisecond
	fault.For = length
	fault.Amount = l.amountOf(fault.Kind, number)
	return fault
}

func pickKind(drawn int) FaultKind {
	for _, entry := range faultKinds {
		if drawn -= entry.share; drawn < 0 {
			return entry.kind
		}
	}
	return FaultCrash
}

func (l *layout) amountOf(kind FaultKind, number func(string, int) int) int {
	switch kind {
	case FaultLoss, FaultDuplicate:
		return 20 + number("thousandths", 280)
	case FaultDelay:
		return 1 + number("delay", 400)
	case FaultDiskSlow:
		return 50 + number("delay", 3000)
	case FaultSlow:
		return 20 + number("tenths", 400)
	default:
		return number("amount", len(l.variants))
	}
}

// randomFaults draws one to eight faults; some come a second time right after
// they are over.
func randomFaults(w *World) {
	random := rand.New(rand.NewPCG(w.seed, faultStream))
	const most, again, chances = 8, 3, 10
	for range 1 + random.IntN(most) {
		fault := w.layout.draw(func(_ string, limit int) int { return random.IntN(limit) })
		w.schedule(fault)
		if random.IntN(chances) < again {
			fault.At += fault.For + time.Duration(random.IntN(500))*time.Millisecond
			fault.For /= 2
			if fault.At+fault.For <= w.layout.faultsEnd {
				w.schedule(fault)
			}
		}
	}
}

const faultStream = 5

// drawer returns a source of the numbers of a scenario.
func (w *World) drawer() *rand.Rand { return rand.New(rand.NewPCG(w.seed, faultStream)) }

// spread returns a time within the time of faults that leaves room for a length.
func (w *World) spread(random *rand.Rand, length time.Duration) time.Duration {
	room := int64(w.layout.faultsEnd - faultsBegin - length)
	return faultsBegin + time.Duration(random.Int64N(room)).Round(time.Millisecond)
}

func stragglers(w *World) {
	random := w.drawer()
	const length = 8 * time.Second
	for range 4 {
		w.schedule(Fault{Kind: FaultSlow, Node: lo.SampleBy(w.layout.backendNames(), random.IntN), At: w.spread(random, length), For: length, Amount: 50 + random.IntN(300)})
	}
}

func replicaLoss(w *World) {
	random := w.drawer()
	const length = 6 * time.Second
	kinds := []FaultKind{FaultCrash, FaultDrain, FaultDrainLie, FaultLost, FaultCut}
	for range 4 {
		w.schedule(Fault{Kind: lo.SampleBy(kinds, random.IntN), Node: lo.SampleBy(w.layout.backendNames(), random.IntN), At: w.spread(random, length), For: length})
	}
}

// repartition goes from one shard map over both to the other, while a new
// index version rolls.
func repartition(w *World) {
	random := w.drawer()
	for step, number := range []int{1, 2, 1, 0} {
		at := faultsBegin + time.Duration(step)*5*time.Second + time.Duration(random.IntN(2000))*time.Millisecond
		w.schedule(Fault{Kind: FaultMark, At: at, Amount: number})
	}
	for range 2 {
		w.schedule(Fault{Kind: FaultRoll, At: w.spread(random, 8*time.Second), For: 8 * time.Second})
	}
}

// silentCut cuts whoever leads off, in one or both directions, while operators
// go on.
func silentCut(w *World) {
	random := w.drawer()
	const length = 15 * time.Second
	at := faultsBegin + time.Duration(random.IntN(5000))*time.Millisecond
	kind := lo.SampleBy([]FaultKind{FaultCut, FaultCutIn, FaultCutOut}, random.IntN)
	w.queue.At(at, func() {
		for _, v := range w.voters {
			if w.voterOf(v.state.Leader) == v {
				w.schedule(Fault{Kind: kind, Node: v.name(), At: at, For: length})
				return
			}
		}
	})
	for step := range 4 {
		w.schedule(Fault{Kind: FaultRace, At: at + time.Duration(step+1)*2*time.Second, Amount: random.IntN(len(w.layout.variants))})
	}
}

func racingOperators(w *World) {
	random := w.drawer()
	for range 8 {
		w.schedule(Fault{Kind: FaultRace, At: w.spread(random, time.Second), Amount: random.IntN(len(w.layout.variants))})
	}
}

// resentChanges loses many answers, so that operators send changes again.
func resentChanges(w *World) {
	random := w.drawer()
	for step := range 3 {
		at := faultsBegin + time.Duration(step)*6*time.Second
		w.schedule(Fault{Kind: FaultLoss, At: at, For: 5 * time.Second, Amount: 100 + random.IntN(300)})
		w.schedule(Fault{Kind: FaultMark, At: at + time.Second, Amount: random.IntN(len(w.layout.variants))})
		w.schedule(Fault{Kind: FaultRace, At: at + 3*time.Second, Amount: random.IntN(len(w.layout.variants))})
	}
}

// secondLoss loses a voter with its disk, and another one as soon as the first
// is replaced.
func secondLoss(w *World) {
	random := w.drawer()
	voters := w.layout.voters
	first := random.IntN(len(voters))
	second := (first + 1 + random.IntN(len(voters)-1)) % len(voters)
	w.schedule(Fault{Kind: FaultReplace, Node: voters[first].name, At: faultsBegin + time.Second})
	w.replaced = func() {
		w.replaced = func() {}
		w.queue.After(0, func() {
			if w.queue.Now() < w.layout.faultsEnd {
				w.schedule(Fault{Kind: FaultReplace, Node: voters[second].name, At: w.queue.Now()})
			}
		})
	}
}

// restartAfterChanges makes hundreds of changes and restarts everything.
func restartAfterChanges(w *World) {
	random := w.drawer()
	const changes, gap = 300, 50 * time.Millisecond
	for number := range changes {
		w.queue.At(faultsBegin+time.Duration(number)*gap, func() {
			w.operators[number%2].submit(w.layout.variant(number))
		})
	}
	at := faultsBegin + changes*gap + time.Second
	for _, node := range w.layout.systemNames() {
		w.schedule(Fault{Kind: FaultCrash, Node: node, At: at + time.Duration(random.IntN(500))*time.Millisecond, For: time.Second + time.Duration(random.IntN(2000))*time.Millisecond})
	}
}

// nightFailure loses back ends, a relay and a voter while nobody watches; the
// journal must tell of each in the morning.
func nightFailure(w *World) {
	random := w.drawer()
	const length = 12 * time.Second
	for _, node := range []string{
		lo.SampleBy(w.layout.alwaysUsed(), random.IntN), lo.SampleBy(w.layout.relays, random.IntN).name, lo.SampleBy(w.layout.voters, random.IntN).name,
	} {
		w.schedule(Fault{Kind: FaultCrash, Node: node, At: w.spread(random, length), For: length})
		w.expected = append(w.expected, node)
	}
	w.operatorsAway = true
}
