package directory

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/raftlog"
	"github.com/martenstage/martenstage/internal/voter"
)

// logFolder holds the voter's log within the data folder; the former log of a voter that was
// removed from the group is kept in removedLogFolder.
const (
	logFolder        = "log"
	removedLogFolder = "log.removed"
)

// memberHost owns the voter of a node and reopens it after a disk failure or after its removal
// from the group.
type memberHost struct {
	config      Config
	environment Environment
	transport   voter.Transport
	machine     atomic.Pointer[stateMachine]
	current     atomic.Pointer[voter.Voter]

	mutex    sync.Mutex
	identity identity
	// replacedSignal is closed when the state machine is replaced.
	replacedSignal chan struct{}
}

func openMember(config Config, environment Environment, transport *peerClient) (*memberHost, error) {
	host := &memberHost{config: config, environment: environment, transport: transport, replacedSignal: make(chan struct{})}
	stored, known, err := loadIdentity(config.Folder)
	if err != nil {
		return nil, err
	}
	if !known {
		stored = newIdentity(config)
		if err := stored.save(config.Folder); err != nil {
			return nil, err
		}
	}
	host.identity = stored
	// Must precede the start of the voter, whose messages name the group.
	transport.group.set(stored.groupID())
	if err := host.createLog(); err != nil {
		return nil, err
	}
	return host, host.open()
}

// createLog creates the log of a new identity. A log whose creation was interrupted by a power
// loss holds no acknowledged votes or entries, so it is created again; a completed log is never
// deleted.
func (h *memberHost) createLog() error {
	if h.identity.LogCreated {
		return nil
	}
	folder := filepath.Join(h.config.Folder, logFolder)
	if err := os.RemoveAll(folder); err != nil {
		return errors.Wrap(err, "cannot remove the incomplete log")
	}
	log, _, err := raftlog.Open(raftlog.Options{Folder: folder, VoterID: h.identity.ID, InitialVoters: h.initialVoters()})
	if err != nil {
		return err
	}
	if err := log.Close(); err != nil {
		return err
	}
	h.identity.LogCreated = true
	return h.identity.save(h.config.Folder)
}

// newIdentity returns the identity for an empty folder: a founder if the group is being formed
// and this node is a seed, otherwise a joining node.
func newIdentity(config Config) identity {
	if config.Bootstrap && slices.Contains(config.Seeds, config.PeerAddress) {
		return identity{ID: founderID(config.PeerAddress), Founder: true, PeerAddresses: config.Seeds}
	}
	return identity{ID: randomID()}
}

func (h *memberHost) open() error {
	machine := newStateMachine()
	opened, err := voter.Open(voter.Config{
		ID: h.identity.ID, Address: h.config.PeerAddress,
		Folder: filepath.Join(h.config.Folder, logFolder), InitialVoters: h.initialVoters(),
		Heartbeat: heartbeat, ElectionTimeout: electionTimeout, WrapStore: h.environment.WrapStore, SnapshotBytes: h.config.SnapshotBytes,
	}, machine, h.transport, h.environment.Logger, replacingRegisterer{h.environment.Registerer})
	if err != nil {
		return err
	}
	h.machine.Store(machine)
	h.current.Store(opened)
	return nil
}

func (h *memberHost) initialVoters() []consensus.Member {
	if !h.identity.Founder {
		return nil
	}
	return lo.Map(h.identity.PeerAddresses, func(address string, _ int) consensus.Member {
		return consensus.Member{ID: founderID(address), Address: address}
	})
}

func (h *memberHost) voter() *voter.Voter  { return h.current.Load() }
func (h *memberHost) state() *stateMachine { return h.machine.Load() }

func (h *memberHost) id() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.identity.ID
}

func (h *memberHost) peerAddresses() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.identity.PeerAddresses
}

// savePeerAddresses stores the addresses of the group, so that a restarted node finds it
// without its seeds.
func (h *memberHost) savePeerAddresses(addresses []string) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.identity.Founder || slices.Equal(addresses, h.identity.PeerAddresses) {
		return nil
	}
	updated := h.identity
	updated.PeerAddresses = addresses
	return h.saveIdentity(updated)
}

// saveGroupID stores the group's id.
func (h *memberHost) saveGroupID(group addressee.Group) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	updated := h.identity
	updated.GroupID = group
	return h.saveIdentity(updated)
}

// saveIdentity stores an updated identity and switches to it. The caller holds the mutex.
func (h *memberHost) saveIdentity(updated identity) error {
	if err := updated.save(h.config.Folder); err != nil {
		return err
	}
	h.identity = updated
	return nil
}

// reopen closes the voter and opens it again from its folder.
func (h *memberHost) reopen() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err := h.closeVoter(); err != nil {
		h.environment.Logger.WithError(err).Debug("voter_closed_with_error")
	}
	return h.reopenVoter()
}

// rejoin moves the log of a removed voter aside and starts over as a new voter.
func (h *memberHost) rejoin() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err := h.closeVoter(); err != nil {
		h.environment.Logger.WithError(err).Debug("voter_closed_with_error")
	}
	removedLog := filepath.Join(h.config.Folder, removedLogFolder)
	if err := os.RemoveAll(removedLog); err != nil {
		return errors.Wrap(err, "cannot remove the log that was moved aside before")
	}
	if err := os.Rename(filepath.Join(h.config.Folder, logFolder), removedLog); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "cannot move the former log aside")
	}
	rejoined := identity{ID: randomID(), PeerAddresses: h.identity.PeerAddresses, GroupID: h.identity.groupID()}
	if err := h.saveIdentity(rejoined); err != nil {
		return err
	}
	if err := h.createLog(); err != nil {
		return err
	}
	return h.reopenVoter()
}

// reopenVoter opens the voter and notifies those waiting on the former state machine.
func (h *memberHost) reopenVoter() error {
	if err := h.open(); err != nil {
		return err
	}
	close(h.replacedSignal)
	h.replacedSignal = make(chan struct{})
	return nil
}

func (h *memberHost) closeVoter() error {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	return h.current.Load().Close(canceled)
}

func (h *memberHost) machineReplaced() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.replacedSignal
}

func (h *memberHost) close(ctx context.Context) error { return h.current.Load().Close(ctx) }
