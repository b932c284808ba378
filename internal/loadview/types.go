package loadview

import "time"

// Bounds of a report.
const (
	MaxRoutes   = 32
	MaxServices = 64
	MaxTenants  = 16
)

// Ages of the figures of a view.
const (
	// FullWeightAge is the age up to which figures have their full weight: a figure takes up to
	// a second from the first router that observes it to all others.
	FullWeightAge = time.Second
	// MaxAge is the age from which figures have no weight. A change of the leader takes less.
	MaxAge = 3 * time.Second
)

// Condition is why a server is in trouble.
type Condition uint8

// Conditions.
const (
	// Sound servers are not reported.
	Sound Condition = iota
	// Slow servers take at least SlowPace times the typical time.
	Slow
	// Refusing servers refuse more than RefusingShare of the attempts as overloaded.
	Refusing
	// Silent servers are suspected, stalled or unreachable.
	Silent
)

// Thresholds of conditions.
const (
	// SlowPace is the multiple of the typical time from which a server is slow.
	SlowPace = 2.0
	// RefusingShare is the share of refused attempts above which a server is refusing.
	RefusingShare = 0.2
)

// String returns the condition in lower case, for logs.
func (c Condition) String() string {
	if int(c) >= len(conditionNames) {
		return "unknown"
	}
	return conditionNames[c]
}

var conditionNames = [...]string{"sound", "slow", "refusing", "silent"}

// Report is what one router observed. Under normal load it only holds Routes.
type Report struct {
	// Routes are the routes with traffic, those with the greatest demand first, at most MaxRoutes.
	Routes []RouteDemand `json:"routes,omitempty"`
	// Services are those on which calls wait or whose servers are in trouble, at most
	// MaxServices.
	Services []ServiceReport `json:"services,omitempty"`
	// Tenants are those with the greatest demand on the routes of View.Routes, at most
	// MaxTenants; empty while View.Short is false.
	Tenants []TenantDemand `json:"tenants,omitempty"`
	// Heard counts the servers that answered this router within the last 2 s, and Troubled those
	// of them that it reports as in trouble.
	Heard    int `json:"heard,omitempty"`
	Troubled int `json:"troubled,omitempty"`
}

// RouteDemand is the demand on one route.
type RouteDemand struct {
	// Route is the name of the route in the routing document.
	Route string `json:"r"`
	// Offered is the rate of requests from clients before admission, and Admitted the rate after
	// it, per second.
	Offered  float64 `json:"o,omitempty"`
	Admitted float64 `json:"a,omitempty"`
	// Reserved is the rate of client retries that hold a reservation for the next second.
	Reserved float64 `json:"h,omitempty"`
	// Work is how long one call occupies a slot of a sound server, as observed where it is
	// gathered; 0 if unknown.
	Work time.Duration `json:"w,omitempty"`
}

// ServiceReport is what one router observed at a service.
type ServiceReport struct {
	Service string `json:"s"`
	// Waiting is how many calls wait at the router for a server with capacity.
	Waiting int `json:"q,omitempty"`
	// Servers are those in trouble.
	Servers []ServerState `json:"v,omitempty"`
}

// ServerState is the state of a server in trouble.
type ServerState struct {
	ID        string    `json:"i"`
	Condition Condition `json:"c"`
	// Pace is the duration of attempts relative to the typical time; 1 is normal.
	Pace float64 `json:"p,omitempty"`
	// Refusals is the share of attempts that the server refuses as overloaded, 0 to 1.
	Refusals float64 `json:"f,omitempty"`
	// Age is how long ago the server was last observed.
	Age time.Duration `json:"a,omitempty"`
}

// TenantDemand is the demand of one tenant.
type TenantDemand struct {
	Tenant string `json:"t"`
	// Offered is the rate of its requests before admission, per second.
	Offered float64 `json:"o"`
}

// Totals are the sums of all summaries.
type Totals struct {
	// Routes, by name. Work is the median of the routers that know it.
	Routes map[string]RouteDemand
	// Services that are short or have servers in trouble for all routers, by name.
	Services map[string]ServiceReport
	// Tenants, by name.
	Tenants map[string]float64
}

// View is what the leader publishes. The highest Term wins; within a term, the highest
// Revision.
type View struct {
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// Epoch is the number of the reservation epoch (package reservation) and EpochElapsed the
	// time since it began.
	Epoch        uint64        `json:"epoch"`
	EpochElapsed time.Duration `json:"epoch_elapsed"`
	// Routes are those for which Fraction or Promised is below 1 or a tenant has a share.
	Routes []RouteState `json:"routes,omitempty"`
	// Services are those that are short or have servers in trouble.
	Services []ServiceState `json:"services,omitempty"`
	// Tenants are those that exceed their share; for them Share replaces RouteState.Fraction.
	Tenants []TenantState `json:"tenants,omitempty"`
}

// Newer reports whether the view replaces another one.
func (v View) Newer(other View) bool {
	return v.Term > other.Term || v.Term == other.Term && v.Revision > other.Revision
}

// Short reports whether some route is short of capacity.
func (v View) Short() bool { return len(v.Routes) > 0 }

// Empty reports whether the view has no entries.
func (v View) Empty() bool { return len(v.Routes)+len(v.Services)+len(v.Tenants) == 0 }

// RouteState is the admission of one route.
type RouteState struct {
	Route string `json:"r"`
	// Offered is the rate of requests from clients over all routers, per second.
	Offered float64 `json:"o"`
	// Fraction is the share of the requests that routers admit, 0 to 1.
	Fraction float64 `json:"f"`
	// Promised is the highest fraction of the last second. Requests with a reservation are
	// admitted up to it, so that a falling fraction breaks no promise.
	Promised float64 `json:"m"`
	// Reservable is the share of the refused requests that get a reservation, 0 to 1.
	Reservable float64 `json:"e"`
	// Bottleneck is the service that limits the route.
	Bottleneck string `json:"b,omitempty"`
	// Since is for how long the route has been short.
	Since time.Duration `json:"s"`
}

// ServiceState is the load of one service.
type ServiceState struct {
	Service string `json:"s"`
	// Demand is what all routes ask of the service and Capacity what its servers provide, in
	// slots.
	Demand   float64 `json:"d"`
	Capacity float64 `json:"c"`
	// Waiting is how many calls wait at all routers for a server with capacity.
	Waiting int `json:"q,omitempty"`
	// Since is for how long the service has been short or had servers in trouble.
	Since   time.Duration `json:"t"`
	Servers []ServerState `json:"v,omitempty"`
}

// Short reports whether the demand exceeds the capacity.
func (s ServiceState) Short() bool { return s.Demand > s.Capacity }

// TenantState is the share of the requests of a tenant that routers admit, 0 to 1.
type TenantState struct {
	Tenant string  `json:"t"`
	Share  float64 `json:"f"`
}

// Held is a view as a router holds it. The zero value holds none.
type Held struct {
	View View
	// At is the time as of which the figures were valid, by the router's steady clock. It counts
	// from when the router sent its call, so that a router that was suspended meanwhile finds
	// the figures old.
	At time.Time
}

// Weight returns the weight of the figures, 0 to 1: 1 up to FullWeightAge, then falling
// linearly to 0 at MaxAge.
func (h Held) Weight(now time.Time) float64 {
	if h.At.IsZero() {
		return 0
	}
	age := now.Sub(h.At)
	return min(1, max(0, float64(MaxAge-age)/float64(MaxAge-FullWeightAge)))
}
