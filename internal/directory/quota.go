package directory

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Intervals for publishing the metered tenants.
const (
	// meterCheckInterval is how often the leader checks whether a tenant's bucket has refilled.
	meterCheckInterval = 100 * time.Millisecond
	// meterRepublishInterval is how often it publishes unchanged metered tenants to the other
	// nodes, which may have missed them.
	meterRepublishInterval = time.Second
)

// MeteredTenants are the tenants whose requests each need a token. The highest term wins, and
// within a term the highest revision.
type MeteredTenants struct {
	Term     uint64   `json:"term"`
	Revision uint64   `json:"revision"`
	Tenants  []string `json:"tenants"`
	// Exceeding are the tenants that may have got tokens beyond their buckets
	// (quota.Ledger.Exceeding).
	Exceeding []string `json:"exceeding,omitempty"`
}

func (m MeteredTenants) newer(other MeteredTenants) bool {
	return m.Term > other.Term || m.Term == other.Term && m.Revision > other.Revision
}

// leaderQuota holds the quota ledger of a leader for its term.
type leaderQuota struct {
	mutex  sync.Mutex
	ledger *quota.Ledger
	term   uint64
	// version is that of the document whose limits the ledger holds, once limitsLoaded is set.
	version      uint64
	limitsLoaded bool
	// publishedRevision is the last published revision of the metered tenants.
	publishedRevision uint64
	// changed is signaled when they change.
	changed chan struct{}
}

// Quota processes a router's usage of the tenants' limits and its request for tokens, and
// returns the granted tokens. It fails with ErrUnavailable.
func (n *Node) Quota(ctx context.Context, message quota.Message) (quota.Reply, error) {
	var reply quota.Reply
	err := n.onLeader(ctx, func(ctx context.Context) error {
		granted, err := n.quotaAsLeader(ctx, message)
		reply = granted
		return err
	}, pathQuotaLeader, message, &reply)
	return reply, err
}

// quotaAsLeader is Quota at the leader.
func (n *Node) quotaAsLeader(_ context.Context, message quota.Message) (quota.Reply, error) {
	ledger, release, err := n.lockLedger()
	if err != nil {
		return quota.Reply{}, err
	}
	defer release()
	reply := ledger.Process(steadyclock.Now(), message)
	if ledger.Revision() != n.quota.publishedRevision {
		select {
		case n.quota.changed <- struct{}{}:
		default:
		}
	}
	return reply, nil
}

// lockLedger returns the ledger of this node's term with the limits in effect, locked until
// release is called. It fails unless a quorum has recently confirmed that this node leads.
func (n *Node) lockLedger() (ledger *quota.Ledger, release func(), err error) {
	status, state := n.status(), n.member.state()
	if status.Role != consensus.Leader || n.freshnessAt(state, steadyclock.Now()) < -maxLeaderConfirmationAge {
		return nil, nil, errors.Wrap(ErrUnavailable, "this node is not known to lead")
	}
	if err := n.quota.lock(status.Term, state, n.config, n.lastExceeding); err != nil {
		return nil, nil, err
	}
	return n.quota.ledger, n.quota.mutex.Unlock, nil
}

// lastExceeding returns the tenants that this node last heard may have got tokens beyond their
// buckets.
func (n *Node) lastExceeding() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.metered.Exceeding
}

// lock updates the ledger to the term and the limits in effect; a new ledger continues with the
// tenants that may have exceeded their buckets. It leaves the mutex locked unless it fails.
func (q *leaderQuota) lock(term uint64, state *stateMachine, config Config, exceeding func() []string) error {
	q.mutex.Lock()
	if q.ledger == nil || q.term != term {
		q.ledger, q.term, q.limitsLoaded, q.publishedRevision = quota.NewLedger(config.QuotaTolerance), term, false, 0
		q.ledger.Resume(exceeding())
	}
	version, text, _ := state.document()
	if q.limitsLoaded && version == q.version {
		return nil
	}
	var limits map[string]quota.Limit
	if version > 0 {
		parsed, err := config.ReadLimits(text)
		if err != nil {
			q.mutex.Unlock()
			return errors.Wrapf(ErrUnavailable, "the limits can't be read: %v", err)
		}
		limits = parsed
	}
	q.ledger.SetLimits(steadyclock.Now(), limits)
	q.version, q.limitsLoaded = version, true
	return nil
}

