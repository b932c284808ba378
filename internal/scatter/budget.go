package scatter

// BudgetLimits bound the arrivals at a service beyond the first of each request,
// over all routers and any window.
type BudgetLimits struct {
	// Ratio of extra arrivals to requests.
	Ratio float64
	// Slack is how many extra arrivals are allowed beyond that.
	Slack float64
}

// Parts of the limits that routers make use of: the rest is for requests that
// one side counts and the other does not.
const (
	usedRatio = 0.8
	usedSlack = 0.6
	// startSlack is what a router begins with, small enough for all routers to be
	// started again in one window.
	startSlack = 0.25
)

// extraBudget is this router's share of a service's budget: a bucket that first
// attempts fill. A full bucket is a share of the slack, and it starts with little,
// so that over any window all routers together, also those that were restarted
// in it, send at most ratio × requests + slack.
type extraBudget struct {
	tokens  float64
	started bool
}

// earn credits a first attempt.
func (b *extraBudget) earn(limits BudgetLimits, routers int) {
	if !b.started {
		b.started = true
		b.tokens = limits.Slack * startSlack / float64(max(1, routers))
	}
	b.tokens = min(b.tokens+limits.Ratio*usedRatio, limits.burst(routers))
}

// spend takes one token if that leaves at least a reserve.
func (b *extraBudget) spend(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

func (l BudgetLimits) burst(routers int) float64 {
	return max(1, l.Slack*usedSlack/float64(max(1, routers)))
}
