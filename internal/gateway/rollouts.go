package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/rollout"
	"github.com/martenstage/martenstage/internal/scatter"
)

// Times of telling what is observed of roll-outs.
const (
	// rolloutTelling is how often that is told while one runs: a bad version gets requests
	// for that much longer.
	rolloutTelling = 250 * time.Millisecond
	rolloutTimeout = 400 * time.Millisecond
)

// rolloutWatch holds what this router observed of the roll-outs that run. It is safe for
// concurrent use.
type rolloutWatch struct {
	mutex    sync.Mutex
	revision uint64
	told     map[string]directory.RolloutTold
	evidence map[string]rollout.Evidence
}

func newRolloutWatch() *rolloutWatch {
	return &rolloutWatch{told: make(map[string]directory.RolloutTold), evidence: make(map[string]rollout.Evidence)}
}

// take takes the roll-outs in, and returns what routers may send where.
func (w *rolloutWatch) take(revision uint64, told map[string]directory.RolloutTold) map[string]rollout.Rule {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	maps.DeleteFunc(w.evidence, func(service string, _ rollout.Evidence) bool {
		return told[service].Number != w.told[service].Number || !told[service].Phase.Running()
	})
	w.revision, w.told = revision, told
	return lo.MapValues(told, func(of directory.RolloutTold, _ string) rollout.Rule { return of.Rule })
}

// observe takes in how an attempt ended.
func (w *rolloutWatch) observe(observed scatter.Observed) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.told[observed.Service].Phase.Running() {
		return
	}
	if w.evidence[observed.Service] == nil {
		w.evidence[observed.Service] = rollout.Evidence{}
	}
	w.evidence[observed.Service].Observe(observed.Route, observed.New, observed.Bad, observed.Took)
}

// running returns the targets of the roll-outs that run, by service.
func (w *rolloutWatch) running() map[string]string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	targets := make(map[string]string)
	for service, told := range w.told {
		if told.Phase.Running() {
			targets[service] = told.Target
		}
	}
	return targets
}

// report returns what to tell, with the attempts that are out at old servers.
func (w *rolloutWatch) report(old map[string]int) directory.RolloutReport {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	report := directory.RolloutReport{Revision: w.revision, Services: make(map[string]directory.ServiceReport, len(old))}
	for service, count := range old {
		sums := rollout.Evidence{}
		sums.Add(w.evidence[service])
		report.Services[service] = directory.ServiceReport{Number: w.told[service].Number, Evidence: sums, Old: count}
	}
	return report
}

// tellRollouts tells the directory what is observed of the roll-outs that run, until the
// context ends.
func (f *follower) tellRollouts(ctx context.Context) {
	start := f.gateway.config.Name + "/" + time.Now().Format(time.RFC3339Nano) // The wall clock: it only tells starts apart.
	ticker := time.NewTicker(rolloutTelling)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		targets := f.gateway.rollouts.running()
		if len(targets) == 0 {
			continue
		}
		report := f.gateway.rollouts.report(f.gateway.loop.countBeside(ctx, targets))
		report.Router, report.Start = f.gateway.config.Name, start
		if err := f.callEither(ctx, directory.PathRollouts, report, rolloutTimeout, nil); err != nil {
			f.gateway.logger.WithField("services", len(targets)).WithField("reason", err).Info("rollouts_not_told")
		}
	}
}

// takeRollouts takes in which servers of services with a roll-out calls may go to.
func (f *follower) takeRollouts(reply directory.FollowReply) {
	if reply.RolloutRevision <= f.request.Rollouts {
		return
	}
	f.request.Rollouts = reply.RolloutRevision
	rules := f.gateway.rollouts.take(reply.RolloutRevision, reply.Rollouts)
	f.gateway.loop.events <- scatter.RolloutsChanged{Rules: rules}
	for service, rule := range rules {
		if rule.Phase.Running() || len(rules) <= maxNotedTold {
			f.gateway.logger.WithField("service", service).WithField("target", rule.Target).WithField("phase", rule.Phase).
				WithField("share", rule.Share).WithField("revision", reply.RolloutRevision).Info("rollout_changed")
		}
	}
}

// besideCount asks the engine's goroutine for the attempts that are out at servers of services
// that are not of a version.
type besideCount struct {
	targets map[string]string
	counts  chan<- map[string]int
}

// countBeside returns, by service, the attempts that are out beside the target version.
func (l *loop) countBeside(ctx context.Context, targets map[string]string) map[string]int {
	counts := make(chan map[string]int, 1)
	select {
	case l.counting <- besideCount{targets: targets, counts: counts}:
	case <-ctx.Done():
		return nil
	}
	select {
	case counted := <-counts:
		return counted
	case <-ctx.Done():
		return nil
	}
}

func (l *loop) count(asked besideCount) {
	asked.counts <- lo.MapValues(asked.targets, func(target, service string) int {
		return l.engine.InFlightBeside(service, target)
	})
}
