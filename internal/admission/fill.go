package admission

import "math"

// minimumShare is the part of the mean share that each class keeps.
const minimumShare = 0.25

// call is the demand of a route at one service.
type call struct {
	service int
	// slots is what the service needs to serve all requests of the route.
	slots float64
}

// demand is the demand of one route while capacity is shared out.
type demand struct {
	calls []call
	// omittable is the number of services that an answer may omit.
	omittable int
	// least is the share that the route keeps whatever more urgent classes need.
	least float64
	// share of the requests that there is room for, and bottleneck the service that limits it;
	// -1 if the share is 1.
	share      float64
	bottleneck int

	full   int
	frozen bool
}

// fillClasses shares the capacity of the services, in slots, between classes, the first class
// first. Each route keeps a quarter of the share that it would have without priorities. It returns
// the mean shares in the order of the demands.
func fillClasses(capacity []float64, classes [][]*demand) {
	var all []*demand
	for _, class := range classes {
		all = append(all, class...)
	}
	room := append([]float64(nil), capacity...)
	fillClass(room, all)
	room = append(room[:0], capacity...)
	for _, route := range all {
		route.least = minimumShare * route.share
		for _, needed := range route.calls {
			room[needed.service] -= route.least * needed.slots
		}
	}
	for _, class := range classes {
		fillClass(room, class)
	}
}

// fillClass raises the shares of all routes of a class together until services that they can't omit
// are full. Room is what is left at each service without the routes' least shares; it is reduced
// by what the routes get beyond them. A route no longer takes room of a service that is full,
// but goes on as long as it can omit it.
func fillClass(room []float64, class []*demand) {
	users := make([][]*demand, len(room))
	for _, route := range class {
		route.share, route.full, route.frozen, route.bottleneck = route.least, 0, false, -1
		for _, needed := range route.calls {
			users[needed.service] = append(users[needed.service], route)
		}
	}
	full := make([]bool, len(room))
	for level := 0.0; ; {
		next, limiting := nextLevel(room, full, class, level)
		raise(room, full, class, level, next)
		if limiting < 0 && next >= 1 {
			return
		}
		level = next
		if limiting < 0 {
			continue
		}
		full[limiting] = true
		room[limiting] = min(0, room[limiting])
		for _, route := range users[limiting] {
			route.full++
			if !route.frozen && route.full > route.omittable {
				route.frozen, route.bottleneck = true, limiting
			}
		}
	}
}

// nextLevel returns the next level at which a service is full, and the service, or the level at
// which another route begins to take room beyond its least share, and -1.
func nextLevel(room []float64, full []bool, class []*demand, level float64) (float64, int) {
	next, limiting := 1.0, -1
	rates := make([]float64, len(room))
	for _, route := range class {
		if route.frozen {
			continue
		}
		if route.least > level {
			next = min(next, route.least)
			continue
		}
		for _, needed := range route.calls {
			rates[needed.service] += needed.slots
		}
	}
	for service, rate := range rates {
		if rate <= 0 || full[service] || math.IsInf(room[service], 1) {
			continue
		}
		if at := level + max(0, room[service])/rate; at < next {
			next, limiting = at, service
		}
	}
	return next, limiting
}

func raise(room []float64, full []bool, class []*demand, from, to float64) {
	for _, route := range class {
		if route.frozen || route.least > from {
			continue
		}
		route.share = to
		for _, needed := range route.calls {
			if !full[needed.service] {
				room[needed.service] -= (to - from) * needed.slots
			}
		}
	}
}
