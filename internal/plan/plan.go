// Package plan holds the compiled form of a configuration: services with their
// shard maps, and routes with their policies. The compiler produces it from
// text, it travels to every router as protobuf, and routers never see text.
//
// All values are plain data. A Plan is immutable once built; share it freely.
package plan

import (
	"net/netip"
	"time"
)

// Plan is one compiled configuration. Slices are sorted by name and names are
// unique, so that equal configurations have equal plans.
type Plan struct {
	Services []Service
	Routes   []Route
	// Regions are the other regions that remote routes lead to.
	Regions []Region
	// RemoteRoutes are the routes that other regions own. No name stands in
	// both Routes and RemoteRoutes.
	RemoteRoutes []RemoteRoute
}

// Region is another region, which has a control group and a configuration of
// its own.
type Region struct {
	Name string
	// Entries are the routers of the region that take requests for its routes,
	// sorted. They are addresses for routers, not for callers.
	Entries []netip.AddrPort
}

// RemoteRoute is a route that another region owns under the same name. All
// that decides the request, such as its policy, is in that region's
// configuration; this is what the near side must know by itself.
type RemoteRoute struct {
	Name   string
	Region string
	// Deadline bounds the wait for the region's answer. The owning route's own
	// deadline holds as well.
	Deadline time.Duration
	// Repeatable allows offering a request to another entry when it may have
	// run. Without it a request is offered again only on proof that it did not.
	Repeatable bool
}

// Service is a set of back ends that hold one sharded index.
type Service struct {
	Name string
	// Generations are the live shard maps, oldest first: one in steady state,
	// two while the service is repartitioned. An answer lies in exactly one.
	Generations []Generation
	// HedgeBudget pays for hedges, RetryBudget for retries.
	HedgeBudget Budget
	RetryBudget Budget
	// CellRouters is the number of routers that may connect to the service's
	// back ends. 0 means every router.
	CellRouters int
	// ColdStart is how long a replica's share of work ramps up after it was
	// first seen ready. 0 means no ramp.
	ColdStart time.Duration
}

// Generation is one shard map of a service. Numbers only go up.
type Generation struct {
	Number uint32
	Shards []Shard
}

// Shard is one part of the index, held by each of its replicas in full.
// The configuration language calls it a group.
type Shard struct {
	// ID is the shard's index within its generation.
	ID       uint32
	Name     string
	Replicas []Replica
}

// Replica is one back-end server of a shard.
type Replica struct {
	Address netip.AddrPort
	Zone    string
	// Slots is how many queries the server executes at once.
	Slots int
	// Connections is the server's connection limit over all routers.
	Connections int
}

// Budget is a token bucket fed by first attempts: every first attempt earns
// Ratio tokens up to Burst, every extra attempt spends one.
type Budget struct {
	Ratio float64
	Burst float64
}

// Route binds a name that callers use to a service and a policy.
type Route struct {
	Name    string
	Service string
	// Target says which shards a request of the route is sent to.
	Target Target
	Policy Policy
}

// Target says which shards of a service a request needs.
type Target uint8

// Targets.
const (
	// TargetAll scatters to every shard of the pinned generation.
	TargetAll Target = iota + 1
	// TargetKey sends to the one shard that the request's key hashes to.
	TargetKey
)

// Priority is the admission class of a route. Under overload, lower classes
// are refused first.
type Priority uint8

// Priorities, lowest first.
const (
	PriorityBatch Priority = iota + 1
	PriorityNormal
	PriorityInteractive
)

