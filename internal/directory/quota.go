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

// Times of telling which tenants are metered.
const (
	// meterInterval is how often the leader looks whether a tenant's bucket is filled again.
	meterInterval = 100 * time.Millisecond
	// meterRepeat is how often it tells the other nodes again, which may have missed it.
	meterRepeat = time.Second
)

// Metered are the tenants whose requests each need a token. The highest term, and of one
// term the highest revision, holds.
type Metered struct {
	Term     uint64   `json:"term"`
	Revision uint64   `json:"revision"`
	Tenants  []string `json:"tenants"`
}

func (m Metered) newer(than Metered) bool {
	return m.Term > than.Term || m.Term == than.Term && m.Revision > than.Revision
}

// quotaKeeper holds the ledger of a leader, for the term that it leads.
type quotaKeeper struct {
	mutex  sync.Mutex
	ledger *quota.Ledger
	term   uint64
	// version is that of the document whose limits the ledger knows, once it has begun.
	version uint64
	begun   bool
	// told is the revision of the metered tenants that was told last.
	told uint64
	// wake is sent to when they changed.
	wake chan struct{}
}

// Quota takes what a router spent and wants of the tenants' limits, and returns what it
// gets. It fails with ErrUnavailable.
func (n *Node) Quota(ctx context.Context, message quota.Message) (quota.Reply, error) {
	var reply quota.Reply
	err := n.atLeader(ctx, func(ctx context.Context) error {
		granted, err := n.quotaHere(ctx, message)
		reply = granted
		return err
	}, pathQuotaLeader, message, &reply)
	return reply, err
}

// quotaHere is Quota at the leader.
func (n *Node) quotaHere(_ context.Context, message quota.Message) (quota.Reply, error) {
	ledger, release, err := n.lockLedger()
	if err != nil {
		return quota.Reply{}, err
	}
	defer release()
	reply := ledger.Take(steadyclock.Now(), message)
	if ledger.Revision() != n.quota.told {
		select {
		case n.quota.wake <- struct{}{}:
		default:
		}
	}
	return reply, nil
}

// lockLedger returns the ledger of this node's term with the limits in force, locked until
// release is called. It fails unless a quorum has lately confirmed that this node leads.
func (n *Node) lockLedger() (ledger *quota.Ledger, release func(), err error) {
	status, applied := n.status(), n.member.state()
	if status.Role != consensus.Leader || n.freshSince(applied, steadyclock.Now()) < -leaderFreshness {
		return nil, nil, errors.Wrap(ErrUnavailable, "this node is not known to lead")
	}
	if err := n.quota.lock(status.Term, applied, n.config); err != nil {
		return nil, nil, err
	}
	return n.quota.ledger, n.quota.mutex.Unlock, nil
}

// lock takes in the term and the limits in force, and leaves the keeper locked unless it fails.
func (k *quotaKeeper) lock(term uint64, applied *machine, config Config) error {
	k.mutex.Lock()
	if k.ledger == nil || k.term != term {
		k.ledger, k.term, k.begun, k.told = quota.NewLedger(config.QuotaTolerance), term, false, 0
	}
	version, text, _ := applied.document()
	if k.begun && version == k.version {
		return nil
	}
	var limits map[string]quota.Limit
	if version > 0 {
		read, err := config.ReadLimits(text)
		if err != nil {
			k.mutex.Unlock()
			return errors.Wrapf(ErrUnavailable, "the limits can't be read: %v", err)
		}
		limits = read
	}
	k.ledger.SetLimits(steadyclock.Now(), limits)
	k.version, k.begun = version, true
	return nil
}

