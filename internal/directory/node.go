package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/voter"
)

// Node is one control node. Its methods may be called from any goroutine.
type Node struct {
	config  Config
	logger  logrus.FieldLogger
	metrics *metrics
	started time.Time
	// source names this start of the node, so that a router can tell whose
	// revisions it holds.
	source string
	seeds  atomic.Pointer[[]string]
	member *memberHost
	peers  *peerClient
	// misdirected bounds the lines of calls that were meant for another group.
	misdirected logging.LineLimit
	// replacedLines bounds the lines of instances that others replaced.
	replacedLines logging.LineLimit
	packer        documentPacker

	mutex    sync.Mutex
	registry *registry.Table
	changed  chan struct{}
	// fresh are servers whose change was reported to this node since the last
	// share, beats those that only repeated themselves.
	fresh   map[string]bool
	beats   map[string]uint64
	routers routerTable
	summary summaryKeeper
	// announcing says that routers are woken soon.
	announcing bool
	demand     demand
	// doubts are what routers told this node since the last share.
	doubts     []Doubt
	candidates map[string]candidate
	// told are the members that other nodes named to this one, which is none.
	told []string
	// refused holds ids that can't be members any more.
	refused map[uint64]bool
	// silentSince is when the leader last heard a member.
	silentSince map[uint64]time.Time
	// settled says that the registry was taken over from another node, or that
	// all servers had time to announce themselves.
	settled bool
	// metered are the tenants whose requests each need a token, as told last.
	metered       Metered
	meteredDigest uint64
	quota         quotaKeeper
	// reports are what routers observed of roll-outs.
	reports   reportBook
	confirmed atomic.Pointer[freshness]
	// confirmNow has the state confirmed at once, renewed is closed once it was; stale says that
	// it is out of date.
	confirmNow chan struct{}
	renewed    chan struct{}
	stale      atomic.Bool
	// lacking says that another node told of a server that this one does not know.
	lacking bool
}

// Open loads the identity and starts the voter.
func Open(config Config, environment Environment) (*Node, error) {
	node := &Node{
		config:      config,
		logger:      environment.Logger.WithField(logging.FieldNode, config.Name),
		metrics:     newMetrics(environment.Registerer),
		started:     steadyclock.Now(),
		source:      config.Name + "/" + time.Now().Format(time.RFC3339Nano), // The wall clock: a person reads it.
		peers:       newPeerClient(),
		registry:    registry.New(missingHeartbeats*config.HeartbeatInterval, forgetAfter),
		changed:     make(chan struct{}),
		fresh:       make(map[string]bool),
		beats:       make(map[string]uint64),
		routers:     make(routerTable),
		candidates:  make(map[string]candidate),
		refused:     make(map[uint64]bool),
		silentSince: make(map[uint64]time.Time),
		reports:     make(reportBook),
		confirmNow:  make(chan struct{}, 1),
		renewed:     make(chan struct{}),
		quota:       quotaKeeper{wake: make(chan struct{}, 1)},
	}
	node.registry.ClaimAtLeast(2 * beatShareInterval)
	node.SetSeeds(config.Seeds)
	member, err := openMember(config, environment, node.peers)
	if err != nil {
		return nil, err
	}
	node.member = member
	node.restoreTable()
	return node, nil
}

// SetSeeds replaces the seeds, after a reload of the settings.
func (n *Node) SetSeeds(seeds []string) {
	copied := append([]string(nil), seeds...)
	n.seeds.Store(&copied)
}

// Run carries out the node's duties until the context ends, then hands
// leadership over and closes the voter.
func (n *Node) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){
		n.runJoining, n.runFormation, n.runSharing, n.runReconciling, n.runDepartures, n.runRecovery, n.runTableFile, n.runQuarantine, n.runFreshness, n.runQuota, n.runRollouts, n.runStateWatch, n.runGroup,
	} {
		duties.Go(func() { duty(ctx) })
	}
	<-ctx.Done()
	duties.Wait()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return n.member.close(closing)
}

// every calls a step at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step()
		}
	}
}

// status returns the voter's state.
func (n *Node) status() voter.Status { return n.member.voter().Status() }

// Voters returns the peer addresses of the voters as this node knows them.
func (n *Node) Voters() map[string]bool {
	voters := map[string]bool{}
	for _, member := range n.status().Members {
		if !member.Learner {
			voters[member.Address] = true
		}
	}
	return voters
}

// inGroup reports whether the node hears a leader, so that what it tells routers
// is at most about an election timeout old.
func (n *Node) inGroup() bool {
	status := n.status()
	return status.Leader != 0 && status.DiskError == nil
}

// peerAddresses returns the other nodes: members, or those that such named to a node that asks to
// become one. Seeds are not among them, since the address of one may have passed to another group.
func (n *Node) peerAddresses() []string {
	var addresses []string
	seen := map[string]bool{n.config.PeerAddress: true, "": true}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, member := range n.status().Members {
		add(member.Address)
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, address := range n.accepting() {
		add(address)
	}
	if n.group() != 0 {
		for _, address := range n.member.knownGroup() {
			add(address)
		}
	}
	return addresses
}

// announce wakes the routers that wait for news. The caller holds the mutex.
func (n *Node) announce() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// runRecovery opens the voter again after its disk failed.
func (n *Node) runRecovery(ctx context.Context) {
	every(ctx, reopenDelay, func() {
		status := n.status()
		if status.DiskError == nil {
			return
		}
		n.logger.WithError(status.DiskError).Warn("disk_failed: the voter is opened again")
		if err := n.member.reopen(); err != nil {
			n.logger.WithError(err).Warn("voter_not_opened")
			return
		}
		n.logger.Info("voter_opened_again")
	})
}

// announceGathering is for how long changes of servers and routers are put together until
// routers are woken: each wakes all that wait here, and a start of all is thousands of them.
const announceGathering = summaryLeast

// announceSoon wakes the routers that wait here, after a moment. The caller holds the mutex.
func (n *Node) announceSoon() {
	if n.announcing {
		return
	}
	n.announcing = true
	time.AfterFunc(announceGathering, func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.announcing = false
		n.announce()
	})
}

// routersChanged takes in that the routers are others. The caller holds the mutex.
func (n *Node) routersChanged() {
	n.summary.change()
	n.announceSoon()
}
