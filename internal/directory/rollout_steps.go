package directory

import (
	"context"
	"time"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/rollout"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// rolloutInterval is how often the leader looks at the roll-outs that run.
const rolloutInterval = 100 * time.Millisecond

// RolloutReport is what a router observed since its start of the roll-outs that run. Each
// report holds the sums, so that one that is lost costs nothing.
type RolloutReport struct {
	Router string `json:"router"`
	// Start tells starts of one router apart.
	Start string `json:"start"`
	// Revision is that of the rules that the router goes by.
	Revision uint64                   `json:"revision"`
	Services map[string]ServiceReport `json:"services"`
}

// ServiceReport is what a router observed of one roll-out.
type ServiceReport struct {
	Number   uint64           `json:"number"`
	Evidence rollout.Evidence `json:"evidence"`
	// Old are attempts that are out at servers of other versions than the new one.
	Old int `json:"old"`
}

// maxReports bounds the starts of routers whose reports are kept.
const maxReports = 20_000

// reportBook holds the last report of each start of a router; its owner guards it.
type reportBook map[string]RolloutReport

func (b reportBook) take(report RolloutReport) {
	if _, known := b[report.Start]; !known && len(b) >= maxReports {
		clear(b)
	}
	b[report.Start] = report
}

// sum returns what all routers observed of one roll-out.
func (b reportBook) sum(service string, number uint64) rollout.Evidence {
	whole := rollout.Evidence{}
	for _, report := range b {
		if told := report.Services[service]; told.Number == number {
			whole.Add(told.Evidence)
		}
	}
	return whole
}

// quiet reports whether all of some routers go by a revision and have nothing out at the old
// servers of a service.
func (b reportBook) quiet(routers []sharedRouter, revision uint64, service string) bool {
	latest := make(map[string]RolloutReport)
	for _, report := range b {
		if report.Revision >= latest[report.Router].Revision {
			latest[report.Router] = report
		}
	}
	for _, router := range routers {
		report, told := latest[router.Name]
		if !told || report.Revision < revision || report.Services[service].Old > 0 {
			return false
		}
	}
	return true
}

// ReportRollouts takes what a router observed.
func (n *Node) ReportRollouts(ctx context.Context, report RolloutReport) (struct{}, error) {
	return struct{}{}, n.atLeader(ctx, func(ctx context.Context) error {
		_, err := n.reportHere(ctx, report)
		return err
	}, pathRolloutReport, report, nil)
}

func (n *Node) reportHere(_ context.Context, report RolloutReport) (struct{}, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reports.take(report)
	return struct{}{}, nil
}

// progress is since when a roll-out runs and is in its phase, by the leader's steady clock.
type progress struct {
	began, entered time.Time
	phase          rollout.Phase
}

// runRollouts takes the next step of each roll-out that runs, while this node leads.
func (n *Node) runRollouts(ctx context.Context) {
	known := make(map[uint64]progress)
	every(ctx, rolloutInterval, func() {
		if n.status().Role != consensus.Leader {
			clear(known)
			return
		}
		held, revision := n.member.state().rollouts()
		for _, one := range held {
			if one.Phase.Running() {
				n.stepRollout(ctx, one, revision, known)
			}
		}
	})
}

// stepRollout takes the next step of one roll-out, if it is time for one.
func (n *Node) stepRollout(ctx context.Context, one Rollout, revision uint64, known map[uint64]progress) {
	now := steadyclock.Now()
	at, seen := known[one.Number]
	if !seen {
		// Another leader began it.
		passed := time.Since(one.Ordered) // The wall clock: nothing else tells how long ago by another machine's.
		at.began = now.Add(-min(one.Duration, max(0, passed)))
	}
	if at.phase != one.Phase {
		at.phase, at.entered = one.Phase, now
	}
	known[one.Number] = at
	n.mutex.Lock()
	situation := rollout.Situation{
		Phase: one.Phase, Elapsed: now.Sub(at.began), Inside: now.Sub(at.entered), Duration: one.Duration,
		Evidence: n.reports.sum(one.Service, one.Number),
		Quiet:    n.reports.quiet(n.routers.within(now, routerLiveness), revision, one.Service),
	}
	n.mutex.Unlock()
	next := rollout.Decide(situation)
	if next.Phase == "" {
		return
	}
	step := rolloutCommand{Rollout: one, From: one.Phase}
	step.Phase, step.Why, step.Changed = next.Phase, next.Why, time.Now().UTC() // The wall clock: a person reads it.
	proposing, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if _, err := n.propose(proposing, command{Rollouts: []rolloutCommand{step}}); err != nil {
		n.logger.WithField("service", one.Service).WithField("phase", next.Phase).WithField("reason", err).Warn("rollout_step_not_taken")
	}
}
