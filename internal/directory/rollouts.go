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

// Rollout is the latest order to move a service to servers of another version, and how far
// that is.
type Rollout struct {
	Service string        `json:"service"`
	Target  string        `json:"target"`
	Phase   rollout.Phase `json:"phase"`
	// Why is what the last step was taken for.
	Why string `json:"why,omitempty"`
	// Number tells one order from another.
	Number uint64 `json:"number"`
	// Barred are versions that earlier roll-outs of the service took back.
	Barred   []string      `json:"barred,omitempty"`
	Duration time.Duration `json:"duration"`
	// By is the address that the order came from; Ordered and Changed are by the clocks of
	// the nodes that took the order and the last step.
	By      string    `json:"by"`
	Ordered time.Time `json:"ordered"`
	Changed time.Time `json:"changed"`
}

// rolloutCommand is an order, or with a Number a step of one.
type rolloutCommand struct {
	Rollout
	// From is the phase that the step leaves.
	From rollout.Phase `json:"from,omitempty"`
}

// RolloutTold is what routers are told of a service's roll-out.
type RolloutTold struct {
	rollout.Rule
	Number uint64 `json:"number"`
}

// Bounds of orders.
const (
	maxRollouts     = 1000
	maxNameBytes    = 200
	longestRollout  = 24 * time.Hour
	shortestRollout = 100 * time.Millisecond
)

// StartRollout takes the order to move a service's requests to servers of a version within a
// time, from a caller's address. Nil means that a quorum has synced it; sent again, it changes
// nothing. Other outcomes are *rollout.ConflictError (another one of the service is under way),
// *routing.InvalidError (nothing was changed) and ErrUnavailable (it may be in force).
func (n *Node) StartRollout(ctx context.Context, service, version string, duration time.Duration, by string) error {
	began := steadyclock.Now()
	var reply startReply
	err := checkRollout(service, version, duration)
	if err == nil {
		ordered := time.Now().UTC() // The wall clock: a person reads it, and another leader reckons from it.
		order := rolloutCommand{Rollout: Rollout{Service: service, Target: version, Duration: duration, By: by, Ordered: ordered}}
		err = n.atLeader(ctx, func(ctx context.Context) error {
			taken, err := n.startHere(ctx, order)
			reply = taken
			return err
		}, pathRolloutStart, order, &reply)
	}
	if err == nil && reply.UnderWay != "" {
		err = &rollout.ConflictError{Service: service, Target: reply.UnderWay}
	}
	n.record("rollout_started", began, err, logrus.Fields{"service": service, "target": version, "duration": duration, "by": by})
	return err
}

func checkRollout(service, version string, duration time.Duration) error {
	named := func(name string) bool { return name != "" && len(name) <= maxNameBytes }
	if !named(service) || !named(version) || duration < shortestRollout || duration > longestRollout {
		return &routing.InvalidError{Detail: "a roll-out names a service and a version, of 200 bytes at most, and a time of 0.1 s to 24 h"}
	}
	return nil
}

// startReply names the version to which another roll-out of the service is under way; empty
// for none.
type startReply struct {
	UnderWay string `json:"under_way,omitempty"`
}

// startHere is StartRollout at the leader.
func (n *Node) startHere(ctx context.Context, order rolloutCommand) (startReply, error) {
	if !n.mayAcknowledge() {
		return startReply{}, errNotFormed
	}
	result, err := n.propose(ctx, command{Rollouts: []rolloutCommand{order}})
	return startReply{UnderWay: result.UnderWay}, err
}

// Rollout returns how far the latest roll-out of a service is, confirmed by a quorum after the
// call began. It fails with ErrUnavailable.
func (n *Node) Rollout(ctx context.Context, service string) (phase rollout.Phase, target string, known bool, err error) {
	list, err := n.rolloutsAtLeader(ctx)
	found, known := lo.Find(list.Rollouts, func(of Rollout) bool { return of.Service == service })
	return found.Phase, found.Target, known && err == nil, err
}

// rolloutsAtLeader returns the roll-outs as the leader knows them, confirmed by a quorum.
func (n *Node) rolloutsAtLeader(ctx context.Context) (RolloutList, error) {
	var list RolloutList
	err := n.atLeader(ctx, func(ctx context.Context) error {
		confirmed, err := n.rolloutsConfirmed(ctx, struct{}{})
		list = confirmed
		return err
	}, pathRolloutRead, struct{}{}, &list)
	return list, err
}

func (n *Node) rolloutsConfirmed(ctx context.Context, _ struct{}) (RolloutList, error) {
	if err := n.confirm(ctx); err != nil {
		return RolloutList{}, err
	}
	return n.Rollouts(), nil
}

