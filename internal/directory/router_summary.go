package directory

import "time"

// Limits on the age of the router summary.
const (
	// summaryMinInterval is the minimum time between two computations: while all routers start,
	// each call is a change for all others, and recomputing for each would cost the square of
	// their number.
	summaryMinInterval = 25 * time.Millisecond
	// summaryMaxAge is the maximum age of a summary without reported changes: routers become
	// silent without a report.
	summaryMaxAge = 100 * time.Millisecond
)

// routerSummary is the part of a reply that is the same for all routers.
type routerSummary struct {
	routerList
	// count is how many routers share the servers, calls the rate of calls that they make.
	count int
	calls float64
}

// summaryCache computes the router summary once for all callers, whatever their number; its
// owner synchronizes access.
type summaryCache struct {
	cached     routerSummary
	computedAt time.Time
	changed    bool
	// computations counts the summaries computed, for tests.
	computations int
}

// invalidate records that the routers changed since the last summary.
func (c *summaryCache) invalidate() { c.changed = true }

// current returns the summary of a table, at most summaryMinInterval old, or summaryMaxAge if
// nothing was reported since.
func (c *summaryCache) current(now time.Time, table routerTable) routerSummary {
	age := now.Sub(c.computedAt)
	if !c.computedAt.IsZero() && (age < summaryMinInterval || !c.changed && age < summaryMaxAge) {
		return c.cached
	}
	c.cached = routerSummary{routerList: table.list(now), count: len(table.activeWithin(now, routerLifetime)), calls: table.calls(now)}
	c.computedAt, c.changed = now, false
	c.computations++
	return c.cached
}
