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

// shareKeeper holds this router's share of every back end's connections and
// slots in step with the plan, the live routers and the lease. Smaller shares
// are taken before bigger ones; see package cell.
type shareKeeper struct {
	router *Router
	// changed wakes run after the inputs changed.
	changed chan struct{}

	mutex sync.Mutex
	// plan is the whole one, own the part that this router serves itself.
	plan    *plan.Plan
	own     *plan.Plan
	cells   *cell.Cells
	targets map[netip.AddrPort]probeTarget
	ledger  *cell.Ledger
	// lapsed is set while nothing may be held for want of a lease.
	lapsed  bool
	applied map[netip.AddrPort]cell.Share
}

// lapseFraction is the part of the share delay for which connections are kept
// after the lease has lapsed.
const lapseFraction = 4

func newShareKeeper(router *Router) *shareKeeper {
	return &shareKeeper{
		router:  router,
		changed: make(chan struct{}, 1),
		ledger:  cell.NewLedger(router.config.ShareDelay),
		lapsed:  true,
		applied: make(map[netip.AddrPort]cell.Share),
	}
}

// installPlan takes in a new plan or new cells. The shares of its back ends are
// applied before it returns, so that no engine uses more than its share of a
// new one.
func (k *shareKeeper) installPlan(installed *installation, cells *cell.Cells) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ledger.Outside(k.joined(installed.own))
	k.plan, k.own, k.cells = installed.plan, installed.own, cells
	k.targets = k.router.probeTargets(installed.own)
	k.refresh(steadyclock.Now())
}

// joined returns the back ends that the router had no share of until now,
// because it was not of their services' cells.
func (k *shareKeeper) joined(own *plan.Plan) []netip.AddrPort {
	if k.plan == nil {
		return nil
	}
	var joined []netip.AddrPort
	for _, service := range own.Services {
		if _, before := k.own.ServiceNamed(service.Name); before {
			continue
		}
		if former, known := k.plan.ServiceNamed(service.Name); known {
			joined = append(joined, addressesOf(*former)...)
		}
	}
	return joined
}

// setLease takes in whether the router may hold connections by its lease.
func (k *shareKeeper) setLease(valid bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.takeLease(valid)
}

// lapse gives the shares up if the lease had run out at a time. The lease is
// looked at with the lock held: one that is granted meanwhile would otherwise be
// taken as given up, and a lease that is granted only once was then missed.
func (k *shareKeeper) lapse(at time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.router.leaseValidAt(at) {
		k.takeLease(false)
	}
}

// takeLease is called with the lock held.
func (k *shareKeeper) takeLease(valid bool) {
	if k.lapsed == !valid {
		return
	}
	k.lapsed = !valid
	if k.lapsed {
		k.ledger.Reset()
	}
	k.refresh(steadyclock.Now())
}

// refresh computes the shares anew and applies what changed.
func (k *shareKeeper) refresh(now time.Time) {
	if k.plan == nil {
		return
	}
	if !k.lapsed && !k.router.config.Alone {
		k.ledger.Install(now, k.cells.Shares(k.plan, k.router.config.Name))
	}
	k.apply(now)
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// apply hands out the shares that hold now and returns when some may grow.
func (k *shareKeeper) apply(now time.Time) time.Time {
	effective, next := k.effective(now)
	for _, growing := range []bool{false, true} {
		for address, share := range effective {
			if (share.Connections > k.applied[address].Connections) == growing {
				k.applyOne(address, share)
			}
		}
	}
	for address := range k.applied {
		if _, kept := effective[address]; !kept {
			delete(k.applied, address)
			k.router.backends.Resize(address, 0)
		}
	}
	return next
}

// effective returns what may be used now: nothing without a lease, the whole
// of every back end for a router alone, else what the ledger says.
func (k *shareKeeper) effective(now time.Time) (map[netip.AddrPort]cell.Share, time.Time) {
	switch {
	case k.plan == nil:
		return nil, time.Time{}
	case k.lapsed:
		return lo.MapValues(cell.Whole(k.own), func(cell.Share, netip.AddrPort) cell.Share { return cell.Share{} }), time.Time{}
	case k.router.config.Alone:
		return cell.Whole(k.plan), time.Time{}
	default:
		return k.ledger.Effective(now)
	}
}

func (k *shareKeeper) applyOne(address netip.AddrPort, share cell.Share) {
	if applied, ok := k.applied[address]; ok && applied == share {
		return
	}
	k.applied[address] = share
	k.router.backends.Resize(address, share.Connections)
	for _, loop := range k.targets[address].loops {
		loop.pushNotice(query.ShareChanged{Address: address, Slots: share.Slots, Connections: share.Connections}, nil)
	}
}

// run applies growth when its time has come, and notices a lapsed lease.
func (k *shareKeeper) run(ctx context.Context) {
	const leaseCheck = 100 * time.Millisecond
	for {
		// Requests admitted before the lapse finish in this time. It ends well
		// before the others take over what this router held.
		k.lapse(steadyclock.Now().Add(-k.router.config.ShareDelay / lapseFraction))
		k.mutex.Lock()
		next := k.apply(steadyclock.Now())
		k.mutex.Unlock()
		pause := leaseCheck
		if !next.IsZero() {
			pause = min(pause, max(steadyclock.Until(next), time.Millisecond))
		}
		select {
		case <-time.After(pause):
		case <-k.changed:
		case <-ctx.Done():
			return
		}
	}
}

// held reports whether shares were taken under a valid lease.
func (k *shareKeeper) held() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.plan != nil && !k.lapsed
}

// describe returns the shares in use, for the status page.
func (k *shareKeeper) describe(address netip.AddrPort) cell.Share {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.applied[address]
}
