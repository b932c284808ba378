package directory

import (
	"context"
	"time"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/rollout"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// rolloutInterval is how often the leader checks the running rollouts.
const rolloutInterval = 100 * time.Millisecond

// RolloutReport is what a router has observed of the running rollouts since its start. Each
// report is cumulative, so that a lost one does not matter.
type RolloutReport struct {
	Router string `json:"router"`
	// Start distinguishes the starts of one router.
	Start string `json:"start"`
	// Revision is that of the rules that the router applies.
	Revision uint64                   `json:"revision"`
	Services map[string]ServiceReport `json:"services"`
}

// ServiceReport is what a router observed of one rollout.
type ServiceReport struct {
	Number   uint64           `json:"number"`
	Evidence rollout.Evidence `json:"evidence"`
	// OldInFlight is the number of attempts in flight at servers of versions other than the new one.
	OldInFlight int `json:"old"`
}

// maxReports bounds the router starts whose reports are kept.
const maxReports = 20_000

// reportTable holds the last report of each start of a router; its owner synchronizes access.
type reportTable map[string]RolloutReport

func (t reportTable) record(report RolloutReport) {
	if _, known := t[report.Start]; !known && len(t) >= maxReports {
		clear(t)
	}
	t[report.Start] = report
}

// sum returns the observations of all routers for one rollout.
func (t reportTable) sum(service string, number uint64) rollout.Evidence {
	total := rollout.Evidence{}
	for _, report := range t {
		if observed := report.Services[service]; observed.Number == number {
			total.Add(observed.Evidence)
		}
	}
	return total
}

// drained reports whether all of the given routers apply a revision and have nothing in flight
// at the old servers of a service.
func (t reportTable) drained(routers []sharedRouter, revision uint64, service string) bool {
	latest := make(map[string]RolloutReport)
	for _, report := range t {
		if report.Revision >= latest[report.Router].Revision {
			latest[report.Router] = report
		}
	}
	for _, router := range routers {
		report, known := latest[router.Name]
		if !known || report.Revision < revision || report.Services[service].OldInFlight > 0 {
			return false
		}
	}
	return true
}

// ReportRollouts records the observations of a router.
func (n *Node) ReportRollouts(ctx context.Context, report RolloutReport) (struct{}, error) {
	return struct{}{}, n.onLeader(ctx, func(ctx context.Context) error {
		_, err := n.reportRolloutsAsLeader(ctx, report)
		return err
	}, pathRolloutReport, report, nil)
}

func (n *Node) reportRolloutsAsLeader(_ context.Context, report RolloutReport) (struct{}, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.rolloutReports.record(report)
	return struct{}{}, nil
}

// progress is when a rollout and its current phase began, by the leader's steady clock.
type progress struct {
	startedAt, phaseEnteredAt time.Time
	phase                     rollout.Phase
}

// runRollouts advances the running rollouts while this node leads.
func (n *Node) runRollouts(ctx context.Context) {
	progressByNumber := make(map[uint64]progress)
	runEvery(ctx, rolloutInterval, func() {
		if n.status().Role != consensus.Leader {
			clear(progressByNumber)
			return
		}
		rollouts, revision := n.member.state().rollouts()
		for _, current := range rollouts {
			if current.Phase.Running() {
				n.stepRollout(ctx, current, revision, progressByNumber)
			}
		}
	})
}

// stepRollout takes the next step of one rollout, if it is due.
func (n *Node) stepRollout(ctx context.Context, current Rollout, revision uint64, progressByNumber map[uint64]progress) {
	now := steadyclock.Now()
	tracked, exists := progressByNumber[current.Number]
	if !exists {
		// It was started under another leader.
		elapsed := time.Since(current.Ordered) // wall clock: only it is comparable with the other node's timestamp.
		tracked.startedAt = now.Add(-min(current.Duration, max(0, elapsed)))
	}
	if tracked.phase != current.Phase {
		tracked.phase, tracked.phaseEnteredAt = current.Phase, now
	}
	progressByNumber[current.Number] = tracked
	n.mutex.Lock()
	situation := rollout.Situation{
		Phase: current.Phase, Elapsed: now.Sub(tracked.startedAt), InPhase: now.Sub(tracked.phaseEnteredAt), Duration: current.Duration,
		Evidence: n.rolloutReports.sum(current.Service, current.Number),
		Drained:  n.rolloutReports.drained(n.routers.activeWithin(now, routerLiveness), revision, current.Service),
	}
	n.mutex.Unlock()
	next := rollout.Decide(situation)
	if next.Phase == "" {
		return
	}
	step := rolloutCommand{Rollout: current, From: current.Phase}
	step.Phase, step.Reason, step.Changed = next.Phase, next.Reason, time.Now().UTC() // wall clock, since operators read it.
	proposeCtx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if _, err := n.propose(proposeCtx, command{Rollouts: []rolloutCommand{step}}); err != nil {
		n.logger.WithField("service", current.Service).WithField("phase", next.Phase).WithField("reason", err).Warn("rollout_step_not_taken")
	}
}
