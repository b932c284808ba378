package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

// Decision is the outcome for a tenant's request.
type Decision uint8

// Possible decisions.
const (
	// Pass admits the request.
	Pass Decision = iota
	// RequestToken has the request wait for a token from the ledger.
	RequestToken
	// Refuse rejects the request: the tenant has used up its limit.
	Refuse
)

// Limits for isolated routers, which reach no leader. If only some routers are isolated, the
// others still get the whole limit, so what the isolated ones spend has to fit into its
// tolerance.
const (
	// isolatedBurstTime of a tenant's limit, plus isolatedBurstTokens, is divided among all
	// routers at once: a change of the leader takes about as long. If that is less than one
	// token per router, some get one and the others none.
	isolatedBurstTime   = 700 * time.Millisecond
	isolatedBurstTokens = 3.0
	// isolatedRateShare is the fraction of the limit's rate divided among them afterwards.
	isolatedRateShare = 0.1
	// isolatedRetryTime is the retry time of an isolated router. The time of its next token
	// would be told to all requests that it refuses, of which one gets the token: in a soak with
	// three routers 1,169 of 3,242 requests that came back were refused again, and 483 of 1,928
	// with this time. It may also be far off, 220 s at 66 routers and a limit of 3/s. A change of the leader takes about a
	// second.
	isolatedRetryTime = time.Second
)

// Gate decides about the requests that arrive at one router. Its owner must guard it.
type Gate struct {
	limits  map[string]Limit
	routers int
	metered map[string]bool
	// unreported counts admitted requests that were not reported yet, unacknowledged those in
	// reports without a reply.
	unreported, unacknowledged map[string]int
	// nextToken is when the next token for a tenant is available; until then requests are
	// refused at once. It is not used where the ledger promises tokens, as only the ledger
	// knows which requests have a promise.
	nextToken map[string]time.Time
	// isolated says that the last report failed or that the connection to the directory was
	// lost.
	isolated bool
	// localBuckets are the buckets of tenants while no leader is reachable.
	localBuckets map[string]*localBucket
	// random decides which local buckets start with a token.
	random *rand.Rand
	// recent is what was admitted within maxRecall, since when that record begins.
	recent []passedSlot
	since  time.Time
}

// localBucket is a token bucket of one router.
type localBucket struct {
	level     float64
	capacity  float64
	updatedAt time.Time
}

// NewGate returns a gate without limits. The seed must differ between routers.
func NewGate(seed uint64) *Gate {
	return &Gate{
		random:  rand.New(rand.NewPCG(seed, seed)),
		routers: 1, metered: make(map[string]bool), unreported: make(map[string]int),
		unacknowledged: make(map[string]int), nextToken: make(map[string]time.Time), localBuckets: make(map[string]*localBucket),
	}
}

// Start records when the router started: what it recalls is complete from then on.
func (g *Gate) Start(now time.Time) { g.since = now }

// SetLimits replaces the limits of all tenants; tenants without a limit are left out.
func (g *Gate) SetLimits(limits map[string]Limit) {
	g.limits = limits
	clear(g.nextToken)
	clear(g.localBuckets)
}

// SetRouters sets how many routers share the limits.
func (g *Gate) SetRouters(count int) { g.routers = max(1, count) }

// SetMetered replaces the set of tenants that need a token for each request.
func (g *Gate) SetMetered(names []string) {
	clear(g.metered)
	for _, name := range names {
		g.metered[name] = true
	}
	maps.DeleteFunc(g.nextToken, func(name string, _ time.Time) bool { return !g.metered[name] })
}

