package scatter

import "time"

// BudgetLimits bound the arrivals at a service beyond the first of each request,
// over all routers and any window.
type BudgetLimits struct {
	// Ratio of extra arrivals to requests.
	Ratio float64
	// Slack is how many extra arrivals are allowed in a window beyond that.
	Slack float64
	// Window is the length of the windows; 0 takes DefaultBudgetWindow.
	Window time.Duration
}

// DefaultBudgetWindow is that of BudgetLimits.
const DefaultBudgetWindow = 10 * time.Second

// Parts of the limits that routers make use of. The rest is for requests that one
// side counts and the other does not. Of the slack, a full bucket, what trickles
// in over a window and what routers begin with that are started in it add up to
// less than the whole.
const (
	usedRatio  = 0.8
	burstSlack = 0.3
	flowSlack  = 0.4
	startSlack = 0.2
)

// extraBudget is this router's share of a service's budget: a bucket that first
// attempts and time fill. What a full bucket holds is a share of the slack, as is
// what flows in over a window, and it starts with little, so that over any window
// all routers together, also those that were started again in it, send at most
// ratio × requests + slack.
type extraBudget struct {
	tokens float64
	filled time.Time
}

// earn credits a first attempt.
func (b *extraBudget) earn(now time.Time, limits BudgetLimits, share float64) {
	b.flow(now, limits, share)
	b.tokens = min(b.tokens+limits.Ratio*usedRatio, limits.burst(share))
}

// flow credits the time since the last call.
func (b *extraBudget) flow(now time.Time, limits BudgetLimits, share float64) {
	slack := limits.Slack * share
	if b.filled.IsZero() {
		b.filled, b.tokens = now, startSlack*slack
		return
	}
	window := limits.Window
	if window <= 0 {
		window = DefaultBudgetWindow
	}
	gained := flowSlack * slack * float64(now.Sub(b.filled)) / float64(window)
	b.tokens = min(b.tokens+gained, limits.burst(share))
	b.filled = now
}

// spend takes one token if that leaves at least a reserve.
func (b *extraBudget) spend(now time.Time, limits BudgetLimits, share float64, reserve float64) bool {
	b.flow(now, limits, share)
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// burst is what a full bucket holds: at least one attempt and the reserve of
// hedges, unless nothing at all is allowed.
func (l BudgetLimits) burst(share float64) float64 {
	return max(min(leastBurst, l.Slack), burstSlack*l.Slack*share)
}

const leastBurst = 1.5
