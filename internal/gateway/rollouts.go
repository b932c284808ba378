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

// Times of reporting observations of rollouts.
const (
	// rolloutReportInterval is how often observations are reported while a rollout runs. A bad
	// version gets requests for that much longer.
	rolloutReportInterval = 250 * time.Millisecond
	rolloutTimeout        = 400 * time.Millisecond
)

// rolloutMonitor holds this router's observations of the running rollouts. It is safe for
// concurrent use.
type rolloutMonitor struct {
	mutex    sync.Mutex
	revision uint64
	rollouts map[string]directory.RolloutRule
	evidence map[string]rollout.Evidence
}

func newRolloutMonitor() *rolloutMonitor {
	return &rolloutMonitor{rollouts: make(map[string]directory.RolloutRule), evidence: make(map[string]rollout.Evidence)}
}

// update applies the state of all rollouts, and returns the rules for routing to their
// services.
func (m *rolloutMonitor) update(revision uint64, published map[string]directory.RolloutRule) map[string]rollout.Rule {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	maps.DeleteFunc(m.evidence, func(service string, _ rollout.Evidence) bool {
		return published[service].Number != m.rollouts[service].Number || !published[service].Phase.Running()
	})
	m.revision, m.rollouts = revision, published
	return lo.MapValues(published, func(of directory.RolloutRule, _ string) rollout.Rule { return of.Rule })
}

// observe records how an attempt ended.
func (m *rolloutMonitor) observe(observed scatter.RolloutOutcome) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.rollouts[observed.Service].Phase.Running() {
		return
	}
	if m.evidence[observed.Service] == nil {
		m.evidence[observed.Service] = rollout.Evidence{}
	}
	m.evidence[observed.Service].Observe(observed.Route, observed.New, observed.Failed, observed.Duration)
}

// running returns the target versions of the running rollouts, by service.
func (m *rolloutMonitor) running() map[string]string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	targets := make(map[string]string)
	for service, state := range m.rollouts {
		if state.Phase.Running() {
			targets[service] = state.Target
		}
	}
	return targets
}

// report returns the report to send, given the attempts in flight at servers of old versions.
func (m *rolloutMonitor) report(old map[string]int) directory.RolloutReport {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	report := directory.RolloutReport{Revision: m.revision, Services: make(map[string]directory.ServiceReport, len(old))}
	for service, count := range old {
		sums := rollout.Evidence{}
		sums.Add(m.evidence[service])
		report.Services[service] = directory.ServiceReport{Number: m.rollouts[service].Number, Evidence: sums, OldInFlight: count}
	}
	return report
}

// reportRollouts reports observations of the running rollouts to the directory, until the
// context ends.
func (f *follower) reportRollouts(ctx context.Context) {
	incarnation := f.gateway.config.Name + "/" + time.Now().Format(time.RFC3339Nano) // wall clock time, used only to distinguish starts.
	ticker := time.NewTicker(rolloutReportInterval)
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
		report := f.gateway.rollouts.report(f.gateway.loop.countOtherVersions(ctx, targets))
		report.Router, report.Start = f.gateway.config.Name, incarnation
		if err := f.callAnyNode(ctx, directory.PathRollouts, report, rolloutTimeout, nil); err != nil {
			f.gateway.logger.WithField("services", len(targets)).WithField("reason", err).Info("rollouts_not_told")
		}
	}
}

// applyRollouts applies which servers may be called of services with a rollout.
func (f *follower) applyRollouts(reply directory.FollowReply) {
	if reply.RolloutRevision <= f.request.RolloutRevision {
		return
	}
	f.request.RolloutRevision = reply.RolloutRevision
	rules := f.gateway.rollouts.update(reply.RolloutRevision, reply.Rollouts)
	f.gateway.loop.events <- scatter.RolloutsChanged{Rules: rules}
	for service, rule := range rules {
		if rule.Phase.Running() || len(rules) <= maxLoggedItems {
			f.gateway.logger.WithField("service", service).WithField("target", rule.Target).WithField("phase", rule.Phase).
				WithField("share", rule.Share).WithField("revision", reply.RolloutRevision).Info("rollout_changed")
		}
	}
}

// countRequest asks the engine's goroutine for the number of attempts in flight at servers of
// other versions than the target version, by service.
type countRequest struct {
	targets map[string]string
	counts  chan<- map[string]int
}

// countOtherVersions returns, by service, the number of attempts in flight at servers of other
// versions than the target version.
func (l *loop) countOtherVersions(ctx context.Context, targets map[string]string) map[string]int {
	counts := make(chan map[string]int, 1)
	select {
	case l.countRequests <- countRequest{targets: targets, counts: counts}:
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

func (l *loop) count(request countRequest) {
	request.counts <- lo.MapValues(request.targets, func(target, service string) int {
		return l.engine.InFlightExcept(service, target)
	})
}
