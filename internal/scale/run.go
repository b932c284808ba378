package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/wait"
)

// changesPerDay is the target's rate of configuration changes.
const changesPerDay = 37000

const (
	joinTimeout   = 100 * time.Second
	joinPoll      = 500 * time.Millisecond
	settleTimeout = 30 * time.Second
	// inForcePoll is the grain of the times at which control reports a
	// revision in force.
	inForcePoll = 50 * time.Millisecond
	author      = "scale"
)

// RunConfig describes a run.
type RunConfig struct {
	Servers int
	Zones   int
	// Speeds are the factors over the stated rates, one phase for each.
	Speeds []int64
	// Duration of each phase.
	Duration time.Duration
	// CellRouters is how many routers connect to the servers of a service.
	CellRouters int
	// PlatformListen is where the platform's list is served; empty for none.
	PlatformListen string
	// Faults are phases after those of Speeds.
	Faults []Fault
	// Settle is the pause before the first phase.
	Settle time.Duration
}

// Run drives changes into running processes and measures them.
type Run struct {
	config    RunConfig
	processes []Process
	client    *control.Client
	logger    logrus.FieldLogger
	sampler   *sampler
	text      *Configuration
	machines  *machines
	dead      map[string]bool
	revision  uint64
	started   time.Time
}

// NewRun returns a run over processes that are up; the client is of their
// control.
func NewRun(config RunConfig, processes []Process, client *control.Client, logger logrus.FieldLogger) *Run {
	return &Run{
		config: config, processes: processes, client: client, logger: logger,
		sampler: newSampler(), text: NewConfiguration(config.Servers, config.Zones, config.CellRouters),
		dead: make(map[string]bool),
	}
}

// Do runs all phases. With an error it returns the phases that ended before.
func (r *Run) Do(ctx context.Context) (Result, error) {
	r.started = time.Now()
	if r.config.PlatformListen != "" {
		var err error
		if r.machines, err = serveMachines(r.config.PlatformListen, r.text); err != nil {
			return Result{}, err
		}
		defer r.machines.close()
	}
	result := Result{
		Routers: lo.SumBy(r.processes, func(process Process) int { return process.Followers }),
		Servers: r.config.Servers, Relays: len(r.withRole(RoleRelay)), StartedAt: r.started.UTC(),
		TextBytes: len(r.text.Text()), LoadBefore: machineLoad(),
	}
	if err := r.join(ctx, result.Routers); err != nil {
		return result, err
	}
	result.JoinSeconds = time.Since(r.started).Seconds()
	r.logger.WithFields(logrus.Fields{"followers": result.Routers, "seconds": result.JoinSeconds}).Info("all followers hold a lease")
	wait.For(ctx, r.config.Settle)
	if err := r.phases(ctx, &result); err != nil {
		return result, err
	}
	if len(result.Phases) > 0 {
		result.Phase = result.Phases[0]
	}
	result.LoadAfter = machineLoad()
	return result, nil
}

// phases runs those of all speeds, then those of all faults.
func (r *Run) phases(ctx context.Context, result *Result) error {
	var planned []Phase
	for _, speed := range r.config.Speeds {
		planned = append(planned, Phase{Speed: speed})
	}
	for _, fault := range r.config.Faults {
		planned = append(planned, Phase{Speed: 1, Fault: fault})
	}
	for _, phase := range planned {
		if err := r.phase(ctx, &phase); err != nil {
			return errors.Wrapf(err, "phase of speed %d %s", phase.Speed, phase.Fault)
		}
		result.Phases = append(result.Phases, phase)
		r.logger.WithFields(logrus.Fields{"speed": phase.Speed, "fault": phase.Fault, "accepted": phase.Accepted}).Info("phase ended")
	}
	return nil
}

func machineLoad() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return loadAverage(string(text))
}

func (r *Run) withRole(role Role) []Process {
	return lo.Filter(r.processes, func(process Process, _ int) bool { return process.Role == role })
}

// join submits the first configuration and waits until all followers hold a
// lease under it and control reports it in force.
func (r *Run) join(ctx context.Context, followers int) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if _, err := r.apply(ctx); err != nil {
		return err
	}
	var held, running int
	for {
		held, running = 0, 0
		for _, process := range r.withRole(RoleHollow) {
			var state State
			if body, err := r.sampler.get(ctx, "http://"+process.Metrics+pathState); err == nil && json.Unmarshal(body, &state) == nil {
				running += state.Running
				if state.LowestRevision >= r.revision {
					held += state.Holding
				}
			}
		}
		if held >= followers && r.inForce(ctx) >= r.revision {
			return nil
		}
		if !wait.For(ctx, joinPoll) {
			return errors.Newf("%d of %d followers run, %d hold a lease under revision %d, which is not in force after %s",
				running, followers, held, r.revision, joinTimeout)
		}
	}
}

// inForce returns the highest revision that a voter reports in force.
func (r *Run) inForce(ctx context.Context) uint64 {
	highest := 0.0
	for _, process := range r.withRole(RoleControl) {
		if r.dead[process.Name] {
			continue
		}
		if values, err := r.sampler.metrics(ctx, process); err == nil {
			highest = max(highest, values["martenstage_revision_in_force"])
		}
	}
	return uint64(highest)
}

// apply submits the present text and returns when it was accepted.
func (r *Run) apply(ctx context.Context) (Accepted, error) {
	text := r.text.Text()
	response, err := r.client.Apply(ctx, &v1.ApplyRequest{
		ChangeId:         fmt.Sprintf("scale-%d-%d", r.started.UnixNano(), r.revision),
		ExpectedRevision: r.revision, Text: text, Author: author,
	})
	if err != nil {
		return Accepted{}, err
	}
	if response.GetResult() != v1.ApplyResult_APPLY_RESULT_ACCEPTED {
		return Accepted{}, errors.Newf("change refused: %s", response.GetDetail())
	}
	r.revision = response.GetRevision()
	return Accepted{Revision: r.revision, At: time.Now()}, nil
}

