package scatter

import "time"

// BudgetLimits bound the attempts that reach a service beyond the first of each request, over
// all routers and in any window.
type BudgetLimits struct {
	// Ratio of extra attempts to requests.
	Ratio float64
	// Slack is how many extra attempts are allowed in a window beyond that ratio.
	Slack float64
	// Window is the length of the windows; 0 means DefaultBudgetWindow.
	Window time.Duration
}

// DefaultBudgetWindow is the default of BudgetLimits.Window.
const DefaultBudgetWindow = 10 * time.Second

// Shares of the limits that routers use. The rest covers requests that are counted on only one
// side. Of the slack, the burst capacity, the refill over a window and the initial balance of
// routers that start in it add up to less than the whole.
const (
	ratioShare   = 0.8
	burstSlack   = 0.3
	refillSlack  = 0.4
	initialSlack = 0.2
)

// extraBudget is this router's share of a service's budget: a token bucket that is credited by
// first attempts and refilled over time. Its burst capacity and its refill over a window are
// shares of the slack, and its initial balance is small, so that over any window all routers
// together, including those that restart in it, send at most ratio × requests + slack.
type extraBudget struct {
	tokens   float64
	filledAt time.Time
}

// earn credits a first attempt.
func (b *extraBudget) earn(now time.Time, limits BudgetLimits, share float64) {
	b.refill(now, limits, share)
	b.tokens = min(b.tokens+limits.Ratio*ratioShare, limits.burst(share))
}

// refill credits the time since the last call.
func (b *extraBudget) refill(now time.Time, limits BudgetLimits, share float64) {
	slack := limits.Slack * share
	if b.filledAt.IsZero() {
		b.filledAt, b.tokens = now, initialSlack*slack
		return
	}
	window := limits.Window
	if window <= 0 {
		window = DefaultBudgetWindow
	}
	gained := refillSlack * slack * float64(now.Sub(b.filledAt)) / float64(window)
	b.tokens = min(b.tokens+gained, limits.burst(share))
	b.filledAt = now
}

// spend takes one token if at least a reserve remains.
func (b *extraBudget) spend(now time.Time, limits BudgetLimits, share float64, reserve float64) bool {
	b.refill(now, limits, share)
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// burst is the capacity of the bucket: at least one attempt and the hedge reserve, unless no
// extra attempts are allowed at all.
func (l BudgetLimits) burst(share float64) float64 {
	return max(min(minBurst, l.Slack), burstSlack*l.Slack*share)
}

const minBurst = 1.5
