package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

// Decision is what becomes of a request of a tenant.
type Decision uint8

// The decisions.
const (
	// Pass lets the request go on.
	Pass Decision = iota
	// Ask has it wait for a token.
	Ask
	// Refuse turns it away: the tenant has used its limit up.
	Refuse
)

// Shares of routers that reach no leader. Where only some are cut off, the others still get
// the whole limit, so that what these spend has to fit into its tolerance.
const (
	// aloneTime of a tenant's limit, and aloneTokens, are spread over all routers at once: a
	// change of the leader takes about as long. Where that is less than a token for each,
	// some have one and the others none.
	aloneTime   = 700 * time.Millisecond
	aloneTokens = 3.0
	// aloneRate of the limit's rate is spread over them from then on.
	aloneRate = 0.1
)

// Gate decides about the requests that come to one router. Its owner guards it.
type Gate struct {
	limits  map[string]Limit
	routers int
	metered map[string]bool
	// spent are requests that passed and were not reported yet, sent those in reports that
	// were not answered yet.
	spent, sent map[string]int
	// next is when there is another token for a tenant; until then it is refused at once.
	next map[string]time.Time
	// failing says that the last report did not come through.
	failing bool
	// alone are the shares of tenants while no leader is reached.
	alone map[string]*share
	// random draws which shares begin with a token.
	random *rand.Rand
}

// share is a token bucket of one router.
type share struct {
	level float64
	most  float64
	at    time.Time
}

// NewGate returns one that knows no limits. The seed is another one at each router.
func NewGate(seed uint64) *Gate {
	return &Gate{
		random:  rand.New(rand.NewPCG(seed, seed)),
		routers: 1, metered: make(map[string]bool), spent: make(map[string]int),
		sent: make(map[string]int), next: make(map[string]time.Time), alone: make(map[string]*share),
	}
}

// SetLimits replaces the limits of all tenants; those without one are left out.
func (g *Gate) SetLimits(limits map[string]Limit) {
	g.limits = limits
	clear(g.next)
	clear(g.alone)
}

// SetRouters takes in how many routers share the limits.
func (g *Gate) SetRouters(count int) { g.routers = max(1, count) }

// SetMetered replaces the tenants that need a token for each request.
func (g *Gate) SetMetered(names []string) {
	clear(g.metered)
	for _, name := range names {
		g.metered[name] = true
	}
	maps.DeleteFunc(g.next, func(name string, _ time.Time) bool { return !g.metered[name] })
}

// Admit decides about one request, and for Refuse after how long it may come again.
func (g *Gate) Admit(now time.Time, tenant string) (Decision, time.Duration) {
	limit := g.limits[tenant]
	if limit.Rate <= 0 {
		return Pass, 0
	}
	if g.failing {
		return g.admitAlone(now, tenant, limit)
	}
	if !g.metered[tenant] && g.unconfirmed(tenant) < limit.credit(g.routers) {
		g.spent[tenant]++
		return Pass, 0
	}
	if wait := g.next[tenant].Sub(now); wait > 0 {
		return Refuse, wait
	}
	return Ask, 0
}

// unconfirmed are the requests that passed and of which the ledger isn't known to know.
func (g *Gate) unconfirmed(tenant string) int { return g.spent[tenant] + g.sent[tenant] }

// admitAlone lets a request pass by this router's own share, which is reported later.
func (g *Gate) admitAlone(now time.Time, tenant string, limit Limit) (Decision, time.Duration) {
	held, known := g.alone[tenant]
	if !known {
		due := (aloneTokens + aloneTime.Seconds()*limit.Rate) / float64(g.routers)
		drawn := math.Floor(due + g.random.Float64())
		// What passed just before and was not confirmed is of this share.
		held = &share{at: now, level: max(0, drawn-float64(g.unconfirmed(tenant))), most: max(1, drawn)}
		g.alone[tenant] = held
	}
	rate := aloneRate * limit.Rate / float64(g.routers)
	held.level = min(held.most, held.level+now.Sub(held.at).Seconds()*rate)
	held.at = now
	if held.level < 1 {
		return Refuse, time.Duration((1 - held.level) / rate * float64(time.Second))
	}
	held.level--
	g.spent[tenant]++
	return Pass, 0
}

// TakeSpent returns what is to be reported and forgets it; nil for nothing. Return gives it
// back where that failed.
func (g *Gate) TakeSpent() map[string]int {
	if len(g.spent) == 0 {
		return nil
	}
	taken := g.spent
	g.spent = make(map[string]int, len(taken))
	for tenant, count := range taken {
		g.sent[tenant] += count
	}
	return taken
}

// answered takes a report off those that were not answered yet.
func (g *Gate) answered(spent map[string]int) {
	for tenant, count := range spent {
		if g.sent[tenant] -= count; g.sent[tenant] <= 0 {
			delete(g.sent, tenant)
		}
	}
}

// Return takes back what could not be reported.
func (g *Gate) Return(spent map[string]int) {
	g.answered(spent)
	for tenant, count := range spent {
		g.spent[tenant] += count
	}
	g.failing = true
}

// Alone reports whether no leader is known to be reached.
func (g *Gate) Alone() bool { return g.failing }

// Lose takes in that the directory is not heard, before any report has failed.
func (g *Gate) Lose() { g.failing = true }

// Reached takes in the answer to a report of what was spent.
func (g *Gate) Reached(now time.Time, spent map[string]int, reply Reply) {
	g.failing = false
	clear(g.alone)
	g.answered(spent)
	for tenant, metered := range reply.Metered {
		// The answer comes sooner than the news that all routers get: without it a router
		// would go on letting requests pass for as long as those take.
		if metered {
			g.metered[tenant] = true
		} else {
			delete(g.metered, tenant)
		}
	}
	for tenant, given := range reply.Grants {
		if given.Next > 0 {
			g.next[tenant] = now.Add(given.Next)
		} else {
			delete(g.next, tenant)
		}
	}
}
