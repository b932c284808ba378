package directory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/rollout"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Rollout is the latest order to move a service to servers of another version, and its
// progress.
type Rollout struct {
	Service string        `json:"service"`
	Target  string        `json:"target"`
	Phase   rollout.Phase `json:"phase"`
	// Reason is the reason of the last step.
	Reason string `json:"why,omitempty"`
	// Number identifies the order.
	Number uint64 `json:"number"`
	// Barred are versions that earlier rollouts of the service rolled back.
	Barred   []string      `json:"barred,omitempty"`
	Duration time.Duration `json:"duration"`
	// By is the address that the order came from; Ordered and Changed are by the clocks of the
	// nodes that received the order and took the last step.
	By      string    `json:"by"`
	Ordered time.Time `json:"ordered"`
	Changed time.Time `json:"changed"`
}

// rolloutCommand is an order, or, with a Number, a step of one.
type rolloutCommand struct {
	Rollout
	// From is the phase that the step leaves.
	From rollout.Phase `json:"from,omitempty"`
}

// RolloutRule is the rule for a service's rollout that routers apply, with the number of the
// rollout.
type RolloutRule struct {
	rollout.Rule
	Number uint64 `json:"number"`
}

// Limits on orders.
const (
	maxRollouts     = 1000
	maxNameBytes    = 200
	longestRollout  = 24 * time.Hour
	shortestRollout = 100 * time.Millisecond
)

// StartRollout orders that a service's requests move to servers of a version within a duration;
// by is the caller's address. Nil means that a quorum has synced the order; repeating it has no
// effect. Other outcomes are *rollout.ConflictError (another rollout of the service is in
// progress), *routing.InvalidError (nothing was changed) and ErrUnavailable (it may be in
// effect).
func (n *Node) StartRollout(ctx context.Context, service, version string, duration time.Duration, by string) error {
	start := steadyclock.Now()
	var reply startReply
	err := checkRollout(service, version, duration)
	if err == nil {
		ordered := time.Now().UTC() // wall clock: operators read it, and another leader measures elapsed time from it.
		order := rolloutCommand{Rollout: Rollout{Service: service, Target: version, Duration: duration, By: by, Ordered: ordered}}
		err = n.onLeader(ctx, func(ctx context.Context) error {
			started, err := n.startRolloutAsLeader(ctx, order)
			reply = started
			return err
		}, pathRolloutStart, order, &reply)
	}
	if err == nil && reply.ConflictingTarget != "" {
		err = &rollout.ConflictError{Service: service, Target: reply.ConflictingTarget}
	}
	n.recordOperation("rollout_started", start, err, logrus.Fields{"service": service, "target": version, "duration": duration, "by": by})
	return err
}

func checkRollout(service, version string, duration time.Duration) error {
	validName := func(name string) bool { return name != "" && len(name) <= maxNameBytes }
	if !validName(service) || !validName(version) || duration < shortestRollout || duration > longestRollout {
		return &routing.InvalidError{Detail: "a roll-out names a service and a version, of 200 bytes at most, and a time of 0.1 s to 24 h"}
	}
	return nil
}

// startReply names the target version of another rollout of the service that is in progress;
// empty for none.
type startReply struct {
	ConflictingTarget string `json:"under_way,omitempty"`
}

// startRolloutAsLeader is StartRollout at the leader.
func (n *Node) startRolloutAsLeader(ctx context.Context, order rolloutCommand) (startReply, error) {
	if !n.mayAcknowledge() {
		return startReply{}, errNotFormed
	}
	result, err := n.propose(ctx, command{Rollouts: []rolloutCommand{order}})
	return startReply{ConflictingTarget: result.ConflictingTarget}, err
}

// Rollout returns the progress of the latest rollout of a service, confirmed by a quorum after
// the call began. It fails with ErrUnavailable.
func (n *Node) Rollout(ctx context.Context, service string) (phase rollout.Phase, target string, known bool, err error) {
	list, err := n.rolloutsFromLeader(ctx)
	found, known := lo.Find(list.Rollouts, func(listed Rollout) bool { return listed.Service == service })
	return found.Phase, found.Target, known && err == nil, err
}

// rolloutsFromLeader returns the rollouts known to the leader, confirmed by a quorum.
func (n *Node) rolloutsFromLeader(ctx context.Context) (RolloutList, error) {
	var list RolloutList
	err := n.onLeader(ctx, func(ctx context.Context) error {
		confirmed, err := n.confirmedRollouts(ctx, struct{}{})
		list = confirmed
		return err
	}, pathRolloutRead, struct{}{}, &list)
	return list, err
}

func (n *Node) confirmedRollouts(ctx context.Context, _ struct{}) (RolloutList, error) {
	if err := n.confirm(ctx); err != nil {
		return RolloutList{}, err
	}
	return n.Rollouts(), nil
}

// RolloutList is the list of rollouts known to a node.
type RolloutList struct {
	Revision uint64    `json:"revision"`
	Rollouts []Rollout `json:"rollouts"`
	// Evidence is what routers reported of the running rollouts, at the leader, by service.
	Evidence map[string]rollout.Evidence `json:"evidence,omitempty"`
}

