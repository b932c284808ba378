package cell

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/plan"
)

var serverAddress = netip.MustParseAddrPort("127.0.0.1:1")

func onePlan(connections, slots, cellRouters int) *plan.Plan {
	replica := plan.Replica{Address: serverAddress, Connections: connections, Slots: slots}
	return &plan.Plan{Services: []plan.Service{{
		Name: "search", CellRouters: cellRouters,
		Generations: []plan.Generation{{Number: 1, Shards: []plan.Shard{{Replicas: []plan.Replica{replica}}}}},
	}}}
}

func routerNames(count int) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = fmt.Sprintf("router-%d", index)
	}
	return names
}

func TestSharesStayWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(1, 120).Draw(t, "connections")
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		routers := routerNames(rapid.IntRange(1, 150).Draw(t, "routers"))
		size := rapid.IntRange(0, 20).Draw(t, "size")
		fullPlan := onePlan(connections, slots, size)
		var sum Share
		for _, router := range routers {
			share := Shares(fullPlan, routers, router)[serverAddress]
			require.Equal(t, share.Connections > 0, share.Slots > 0)
			sum.Connections += share.Connections
			sum.Slots += share.Slots
		}
		require.LessOrEqual(t, sum.Connections, connections)
		members := len(Members("search", routers, size))
		require.LessOrEqual(t, sum.Slots, max(slots, members))
	})
}

// TestSharedBackEndIsSplitOverBothCells requires that a back end of two services is divided
// among the routers of both cells, also as computed by a router that is in only one of them.
func TestSharedBackEndIsSplitOverBothCells(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(1, 120).Draw(t, "connections")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		routers := routerNames(rapid.IntRange(1, 60).Draw(t, "routers"))
		fullPlan := onePlan(connections, 1, size)
		second := fullPlan.Services[0]
		second.Name = "second"
		fullPlan.Services = append(fullPlan.Services, second)
		cells := NewCells(routers)
		both := append(slices.Clone(cells.Members("search", size)), cells.Members("second", size)...)
		sum := 0
		for _, router := range routers {
			share, held := cells.Shares(fullPlan, router)[serverAddress]
			require.Equal(t, slices.Contains(both, router), held)
			require.Equal(t, held, len(cells.LocalPlan(fullPlan, router).Services) > 0)
			sum += share.Connections
		}
		require.LessOrEqual(t, sum, connections)
	})
}

func TestOnlyCellsOfTheChangedRouterMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := routerNames(rapid.IntRange(2, 60).Draw(t, "routers"))
		removed := rapid.SampledFrom(routers).Draw(t, "removed")
		size := rapid.IntRange(1, 8).Draw(t, "size")
		remaining := slices.DeleteFunc(slices.Clone(routers), func(name string) bool { return name == removed })
		for service := range 20 {
			name := fmt.Sprintf("service-%d", service)
			before, after := Members(name, routers, size), Members(name, remaining, size)
			kept := slices.DeleteFunc(slices.Clone(before), func(member string) bool { return member == removed })
			require.Equal(t, kept, after[:len(kept)], "the others keep their ranks")
			require.LessOrEqual(t, len(after)-len(kept), 1)
		}
	})
}

// fleet simulates routers that receive successive lists late, within the hold time, and may
// miss some in between.
type fleet struct {
	t        *rapid.T
	fullPlan *plan.Plan
	holdTime time.Duration
	now      time.Time
	live     []string
	// pending is when the newest list arrives at each router.
	pending  map[string]time.Time
	ledgers  map[string]*Ledger
	joinedAt time.Time
	// departedConnections are the connections that a departed router uses until it has
	// finished its calls.
	departedConnections int
	departedAt          time.Time
}

func (f *fleet) publishList() {
	for _, router := range f.live {
		due, ok := f.pending[router]
		if !ok || due.After(f.now) {
			latest := f.now.Add(time.Duration(rapid.Int64Range(0, int64(f.holdTime)).Draw(f.t, "delay")))
			if !ok || latest.Before(due) {
				due = latest
			}
			f.pending[router] = due
		}
	}
}

