package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/loadview"
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
	// source identifies this start of the node, so that a router can tell which node's
	// revisions it holds.
	source string
	seeds  atomic.Pointer[[]string]
	member *memberHost
	peers  *peerClient
	// misdirectedLogLimit limits the log lines about calls meant for another group.
	misdirectedLogLimit logging.LineLimit
	// replacedLogLimit limits the log lines about replaced instances.
	replacedLogLimit logging.LineLimit
	packer           documentPacker

	mutex    sync.Mutex
	registry *registry.Table
	changed  chan struct{}
	// changedServers are servers whose change was reported to this node since the last share,
	// repeatedHeartbeats those that only repeated their heartbeat, by sequence.
	changedServers     map[string]bool
	repeatedHeartbeats map[string]uint64
	routers            routerTable
	summary            summaryCache
	// notifyPending reports that a notification of the waiting routers is scheduled.
	notifyPending bool
	notifyLimit   notifyLimit
	demand        demand
	// suspectReports are the reports received from routers since the last share.
	suspectReports []SuspectReport
	candidates     map[string]candidate
	// reportedMembers are the members that other nodes reported to this node while it is not a
	// member.
	reportedMembers []string
	// refused holds ids that can no longer be members.
	refused map[uint64]bool
	// silentSince is when the leader last received from a member that is silent.
	silentSince map[uint64]time.Time
	// settled reports that the registry was copied from another node or that all servers had
	// time to announce themselves.
	settled bool
	// metered are the tenants whose requests each need a token, as last announced by the
	// leader.
	metered       MeteredTenants
	meteredDigest uint64
	quota         leaderQuota
	// heldLoad is the view of load as last published by the leader.
	heldLoad   loadview.Held
	load       nodeLoad
	leaderLoad leaderLoad
	// rolloutReports are the observations that routers reported of rollouts.
	rolloutReports reportTable
	lastConfirmed  atomic.Pointer[freshness]
	// confirmNow triggers an immediate confirmation of the state, freshnessRenewed is closed
	// after a confirmation, and stale reports that the state is stale.
	confirmNow       chan struct{}
	freshnessRenewed chan struct{}
	stale            atomic.Bool
	calls            routerCalls
	// waiting is how many calls of routers are held.
	waiting atomic.Int64
	tables  tableEncoder
	// tableIncomplete reports that another node shared a heartbeat of a server unknown to this
	// one.
	tableIncomplete bool
}

// Open loads the identity and starts the voter.
func Open(config Config, environment Environment) (*Node, error) {
	node := &Node{
		config:             config,
		logger:             environment.Logger.WithField(logging.FieldNode, config.Name),
		metrics:            newMetrics(environment.Registerer),
		started:            steadyclock.Now(),
		source:             config.Name + "/" + time.Now().Format(time.RFC3339Nano), // wall clock, since operators read it.
		peers:              newPeerClient(),
		registry:           registry.New(missingHeartbeats*config.HeartbeatInterval, forgetAfter),
		changed:            make(chan struct{}),
		changedServers:     make(map[string]bool),
		repeatedHeartbeats: make(map[string]uint64),
		routers:            make(routerTable),
		candidates:         make(map[string]candidate),
		refused:            make(map[uint64]bool),
		silentSince:        make(map[uint64]time.Time),
		rolloutReports:     make(reportTable),
		confirmNow:         make(chan struct{}, 1),
		freshnessRenewed:   make(chan struct{}),
		quota:              leaderQuota{changed: make(chan struct{}, 1)},
		load:               newNodeLoad(),
	}
	node.registry.SetMinClaimTime(2 * heartbeatShareInterval)
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

// Run runs the node's background tasks until the context is canceled, then transfers leadership
// and closes the voter.
func (n *Node) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){
		n.runJoining, n.runFormation, n.runSharing, n.runReconciling, n.runDepartures, n.runRecovery, n.runTableFile, n.runQuarantine, n.runFreshness, n.runQuota, n.runLoad, n.runRollouts, n.runStateWatch, n.runGroup, n.runRouterCalls,
	} {
		tasks.Go(func() { task(ctx) })
	}
	<-ctx.Done()
	tasks.Wait()
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return n.member.close(closeCtx)
}