// Rollouts returns the rollouts known to this node.
func (n *Node) Rollouts() RolloutList {
	rollouts, revision := n.member.state().rollouts()
	list := RolloutList{Revision: revision, Rollouts: rollouts, Evidence: make(map[string]rollout.Evidence)}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, current := range rollouts {
		if current.Phase.Running() {
			list.Evidence[current.Service] = n.rolloutReports.sum(current.Service, current.Number)
		}
	}
	return list
}

// ListRollouts queries the node at a peer address for the rollouts that it knows.
func ListRollouts(ctx context.Context, address string) (RolloutList, error) {
	var list RolloutList
	err := newPeerClient().call(ctx, address, pathRolloutList, struct{}{}, &list)
	return list, err
}

// applyRollout applies an order or a step, and returns the target version of another rollout of
// the service that is in progress. The caller holds the mutex.
func (m *stateMachine) applyRollout(change rolloutCommand) (conflictingTarget string) {
	index, exists := slices.BinarySearchFunc(m.state.Rollouts, change.Service, func(existing Rollout, service string) int {
		return cmp.Compare(existing.Service, service)
	})
	if change.Number != 0 {
		m.applyRolloutStep(index, exists, change)
		return ""
	}
	if exists {
		switch existing := m.state.Rollouts[index]; {
		case existing.Target == change.Target:
			return "" // The order is repeated.
		case existing.Phase.Running():
			return existing.Target
		}
	} else if len(m.state.Rollouts) >= maxRollouts {
		return "too many services"
	}
	m.state.RolloutRevision++
	started := change.Rollout
	started.Phase, started.Number, started.Changed = rollout.Canary, m.state.RolloutRevision, change.Ordered
	// Copy on write: readers may hold the former slice.
	rollouts := slices.Clone(m.state.Rollouts)
	if exists {
		started.Barred = barredBy(rollouts[index], started.Target)
		rollouts[index] = started
	} else {
		rollouts = slices.Insert(rollouts, index, started)
	}
	m.state.Rollouts = rollouts
	return ""
}

// maxBarred bounds the barred versions of a service; the oldest ones, whose servers have long
// been removed, are dropped.
const maxBarred = 16

// barredBy returns the versions that get no requests in the rollout to a target that follows a
// former rollout.
func barredBy(former Rollout, target string) []string {
	barred := slices.Clone(former.Barred)
	if former.Phase == rollout.RolledBack {
		barred = append(barred, former.Target)
	}
	barred = lo.Without(barred, target)
	return barred[max(0, len(barred)-maxBarred):]
}

func (m *stateMachine) applyRolloutStep(index int, exists bool, step rolloutCommand) {
	if !exists || m.state.Rollouts[index].Number != step.Number || m.state.Rollouts[index].Phase != step.From {
		return
	}
	m.state.RolloutRevision++
	rollouts := slices.Clone(m.state.Rollouts)
	rollouts[index].Phase, rollouts[index].Reason, rollouts[index].Changed = step.Phase, step.Reason, step.Changed
	m.state.Rollouts = rollouts
}

// rollouts returns the latest rollout of each service, and the revision of that list.
func (m *stateMachine) rollouts() ([]Rollout, uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Rollouts, m.state.RolloutRevision
}

// rolloutUpdate returns the rollout rules if their revision is above the one that a router
// holds, and the revision.
func (n *Node) rolloutUpdate(state *stateMachine, above uint64) (map[string]RolloutRule, uint64) {
	rollouts, revision := state.rollouts()
	if revision <= above {
		return nil, revision
	}
	limits := rollout.Limits{CanaryShare: n.config.CanaryShare}
	return lo.SliceToMap(rollouts, func(current Rollout) (string, RolloutRule) {
		rule := rollout.RuleForPhase(current.Target, current.Phase, limits)
		rule.Barred = current.Barred
		return current.Service, RolloutRule{Rule: rule, Number: current.Number}
	}), revision
}

// markReplacedServers marks the servers that a rollout has replaced as leaving once this node
// sees it complete, because they stop without a notice. A rollout that completed before this
// node started is ignored, since later servers may run other versions.
func (n *Node) markReplacedServers(state *stateMachine, phases map[uint64]rollout.Phase) {
	rollouts, _ := state.rollouts()
	for _, current := range rollouts {
		before := phases[current.Number]
		phases[current.Number] = current.Phase
		if before == current.Phase {
			continue
		}
		n.logger.WithFields(logrus.Fields{
			"service": current.Service, "target": current.Target, "phase": current.Phase, "before": before, "why": current.Reason, "number": current.Number,
		}).Info("rollout_changed")
		if before.Running() && current.Phase == rollout.Done {
			n.mutex.Lock()
			marked := n.registry.MarkOtherVersionsLeaving(current.Service, current.Target)
			n.mutex.Unlock()
			n.logger.WithField("service", current.Service).WithField("servers", marked).Info("replaced_servers_leave")
		}
	}
}
