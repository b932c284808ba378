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

// Put takes a routing document. Nil means that a quorum has synced it, or that a
// version at least as high is in force already. Other outcomes are
// *routing.InvalidError (nothing was changed) and ErrUnavailable (it may be in
// force, now or later).
func (n *Node) Put(ctx context.Context, text []byte) error {
	began := steadyclock.Now()
	version, err := n.config.CheckDocument(text)
	if err == nil {
		message := putMessage{Version: version, Text: text}
		err = n.atLeader(ctx, func(ctx context.Context) error { return n.putHere(ctx, message) }, pathPut, message, nil)
	}
	n.record("put", began, err, logrus.Fields{"version": version, "bytes": len(text)})
	return err
}

// putHere is Put at the leader.
func (n *Node) putHere(ctx context.Context, message putMessage) error {
	if held, _, _ := n.member.state().document(); held >= message.Version {
		// What is held here may be newer than what a quorum has; only a confirmed
		// read proves that it is committed.
		return n.confirm(ctx)
	}
	if !n.mayAcknowledge() {
		return errNotFormed
	}
	n.beginLedger(ctx)
	_, err := n.propose(ctx, command{Version: message.Version, Document: message.Text})
	return err
}

// errNotFormed is an ErrUnavailable.
var errNotFormed = errors.Wrap(ErrUnavailable, "the group has not reached its size")

// mayAcknowledge reports whether what a quorum has synced survives the losses
// that are to be borne: not before the group had its full size once. A group
// that does not reach it in time goes on, since fewer nodes may be all there is.
func (n *Node) mayAcknowledge() bool {
	if n.member.state().formed() {
		return true
	}
	return steadyclock.Since(n.started) > formingPatience
}

// Read returns the document in force and its version, confirmed by a quorum
// after the call began; version 0 means none. It fails with ErrUnavailable.
func (n *Node) Read(ctx context.Context) (version uint64, text []byte, err error) {
	began := steadyclock.Now()
	var reply readReply
	err = n.atLeader(ctx, func(ctx context.Context) error {
		reply, err = n.readHere(ctx)
		return err
	}, pathRead, struct{}{}, &reply)
	n.record("read", began, err, logrus.Fields{"version": reply.Version})
	return reply.Version, reply.Text, err
}

func (n *Node) readHere(ctx context.Context) (readReply, error) {
	if err := n.confirm(ctx); err != nil {
		return readReply{}, err
	}
	version, text, _ := n.member.state().document()
	return readReply{Version: version, Text: text}, nil
}

// propose replicates a command and returns what applying it gave.
func (n *Node) propose(ctx context.Context, proposed command) (putResult, error) {
	data, err := json.Marshal(proposed)
	if err != nil {
		return putResult{}, err
	}
	applied, err := n.member.voter().Propose(ctx, data)
	if err != nil {
		return putResult{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	result, ok := applied.(putResult)
	if !ok {
		return putResult{}, errors.Wrapf(ErrUnavailable, "%v", applied)
	}
	return result, nil
}

func (n *Node) confirm(ctx context.Context) error {
	_, err := n.confirmIndex(ctx)
	return err
}

// confirmIndex returns, at the leader, up to which index the log is committed for certain;
// this node has applied it.
func (n *Node) confirmIndex(ctx context.Context) (uint64, error) {
	index, err := n.member.voter().ConfirmRead(ctx)
	if err != nil {
		return 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return index, nil
}

// atLeader runs an operation here if this node leads, else at the leader, within
// operationTimeout. It waits a while for a leader to be known.
func (n *Node) atLeader(
	ctx context.Context, here func(context.Context) error, path string, message, reply any,
) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for {
		status := n.status()
		if status.Role == consensus.Leader {
			return here(ctx)
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

// record counts and logs one operation.
func (n *Node) record(operation string, began time.Time, err error, fields logrus.Fields) {
	outcome := "done"
	var invalid *routing.InvalidError
	switch {
	case errors.As(err, &invalid):
		outcome = "invalid"
	case err != nil:
		outcome = "unavailable"
	}
	took := steadyclock.Since(began)
	n.metrics.operations.WithLabelValues(operation, outcome).Inc()
	n.metrics.seconds.WithLabelValues(operation).Observe(took.Seconds())
	status := n.status()
	entry := n.logger.WithFields(fields).WithFields(logrus.Fields{
		"outcome": outcome, "took": took, "leader": status.Leader, "term": status.Term,
	})
	if err != nil {
		entry.WithField(logrus.ErrorKey, err).Warn(operation)
		return
	}
	entry.Info(operation)
}