// beginLedger has the ledger of a term know the limits before the first document of that term:
// otherwise it takes the tenants which that one brings for such that an earlier leader may have
// granted tokens to. What it is told comes after a confirmed read, so that no document of an
// earlier leader is missing.
func (n *Node) beginLedger(ctx context.Context) {
	term := n.status().Term
	n.quota.mutex.Lock()
	begun := n.quota.begun && n.quota.term == term
	n.quota.mutex.Unlock()
	if begun {
		return
	}
	err := n.confirm(ctx)
	if err == nil && n.status().Term == term {
		err = n.quota.lock(term, n.member.state(), n.config)
	}
	if err != nil {
		// New tenants then begin with less of their burst, for a window.
		n.logger.WithField("term", term).WithField("reason", err).Warn("ledger_not_begun")
		return
	}
	n.quota.mutex.Unlock()
}

// runQuota tells all nodes which tenants are metered, while this one leads.
func (n *Node) runQuota(ctx context.Context) {
	ticker := time.NewTicker(meterInterval)
	defer ticker.Stop()
	var repeated time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.quota.wake:
		case <-ticker.C:
		}
		repeat := steadyclock.Since(repeated) >= meterRepeat
		if repeat {
			repeated = steadyclock.Now()
		}
		n.tellMetered(ctx, repeat)
	}
}

// tellMetered tells which tenants are metered if that changed, or again.
func (n *Node) tellMetered(ctx context.Context, again bool) {
	ledger, release, err := n.lockLedger()
	if err != nil {
		return // Another node leads, or will: it tells.
	}
	names, revision := ledger.Metered(steadyclock.Now())
	metered := Metered{Term: n.quota.term, Revision: revision, Tenants: names}
	changed := revision != n.quota.told
	n.quota.told = revision
	limited := ledger.Limited()
	release()
	if !limited && revision == 0 || !changed && !again {
		return
	}
	n.takeMetered(metered)
	for _, address := range n.peerAddresses() {
		go func() {
			calling, cancel := context.WithTimeout(ctx, deliverTimeout)
			defer cancel()
			if err := n.peers.call(calling, address, pathMetered, metered, nil); err != nil {
				n.logger.WithField("node", address).WithField("reason", err).Debug("metered_not_told")
			}
		}()
	}
}

// takeMetered takes in which tenants are metered, and wakes routers if that is news.
func (n *Node) takeMetered(told Metered) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !told.newer(n.metered) {
		return
	}
	digest := uint64(0)
	if len(told.Tenants) > 0 {
		digest = digestOf(told.Tenants)
	}
	n.metered = told
	if digest == n.meteredDigest {
		return
	}
	n.meteredDigest = digest
	n.metrics.metered.Set(float64(len(told.Tenants)))
	n.logger.WithFields(logrus.Fields{"term": told.Term, "revision": told.Revision, "tenants": len(told.Tenants), "some": someOf(told.Tenants)}).Info("metered_tenants_changed")
	n.announce()
}

// maxNamed bounds the names in one log line.
const maxNamed = 8

func someOf(names []string) []string { return names[:min(len(names), maxNamed)] }

// TenantList is what the leader knows of tenants with a limit.
type TenantList struct {
	Version uint64        `json:"version"`
	Tenants []quota.Usage `json:"tenants"`
}

// Tenants returns what is used of the limits, from the leader. It fails with
// ErrUnavailable.
func (n *Node) Tenants(ctx context.Context) (TenantList, error) {
	var list TenantList
	err := n.atLeader(ctx, func(ctx context.Context) error {
		known, err := n.tenantsHere(ctx, struct{}{})
		list = known
		return err
	}, pathTenantsLeader, struct{}{}, &list)
	return list, err
}

func (n *Node) tenantsHere(context.Context, struct{}) (TenantList, error) {
	ledger, release, err := n.lockLedger()
	if err != nil {
		return TenantList{}, err
	}
	defer release()
	return TenantList{Version: n.quota.version, Tenants: ledger.Usage(steadyclock.Now())}, nil
}

// ListTenants asks the node at a peer address what is used of the tenants' limits.
func ListTenants(ctx context.Context, address string) (TenantList, error) {
	var list TenantList
	err := newPeerClient().call(ctx, address, pathTenants, struct{}{}, &list)
	return list, err
}
