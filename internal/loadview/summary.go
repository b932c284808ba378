package loadview

import (
	"slices"
	"time"
)

// Lifetimes of what was received.
const (
	// ReportLifetime is how long the report of a router is valid at its node: a router calls
	// every 700 ms at most.
	ReportLifetime = 1200 * time.Millisecond
	// SummaryLifetime is how long the summary of a node is valid at the leader. It is below the
	// 1.1 s that routers need to leave a lost node, so that none counts twice.
	SummaryLifetime = 600 * time.Millisecond
)

// maxArrivals bounds the arrivals of a summary: a node that is left by its routers has at most
// some hundred, which spread over the other nodes.
const maxArrivals = 64

// Summary adds up the reports of the routers of one node. Its size depends on the routes and
// services, not on the number of routers.
type Summary struct {
	// Routers is how many reports it adds up.
	Routers  int              `json:"n,omitempty"`
	Routes   []RouteSummary   `json:"routes,omitempty"`
	Services []ServiceSummary `json:"services,omitempty"`
	Tenants  []TenantDemand   `json:"tenants,omitempty"`
	// Arrivals are routers whose first report to the node came within ReportLifetime.
	Arrivals []Arrival `json:"arrivals,omitempty"`
}

// Arrival is a router that recently began to report to a node. The node to which it reported
// before drops its report, so that it does not count twice.
type Arrival struct {
	Router string `json:"r"`
	// Age is how long ago the router first reported to the node.
	Age time.Duration `json:"a"`
}

// RouteSummary is the demand on one route at one node.
type RouteSummary struct {
	// The rates are sums in steps (Step), and Work is the median of the routers that know it.
	RouteDemand
	// Known is how many routers know Work.
	Known int `json:"n,omitempty"`
}

// ServiceSummary is what the routers of one node observed at a service.
type ServiceSummary struct {
	Service string `json:"s"`
	// Waiting is how many calls wait at all routers of the node, in steps.
	Waiting int             `json:"q,omitempty"`
	Servers []ServerSummary `json:"v,omitempty"`
}

// ServerSummary is a server that routers of one node report as in trouble.
type ServerSummary struct {
	// Pace and Refusals are medians over the reporting routers, in steps; Condition is the one
	// reported most, and Age the least one.
	ServerState
	// Reporters is how many routers report the server, and Reporter is the router if it is the
	// only one: the same router may be known to two nodes.
	Reporters int    `json:"n"`
	Reporter  string `json:"by,omitempty"`
	// Credible reports that a reporting router finds at most a third of the servers that it
	// heard from in trouble, so that it is not itself the cause.
	Credible bool `json:"k,omitempty"`
}

// SameFigures reports whether two summaries have the same figures, whatever their ages.
func (s Summary) SameFigures(other Summary) bool {
	return s.Routers == other.Routers && slices.Equal(s.Routes, other.Routes) && slices.Equal(s.Tenants, other.Tenants) &&
		slices.EqualFunc(s.Arrivals, other.Arrivals, func(a, b Arrival) bool { return a.Router == b.Router }) &&
		slices.EqualFunc(s.Services, other.Services, func(a, b ServiceSummary) bool {
			return a.Service == b.Service && a.Waiting == b.Waiting && slices.EqualFunc(a.Servers, b.Servers, func(x, y ServerSummary) bool {
				x.Age, y.Age = 0, 0
				return x == y
			})
		})
}
