package simulation

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/proof/judge"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// tampered is an engine whose events or commands are changed on their way. A
// hook that returns nil swallows what it got.
type tampered struct {
	engine
	event   func(query.Event) query.Event
	command func(query.Command) query.Command
}

func (e tampered) Step(now time.Time, event query.Event) []query.Command {
	if e.event != nil {
		event = e.event(event)
	}
	if event == nil {
		return nil
	}
	commands := slices.Clone(e.engine.Step(now, event))
	if e.command != nil {
		commands = lo.FilterMap(commands, func(command query.Command, _ int) (query.Command, bool) {
			changed := e.command(command)
			return changed, changed != nil
		})
	}
	return commands
}

// answersChanged breaks what a router answers.
func answersChanged(change func(answer *query.Answer)) func(*router, engine) engine {
	return func(_ *router, inner engine) engine {
		return tampered{engine: inner, command: func(command query.Command) query.Command {
			if respond, ok := command.(query.Respond); ok {
				change(&respond.Answer)
				return respond
			}
			return command
		}}
	}
}

// dropLastItem loses an item of every answer.
func dropLastItem(r *router, inner engine) engine {
	return answersChanged(func(answer *query.Answer) {
		if len(answer.Items) > 0 {
			answer.Items = answer.Items[:len(answer.Items)-1]
		}
	})(r, inner)
}

// missingClaimed passes missing shards off as covered.
func missingClaimed(answer *query.Answer) {
	for _, missing := range answer.Missing {
		answer.Covered = append(answer.Covered, query.ShardCoverage{Shard: missing.Shard})
	}
	answer.Missing, answer.Complete = nil, answer.Err == nil
}

// doubtDenied says of what may have run that it did not.
func doubtDenied(answer *query.Answer) {
	if answer.Err != nil && answer.Verdict == verdict.MayHaveRun {
		answer.Verdict = verdict.NotRun
		answer.Err = &verdict.Error{Verdict: verdict.NotRun, Reason: answer.Err.Reason}
	}
}

// claimsGranted takes every decision about a claim for a grant.
func claimsGranted(_ *router, inner engine) engine {
	return tampered{engine: inner, event: func(event query.Event) query.Event {
		if decided, ok := event.(query.ClaimDecided); ok {
			decided.Decision = query.ClaimGranted
			return decided
		}
		return event
	}}
}

// departuresUnheard lets a router learn of no departure.
func departuresUnheard(_ *router, inner engine) engine {
	return tampered{engine: inner, event: func(event query.Event) query.Event {
		switch event := event.(type) {
		case query.MachineObserved:
			return nil
		case query.AttemptFailed:
			if event.Reason == verdict.ReasonDraining {
				event.Reason = verdict.ReasonConnection
			}
			event.Report.Draining = false
			return event
		case query.PartArrived:
			event.Report.Draining = false
			return event
		}
		return event
	}}
}

func alwaysReady(health backendapi.Health) backendapi.Health {
	health.State = backendapi.StateReady
	return health
}

// configurationsIgnored keeps the first configuration in force for ever.
func configurationsIgnored(_ *router, inner engine) engine {
	installed := false
	return tampered{engine: inner, event: func(event query.Event) query.Event {
		if _, ok := event.(query.ConfigInstalled); ok {
			if installed {
				return nil
			}
			installed = true
		}
		return event
	}}
}

// leasesEndless lets a router that lost control go on.
func leasesEndless(_ *router, inner engine) engine {
	return tampered{engine: inner, event: func(event query.Event) query.Event {
		if renewed, ok := event.(query.LeaseRenewed); ok {
			renewed.Until = renewed.Until.Add(time.Hour)
			return renewed
		}
		return event
	}}
}

// twins asks for the first index version as well and takes its items for those
// of the version that was asked for, as a cache without a key would.
type twins struct {
	engine
	items map[query.AttemptID][]json.RawMessage
}

const twinMark = query.AttemptID(1) << 62

func askTwice(_ *router, inner engine) engine {
	return &twins{engine: inner, items: map[query.AttemptID][]json.RawMessage{}}
}

// Step implements engine.
func (e *twins) Step(now time.Time, event query.Event) []query.Command {
	switch typed := event.(type) {
	case query.PartArrived:
		if typed.Attempt&twinMark != 0 {
			e.items[typed.Attempt&^twinMark] = typed.Part.Items
			return nil
		}
		if stale, ok := e.items[typed.Attempt]; ok {
			delete(e.items, typed.Attempt)
			typed.Part.Items = stale
			event = typed
		}
	case query.AttemptFailed:
		if typed.Attempt&twinMark != 0 {
			return nil
		}
	}
	var commands []query.Command
	for _, command := range e.engine.Step(now, event) {
		if sent, ok := command.(query.Send); ok && sent.Version > firstVersion {
			twin := sent
			twin.Attempt, twin.Version = sent.Attempt|twinMark, firstVersion
			commands = append(commands, twin)
		}
		commands = append(commands, command)
	}
	return commands
}