// Admit decides about one request and, for Refuse, returns after how long to retry.
func (g *Gate) Admit(now time.Time, tenant string) (Decision, time.Duration) {
	limit := g.limits[tenant]
	if limit.Rate <= 0 {
		return Pass, 0
	}
	if g.isolated {
		return g.admitIsolated(now, tenant, limit)
	}
	if !g.metered[tenant] && g.unconfirmed(tenant) < limit.unconfirmedLimit(g.routers) {
		g.unreported[tenant]++
		g.admitted(now, tenant, 1)
		return Pass, 0
	}
	if wait := g.nextToken[tenant].Sub(now); wait > 0 {
		return Refuse, wait
	}
	return RequestToken, 0
}

// unconfirmed returns how many admitted requests the ledger has not acknowledged.
func (g *Gate) unconfirmed(tenant string) int { return g.unreported[tenant] + g.unacknowledged[tenant] }

// admitIsolated decides by the router's local bucket; what it admits is reported later.
func (g *Gate) admitIsolated(now time.Time, tenant string, limit Limit) (Decision, time.Duration) {
	local, known := g.localBuckets[tenant]
	if !known {
		expected := (isolatedBurstTokens + isolatedBurstTime.Seconds()*limit.Rate) / float64(g.routers)
		initial := math.Floor(expected + g.random.Float64())
		// Requests admitted just before and not acknowledged count against this bucket.
		local = &localBucket{updatedAt: now, level: max(0, initial-float64(g.unconfirmed(tenant))), capacity: max(1, initial)}
		g.localBuckets[tenant] = local
	}
	rate := isolatedRateShare * limit.Rate / float64(g.routers)
	local.level = min(local.capacity, local.level+now.Sub(local.updatedAt).Seconds()*rate)
	local.updatedAt = now
	if local.level < 1 {
		return Refuse, isolatedRetryTime
	}
	local.level--
	g.unreported[tenant]++
	g.admitted(now, tenant, 1)
	return Pass, 0
}

// TakeUnreported returns what is to be reported and moves it to the unacknowledged requests;
// nil if there is nothing. ReportFailed reverses that if the report fails.
func (g *Gate) TakeUnreported() map[string]int {
	if len(g.unreported) == 0 {
		return nil
	}
	taken := g.unreported
	g.unreported = make(map[string]int, len(taken))
	for tenant, count := range taken {
		g.unacknowledged[tenant] += count
	}
	return taken
}

// acknowledge removes a report from the unacknowledged requests.
func (g *Gate) acknowledge(spent map[string]int) {
	for tenant, count := range spent {
		if g.unacknowledged[tenant] -= count; g.unacknowledged[tenant] <= 0 {
			delete(g.unacknowledged, tenant)
		}
	}
}

// ReportFailed records that a report failed, so that its requests are reported again.
func (g *Gate) ReportFailed(spent map[string]int) {
	g.returnReport(spent)
	g.isolated = true
}

// returnReport has a report reported again.
func (g *Gate) returnReport(spent map[string]int) {
	g.acknowledge(spent)
	for tenant, count := range spent {
		g.unreported[tenant] += count
	}
}

// Isolated reports whether no leader is known to be reachable.
func (g *Gate) Isolated() bool { return g.isolated }

// SetIsolated records that the directory is unreachable before any report has failed.
func (g *Gate) SetIsolated() { g.isolated = true }

// ReportSucceeded records the reply to a report of what was spent.
func (g *Gate) ReportSucceeded(now time.Time, spent map[string]int, reply Reply) {
	g.isolated = false
	clear(g.localBuckets)
	g.acknowledge(spent)
	for tenant, metered := range reply.Metered {
		// The reply arrives sooner than the directory's notification: without it a router
		// would continue to admit requests until that arrives.
		if metered {
			g.metered[tenant] = true
		} else {
			delete(g.metered, tenant)
		}
	}
	for tenant, given := range reply.Grants {
		if given.Granted > 0 && g.limits[tenant].Rate > 0 {
			g.admitted(now, tenant, given.Granted)
		}
		if given.Next > 0 && len(given.Outcomes) == 0 {
			g.nextToken[tenant] = now.Add(given.Next)
		} else {
			delete(g.nextToken, tenant)
		}
	}
}
