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

// Times that tell whether a router is there.
const (
	// routerLifetime is how long after its last call a router counts among those
	// that share the servers.
	routerLifetime = 10 * time.Second
	// routerLiveness is how long after it other routers ask it for something.
	routerLiveness = 2500 * time.Millisecond
	// routerShare is how recent a call is that other nodes are told of.
	routerShare = 2 * beatShareInterval
	// doubtLifetime is within which time doubtersNeeded routers have to tell that a
	// router failed for it to count as absent.
	doubtLifetime = 2 * time.Second
)

// doubtersNeeded is how many routers have to tell that another one failed. What one alone
// tells may be its own fault: it is slow, or cut off from some.
const doubtersNeeded = 2

// knownRouter is a router with the time of its last call, at whichever node.
type knownRouter struct {
	Router
	called time.Time
	// here is when it last called this node.
	here time.Time
	// calls is how many calls to servers of shards it makes a second.
	calls float64
	// doubts are when each other router told last that it failed.
	doubts map[string]time.Time
}

// doubted reports whether several others told that the router failed, after its last
// call: one that calls again is there.
func (k knownRouter) doubted(now time.Time) bool {
	return doubtersNeeded <= lo.CountBy(lo.Values(k.doubts), func(told time.Time) bool {
		return told.After(k.called) && now.Sub(told) <= doubtLifetime+routerLiveness
	})
}

// routerTable holds the routers; its owner guards it.
type routerTable map[string]knownRouter

// report takes in a call, here or at another node, and reports whether it is
// news.
func (t routerTable) report(now time.Time, told sharedRouter, here bool) bool {
	called := now.Add(-told.Age)
	known, exists := t[told.Name]
	if exists && known.called.After(called) {
		return false
	}
	updated := knownRouter{Router: told.Router, called: called, here: known.here, calls: told.Calls}
	if here {
		updated.here = called
	}
	t[told.Name] = updated
	return !exists || known.Router != told.Router || known.doubted(now)
}

// doubt takes in that a router told of others that failed, and reports whether one of
// them is absent for it that was not before.
func (t routerTable) doubt(now time.Time, told Doubt) bool {
	news := false
	for _, name := range told.Routers {
		known, exists := t[name]
		if !exists || name == told.By {
			continue
		}
		before := known.doubted(now)
		maps.DeleteFunc(known.doubts, func(_ string, at time.Time) bool { return now.Sub(at) > doubtLifetime })
		if known.doubts == nil {
			known.doubts = make(map[string]time.Time)
		}
		known.doubts[told.By] = now
		t[name] = known
		news = news || known.doubted(now) != before
	}
	return news
}

// calls is how many calls to servers of shards all routers make a second.
func (t routerTable) calls(now time.Time) float64 {
	return lo.SumBy(t.within(now, routerLiveness), func(known sharedRouter) float64 { return known.Calls })
}

// within returns the routers that called within a time, ordered by name.
func (t routerTable) within(now time.Time, limit time.Duration) []sharedRouter {
	var found []sharedRouter
	for _, known := range t {
		if age := now.Sub(known.called); age <= limit {
			found = append(found, sharedRouter{Router: known.Router, Age: max(0, age), Calls: known.calls})
		}
	}
	slices.SortFunc(found, func(a, b sharedRouter) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// direct returns the routers that called this node within a time.
func (t routerTable) direct(now time.Time, limit time.Duration) []sharedRouter {
	return lo.Filter(t.within(now, limit), func(found sharedRouter, _ int) bool {
		return now.Sub(t[found.Name].here) <= limit
	})
}

// expire forgets routers that did not call for long.
func (t routerTable) expire(now time.Time) {
	for name, known := range t {
		if now.Sub(known.called) > routerLifetime {
			delete(t, name)
		}
	}
}

// routerList is what routers are told of each other.
type routerList struct {
	routers       []ListedRouter
	routersDigest uint64
	absent        []string
	absentDigest  uint64
}

// listed returns the routers that others can reach, and which of them are absent. One
// that stops, is silent or failed keeps its place for some time: it may only be starting
// again.
func (t routerTable) listed(now time.Time) routerList {
	var list routerList
	for _, known := range t.within(now, routerLifetime) {
		if known.Address == "" {
			continue
		}
		list.routers = append(list.routers, ListedRouter{Name: known.Name, Zone: known.Zone, Address: known.Address, Identifies: known.Identifies})
		if known.Stopping || known.Age > routerLiveness || t[known.Name].doubted(now) {
			list.absent = append(list.absent, known.Name)
		}
	}
	list.routersDigest, list.absentDigest = digestOf(list.routers), digestOf(list.absent)
	return list
}

// digestOf tells one list from another; it is never 0, which stands for none.
func digestOf(list any) uint64 {
	text, err := json.Marshal(list)
	if err != nil {
		panic(errors.Wrap(err, "a list holds only texts"))
	}
	return max(1, xxhash.Sum64(text))
}