// runEvery calls step at an interval until the context is canceled.
func runEvery(ctx context.Context, interval time.Duration, step func()) {
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

// status returns the voter's status.
func (n *Node) status() voter.Status { return n.member.voter().Status() }

// Voters returns the peer addresses of the voters known to this node.
func (n *Node) Voters() map[string]bool {
	voters := map[string]bool{}
	for _, member := range n.status().Members {
		if !member.Learner {
			voters[member.Address] = true
		}
	}
	return voters
}

// inGroup reports whether the node has a leader, so that the state it reports to routers is at
// most about one election timeout old.
func (n *Node) inGroup() bool {
	status := n.status()
	return status.Leader != 0 && status.DiskError == nil
}

// peerAddresses returns the other nodes: the members, or, for a node that is joining, those
// reported by other nodes or remembered. Seeds are excluded, because a seed's address may now
// belong to another group.
func (n *Node) peerAddresses() []string {
	var addresses []string
	added := map[string]bool{n.config.PeerAddress: true, "": true}
	add := func(address string) {
		if !added[address] {
			added[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, member := range n.status().Members {
		add(member.Address)
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, address := range n.joinableMembers() {
		add(address)
	}
	if n.group() != 0 {
		for _, address := range n.member.peerAddresses() {
			add(address)
		}
	}
	return addresses
}

// notifyRouters wakes the routers waiting for updates. The caller holds the mutex.
func (n *Node) notifyRouters() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// runRecovery reopens the voter after a disk failure.
func (n *Node) runRecovery(ctx context.Context) {
	runEvery(ctx, reopenDelay, func() {
		status := n.status()
		if status.DiskError == nil {
			return
		}
		n.logger.WithError(status.DiskError).Warn("disk_failed: reopening the voter")
		if err := n.member.reopen(); err != nil {
			n.logger.WithError(err).Warn("voter_not_opened")
			return
		}
		n.logger.Info("voter_opened_again")
	})
}

// Limits of notifying routers of changes of servers and routers. Each notification wakes all
// routers waiting here, and a start of the whole fleet brings thousands of changes.
const (
	// minNotifyDelay is the minimum time for which changes are batched.
	minNotifyDelay = summaryMinInterval
	// maxNotifiedPerSecond bounds the routers woken by such changes, whatever their number.
	maxNotifiedPerSecond = 2000
)

// notifyLimit limits the rate at which waiting routers are woken. Its owner synchronizes access.
type notifyLimit struct {
	// next is when they may be woken again.
	next time.Time
}

// delay returns for how long changes are batched.
func (l *notifyLimit) delay(now time.Time) time.Duration {
	return max(minNotifyDelay, l.next.Sub(now))
}

// notified records that a number of routers was woken.
func (l *notifyLimit) notified(now time.Time, woken int64) {
	l.next = now.Add(time.Duration(woken) * time.Second / maxNotifiedPerSecond)
}

// notifyRoutersSoon schedules a notification of the waiting routers. The caller holds the
// mutex.
func (n *Node) notifyRoutersSoon() {
	if n.notifyPending {
		return
	}
	n.notifyPending = true
	time.AfterFunc(n.notifyLimit.delay(steadyclock.Now()), func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.notifyPending = false
		n.notifyLimit.notified(steadyclock.Now(), n.waiting.Load())
		n.notifyRouters()
	})
}

// markRoutersChanged invalidates the router summary and schedules a notification. The caller
// holds the mutex.
func (n *Node) markRoutersChanged() {
	n.summary.invalidate()
	n.notifyRoutersSoon()
}