// deliver gives the newest list to every router for which it has arrived.
func (f *fleet) deliver() {
	for _, router := range f.live {
		if due, ok := f.pending[router]; ok && !due.After(f.now) {
			delete(f.pending, router)
			f.ledgers[router].Install(f.now, Shares(f.fullPlan, f.live, router))
		}
	}
}

func (f *fleet) check(limit int) {
	sum := 0
	if f.now.Before(f.departedAt.Add(f.holdTime)) {
		sum = f.departedConnections
	}
	for _, router := range f.live {
		shares, _ := f.ledgers[router].Effective(f.now)
		sum += shares[serverAddress].Connections
	}
	require.LessOrEqual(f.t, sum, limit)
}

func TestUsedSharesStayWithinTheLimitWhileListsSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(30, 120).Draw(t, "limit")
		f := &fleet{t: t, fullPlan: onePlan(limit, 4, 0), holdTime: time.Second, now: time.Unix(0, 0),
			pending: map[string]time.Time{}, ledgers: map[string]*Ledger{}}
		f.joinedAt, f.departedAt = f.now.Add(-f.holdTime), f.now.Add(-f.holdTime)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.Int64Range(0, int64(f.holdTime)/2).Draw(t, "advance")))
			f.deliver()
			f.check(limit)
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				if len(f.live) < 12 && f.now.Sub(f.joinedAt) >= f.holdTime {
					name := fmt.Sprintf("router-%d", step)
					f.live = append(f.live, name)
					f.ledgers[name] = NewLedger(f.holdTime)
					f.joinedAt = f.now
					f.publishList()
				}
			case 1:
				if len(f.live) > 1 && f.now.Sub(f.departedAt) >= f.holdTime {
					removed := rapid.SampledFrom(f.live).Draw(t, "removed")
					shares, _ := f.ledgers[removed].Effective(f.now)
					f.departedConnections, f.departedAt = shares[serverAddress].Connections, f.now
					f.live = slices.DeleteFunc(f.live, func(name string) bool { return name == removed })
					delete(f.pending, removed)
					f.publishList()
				}
			}
			f.deliver()
			f.check(limit)
		}
	})
}

// TestTheSharesOfDepartedRoutersStayFreeForTheHoldTime guards the shares of routers that lost
// their lease: such routers finish the calls in flight, so the others must not use their
// shares before the hold time has passed.
func TestTheSharesOfDepartedRoutersStayFreeForTheHoldTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(30, 120).Draw(t, "limit")
		fullPlan, start := onePlan(limit, 4, 0), time.Unix(0, 0)
		before := routerNames(rapid.IntRange(2, 20).Draw(t, "routers"))
		after := before[:rapid.IntRange(1, len(before)-1).Draw(t, "left")]
		sum := 0
		for index, router := range before {
			ledger := NewLedger(time.Second)
			ledger.Install(start.Add(-time.Minute), Shares(fullPlan, before, router))
			if index < len(after) {
				ledger.Install(start, Shares(fullPlan, after, router))
			}
			shares, _ := ledger.Effective(start.Add(999 * time.Millisecond))
			sum += shares[serverAddress].Connections
		}
		require.LessOrEqual(t, sum, limit)
	})
}

func TestAShareGrowsOnlyAfterTheHoldTime(t *testing.T) {
	ledger := NewLedger(time.Second)
	start := time.Unix(0, 0)
	shares := func(connections int) map[netip.AddrPort]Share {
		return map[netip.AddrPort]Share{serverAddress: {Connections: connections, Slots: 1}}
	}
	at := func(offset time.Duration) int {
		effective, _ := ledger.Effective(start.Add(offset))
		return effective[serverAddress].Connections
	}
	ledger.Install(start, shares(20))
	require.Equal(t, 10, at(0), "half of the share while joining")
	require.Equal(t, 20, at(time.Second))
	ledger.Install(start.Add(2*time.Second), shares(12))
	require.Equal(t, 12, at(2*time.Second), "a smaller share applies at once")
	ledger.Install(start.Add(3*time.Second), shares(30))
	require.Equal(t, 12, at(3900*time.Millisecond))
	require.Equal(t, 30, at(4*time.Second))
	ledger.Reset()
	require.Zero(t, at(4*time.Second))
}
