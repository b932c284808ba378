package membership

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// Roles of nodes.
const (
	RoleRouter  = "router"
	RoleRelay   = "relay"
	RoleControl = "control"
)

// Direct is the source of reports on nodes that call this process directly.
const Direct = ""

// LapsedRetention is how long a node whose lease lapsed is still listed.
const LapsedRetention = 10 * time.Minute

// Node is one run of a process as it describes itself.
type Node struct {
	Name    string
	Role    string
	Zone    string
	Address string
	// Boot is higher at every start of the process.
	Boot uint64
}

// NodeView is a node as operators see it.
type NodeView struct {
	Node
	// Revision is the lowest revision that the node is known to have installed.
	Revision uint64
	// Relay is the node's relay; empty for direct followers.
	Relay    string
	Lapsed   bool
	LastSeen time.Time
}

// Directory lists the nodes with a live lease, as reported by the relays that granted it. A
// node that moves between relays is reported by both for a while, and it lapses only when
// neither reports it. It is not safe for concurrent use.
type Directory struct {
	nodes   map[string]*listing
	routers *Table[Node]
}

type listing struct {
	// sources holds the latest report on the node from each direct child, or from Direct.
	sources  map[string]NodeView
	last     NodeView
	lapsedAt time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{nodes: make(map[string]*listing), routers: NewRouterTable()}
}

// NewRouterTable returns an empty table of live routers, for nodes below the root.
func NewRouterTable() *Table[Node] {
	return NewTable(func(node Node) string { return node.Name })
}

// Routers returns the table of live routers.
func (d *Directory) Routers() *Table[Node] { return d.routers }

// StartTerm clears the directory and starts the version numbering of a leader's term.
func (d *Directory) StartTerm(term uint64) {
	clear(d.nodes)
	d.routers.StartTerm(term)
}

// Report records a node with a live lease. Source is the direct child that reports it, or
// Direct.
func (d *Directory) Report(source string, view NodeView) {
	known, found := d.nodes[view.Name]
	if !found {
		known = &listing{sources: make(map[string]NodeView)}
		d.nodes[view.Name] = known
	}
	view.Lapsed = false
	known.sources[source] = view
	d.refresh(view.Name, known)
}

// Lapse records that a source no longer reports a node.
func (d *Directory) Lapse(now time.Time, source, name string) {
	known, found := d.nodes[name]
	if !found {
		return
	}
	if _, reported := known.sources[source]; !reported {
		return
	}
	delete(known.sources, source)
	if len(known.sources) == 0 {
		known.lapsedAt = now
	}
	d.refresh(name, known)
}

// LapseSource records that a direct child has failed or left, and with it all its reports.
func (d *Directory) LapseSource(now time.Time, source string) {
	for name := range d.nodes {
		d.Lapse(now, source, name)
	}
}

// Expire removes nodes that lapsed more than the retention time ago.
func (d *Directory) Expire(now time.Time) {
	for name, known := range d.nodes {
		if len(known.sources) == 0 && now.Sub(known.lapsedAt) > LapsedRetention {
			delete(d.nodes, name)
		}
	}
}

// Nodes returns all nodes, sorted by name.
func (d *Directory) Nodes() []NodeView {
	names := lo.Keys(d.nodes)
	slices.Sort(names)
	return lo.Map(names, func(name string, _ int) NodeView { return d.nodes[name].last })
}

// refresh derives a node's listing from all sources.
func (d *Directory) refresh(name string, known *listing) {
	if len(known.sources) == 0 {
		known.last.Lapsed = true
		d.routers.Remove(name)
		return
	}
	known.last = newest(known.sources)
	if known.last.Role == RoleRouter {
		d.routers.Put(known.last.Node)
	}
}

// newest returns the report on the latest run of a node, and of those the one with the latest
// contact; ties go to the first source by name.
func newest(sources map[string]NodeView) NodeView {
	names := lo.Keys(sources)
	slices.Sort(names)
	best := sources[names[0]]
	for _, name := range names[1:] {
		view := sources[name]
		if view.Boot > best.Boot || view.Boot == best.Boot && view.LastSeen.After(best.LastSeen) {
			best = view
		}
	}
	return best
}