// routerCutOff takes a router's way to control away, not that to callers.
func routerCutOff(w *World) {
	const at, length = 6 * time.Second, 19 * time.Second
	for _, peer := range slices.Concat(names(usual.voters), names(usual.relays)) {
		w.schedule(Fault{Kind: FaultCutPair, Node: usual.routers[0].name, Peer: peer, At: at, For: length})
	}
}

// notifyDies lets the back ends of the once-only route die amid long runs.
func notifyDies(w *World) {
	const tenths, length = 300, 18 * time.Second
	for index, node := range usual.backendNames()[usual.areas[0].desksBackends:] {
		w.schedule(Fault{Kind: FaultSlow, Node: node, At: 6 * time.Second, For: length, Amount: tenths})
		for death := range 6 {
			at := time.Duration(7+3*death)*time.Second + time.Duration(index)*700*time.Millisecond
			w.schedule(Fault{Kind: FaultCrash, Node: node, At: at, For: 200 * time.Millisecond})
		}
	}
}

// powerCuts lets all voters die at once, several times, while their disks are
// slow and changes go on.
func powerCuts(w *World) {
	const slower = 200 // milliseconds
	for _, node := range names(usual.voters) {
		w.schedule(Fault{Kind: FaultDiskSlow, Node: node, At: 5 * time.Second, For: 20 * time.Second, Amount: slower})
		for cut := range 5 {
			w.schedule(Fault{Kind: FaultCrash, Node: node, At: time.Duration(7+4*cut) * time.Second, For: 500 * time.Millisecond})
		}
	}
	for change := range 400 {
		w.queue.At(faultsBegin+time.Duration(change)*50*time.Millisecond, func() {
			w.operators[change%2].submit(usual.variant(change))
		})
	}
}

// breakages are ways to break each invariant, each with the scenario in which
// it does harm.
var breakages = []struct {
	name      string
	invariant judge.Invariant
	mutation  mutations
	faults    func(w *World)
}{
	{"items of two index versions", judge.OneSnapshot, mutations{wrapEngine: askTwice}, repartition},
	{"missing shards passed off as covered", judge.CoverageTrue, mutations{wrapEngine: answersChanged(missingClaimed)}, replicaLoss},
	{"an item is lost", judge.WholeAnswer, mutations{wrapEngine: dropLastItem}, func(*World) {}},
	{"doubt is denied", judge.NotRunTrue, mutations{wrapEngine: answersChanged(doubtDenied)}, notifyDies},
	{"claims are granted to all", judge.AtMostOnce, mutations{wrapEngine: claimsGranted}, func(*World) {}},
	{"departures are not heard of", judge.NoWorkToLeaver, mutations{wrapEngine: departuresUnheard, wrapHealth: alwaysReady}, replicaLoss},
	{"a stop does not wait", judge.StopCutsNothing, mutations{onStop: (*router).exit}, func(w *World) {
		for _, node := range names(usual.routers) {
			w.schedule(Fault{Kind: FaultStop, Node: node, At: 10 * time.Second, For: time.Second})
			w.schedule(Fault{Kind: FaultStop, Node: node, At: 14 * time.Second, For: time.Second})
		}
	}},
	{"a configuration is never replaced", judge.AcceptedInForce, mutations{wrapEngine: configurationsIgnored}, racingOperators},
	{"a lease never ends", judge.AcceptedInForce, mutations{wrapEngine: leasesEndless}, routerCutOff},
}

// runBroken makes one run of broken code.
func runBroken(seed uint64, broken mutations, faults func(w *World)) *Outcome {
	w := newWorld(seed)
	w.mutations = broken
	faults(w)
	return w.run()
}

func TestEveryBrokenInvariantIsCaught(t *testing.T) {
	const seeds = 6
	caught := map[judge.Invariant]bool{}
	for _, breakage := range breakages {
		t.Run(breakage.name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				sound := runBroken(seed, mutations{}, breakage.faults)
				require.False(t, sound.Failed(), "%v %v", sound.Violations, sound.Failures)
				broken := runBroken(seed, breakage.mutation, breakage.faults)
				if slices.ContainsFunc(broken.Violations, func(violation judge.Violation) bool {
					return violation.Invariant == breakage.invariant
				}) {
					caught[breakage.invariant] = true
					return
				}
			}
			t.Fatalf("the judge does not see it in %d runs", seeds)
		})
	}
	require.Len(t, caught, len(judge.Invariants()))
}

// Promises that are sent before they are synced lose accepted changes when all
// voters die at once.
func TestPromisesBeforeTheSyncAreCaught(t *testing.T) {
	const seeds = 10
	for seed := uint64(1); seed <= seeds; seed++ {
		sound := runBroken(seed, mutations{}, powerCuts)
		require.False(t, sound.Failed(), "%v %v", sound.Violations, sound.Failures)
		if runBroken(seed, mutations{earlyPromises: true}, powerCuts).Failed() {
			return
		}
	}
	t.Fatalf("nothing is lost in %d runs", seeds)
}
