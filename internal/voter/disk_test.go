package voter

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/consensus"
)

// faultyDisk forwards writes until a test makes it fail or stall.
type faultyDisk struct {
	Store
	mutex  sync.Mutex
	failed error
	// stalled blocks writes until it is closed; nil does not block.
	stalled chan struct{}
	// writesAfterFailure counts the write calls since the failure.
	writesAfterFailure int
}

func (d *faultyDisk) Write(units []*consensus.Persist) error {
	d.mutex.Lock()
	failed, stalled := d.failed, d.stalled
	if failed != nil {
		d.writesAfterFailure++
	}
	d.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
	if failed != nil {
		return failed
	}
	return d.Store.Write(units)
}

func (d *faultyDisk) fail(err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failed = err
}

func (d *faultyDisk) stall() (release func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stalled := make(chan struct{})
	d.stalled = stalled
	return sync.OnceFunc(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.stalled = nil
		close(stalled)
	})
}

// groupOnFaultyDisks returns a group and its disks by voter id.
func groupOnFaultyDisks(t *testing.T) (*group, map[uint64]*faultyDisk) {
	disks := map[uint64]*faultyDisk{}
	g := newGroup(t, 3, func(config *Config) {
		config.WrapStore = func(store Store) Store {
			disks[config.ID] = &faultyDisk{Store: store}
			return disks[config.ID]
		}
	})
	return g, disks
}

// TestVoterHaltsOnFullDisk fills the leader's disk: the leader reports it and
// stops participating, and no committed value is lost.
func TestVoterHaltsOnFullDisk(t *testing.T) {
	g, disks := groupOnFaultyDisks(t)
	g.propose("a")
	full := g.leader()
	disk := disks[full.config.ID]
	disk.fail(syscall.ENOSPC)
	_, err := full.Propose(context.Background(), []byte("lost"))
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	require.ErrorIs(t, full.Status().DiskError, syscall.ENOSPC)
	require.Eventually(t, func() bool { return full.Status().Halted }, eventuallyTimeout, time.Millisecond)
	require.NotEqual(t, consensus.Leader, full.Status().Role)
	_, err = full.Propose(context.Background(), []byte("refused"))
	require.ErrorIs(t, err, ErrDisk)

	// The proposal may or may not have reached the others; both outcomes are valid.
	g.propose("b")
	require.Equal(t, 1, disk.writesAfterFailure, "nothing is written after a failure")
	leader := g.leader()
	require.NotEqual(t, full, leader)

	disk.fail(nil)
	g.crash(full.config.ID)
	g.start(full.config.ID)
	g.propose("c")
	values := g.machines[g.leader().config.ID].all()
	require.Subset(t, values, []string{"a", "b", "c"})
	g.requireValues(full.config.ID, values)
}

// TestVoterOnAFailedDiskGivesNoVote stops one of three voters and fails the disk
// of another: the third must not find a quorum.
func TestVoterOnAFailedDiskGivesNoVote(t *testing.T) {
	g, disks := groupOnFaultyDisks(t)
	g.propose("a")
	leader := g.leader()
	var failing *Voter
	for _, voter := range g.running() {
		if voter != leader {
			failing = voter
		}
	}
	disks[failing.config.ID].fail(syscall.EIO)
	g.propose("b")
	require.Eventually(t, func() bool { return failing.Status().Halted }, eventuallyTimeout, time.Millisecond)
	g.crash(leader.config.ID)
	for _, voter := range g.running() {
		if voter == failing {
			continue
		}
		// Far longer than an election takes.
		ctx, cancel := context.WithTimeout(context.Background(), 5*voter.config.ElectionTimeout)
		defer cancel()
		for ctx.Err() == nil {
			_, err := voter.ConfirmRead(ctx)
			require.Error(t, err)
		}
		require.NotEqual(t, consensus.Leader, voter.Status().Role)
	}
}

// TestLeaderWithStalledDiskTransfersLeadership stalls the leader's disk.
func TestLeaderWithStalledDiskTransfersLeadership(t *testing.T) {
	g, disks := groupOnFaultyDisks(t)
	g.propose("a")
	slow := g.leader()
	release := disks[slow.config.ID].stall()
	defer release() // a failed test must not wait for the disk
	waiting := make(chan error, 1)
	go func() {
		_, err := slow.Propose(context.Background(), []byte("b"))
		waiting <- err
	}()
	require.Eventually(t, func() bool {
		for _, voter := range g.running() {
			if voter != slow && voter.Status().Role == consensus.Leader {
				return true
			}
		}
		return false
	}, eventuallyTimeout, time.Millisecond)
	release()
	<-waiting
	g.propose("c")
	g.requireValues(slow.config.ID, []string{"a", "b", "c"})
}

// TestDisplacedProposalHasUnknownOutcome registers a second proposal at an
// index: the first one may still be committed by a voter that has it in its log.
func TestDisplacedProposalHasUnknownOutcome(t *testing.T) {
	open := newOutcomes()
	first, second := make(chan outcome, 1), make(chan outcome, 1)
	open.register(5, pendingProposal{term: 2, done: first})
	open.register(5, pendingProposal{term: 4, done: second})
	require.ErrorIs(t, (<-first).err, ErrOutcomeUnknown)
	open.applied(5, 4, "done", nil)
	require.Equal(t, outcome{result: "done"}, <-second)
}

// TestUnwritableFolderIsRefused checks that a voter does not start with a data
// folder that it can't write to.
func TestUnwritableFolderIsRefused(t *testing.T) {
	g := newGroup(t, 1, nil)
	g.crash(1)
	snapshots := filepath.Join(g.config(1).Folder, "snapshots")
	require.NoError(t, os.RemoveAll(snapshots))
	require.NoError(t, os.WriteFile(snapshots, nil, 0o600))
	_, err := Open(g.config(1), &register{}, endpoint{network: g.network, from: 1}, nil, nil)
	require.ErrorContains(t, err, snapshots)
}