// loadLedgerLimits loads the current limits into the ledger of a term before the first document
// of that term. Otherwise the ledger would treat tenants new in that document as ones to which
// an earlier leader may have granted tokens. The limits come from a confirmed read, so that no
// document of an earlier leader is missed.
func (n *Node) loadLedgerLimits(ctx context.Context) {
	term := n.status().Term
	n.quota.mutex.Lock()
	loaded := n.quota.limitsLoaded && n.quota.term == term
	n.quota.mutex.Unlock()
	if loaded {
		return
	}
	err := n.confirm(ctx)
	if err == nil && n.status().Term == term {
		err = n.quota.lock(term, n.member.state(), n.config, n.lastExceeding)
	}
	if err != nil {
		// New tenants then start with less of their burst, for one window.
		n.logger.WithField("term", term).WithField("reason", err).Warn("ledger_not_begun")
		return
	}
	n.quota.mutex.Unlock()
}

// runQuota publishes the metered tenants to all nodes while this one leads.
func (n *Node) runQuota(ctx context.Context) {
	ticker := time.NewTicker(meterCheckInterval)
	defer ticker.Stop()
	var lastPublished time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.quota.changed:
		case <-ticker.C:
		}
		republish := steadyclock.Since(lastPublished) >= meterRepublishInterval
		if republish {
			lastPublished = steadyclock.Now()
		}
		n.publishMetered(ctx, republish)
	}
}

// publishMetered publishes the metered tenants if they changed or force is set.
func (n *Node) publishMetered(ctx context.Context, force bool) {
	ledger, release, err := n.lockLedger()
	if err != nil {
		return // Another node leads, or will, and publishes them.
	}
	now := steadyclock.Now()
	exceeding := ledger.Exceeding(now)
	names, revision := ledger.Metered(now)
	metered := MeteredTenants{Term: n.quota.term, Revision: revision, Tenants: names, Exceeding: exceeding}
	changed := revision != n.quota.publishedRevision
	n.quota.publishedRevision = revision
	limited := ledger.HasLimits()
	release()
	if !limited && revision == 0 || !changed && !force {
		return
	}
	n.applyMetered(metered)
	for _, address := range n.peerAddresses() {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
			defer cancel()
			if err := n.peers.call(callCtx, address, pathMetered, metered, nil); err != nil {
				n.logger.WithField("node", address).WithField("reason", err).Debug("metered_not_told")
			}
		}()
	}
}

// applyMetered stores newer metered tenants and notifies routers if they changed.
func (n *Node) applyMetered(metered MeteredTenants) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !metered.newer(n.metered) {
		return
	}
	digest := uint64(0)
	if len(metered.Tenants) > 0 {
		digest = digestOf(metered.Tenants)
	}
	n.metered = metered
	if digest == n.meteredDigest {
		return
	}
	n.meteredDigest = digest
	n.metrics.metered.Set(float64(len(metered.Tenants)))
	n.logger.WithFields(logrus.Fields{"term": metered.Term, "revision": metered.Revision, "tenants": len(metered.Tenants), "some": sampleOf(metered.Tenants)}).Info("metered_tenants_changed")
	n.notifyRouters()
}

// maxLoggedNames bounds the names in one log line.
const maxLoggedNames = 8

func sampleOf(names []string) []string { return names[:min(len(names), maxLoggedNames)] }

// TenantList is the leader's view of the tenants with a limit.
type TenantList struct {
	Version uint64        `json:"version"`
	Tenants []quota.Usage `json:"tenants"`
}

// Tenants returns the usage of the limits, from the leader. It fails with ErrUnavailable.
func (n *Node) Tenants(ctx context.Context) (TenantList, error) {
	var list TenantList
	err := n.onLeader(ctx, func(ctx context.Context) error {
		usage, err := n.tenantsAsLeader(ctx, struct{}{})
		list = usage
		return err
	}, pathTenantsLeader, struct{}{}, &list)
	return list, err
}

func (n *Node) tenantsAsLeader(context.Context, struct{}) (TenantList, error) {
	ledger, release, err := n.lockLedger()
	if err != nil {
		return TenantList{}, err
	}
	defer release()
	return TenantList{Version: n.quota.version, Tenants: ledger.Usage(steadyclock.Now())}, nil
}

// ListTenants queries the node at a peer address for the usage of the tenants' limits.
func ListTenants(ctx context.Context, address string) (TenantList, error) {
	var list TenantList
	err := newPeerClient().call(ctx, address, pathTenants, struct{}{}, &list)
	return list, err
}
