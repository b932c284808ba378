package voter

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/raftlog"
	"github.com/martenstage/martenstage/internal/ring"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Voter is a running member of the group. Its methods may be called from any
// goroutine.
type Voter struct {
	config    Config
	core      *consensus.Core
	store     Store
	transport Transport
	logger    *logrus.Logger
	metrics   *metrics

	messages  *ring.Ring[consensus.Message]
	proposals *ring.Ring[*proposalRequest]
	reads     *ring.Ring[*readRequest]
	requests  *ring.Ring[consensus.Event]
	changes   *ring.Ring[*changeRequest]
	writes    *ring.Ring[writeRequest]
	applies   *ring.Ring[applyRequest]
	snapshots *ring.Ring[machineSnapshot]

	// synced is the last sequence that the writer made durable; syncSignal notifies
	// the core loop that synced or diskError changed.
	synced     atomic.Uint64
	syncSignal chan struct{}
	diskError  atomic.Pointer[error]

	status    atomic.Pointer[Status]
	addresses *addressTable
	// moveLogLimit limits the rate of log lines about members that moved.
	moveLogLimit logging.LineLimit
	outcomes     *outcomes
	applied      appliedIndex
	senders      *senders

	stopOnce sync.Once
	stop     chan struct{}
	loopDone chan struct{}
	running  sync.WaitGroup
}

// Status is the state of a voter.
type Status struct {
	consensus.Status
	LeaderAddress string
	// Applied is the last index applied to the state machine.
	Applied uint64
	// DiskError is set once the disk has failed; the voter then neither votes
	// nor leads.
	DiskError error
	// UnsyncedFor is how long the oldest unsynced write has been pending.
	UnsyncedFor time.Duration
}

// Open locks and verifies the data folder, restores the state machine and
// starts the voter. A folder that is in use or damaged gives an error with
// exitcode.DataFolder.
func Open(config Config, machine StateMachine, transport Transport, logger *logrus.Logger, registerer prometheus.Registerer) (*Voter, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	if config.Seed == 0 {
		config.Seed = randomSeed()
	}
	config = config.withDefaults()
	log, restored, err := raftlog.Open(raftlog.Options{
		Folder: config.Folder, VoterID: config.ID, InitialVoters: config.InitialVoters,
	})
	if err != nil {
		return nil, err
	}
	if skipped := log.SkippedSnapshots(); skipped != nil {
		logger.WithField(logging.FieldNode, config.ID).WithError(skipped).Warn("skipped a damaged snapshot; loaded an older one")
	}
	voter, err := start(config, restored, log, machine)
	if err != nil {
		return nil, errors.CombineErrors(err, log.Close())
	}
	voter.transport, voter.logger, voter.metrics = transport, logger, newMetrics(registerer)
	voter.run(machine)
	return voter, nil
}

func start(config Config, restored consensus.Restored, store Store, machine StateMachine) (*Voter, error) {
	core, err := consensus.New(config.Core, restored)
	if err != nil {
		return nil, err
	}
	if config.WrapStore != nil {
		store = config.WrapStore(store)
	}
	voter := &Voter{
		config: config, core: core, store: store,
		messages:  ring.New[consensus.Message](messageRingCapacity),
		proposals: ring.New[*proposalRequest](proposalRingCapacity),
		reads:     ring.New[*readRequest](readRingCapacity),
		requests:  ring.New[consensus.Event](requestRingCapacity),
		changes:   ring.New[*changeRequest](requestRingCapacity),
		writes:    ring.New[writeRequest](writeRingCapacity),
		applies:   ring.New[applyRequest](applyRingCapacity),
		snapshots: ring.New[machineSnapshot](1),

		syncSignal: make(chan struct{}, 1),
		addresses:  newAddressTable(),
		outcomes:   newOutcomes(),
		stop:       make(chan struct{}),
		loopDone:   make(chan struct{}),
	}
	voter.senders = newSenders(voter)
	if restored.Snapshot != nil {
		if err := machine.Restore(restored.Snapshot.Data); err != nil {
			return nil, exitcode.With(exitcode.DataFolder, errors.Wrap(err, "restoring the state machine"))
		}
		voter.applied.advance(restored.Snapshot.Index)
	}
	return voter, nil
}

func (v *Voter) run(machine StateMachine) {
	loop := newCoreLoop(v)
	loop.publish()
	v.running.Add(3)
	go loop.run()
	go v.runWriter()
	go (&applier{voter: v, machine: machine}).run()
}

// Deliver accepts encoded messages from other members. It drops messages that
// can't be decoded, are for another voter or exceed the ring's capacity.
func (v *Voter) Deliver(messages [][]byte) {
	for _, data := range messages {
		message, err := consensus.DecodeMessage(data)
		if err != nil || message.To != v.config.ID {
			v.metrics.dropped.WithLabelValues("invalid").Inc()
			continue
		}
		v.ObserveAddress(message.From, message.FromAddress)
		if !v.messages.TryPush(message) {
			v.metrics.dropped.WithLabelValues("in").Inc()
		}
	}
}

// ObserveAddress records the address that a voter reports for itself. Later messages to a member are sent there.
func (v *Voter) ObserveAddress(id uint64, address string) {
	former := v.addresses.recordReported(id, address)
	if former == "" {
		return
	}
	if suppressed, allowed := v.moveLogLimit.Allow(steadyclock.Now()); allowed {
		v.logger.WithFields(logrus.Fields{
			logging.FieldNode: v.config.ID, "member": id, "former": former, "address": address, "left_out": suppressed,
		}).Info("member_moved")
	}
}

// AddressOf returns the current address of a member, which may have moved since the membership was
// last changed. It is empty for an unknown id.
func (v *Voter) AddressOf(id uint64) string {
	if id == v.config.ID && isDialable(v.config.Address) {
		return v.config.Address
	}
	return v.addresses.lookup(id)
}

// Status returns the latest state.
func (v *Voter) Status() Status {
	status := *v.status.Load()
	status.Applied = v.applied.load()
	status.LeaderAddress = v.addresses.lookup(status.Leader)
	if failure := v.diskError.Load(); failure != nil {
		status.DiskError = *failure
	}
	return status
}

// Close transfers leadership if this voter leads, within the context's deadline,
// then stops and unlocks the folder. Proposals without an outcome end with
// ErrOutcomeUnknown.
func (v *Voter) Close(ctx context.Context) error {
	if v.Status().Role == consensus.Leader && v.Status().otherVoterActive() {
		if err := v.TransferLeadership(ctx, 0); err != nil {
			v.logger.WithField(logging.FieldNode, v.config.ID).WithError(err).Warn("leadership transfer failed")
		}
	}
	return v.halt()
}

// halt stops without a leadership transfer, as a crash would, but waits for the
// goroutines.
func (v *Voter) halt() error {
	var err error
	v.stopOnce.Do(func() {
		close(v.stop)
		v.running.Wait()
		v.senders.close()
		v.outcomes.failUpTo(^uint64(0), ErrOutcomeUnknown)
		err = v.store.Close()
	})
	return err
}

func (s Status) otherVoterActive() bool {
	for _, member := range s.Members {
		if member.ID != s.ID && !member.Learner && member.Active {
			return true
		}
	}
	return false
}

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	return binary.BigEndian.Uint64(seed[:])
}
