package follower

import (
	"time"

	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
)

// RootTables are the tables of control, where all reports meet.
type RootTables struct {
	directory *membership.Directory
	machines  *membership.Machines
	// boots holds the newest run of each node that was reported in this term.
	boots map[string]uint64
	// termStart is when this process began to lead.
	termStart time.Time
}

// After an election, tables are held back until nodes have had time to report
// to the new leader; until then nodes go by the ones of the leader before. A
// list of routers spread too early would make routers take the missing ones
// for gone, which moves cells. States of machines are told again with the
// first call, and matter sooner.
const (
	routersWarmUp  = 5 * lease.RenewInterval
	machinesWarmUp = 2 * lease.RenewInterval
)

// NewRootTables returns empty tables.
func NewRootTables() *RootTables {
	return &RootTables{
		directory: membership.NewDirectory(), machines: membership.NewMachines(), boots: make(map[string]uint64),
	}
}

// StartTerm forgets what was reported to the leader of an earlier term.
func (t *RootTables) StartTerm(now time.Time, term uint64) {
	t.directory.StartTerm(term)
	t.machines.StartTerm(now, term)
	clear(t.boots)
	t.termStart = now
}

// Report notes a node with a live lease. What an earlier run of it saw of back
// ends no longer counts.
func (t *RootTables) Report(source string, view membership.NodeView) {
	t.directory.Report(source, view)
	before, known := t.boots[view.Name]
	if known && before >= view.Boot {
		return
	}
	t.boots[view.Name] = view.Boot
	if known {
		t.machines.Forget(view.Name, view.LastSeen)
	}
}

// Lapse notes that a source no longer vouches for a node.
func (t *RootTables) Lapse(now time.Time, source, name string) { t.directory.Lapse(now, source, name) }

// LapseChild notes that a direct child is gone.
func (t *RootTables) LapseChild(now time.Time, child string) {
	t.directory.Lapse(now, membership.Direct, child)
	t.directory.LapseSource(now, child)
}

// Observe notes what a router saw of a back end.
func (t *RootTables) Observe(now time.Time, observation membership.Observation) {
	t.machines.Observe(now, observation)
}

// Expire drops what is out of date.
func (t *RootTables) Expire(now time.Time) {
	t.directory.Expire(now)
	t.machines.Expire(now)
}

// Routers returns the live routers once all had time to report.
func (t *RootTables) Routers(now time.Time) *membership.Table[membership.Node] {
	if now.Sub(t.termStart) < routersWarmUp {
		return nil
	}
	return t.directory.Routers()
}

// Machines returns the merged states of machines once all had time to report.
func (t *RootTables) Machines(now time.Time) *membership.Table[membership.Machine] {
	if now.Sub(t.termStart) < machinesWarmUp {
		return nil
	}
	return t.machines.Table()
}

// Nodes returns all nodes that are or were lately known.
func (t *RootTables) Nodes() []membership.NodeView { return t.directory.Nodes() }

// SetPlatform replaces the platform's list of machines.
func (t *RootTables) SetPlatform(now time.Time, list map[string]membership.State) {
	t.machines.SetPlatform(now, list)
}

// SetOperator notes an operator's word on a machine.
func (t *RootTables) SetOperator(now time.Time, address string, state membership.State) {
	t.machines.SetOperator(now, address, state)
}
