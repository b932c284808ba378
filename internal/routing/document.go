// Package routing defines the routing document: the routes, the services or shards
// that answer them, and the limits on what clients may send. It validates documents
// and finds the route of a request. Wire formats are left to the parsers of
// documents.
package routing

import "time"

// Document is one version of the routing configuration. Apart from NewTable, nothing
// changes it after Check.
type Document struct {
	// Version orders documents; the one with the highest version is active.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Tenants may send requests; without tenants, requests need no key.
	Tenants []Tenant
}

// Tenant is one tenant of the site. A request belongs to the tenant whose key it carries.
type Tenant struct {
	Name string
	// Keys are secrets: they must not appear in logs, errors or messages to servers.
	Keys []string
	// Priority overrides that of the route unless nil; 0 is the highest.
	Priority *int
	// Rate is the number of requests per second that the tenant may send, over all routers
	// together, and Burst the number beyond that at once. A rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Route defines how requests for one host and path prefix are answered. Exactly
// one of Targets and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Public routes need no key.
	Public bool
	// Repeatable requests may be sent to more than one server.
	Repeatable bool
	// Timeout is the maximum time that a request may take.
	Timeout time.Duration
	// Target is the latency up to which an answer has its full value; 0 for none.
	Target time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of servers per shard that a request is sent to.
	MaxAttempts int
	// Targets are services between which the requests are split by weight.
	Targets []Target
	// Shards are services that each hold a part of every answer.
	Shards []string
	// TopRecords is the number of top records in a gathered answer.
	TopRecords int
	// LeastShare is the minimum fraction of the shards, 0 to 1, that an answer needs.
	LeastShare float64
}

// Gathers reports whether the answer is merged from shards.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections to each server, from all
	// callers together; 0 for no limit.
	MaxConnections int
	// ColdRate is the maximum number of requests per second to one server during its cold
	// start, from all routers together; 0 for no limit.
	ColdRate float64
}

// Limits bound what a client may send and how long it may take. Zero values
// mean no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}
