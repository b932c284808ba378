package simulation

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/proof/judge"
)

// Config selects the runs.
type Config struct {
	// Seed of the first run; each further one takes the next number.
	Seed uint64
	Runs int
	Choice
	// Trace receives what happens, a line each; nil for nothing.
	Trace io.Writer
	// Parallel is how many runs go on at once; the result does not depend on
	// it.
	Parallel int
}

// Result sums up runs.
type Result struct {
	Runs           int     `json:"runs"`
	Violations     int     `json:"violations"`
	Digest         string  `json:"digest"`
	Requests       int     `json:"requests"`
	Faults         int     `json:"faults"`
	ConfigChanges  int     `json:"config_changes"`
	LeaderChanges  int     `json:"leader_changes"`
	VirtualSeconds float64 `json:"virtual_seconds"`
	WallSeconds    float64 `json:"wall_seconds"`
	// Failed lists the seeds with violations, the first ones.
	Failed []FailedRun `json:"failed,omitempty"`
}

// FailedRun is a run with violations.
type FailedRun struct {
	Seed       uint64            `json:"seed"`
	Violations []judge.Violation `json:"violations,omitempty"`
	Failures   []Failure         `json:"failures,omitempty"`
	// Replay is the command that repeats the run with its whole trace.
	Replay string `json:"replay"`
	// Trace is what happened to the fleet and to the requests concerned; only
	// the first failed run has it.
	Trace string `json:"-"`
}

// Outcome is what came of one run.
type Outcome struct {
	Seed       uint64
	Digest     uint64
	Violations []judge.Violation
	Failures   []Failure
	counts     counts
}

// counts say how much happened in a run. An outcome holds them in place of the
// world, which would keep megabytes of memory for each run.
type counts struct {
	requests, faults, configChanges, leaderChanges int
	virtual                                        time.Duration
}

// Failed reports whether anything went wrong.
func (o *Outcome) Failed() bool { return len(o.Violations) > 0 || len(o.Failures) > 0 }

// maxFailed bounds the failed runs that are listed.
const maxFailed = 10

// Run makes the runs. An error means that the world or scenario is not known.
func Run(config Config) (Result, error) {
	if _, _, err := config.resolve(); err != nil {
		return Result{}, err
	}
	began := time.Now()
	outcomes := make([]*Outcome, config.Runs)
	next := make(chan int)
	var workers sync.WaitGroup
	for range max(config.Parallel, 1) {
		workers.Go(func() {
			for index := range next {
				outcome, err := RunSeed(config.Choice, config.Seed+uint64(index), config.Trace)
				if err == nil {
					outcomes[index] = outcome
				}
			}
		})
	}
	for index := range config.Runs {
		next <- index
	}
	close(next)
	workers.Wait()
	result := sum(outcomes, config.Choice)
	result.WallSeconds = time.Since(began).Seconds()
	if len(result.Failed) > 0 && config.Trace == nil {
		result.Failed[0].Trace = traceOf(&result.Failed[0], config.Choice)
	}
	return result, nil
}

// traceOf repeats a failed run and returns the lines of its trace that are
// about the fleet, or about the requests that were violated.
func traceOf(failed *FailedRun, choice Choice) string {
	concerned := map[string]bool{}
	for _, violation := range failed.Violations {
		concerned[violation.Request] = true
	}
	var lines strings.Builder
	if _, err := runTraced(choice, failed.Seed, &lines, func(subject string) bool { return concerned[subject] }); err != nil {
		return err.Error()
	}
	return lines.String()
}

func sum(outcomes []*Outcome, choice Choice) Result {
	result := Result{Runs: len(outcomes)}
	digest := xxhash.New()
	for _, outcome := range outcomes {
		fmt.Fprintf(digest, "%d %x\n", outcome.Seed, outcome.Digest)
		result.Requests += outcome.counts.requests
		result.Faults += outcome.counts.faults
		result.ConfigChanges += outcome.counts.configChanges
		result.LeaderChanges += outcome.counts.leaderChanges
		result.VirtualSeconds += outcome.counts.virtual.Seconds()
		result.Violations += len(outcome.Violations) + len(outcome.Failures)
		if outcome.Failed() && len(result.Failed) < maxFailed {
			result.Failed = append(result.Failed, FailedRun{
				Seed: outcome.Seed, Violations: outcome.Violations, Failures: outcome.Failures,
				Replay: Replay(outcome.Seed, choice),
			})
		}
	}
	result.Digest = fmt.Sprintf("%016x", digest.Sum64())
	return result
}

// Replay returns the command that repeats a run with its trace.
func Replay(seed uint64, choice Choice) string {
	return fmt.Sprintf("martenbench simulate --seed %d --runs 1%s --scenario %s --trace=-",
		seed, lo.Ternary(choice.worldName() == defaultWorld, "", " --world "+choice.World), lo.CoalesceOrEmpty(choice.Scenario, defaultScenario))
}

// RunSeed makes one run of a scenario and traces it, but for the messages among
// voters, to output if that is not nil.
func RunSeed(choice Choice, seed uint64, output io.Writer) (*Outcome, error) {
	return runTraced(choice, seed, output, func(subject string) bool { return subject != subjectRaft })
}

func runTraced(choice Choice, seed uint64, output io.Writer, wanted func(subject string) bool) (*Outcome, error) {
	kind, chosen, err := choice.resolve()
	if err != nil {
		return nil, err
	}
	worlds := kind.make(seed)
	worlds[0].trace.output, worlds[0].trace.wanted = output, wanted
	for _, w := range worlds {
		chosen(w)
	}
	return runAll(worlds...), nil
}

