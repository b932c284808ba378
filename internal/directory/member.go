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

// logFolder holds the voter's log, within the data folder; a voter that was
// removed from the group finds its former log in setAsideFolder.
const (
	logFolder      = "log"
	setAsideFolder = "log.removed"
)

// memberHost owns the voter of a node and opens it anew when its disk failed or
// when it was removed from the group.
type memberHost struct {
	config      Config
	environment Environment
	transport   voter.Transport
	machine     atomic.Pointer[machine]
	current     atomic.Pointer[voter.Voter]

	mutex    sync.Mutex
	identity identity
	// replaced is closed when the machine is another one.
	replaced chan struct{}
}

func openMember(config Config, environment Environment, transport *peerClient) (*memberHost, error) {
	host := &memberHost{config: config, environment: environment, transport: transport, replaced: make(chan struct{})}
	found, known, err := loadIdentity(config.Folder)
	if err != nil {
		return nil, err
	}
	if !known {
		found = newIdentity(config)
		if err := found.save(config.Folder); err != nil {
			return nil, err
		}
	}
	host.identity = found
	// Before the voter runs: what it sends names the group.
	transport.group.set(found.ownGroup())
	if err := host.prepare(); err != nil {
		return nil, err
	}
	return host, host.open()
}

// prepare makes the log of a new identity. A folder whose making a loss of power
// cut short holds nothing that was promised, so that it is made again; one that
// was made once is never thrown away.
func (h *memberHost) prepare() error {
	if h.identity.Made {
		return nil
	}
	folder := filepath.Join(h.config.Folder, logFolder)
	if err := os.RemoveAll(folder); err != nil {
		return errors.Wrap(err, "an unfinished log can't be removed")
	}
	log, _, err := raftlog.Open(raftlog.Options{Folder: folder, VoterID: h.identity.ID, InitialVoters: h.initialVoters()})
	if err != nil {
		return err
	}
	if err := log.Close(); err != nil {
		return err
	}
	h.identity.Made = true
	return h.identity.save(h.config.Folder)
}

// newIdentity is that of an empty folder: a founder where the group is formed
// and this node is a seed, else one that joins.
func newIdentity(config Config) identity {
	if config.Bootstrap && slices.Contains(config.Seeds, config.PeerAddress) {
		return identity{ID: founderID(config.PeerAddress), Founder: true, Group: config.Seeds}
	}
	return identity{ID: drawID()}
}

func (h *memberHost) open() error {
	applied := newMachine()
	opened, err := voter.Open(voter.Config{
		ID: h.identity.ID, Address: h.config.PeerAddress,
		Folder: filepath.Join(h.config.Folder, logFolder), InitialVoters: h.initialVoters(),
		Heartbeat: heartbeat, ElectionTimeout: electionTimeout, WrapStore: h.environment.WrapStore,
	}, applied, h.transport, h.environment.Logger, replacingRegisterer{h.environment.Registerer})
	if err != nil {
		return err
	}
	h.machine.Store(applied)
	h.current.Store(opened)
	return nil
}

func (h *memberHost) initialVoters() []consensus.Member {
	if !h.identity.Founder {
		return nil
	}
	return lo.Map(h.identity.Group, func(address string, _ int) consensus.Member {
		return consensus.Member{ID: founderID(address), Address: address}
	})
}

func (h *memberHost) voter() *voter.Voter { return h.current.Load() }
func (h *memberHost) state() *machine     { return h.machine.Load() }

func (h *memberHost) id() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.identity.ID
}

func (h *memberHost) knownGroup() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.identity.Group
}

// remember keeps the addresses of the group on disk, so that a node that starts
// again finds it without its seeds.
func (h *memberHost) remember(group []string) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.identity.Founder || slices.Equal(group, h.identity.Group) {
		return nil
	}
	updated := h.identity
	updated.Group = group
	return h.replace(updated)
}

// rememberID keeps the group's id on disk.
func (h *memberHost) rememberID(group addressee.Group) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	updated := h.identity
	updated.GroupID = group
	return h.replace(updated)
}

// replace writes another identity to disk and goes by it. The caller holds the mutex.
func (h *memberHost) replace(updated identity) error {
	if err := updated.save(h.config.Folder); err != nil {
		return err
	}
	h.identity = updated
	return nil
}

// reopen starts the voter again from its folder.
func (h *memberHost) reopen() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err := h.halt(); err != nil {
		h.environment.Logger.WithError(err).Debug("voter_closed_with_error")
	}
	return h.restart()
}

// rejoin puts the log of a voter that was removed aside and starts over as a
// new one.
func (h *memberHost) rejoin() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err := h.halt(); err != nil {
		h.environment.Logger.WithError(err).Debug("voter_closed_with_error")
	}
	aside := filepath.Join(h.config.Folder, setAsideFolder)
	if err := os.RemoveAll(aside); err != nil {
		return errors.Wrap(err, "an older log can't be removed")
	}
	if err := os.Rename(filepath.Join(h.config.Folder, logFolder), aside); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "the former log can't be put aside")
	}
	fresh := identity{ID: drawID(), Group: h.identity.Group, GroupID: h.identity.ownGroup()}
	if err := h.replace(fresh); err != nil {
		return err
	}
	if err := h.prepare(); err != nil {
		return err
	}
	return h.restart()
}

// restart opens the voter and tells those who wait on the former machine.
func (h *memberHost) restart() error {
	if err := h.open(); err != nil {
		return err
	}
	close(h.replaced)
	h.replaced = make(chan struct{})
	return nil
}

func (h *memberHost) halt() error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return h.current.Load().Close(ended)
}

func (h *memberHost) wasReplaced() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.replaced
}

func (h *memberHost) close(ctx context.Context) error { return h.current.Load().Close(ctx) }