// RolloutList is the roll-outs as a node knows them.
type RolloutList struct {
	Revision uint64    `json:"revision"`
	Rollouts []Rollout `json:"rollouts"`
	// Evidence is what routers told of those that run, at the leader, by service.
	Evidence map[string]rollout.Evidence `json:"evidence,omitempty"`
}

// Rollouts returns the roll-outs as this node knows them.
func (n *Node) Rollouts() RolloutList {
	held, revision := n.member.state().rollouts()
	list := RolloutList{Revision: revision, Rollouts: held, Evidence: make(map[string]rollout.Evidence)}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, one := range held {
		if one.Phase.Running() {
			list.Evidence[one.Service] = n.reports.sum(one.Service, one.Number)
		}
	}
	return list
}

// ListRollouts asks the node at a peer address for the roll-outs as it knows them.
func ListRollouts(ctx context.Context, address string) (RolloutList, error) {
	var list RolloutList
	err := newPeerClient().call(ctx, address, pathRolloutList, struct{}{}, &list)
	return list, err
}

// applyRollout carries an order or a step out, and returns the version to which another
// roll-out of the service is under way. The caller holds the mutex.
func (m *machine) applyRollout(told rolloutCommand) (underWay string) {
	at, exists := slices.BinarySearchFunc(m.state.Rollouts, told.Service, func(held Rollout, service string) int {
		return cmp.Compare(held.Service, service)
	})
	if told.Number != 0 {
		m.stepRollout(at, exists, told)
		return ""
	}
	if exists {
		switch held := m.state.Rollouts[at]; {
		case held.Target == told.Target:
			return "" // It is sent again.
		case held.Phase.Running():
			return held.Target
		}
	} else if len(m.state.Rollouts) >= maxRollouts {
		return "too many services"
	}
	m.state.RolloutRevision++
	begun := told.Rollout
	begun.Phase, begun.Number, begun.Changed = rollout.Canary, m.state.RolloutRevision, told.Ordered
	// Readers may hold the former list.
	held := slices.Clone(m.state.Rollouts)
	if exists {
		begun.Barred = barredBy(held[at], begun.Target)
		held[at] = begun
	} else {
		held = slices.Insert(held, at, begun)
	}
	m.state.Rollouts = held
	return ""
}

// maxBarred bounds the versions of a service that stay barred; the oldest ones, whose servers
// have long been taken away, are forgotten.
const maxBarred = 16

// barredBy returns the versions that get nothing in the roll-out to a target that follows a
// former one.
func barredBy(former Rollout, target string) []string {
	barred := slices.Clone(former.Barred)
	if former.Phase == rollout.RolledBack {
		barred = append(barred, former.Target)
	}
	barred = lo.Without(barred, target)
	return barred[max(0, len(barred)-maxBarred):]
}

func (m *machine) stepRollout(at int, exists bool, step rolloutCommand) {
	if !exists || m.state.Rollouts[at].Number != step.Number || m.state.Rollouts[at].Phase != step.From {
		return
	}
	m.state.RolloutRevision++
	held := slices.Clone(m.state.Rollouts)
	held[at].Phase, held[at].Why, held[at].Changed = step.Phase, step.Why, step.Changed
	m.state.Rollouts = held
}

// rollouts returns the latest roll-out of each service, and the revision of that list.
func (m *machine) rollouts() ([]Rollout, uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Rollouts, m.state.RolloutRevision
}

// rolloutNews returns what a router that holds a revision does not know.
func (n *Node) rolloutNews(applied *machine, above uint64) (map[string]RolloutTold, uint64) {
	held, revision := applied.rollouts()
	if revision <= above {
		return nil, revision
	}
	limits := rollout.Limits{CanaryShare: n.config.CanaryShare}
	return lo.SliceToMap(held, func(of Rollout) (string, RolloutTold) {
		rule := rollout.RuleOf(of.Target, of.Phase, limits)
		rule.Barred = of.Barred
		return of.Service, RolloutTold{Rule: rule, Number: of.Number}
	}), revision
}

// retireOld marks the servers that a roll-out has replaced as leaving, once this node sees it
// end: they stop without a word. One that had ended before this node started is left alone,
// since later servers may be of other versions.
func (n *Node) retireOld(applied *machine, seen map[uint64]rollout.Phase) {
	held, _ := applied.rollouts()
	for _, one := range held {
		before := seen[one.Number]
		seen[one.Number] = one.Phase
		if before == one.Phase {
			continue
		}
		n.logger.WithFields(logrus.Fields{
			"service": one.Service, "target": one.Target, "phase": one.Phase, "before": before, "why": one.Why, "number": one.Number,
		}).Info("rollout_changed")
		if before.Running() && one.Phase == rollout.Done {
			n.mutex.Lock()
			marked := n.registry.LeaveOthers(one.Service, one.Target)
			n.mutex.Unlock()
			n.logger.WithField("service", one.Service).WithField("servers", marked).Info("replaced_servers_leave")
		}
	}
}