// runSchedule makes one run of a world under a schedule of faults.
func runSchedule(w *World, faults []Fault) *Outcome {
	for _, fault := range faults {
		w.schedule(fault)
	}
	return w.run()
}

func (w *World) run() *Outcome { return runAll(w) }

// runAll runs worlds that share their time and network to the end.
func runAll(worlds ...*World) *Outcome {
	queue, last := worlds[0].queue, worlds[0]
	each := func(do func(*World)) {
		for _, w := range worlds {
			do(w)
		}
	}
	worlds[0].scheduleCut()
	each((*World).start)
	queue.RunUntil(last.layout.faultsEnd + calm)
	each((*World).checkCalm)
	queue.RunUntil(last.horizon)
	each((*World).checkEnd)
	outcome := &Outcome{Seed: last.seed, Digest: last.trace.digest.Sum64()}
	each(func(w *World) {
		outcome.Violations = append(outcome.Violations, w.judge.Violations()...)
		outcome.Failures = append(outcome.Failures, w.failures...)
		outcome.counts.add(w)
	})
	return outcome
}

func (c *counts) add(w *World) {
	c.requests += w.requests
	c.faults += w.faults
	c.configChanges += w.configChanges
	c.leaderChanges += w.leaderChanges
	c.virtual = w.queue.Now()
}

// checkCalm begins the check that the fleet works again.
func (w *World) checkCalm() {
	w.queue.After(0, func() { w.operators[1].submit(w.layout.variant(0)) })
	clear(w.completed)
	for _, a := range w.areas {
		for index, route := range traffic {
			w.queue.After(time.Duration(index)*time.Second, func() {
				w.newRequest(a, a.callers, a.route(route))
				if len(w.visitors) > 0 {
					w.newRequest(a, w.visitors, a.route(route))
				}
			})
		}
	}
}

func (w *World) checkEnd() {
	w.checkRecovered()
	w.checkAccepted()
	w.checkJournal()
	w.checkIsolation()
}

// checkRecovered fails when, long after the last fault, something does not work.
func (w *World) checkRecovered() {
	for _, a := range w.areas {
		for _, route := range []string{routeQuick, routeSweep, routeLookup, routeSend} {
			if w.completed[a.route(route)] == 0 {
				w.fail("recovery", "no whole answer on route %s in the last %v", a.route(route), checkFor)
			}
		}
	}
	for _, r := range w.routers {
		if !r.running || !r.follow.holder.Valid(r.now()) {
			w.fail("recovery", "%s has no lease at the end", r.name())
		}
	}
	since := w.layout.faultsEnd + calm
	if lo.EveryBy(w.operators, func(o *operator) bool { return o.lastDone < since }) {
		w.fail("recovery", "no change was accepted in the last %v", checkFor)
	}
	if w.inForce == 0 {
		w.fail("recovery", "no revision was ever said to be in force")
	}
}

// checkAccepted compares what operators were told with what the voters hold.
func (w *World) checkAccepted() {
	for _, v := range w.voters {
		if !v.running || v.failed || v.applied < w.raft.commit {
			continue
		}
		for _, o := range w.operators {
			for _, change := range sortedKeys(o.accepted) {
				number := o.accepted[change]
				if held, kept := v.machine.Revision(number); !kept || held.ChangeID != change {
					w.fail("accepted_lost", "%s does not hold change %s as revision %d", v.name(), change, number)
				}
			}
		}
	}
}

// checkJournal fails when an event that was recorded well before the end is in
// no journal.
func (w *World) checkJournal() {
	leader := lo.MaxBy(w.voters, func(left, right *voter) bool { return left.applied > right.applied })
	known := map[string]bool{}
	named := map[string]bool{}
	for _, event := range leader.machine.Events(everyEvent) {
		known[event.GetId()] = true
		for _, word := range w.expected {
			told := event.GetKind() != string(journal.KindRestarted) && (event.GetAddress() == word || event.GetDetail() == word)
			named[word] = named[word] || told
		}
	}
	for _, word := range w.expected {
		if !named[word] {
			w.fail("journal", "no event tells that %s failed", word)
		}
	}
	for _, event := range w.journaled {
		if !known[event.ID] && event.Time.Before(wallAt(w.layout.faultsEnd+calm)) {
			w.fail("journal", "event %s (%s %s) is not in the journal", event.ID, event.Kind, event.Detail)
		}
	}
}

// Print writes the result for people, and as one line of JSON at the end.
func (r Result) Print(output io.Writer, asJSON bool) error {
	for _, failed := range r.Failed {
		fmt.Fprintf(output, "seed %d\n", failed.Seed)
		for _, violation := range failed.Violations {
			fmt.Fprintf(output, "  %s\n", violation)
		}
		for _, failure := range failed.Failures {
			fmt.Fprintf(output, "  %s: %s\n", failure.Property, failure.Detail)
		}
		fmt.Fprintf(output, "%s  replay: %s\n", failed.Trace, failed.Replay)
	}
	if asJSON {
		r.Failed = nil
		return errors.Wrap(json.NewEncoder(output).Encode(r), "standard output")
	}
	_, err := fmt.Fprintf(output, "runs=%d violations=%d digest=%s requests=%d faults=%d config_changes=%d leader_changes=%d virtual_seconds=%.0f wall_seconds=%.1f\n",
		r.Runs, r.Violations, r.Digest, r.Requests, r.Faults, r.ConfigChanges, r.LeaderChanges, r.VirtualSeconds, r.WallSeconds)
	return errors.Wrap(err, "standard output")
}
