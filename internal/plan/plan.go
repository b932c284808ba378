// Package plan holds the compiled form of a configuration: services with their
// shard maps, and routes with their policies. The compiler builds it from the
// configuration text. Routers receive it as protobuf and never read the text.
//
// All values are plain data. A Plan is immutable once built and can be shared
// between goroutines.
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
	// RemoteRoutes are the routes that other regions own. No name occurs in
	// both Routes and RemoteRoutes.
	RemoteRoutes []RemoteRoute
}

// Region is another region, with its own control group and configuration.
type Region struct {
	Name string
	// Entries are the addresses of the region's entry routers, sorted. Routers of
	// other regions use them; callers do not.
	Entries []netip.AddrPort
}

// RemoteRoute is a route that another region owns under the same name. The
// owning region's configuration holds its policy; RemoteRoute holds only the
// settings that the forwarding region needs.
type RemoteRoute struct {
	Name   string
	Region string
	// Deadline bounds the wait for the owning region's answer. The deadline of the
	// route in that region applies as well.
	Deadline time.Duration
	// Repeatable allows resending a request to another entry router if it may
	// have run. Otherwise it is resent only on proof that it did not run.
	Repeatable bool
}

// Service is a set of back ends that hold one sharded index.
type Service struct {
	Name string
	// Generations are the live shard maps, oldest first: one in steady state,
	// two while the service is repartitioned. An answer uses exactly one.
	Generations []Generation
	// HedgeBudget limits hedges, RetryBudget limits retries.
	HedgeBudget Budget
	RetryBudget Budget
	// CellRouters is the number of routers that may connect to the service's
	// back ends. 0 means every router.
	CellRouters int
	// ColdStart is how long a replica's share of requests ramps up after it is
	// first seen ready. 0 means no ramp.
	ColdStart time.Duration
}

// Generation is one shard map of a service. Each new generation has a higher
// number than the one before it.
type Generation struct {
	Number uint32
	Shards []Shard
}

// Shard is one part of the index. Each of its replicas holds all of that part.
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
	// Slots is the number of queries that the server executes concurrently.
	Slots int
	// Connections is the server's connection limit, summed over all routers.
	Connections int
}

// Budget is a token bucket that limits extra attempts. Each first attempt adds
// Ratio tokens, up to Burst; each extra attempt takes one.
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

// Target selects the shards of a service that a request is sent to.
type Target uint8

// Targets.
const (
	// TargetAll selects every shard of the pinned generation.
	TargetAll Target = iota + 1
	// TargetKey selects the one shard that the request's key hashes to.
	TargetKey
)

// Priority is the admission class of a route. Under overload, lower classes
// are rejected first.
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
	// request a shorter one, never a longer one.
	Deadline time.Duration
	// Once marks requests that must run at most once: they are claimed before
	// dispatch, never hedged, and retried only on proof that they did not run.
	Once bool
	// ClaimExpiry is how long the claim of a Once request is kept.
	ClaimExpiry time.Duration
	// Hedge and Retry bound the extra attempts. Zero values disable them.
	Hedge Hedge
	Retry Retry
	// SnapshotCoverage is the minimum share of shards, in (0,1], that must be
	// able to serve an index version for it to be pinned; 1 means every shard.
	SnapshotCoverage float64
	// Statements are evaluated in order at every event; the first whose
	// condition holds decides the request. The compiler guarantees that one holds
	// unconditionally at some time before the deadline.
	Statements []Statement
	Merge      Merge
}

// Hedge says when a second attempt is sent to another replica of a shard
// while the first is still in flight.
type Hedge struct {
	// Quantile of the shard's recent latency, in (0,1), after which the hedge is
	// sent. 0 disables hedging.
	Quantile float64
	// Lower and upper bound of the delay derived from the quantile.
	MinDelay time.Duration
	MaxDelay time.Duration
	// MaxPerShard bounds hedges per shard and request.
	MaxPerShard int
}

// Retry limits how often a failed attempt on a shard is retried.
type Retry struct {
	MaxPerShard int
	// Backoff is the minimum delay before a retry on the same replica.
	Backoff time.Duration
}

// Statement is one line of a policy program.
type Statement struct {
	// Condition must hold for Action to be taken.
	Condition Condition
	Action    Action
	// Line is the source line, used in explanations.
	Line int
}

// Action is the decision of a policy statement.
type Action uint8

// Actions.
const (
	// ActionAnswer answers with the shard parts received so far.
	ActionAnswer Action = iota + 1
	// ActionFail answers with an error immediately.
	ActionFail
)

// ConditionKind is the type of a Condition.
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
	// ConditionSettled holds when no attempt is in flight and none will be sent.
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

// MergeKind is the method that combines shard parts into one answer.
type MergeKind uint8

// Merge kinds.
const (
	// MergeConcat concatenates items in shard order.
	MergeConcat MergeKind = iota + 1
	// MergeTop keeps the Limit best items by Field.
	MergeTop
)

// Merge defines how shard parts are combined into one answer.
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
