package directory

import "time"

// Times of summing up the routers.
const (
	// summaryLeast is the least time between two sums: while all routers start, each call is
	// news for all others, and summing up for each would cost the square of their number.
	summaryLeast = 25 * time.Millisecond
	// summaryMost is how old a sum may be that nothing was reported since: routers grow
	// silent without a word.
	summaryMost = 100 * time.Millisecond
)

// routerSummary is what all routers are told alike.
type routerSummary struct {
	routerList
	// count is how many routers share the servers, calls what they make a second.
	count int
	calls float64
}

// summaryKeeper sums up the routers once for all that ask, whatever their number; its owner
// guards it.
type summaryKeeper struct {
	held    routerSummary
	at      time.Time
	changed bool
	// made counts the sums, for tests.
	made int
}

// change takes in that the routers are others than those summed up.
func (k *summaryKeeper) change() { k.changed = true }

// current returns the sum of a table, which may be summaryLeast old, or summaryMost if nothing
// was reported since.
func (k *summaryKeeper) current(now time.Time, table routerTable) routerSummary {
	age := now.Sub(k.at)
	if !k.at.IsZero() && (age < summaryLeast || !k.changed && age < summaryMost) {
		return k.held
	}
	k.held = routerSummary{routerList: table.listed(now), count: len(table.within(now, routerLifetime)), calls: table.calls(now)}
	k.at, k.changed = now, false
	k.made++
	return k.held
}