// Policy is the compiled policy program of a route.
type Policy struct {
	Name     string
	Priority Priority
	// Deadline bounds the whole request, measured from admission. A caller may
	// ask for less, never for more.
	Deadline time.Duration
	// Once marks a request that must run at most once: it is claimed before
	// dispatch and never hedged, and retried only on a proof of "not run".
	Once bool
	// ClaimExpiry is how long the claim of a Once request is kept.
	ClaimExpiry time.Duration
	// Hedge and Retry bound the extra attempts. Zero values switch them off.
	Hedge Hedge
	Retry Retry
	// SnapshotCoverage is the least share of shards, in [0,1], that must be
	// able to serve an index version for it to be pinned; 1 means every shard.
	SnapshotCoverage float64
	// Statements are evaluated in order at every event; the first whose
	// condition holds decides. The compiler guarantees that one holds
	// unconditionally at a time before the deadline.
	Statements []Statement
	Merge      Merge
}

// Hedge says when a second attempt is sent to another replica of a shard
// while the first is still out.
type Hedge struct {
	// Quantile of the shard's recent latency, in (0,1). 0 switches it off.
	Quantile float64
	// Least and Most bound the delay whatever the quantile says.
	Least time.Duration
	Most  time.Duration
	// MaxPerShard bounds hedges per shard and request.
	MaxPerShard int
}

// Retry says how often a failed attempt of a shard is sent again.
type Retry struct {
	MaxPerShard int
	// Backoff is the least pause before a retry on the same replica.
	Backoff time.Duration
}

// Statement is one line of a policy program.
type Statement struct {
	// Condition holds or does not hold at a moment of the request.
	Condition Condition
	Action    Action
	// Line is the source line, for explanations.
	Line int
}

// Action is what a policy statement decides.
type Action uint8

// Actions.
const (
	// ActionAnswer answers with the parts that are there.
	ActionAnswer Action = iota + 1
	// ActionFail gives up and answers an error, at once.
	ActionFail
)

// ConditionKind selects the meaning of a Condition.
type ConditionKind uint8

// Condition kinds.
const (
	// ConditionAlways holds at any time.
	ConditionAlways ConditionKind = iota + 1
	// ConditionAll holds when every operand holds.
	ConditionAll
	// ConditionAny holds when at least one operand holds.
	ConditionAny
	// ConditionNot holds when its one operand does not.
	ConditionNot
	// ConditionElapsed holds once Duration has passed since admission.
	ConditionElapsed
	// ConditionCoverage holds while the share of covered target shards is at
	// least Ratio.
	ConditionCoverage
	// ConditionCovered holds when every shard named in Shards is covered.
	ConditionCovered
	// ConditionSettled holds when no attempt is out and none will be sent.
	ConditionSettled
)

// Condition is a node of a condition tree.
type Condition struct {
	Kind     ConditionKind
	Operands []Condition
	Duration time.Duration
	Ratio    float64
	Shards   []string
}

// MergeKind selects how shard parts become one answer.
type MergeKind uint8

// Merge kinds.
const (
	// MergeConcat concatenates items in shard order.
	MergeConcat MergeKind = iota + 1
	// MergeTop keeps the Limit best items by Field.
	MergeTop
)

// Merge says how shard parts become one answer.
type Merge struct {
	Kind       MergeKind
	Limit      int
	Field      string
	Descending bool
}

// ServiceNamed returns the service with the name.
func (p *Plan) ServiceNamed(name string) (*Service, bool) {
	for index := range p.Services {
		if p.Services[index].Name == name {
			return &p.Services[index], true
		}
	}
	return nil, false
}

// RouteNamed returns the route with the name.
func (p *Plan) RouteNamed(name string) (*Route, bool) {
	for index := range p.Routes {
		if p.Routes[index].Name == name {
			return &p.Routes[index], true
		}
	}
	return nil, false
}

// RegionNamed returns the other region with the name.
func (p *Plan) RegionNamed(name string) (*Region, bool) {
	for index := range p.Regions {
		if p.Regions[index].Name == name {
			return &p.Regions[index], true
		}
	}
	return nil, false
}

// RemoteRouteNamed returns the remote route with the name.
func (p *Plan) RemoteRouteNamed(name string) (*RemoteRoute, bool) {
	for index := range p.RemoteRoutes {
		if p.RemoteRoutes[index].Name == name {
			return &p.RemoteRoutes[index], true
		}
	}
	return nil, false
}
