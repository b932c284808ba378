package router

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/cell"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// shareManager updates this router's share of every back end's connections and slots
// when the plan, the live routers or the lease change. Reduced shares are applied
// before increased ones; see package cell.
type shareManager struct {
	router *Router
	// changed notifies run that the inputs changed.
	changed chan struct{}

	mutex sync.Mutex
	// plan is the complete plan, own the part that this router serves itself.
	plan    *plan.Plan
	own     *plan.Plan
	cells   *cell.Cells
	targets map[netip.AddrPort]probeTarget
	ledger  *cell.Ledger
	// lapsed is set while all shares are zero because no lease is valid.
	lapsed  bool
	applied map[netip.AddrPort]cell.Share
}

// leaseGraceDivisor is the divisor of the share delay that gives the time for which
// connections are kept after the lease has lapsed.
const leaseGraceDivisor = 4

func newShareManager(router *Router) *shareManager {
	return &shareManager{
		router:  router,
		changed: make(chan struct{}, 1),
		ledger:  cell.NewLedger(router.config.ShareDelay),
		lapsed:  true,
		applied: make(map[netip.AddrPort]cell.Share),
	}
}

// installPlan applies a new plan or new cells. The shares of its back ends take
// effect before it returns, so that no engine uses more than its share of a new one.
func (m *shareManager) installPlan(installed *installation, cells *cell.Cells) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ledger.MarkJoining(m.newlyOwned(installed.own))
	m.plan, m.own, m.cells = installed.plan, installed.own, cells
	m.targets = m.router.probeTargets(installed.own)
	m.refresh(steadyclock.Now())
}

// newlyOwned returns the back ends that the router had no share of until now, because
// it was not in their services' cells.
func (m *shareManager) newlyOwned(own *plan.Plan) []netip.AddrPort {
	if m.plan == nil {
		return nil
	}
	var added []netip.AddrPort
	for _, service := range own.Services {
		if _, before := m.own.ServiceNamed(service.Name); before {
			continue
		}
		if former, known := m.plan.ServiceNamed(service.Name); known {
			added = append(added, addressesOf(*former)...)
		}
	}
	return added
}

// setLease sets whether the lease allows the router to hold connections.
func (m *shareManager) setLease(valid bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.setLeaseLocked(valid)
}

// expireLease releases the shares if the lease had expired at the given time. The
// lease is checked with the lock held: otherwise a lease granted concurrently could
// be overwritten as expired, and a lease that is granted only once would be lost.
func (m *shareManager) expireLease(at time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.router.leaseValidAt(at) {
		m.setLeaseLocked(false)
	}
}

// setLeaseLocked is setLease with the lock already held.
func (m *shareManager) setLeaseLocked(valid bool) {
	if m.lapsed == !valid {
		return
	}
	m.lapsed = !valid
	if m.lapsed {
		m.ledger.Reset()
	}
	m.refresh(steadyclock.Now())
}

// refresh recomputes the shares and applies the changes.
func (m *shareManager) refresh(now time.Time) {
	if m.plan == nil {
		return
	}
	if !m.lapsed && !m.router.config.Standalone {
		m.ledger.Install(now, m.cells.Shares(m.plan, m.router.config.Name))
	}
	m.apply(now)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// apply applies the shares in effect now and returns when some may grow.
func (m *shareManager) apply(now time.Time) time.Time {
	effective, next := m.effective(now)
	for _, growing := range []bool{false, true} {
		for address, share := range effective {
			if (share.Connections > m.applied[address].Connections) == growing {
				m.applyOne(address, share)
			}
		}
	}
	for address := range m.applied {
		if _, kept := effective[address]; !kept {
			delete(m.applied, address)
			m.router.backends.Resize(address, 0)
		}
	}
	return next
}

// effective returns the shares that may be used now: none without a lease, all of
// every back end for a standalone router, otherwise those of the ledger.
func (m *shareManager) effective(now time.Time) (map[netip.AddrPort]cell.Share, time.Time) {
	switch {
	case m.plan == nil:
		return nil, time.Time{}
	case m.lapsed:
		return lo.MapValues(cell.Limits(m.own), func(cell.Share, netip.AddrPort) cell.Share { return cell.Share{} }), time.Time{}
	case m.router.config.Standalone:
		return cell.Limits(m.plan), time.Time{}
	default:
		return m.ledger.Effective(now)
	}
}

func (m *shareManager) applyOne(address netip.AddrPort, share cell.Share) {
	if applied, ok := m.applied[address]; ok && applied == share {
		return
	}
	m.applied[address] = share
	m.router.backends.Resize(address, share.Connections)
	for _, loop := range m.targets[address].loops {
		loop.pushNotice(query.ShareChanged{Address: address, Slots: share.Slots, Connections: share.Connections}, nil)
	}
}

// run applies growing shares when they are due, and detects an expired lease.
func (m *shareManager) run(ctx context.Context) {
	const leaseCheck = 100 * time.Millisecond
	for {
		// Requests admitted before the lease expired finish in this time. It ends well
		// before other routers take over this router's shares.
		m.expireLease(steadyclock.Now().Add(-m.router.config.ShareDelay / leaseGraceDivisor))
		m.mutex.Lock()
		next := m.apply(steadyclock.Now())
		m.mutex.Unlock()
		pause := leaseCheck
		if !next.IsZero() {
			pause = min(pause, max(steadyclock.Until(next), time.Millisecond))
		}
		select {
		case <-time.After(pause):
		case <-m.changed:
		case <-ctx.Done():
			return
		}
	}
}

// hasShares reports whether shares were applied under a valid lease.
func (m *shareManager) hasShares() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.plan != nil && !m.lapsed
}

// shareOf returns the share of a back end in use.
func (m *shareManager) shareOf(address netip.AddrPort) cell.Share {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.applied[address]
}
