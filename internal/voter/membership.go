package voter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
)

// AddVoter makes a machine a voter: it joins as a learner, receives the log,
// and is promoted once its synced log covers the commit index. A repeated call
// resumes where an earlier one ended. On return the promotion is committed.
func (v *Voter) AddVoter(ctx context.Context, id uint64, address string) error {
	member, known := v.member(id)
	if known && member.Address != address {
		return errors.Newf("voter %d is known at address %s", id, member.Address)
	}
	if known && !member.Learner {
		return nil
	}
	if !known {
		if err := v.AddLearner(ctx, id, address); err != nil {
			return err
		}
	}
	return v.Promote(ctx, id)
}

// AddLearner adds a machine that receives the log but does not vote.
func (v *Voter) AddLearner(ctx context.Context, id uint64, address string) error {
	change := consensus.Change{Kind: consensus.AddLearner, ID: id, Address: address}
	return errors.Wrapf(v.changeWithRetry(ctx, change), "adding learner %d", id)
}

// Promote makes a learner a voter once its synced log covers the commit index. It
// retries until the context ends.
func (v *Voter) Promote(ctx context.Context, id uint64) error {
	err := v.changeWithRetry(ctx, consensus.Change{Kind: consensus.PromoteLearner, ID: id})
	return errors.Wrapf(err, "promoting learner %d", id)
}

// RemoveVoter removes a voter or learner from the group. Its id can't be reused.
// A leader that removes itself steps down afterwards.
func (v *Voter) RemoveVoter(ctx context.Context, id uint64) error {
	err := v.changeWithRetry(ctx, consensus.Change{Kind: consensus.RemoveMember, ID: id})
	return errors.Wrapf(err, "removing voter %d", id)
}

// UpdateMemberAddress changes the address of a member.
func (v *Voter) UpdateMemberAddress(ctx context.Context, id uint64, address string) error {
	err := v.changeWithRetry(ctx, consensus.Change{Kind: consensus.UpdateMemberAddress, ID: id, Address: address})
	return errors.Wrapf(err, "moving member %d", id)
}

func (v *Voter) member(id uint64) (consensus.MemberStatus, bool) {
	for _, member := range v.Status().Members {
		if member.ID == id {
			return member, true
		}
	}
	return consensus.MemberStatus{}, false
}

// changeWithRetry retries a change that is refused for a transient reason.
func (v *Voter) changeWithRetry(ctx context.Context, change consensus.Change) error {
	for {
		err := v.changeOnce(ctx, change)
		var refused *RefusedError
		if !errors.As(err, &refused) || !isTransient(refused.Refusal) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "%v", ctx.Err())
		case <-time.After(v.config.Heartbeat):
		}
	}
}

func isTransient(refusal consensus.Refusal) bool {
	switch refusal {
	case consensus.RefusedChangePending, consensus.RefusedLearnerBehind:
		return true
	}
	return false
}

func (v *Voter) changeOnce(ctx context.Context, change consensus.Change) error {
	request := &changeRequest{change: change, done: make(chan outcome, 1)}
	if !v.changes.TryPush(request) {
		return ErrOverloaded
	}
	select {
	case ended := <-request.done:
		return ended.err
	case <-ctx.Done():
		return errors.Wrapf(ErrOutcomeUnknown, "%v", ctx.Err())
	case <-v.loopDone:
		return ErrOutcomeUnknown
	}
}

// transferPollInterval is the interval at which a transfer is polled for completion.
const transferPollInterval = 5 * time.Millisecond

// TransferLeadership transfers leadership to a voter, 0 for the one with the
// highest match index, and returns once this voter no longer leads. If the target
// does not take over within an election timeout, the core aborts the transfer and
// this voter stays leader; the call then fails after two election timeouts.
func (v *Voter) TransferLeadership(ctx context.Context, to uint64) error {
	if v.Status().Role != consensus.Leader {
		return v.notLeader()
	}
	if to == v.config.ID {
		return nil
	}
	if !v.requests.TryPush(consensus.TransferLeadership{To: to}) {
		return ErrOverloaded
	}
	ctx, cancel := context.WithTimeout(ctx, 2*v.config.ElectionTimeout)
	defer cancel()
	for {
		if v.Status().Role != consensus.Leader {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("leadership was not taken over by voter %d in time", to)
		case <-v.loopDone:
			return ErrClosed
		case <-time.After(transferPollInterval):
		}
	}
}
