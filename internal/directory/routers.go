package directory

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Times that determine whether a router is live.
const (
	// routerLifetime is how long after its last call a router counts among those that share the
	// servers.
	routerLifetime = 10 * time.Second
	// routerLiveness is how long after its last call other routers send requests to it.
	routerLiveness = 2500 * time.Millisecond
	// routerShareWindow is the maximum age of a call that is shared with other nodes.
	routerShareWindow = 2 * heartbeatShareInterval
	// suspectReportLifetime is the time within which minSuspectReports routers must report a
	// router as failed for it to count as absent.
	suspectReportLifetime = 2 * time.Second
)

// minSuspectReports is how many routers must report that another one failed. A single reporter
// may itself be at fault: it may be slow or partitioned from some routers.
const minSuspectReports = 2

// knownRouter is a router with the time of its last call, at any node.
type knownRouter struct {
	Router
	lastCall time.Time
	// lastLocalCall is when it last called this node.
	lastLocalCall time.Time
	// calls is the rate of calls to servers of shards that it makes, per second.
	calls float64
	// suspectedBy is when each other router last reported it as failed.
	suspectedBy map[string]time.Time
}

// suspected reports whether several other routers reported the router as failed after its last
// call: a router that calls again is live.
func (k knownRouter) suspected(now time.Time) bool {
	return minSuspectReports <= lo.CountBy(lo.Values(k.suspectedBy), func(reportedAt time.Time) bool {
		return reportedAt.After(k.lastCall) && now.Sub(reportedAt) <= suspectReportLifetime+routerLiveness
	})
}

// routerTable holds the routers; its owner synchronizes access.
type routerTable map[string]knownRouter

// recordCall records a call, at this node or another, and reports whether it changed the listed
// routers.
func (t routerTable) recordCall(now time.Time, reported sharedRouter, local bool) bool {
	lastCall := now.Add(-reported.Age)
	known, exists := t[reported.Name]
	if exists && known.lastCall.After(lastCall) {
		return false
	}
	updated := knownRouter{Router: reported.Router, lastCall: lastCall, lastLocalCall: known.lastLocalCall, calls: reported.Calls}
	if local {
		updated.lastLocalCall = lastCall
	}
	t[reported.Name] = updated
	return !exists || known.Router != reported.Router || known.suspected(now)
}

// recordSuspects records a router's report of others that failed, and reports whether one of
// them has become absent by it.
func (t routerTable) recordSuspects(now time.Time, report SuspectReport) bool {
	changed := false
	for _, name := range report.Routers {
		known, exists := t[name]
		if !exists || name == report.By {
			continue
		}
		before := known.suspected(now)
		maps.DeleteFunc(known.suspectedBy, func(_ string, at time.Time) bool { return now.Sub(at) > suspectReportLifetime })
		if known.suspectedBy == nil {
			known.suspectedBy = make(map[string]time.Time)
		}
		known.suspectedBy[report.By] = now
		t[name] = known
		changed = changed || known.suspected(now) != before
	}
	return changed
}

// calls returns the rate of calls to servers of shards that all routers make, per second.
func (t routerTable) calls(now time.Time) float64 {
	return lo.SumBy(t.activeWithin(now, routerLiveness), func(known sharedRouter) float64 { return known.Calls })
}

// activeWithin returns the routers that called within a time, ordered by name.
func (t routerTable) activeWithin(now time.Time, limit time.Duration) []sharedRouter {
	var found []sharedRouter
	for _, known := range t {
		if age := now.Sub(known.lastCall); age <= limit {
			found = append(found, sharedRouter{Router: known.Router, Age: max(0, age), Calls: known.calls})
		}
	}
	slices.SortFunc(found, func(a, b sharedRouter) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// calledHere returns the routers that called this node within a time.
func (t routerTable) calledHere(now time.Time, limit time.Duration) []sharedRouter {
	return lo.Filter(t.activeWithin(now, limit), func(found sharedRouter, _ int) bool {
		return now.Sub(t[found.Name].lastLocalCall) <= limit
	})
}

// expire removes routers that have not called within routerLifetime.
func (t routerTable) expire(now time.Time) {
	for name, known := range t {
		if now.Sub(known.lastCall) > routerLifetime {
			delete(t, name)
		}
	}
}

// routerList is the list of routers that is sent to routers.
type routerList struct {
	routers       []ListedRouter
	routersDigest uint64
	absent        []string
	absentDigest  uint64
}

// list returns the routers that others can reach, and which of them are absent. A router that
// is stopping, silent or failed stays listed for routerLifetime, because it may just be
// restarting.
func (t routerTable) list(now time.Time) routerList {
	var list routerList
	for _, known := range t.activeWithin(now, routerLifetime) {
		if known.Address == "" {
			continue
		}
		list.routers = append(list.routers, ListedRouter{Name: known.Name, Zone: known.Zone, Address: known.Address, Identifies: known.Identifies})
		if known.Stopping || known.Age > routerLiveness || t[known.Name].suspected(now) {
			list.absent = append(list.absent, known.Name)
		}
	}
	list.routersDigest, list.absentDigest = digestOf(list.routers), digestOf(list.absent)
	return list
}

// digestOf returns a digest of a list. It is never 0, which stands for none.
func digestOf(list any) uint64 {
	text, err := json.Marshal(list)
	if err != nil {
		panic(errors.Wrap(err, "cannot encode the list"))
	}
	return max(1, xxhash.Sum64(text))
}
