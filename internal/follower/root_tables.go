package follower

import (
	"time"

	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
)

// RootTables are the tables of a control voter, which merge all reports.
type RootTables struct {
	directory *membership.Directory
	machines  *membership.Machines
	// incarnations holds the newest boot number of each node that was reported
	// in this term.
	incarnations map[string]uint64
	// termStart is when this process became the leader.
	termStart time.Time
}

// After an election, tables are not distributed until nodes have had time to
// report to the new leader; until then nodes use those of the previous leader.
// A list of routers distributed too early would make routers treat the missing
// ones as removed, which moves cells. Machine states are reported again with
// the first call and are more urgent, so their delay is shorter.
const (
	routersWarmUp  = 5 * lease.RenewInterval
	machinesWarmUp = 2 * lease.RenewInterval
)

// NewRootTables returns empty tables.
func NewRootTables() *RootTables {
	return &RootTables{
		directory: membership.NewDirectory(), machines: membership.NewMachines(), incarnations: make(map[string]uint64),
	}
}

// StartTerm discards the reports of earlier terms.
func (t *RootTables) StartTerm(now time.Time, term uint64) {
	t.directory.StartTerm(term)
	t.machines.StartTerm(now, term)
	clear(t.incarnations)
	t.termStart = now
}

// Report records a node with a live lease. Observations of back ends by an
// earlier incarnation of the node are discarded.
func (t *RootTables) Report(source string, view membership.NodeView) {
	t.directory.Report(source, view)
	previous, known := t.incarnations[view.Name]
	if known && previous >= view.Boot {
		return
	}
	t.incarnations[view.Name] = view.Boot
	if known {
		t.machines.Forget(view.Name, view.LastSeen)
	}
}

// Lapse records that a source no longer reports a node as live.
func (t *RootTables) Lapse(now time.Time, source, name string) { t.directory.Lapse(now, source, name) }

// LapseChild records the loss of a direct child and of the nodes that it
// reported.
func (t *RootTables) LapseChild(now time.Time, child string) {
	t.directory.Lapse(now, membership.Direct, child)
	t.directory.LapseSource(now, child)
}

// Observe records a router's observation of a back end.
func (t *RootTables) Observe(now time.Time, observation membership.Observation) {
	t.machines.Observe(now, observation)
}

// Expire drops outdated entries.
func (t *RootTables) Expire(now time.Time) {
	t.directory.Expire(now)
	t.machines.Expire(now)
}

// Routers returns the live routers, or nil until all had time to report.
func (t *RootTables) Routers(now time.Time) *membership.Table[membership.Node] {
	if now.Sub(t.termStart) < routersWarmUp {
		return nil
	}
	return t.directory.Routers()
}

// Machines returns the merged machine states, or nil until all routers had time
// to report.
func (t *RootTables) Machines(now time.Time) *membership.Table[membership.Machine] {
	if now.Sub(t.termStart) < machinesWarmUp {
		return nil
	}
	return t.machines.Table()
}

// Nodes returns all nodes that are, or recently were, registered.
func (t *RootTables) Nodes() []membership.NodeView { return t.directory.Nodes() }

// SetPlatform replaces the platform's list of machines.
func (t *RootTables) SetPlatform(now time.Time, list map[string]membership.State) {
	t.machines.SetPlatformList(now, list)
}

// SetOperator records the state that an operator set for a machine.
func (t *RootTables) SetOperator(now time.Time, address string, state membership.State) {
	t.machines.SetOperatorState(now, address, state)
}
