package directory

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Put stores a routing document. Nil means that a quorum has synced it, or that a version at
// least as high is already in effect. Other outcomes are *routing.InvalidError (nothing was
// changed) and ErrUnavailable (it may be in effect, now or later).
func (n *Node) Put(ctx context.Context, text []byte) error {
	start := steadyclock.Now()
	version, err := n.config.CheckDocument(text)
	if err == nil {
		message := putMessage{Version: version, Text: text}
		err = n.onLeader(ctx, func(ctx context.Context) error { return n.putAsLeader(ctx, message) }, pathPut, message, nil)
	}
	n.recordOperation("put", start, err, logrus.Fields{"version": version, "bytes": len(text)})
	return err
}

// putAsLeader is Put at the leader.
func (n *Node) putAsLeader(ctx context.Context, message putMessage) error {
	if current, _, _ := n.member.state().document(); current >= message.Version {
		// The local version may be newer than what a quorum has; only a confirmed read proves
		// that it is committed.
		return n.confirm(ctx)
	}
	if !n.mayAcknowledge() {
		return errNotFormed
	}
	n.loadLedgerLimits(ctx)
	_, err := n.propose(ctx, command{Version: message.Version, Document: message.Text})
	return err
}

// errNotFormed is an ErrUnavailable.
var errNotFormed = errors.Wrap(ErrUnavailable, "the group has not reached its size")

// mayAcknowledge reports whether an entry synced by a quorum survives the tolerated losses,
// which requires that the group once had its full size. A group that does not reach it within
// formationTimeout proceeds anyway, since there may be no more nodes.
func (n *Node) mayAcknowledge() bool {
	if n.member.state().formed() {
		return true
	}
	return steadyclock.Since(n.started) > formationTimeout
}

// Read returns the document in effect and its version, confirmed by a quorum after the call
// began; version 0 means none. It fails with ErrUnavailable.
func (n *Node) Read(ctx context.Context) (version uint64, text []byte, err error) {
	start := steadyclock.Now()
	var reply readReply
	err = n.onLeader(ctx, func(ctx context.Context) error {
		reply, err = n.readAsLeader(ctx)
		return err
	}, pathRead, struct{}{}, &reply)
	n.recordOperation("read", start, err, logrus.Fields{"version": reply.Version})
	return reply.Version, reply.Text, err
}

func (n *Node) readAsLeader(ctx context.Context) (readReply, error) {
	if err := n.confirm(ctx); err != nil {
		return readReply{}, err
	}
	version, text, _ := n.member.state().document()
	return readReply{Version: version, Text: text}, nil
}

// propose replicates a command and returns the result of applying it.
func (n *Node) propose(ctx context.Context, proposed command) (applyResult, error) {
	data, err := json.Marshal(proposed)
	if err != nil {
		return applyResult{}, err
	}
	applied, err := n.member.voter().Propose(ctx, data)
	if err != nil {
		return applyResult{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	result, ok := applied.(applyResult)
	if !ok {
		return applyResult{}, errors.Wrapf(ErrUnavailable, "%v", applied)
	}
	return result, nil
}

func (n *Node) confirm(ctx context.Context) error {
	_, err := n.confirmIndex(ctx)
	return err
}

// confirmIndex returns, at the leader, the index up to which the log is confirmed as committed;
// this node has applied it.
func (n *Node) confirmIndex(ctx context.Context) (uint64, error) {
	index, err := n.member.voter().ConfirmRead(ctx)
	if err != nil {
		return 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return index, nil
}

// onLeader runs an operation locally if this node leads, otherwise at the leader, within
// operationTimeout. It waits for a leader to become known.
func (n *Node) onLeader(
	ctx context.Context, local func(context.Context) error, path string, message, reply any,
) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for {
		status := n.status()
		if status.Role == consensus.Leader {
			return local(ctx)
		}
		if status.Leader != 0 && status.LeaderAddress != "" {
			return n.peers.call(ctx, status.LeaderAddress, path, message, reply)
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrUnavailable, "no leader is known")
		case <-time.After(leaderPoll):
		}
	}
}

// recordOperation counts and logs one operation.
func (n *Node) recordOperation(operation string, start time.Time, err error, fields logrus.Fields) {
	outcome := "done"
	var invalid *routing.InvalidError
	switch {
	case errors.As(err, &invalid):
		outcome = "invalid"
	case err != nil:
		outcome = "unavailable"
	}
	elapsed := steadyclock.Since(start)
	n.metrics.operations.WithLabelValues(operation, outcome).Inc()
	n.metrics.seconds.WithLabelValues(operation).Observe(elapsed.Seconds())
	status := n.status()
	entry := n.logger.WithFields(fields).WithFields(logrus.Fields{
		"outcome": outcome, "took": elapsed, "leader": status.Leader, "term": status.Term,
	})
	if err != nil {
		entry.WithField(logrus.ErrorKey, err).Warn(operation)
		return
	}
	entry.Info(operation)
}