// phase runs changes and restarts at one speed, with a fault if it has one.
func (r *Run) phase(ctx context.Context, phase *Phase) error {
	phase.OfferedPerSecond = changesPerDay * float64(phase.Speed) / day.Seconds()
	if err := r.setChurn(ctx, phase.Speed); err != nil {
		return err
	}
	before, begin, err := r.samples(ctx)
	if err != nil {
		return err
	}
	watcher := newWatcher(r)
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watch sync.WaitGroup
	watch.Go(func() { watcher.run(watching) })
	sent, err := r.drive(ctx, phase, watcher)
	if err != nil {
		return err
	}
	after, end, err := r.samples(ctx)
	if err != nil {
		return err
	}
	if err := r.setChurn(ctx, 0); err != nil {
		return err
	}
	r.settle(ctx)
	stopWatching()
	watch.Wait()
	phase.Seconds = end.Sub(begin).Seconds()
	phase.setUsages(r.processes, r.dead, before, after)
	phase.setSubmitted(sent)
	phase.ReportedP50, phase.ReportedMax, phase.Unreported = watcher.delays(sent.accepted)
	reports, err := r.reports(ctx, ReportRequest{Accepted: sent.accepted, Since: begin})
	phase.setReports(sent.accepted, reports)
	return err
}

// drive submits changes for the length of a phase, while servers restart and
// the phase's fault strikes.
func (r *Run) drive(ctx context.Context, phase *Phase, watcher *watcher) (submitted, error) {
	length := r.config.Duration
	if phase.Fault != "" {
		length = phase.Fault.duration()
	}
	bounded, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var beside sync.WaitGroup
	if r.machines != nil {
		restartedBefore := r.machines.restarted
		beside.Go(func() {
			r.machines.run(bounded, phase.Speed)
			phase.Churn.Servers = r.machines.restarted - restartedBefore
		})
	}
	var faultError error
	if phase.Fault != "" {
		beside.Go(func() {
			var recovery Recovery
			recovery, faultError = r.strike(bounded, phase.Fault)
			phase.Recovery = &recovery
		})
	}
	sent, err := r.submit(ctx, length, phase.OfferedPerSecond, watcher)
	beside.Wait()
	return sent, errors.CombineErrors(err, faultError)
}

// submitted is what became of the changes of a phase.
type submitted struct {
	accepted []Accepted
	// took holds the seconds from the first call to acceptance.
	took   []float64
	resent int
}

// submit sends changes at a rate for the duration of a phase. One that takes
// longer than the pause between two delays the next; the accepted rate shows it.
func (r *Run) submit(ctx context.Context, length time.Duration, perSecond float64, watcher *watcher) (submitted, error) {
	var sent submitted
	begin := time.Now()
	if perSecond == 0 {
		wait.For(ctx, length)
		return sent, ctx.Err()
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	for next := begin; time.Since(begin) < length; next = next.Add(interval) {
		if !wait.For(ctx, time.Until(next)) {
			return sent, ctx.Err()
		}
		r.text.Change()
		if err := r.applyUntilAnswered(ctx, &sent); err != nil {
			return sent, err
		}
		watcher.want(r.revision)
		if time.Since(next) > interval {
			next = time.Now() // behind: what was missed is not made up for
		}
	}
	return sent, nil
}

// applyUntilAnswered sends one change again until it is answered. It keeps its
// id, so it takes effect once.
func (r *Run) applyUntilAnswered(ctx context.Context, sent *submitted) error {
	const giveUpAfter, resendPause = 20 * time.Second, 100 * time.Millisecond
	begin := time.Now()
	for {
		one, err := r.apply(ctx)
		if err == nil {
			sent.accepted = append(sent.accepted, one)
			sent.took = append(sent.took, one.At.Sub(begin).Seconds())
			return nil
		}
		if time.Since(begin) > giveUpAfter || !wait.For(ctx, resendPause) {
			return err
		}
		sent.resent++
	}
}

// settle waits until the last revision is reported in force.
func (r *Run) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for r.inForce(ctx) < r.revision && wait.For(ctx, joinPoll) {
		continue
	}
}

func (r *Run) setChurn(ctx context.Context, factor int64) error {
	for _, process := range r.withRole(RoleHollow) {
		var state State
		if err := r.sampler.post(ctx, "http://"+process.Metrics+pathChurn, churnRequest{Factor: factor}, &state); err != nil {
			return errors.Wrapf(err, "restarts of %s", process.Name)
		}
	}
	return nil
}

// samples takes a sample of every process.
func (r *Run) samples(ctx context.Context) ([]sample, time.Time, error) {
	taken := make([]sample, len(r.processes))
	now := time.Now()
	for index, process := range r.processes {
		if r.dead[process.Name] {
			continue
		}
		one, err := r.sampler.take(ctx, process)
		if err != nil {
			return nil, now, err
		}
		taken[index] = one
	}
	return taken, now, nil
}

func (r *Run) reports(ctx context.Context, request ReportRequest) ([]Report, error) {
	var reports []Report
	for _, process := range r.withRole(RoleHollow) {
		var report Report
		if err := r.sampler.post(ctx, "http://"+process.Metrics+pathReport, request, &report); err != nil {
			return reports, errors.Wrapf(err, "report of %s", process.Name)
		}
		reports = append(reports, report)
	}
	return reports, nil
}
