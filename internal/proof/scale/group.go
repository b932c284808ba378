package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/wait"
)

// group is a region's control with its relays and followers, and the operator
// who changes its configuration.
type group struct {
	run       *Run
	region    int
	processes []Process
	operator  *control.Client
	// observer asks while the operator's call is under way.
	observer *control.Client
	text     *Configuration
	machines *machines
	revision uint64

	// watcher, sent and servers are of the phase that runs.
	watcher *watcher
	sent    submitted
	servers int
}

func newGroup(run *Run, region int, connect Connect) *group {
	own := inRegion(run.processes, region)
	voters := lo.Map(withRole(own, RoleControl), func(process Process, _ int) string { return process.Address })
	return &group{
		run: run, region: region, processes: own, operator: connect(voters), observer: connect(voters),
		text: NewConfiguration(regionShape(run.config, region)),
	}
}

// open serves the platform's list of the region's servers, if one is wanted.
func (g *group) open() error {
	addresses := g.run.config.PlatformListen
	if g.region >= len(addresses) {
		return nil
	}
	var err error
	g.machines, err = serveMachines(addresses[g.region], g.text)
	return err
}

func (g *group) close() {
	if g.machines != nil {
		g.machines.close()
	}
}

func (g *group) textBytes() int { return len(g.text.Text()) }

// join submits the first configuration and waits until all followers hold a
// lease under it and control reports it in force.
func (g *group) join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if _, err := g.apply(ctx); err != nil {
		return err
	}
	followers := followersOf(g.processes)
	for {
		state := g.state(ctx)
		if state.Holding >= followers && state.LowestRevision >= g.revision && g.inForce(ctx) >= g.revision {
			return nil
		}
		if !wait.For(ctx, joinPoll) {
			return errors.Newf("%d of %d followers run, %d hold a lease, the lowest under revision %d; revision %d is not in force after %s",
				state.Running, followers, state.Holding, state.LowestRevision, g.revision, joinTimeout)
		}
	}
}

// state sums up what the fleets of the region answer.
func (g *group) state(ctx context.Context) State {
	var sum State
	for _, process := range withRole(g.processes, RoleHollow) {
		var state State
		body, err := g.run.sampler.get(ctx, "http://"+process.Metrics+pathState)
		if err == nil && json.Unmarshal(body, &state) == nil {
			sum = sum.plus(state)
		}
	}
	return sum
}

// inForce returns the highest revision that a voter reports in force.
func (g *group) inForce(ctx context.Context) uint64 {
	highest := 0.0
	for _, process := range withRole(g.processes, RoleControl) {
		if g.run.dead.has(process) {
			continue
		}
		if values, err := g.run.sampler.metrics(ctx, process); err == nil {
			highest = max(highest, values["martenstage_revision_in_force"])
		}
	}
	return uint64(highest)
}

// apply submits the present text and returns when it was accepted.
func (g *group) apply(ctx context.Context) (Accepted, error) {
	response, err := g.operator.Apply(ctx, &v1.ApplyRequest{
		ChangeId:         fmt.Sprintf("scale-%d-%d-%d", g.run.started.UnixNano(), g.region, g.revision),
		ExpectedRevision: g.revision, Text: g.text.Text(), Author: author,
	})
	if err != nil {
		return Accepted{}, err
	}
	if response.GetResult() != v1.ApplyResult_APPLY_RESULT_ACCEPTED {
		return Accepted{}, errors.Newf("change refused: %s", response.GetDetail())
	}
	g.revision = response.GetRevision()
	return Accepted{Revision: g.revision, At: time.Now()}, nil
}

// settle waits until the last revision is reported in force.
func (g *group) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for g.inForce(ctx) < g.revision && wait.For(ctx, joinPoll) {
		continue
	}
}

// restartMachines restarts servers in the platform's list until the context
// ends.
func (g *group) restartMachines(ctx context.Context, speed int64) {
	g.servers = 0
	if g.machines == nil {
		return
	}
	before := g.machines.restarted
	g.machines.run(ctx, restartsPerSecond(speed)/float64(len(g.run.groups)))
	g.servers = g.machines.restarted - before
}

// reports asks the fleets of the region when revisions were installed.
func (g *group) reports(ctx context.Context, since time.Time) ([]Report, error) {
	var reports []Report
	for _, process := range withRole(g.processes, RoleHollow) {
		var report Report
		request := ReportRequest{Accepted: g.sent.accepted, Since: since}
		if err := g.run.sampler.post(ctx, "http://"+process.Metrics+pathReport, request, &report); err != nil {
			return reports, errors.Wrapf(err, "report of %s", process.Name)
		}
		reports = append(reports, report)
	}
	return reports, nil
}
