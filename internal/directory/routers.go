package directory

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
)

// knownRouter is a router with the time of its last call, at whichever node.
type knownRouter struct {
	Router
	called time.Time
	// here is when it last called this node.
	here time.Time
	// calls is how many calls to servers of shards it makes a second.
	calls float64
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
	return !exists || known.Router != told.Router
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

// listed returns the routers that others can reach, and a digest of the list. One
// that stops or is silent is absent in it, but keeps its place for some time: it
// may only be starting again.
func (t routerTable) listed(now time.Time) ([]ListedRouter, uint64) {
	list := lo.FilterMap(t.within(now, routerLifetime), func(known sharedRouter, _ int) (ListedRouter, bool) {
		absent := known.Stopping || known.Age > routerLiveness
		return ListedRouter{Name: known.Name, Zone: known.Zone, Address: known.Address, Absent: absent}, known.Address != ""
	})
	text, err := json.Marshal(list)
	if err != nil {
		return nil, 0
	}
	return list, xxhash.Sum64(text)
}
