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
	// full is the number of its services that are full, and frozen whether its share has its
	// final value.
	full   int
	frozen bool
}

// fillClasses shares the capacity of the services, in slots, between classes, the first class
// first, and sets the share and the bottleneck of each route. Each route keeps a quarter of the share
// that it would have without priorities.
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

// filling is the state while the shares of one class are raised together. Each step costs one pass
// over the services and routes, and no pass over the calls of routes that go on.
type filling struct {
	level float64
	// room is what is left at each service, rates the slots that the routes which are being raised
	// need there per unit of level, and full whether room is used up.
	room, rates []float64
	full        []bool
	users       [][]*demand
	// waiting are the routes whose least share is above the level.
	waiting []*demand
}

// fillClass raises the shares of all routes of a class together until services that they can't omit
// are full. Room is what is left at each service without the routes' least shares; it is reduced
// by what the routes get beyond them. A route no longer takes room of a service that is full,
// but goes on as long as it can omit it.
func fillClass(room []float64, class []*demand) {
	f := filling{
		room: room, rates: make([]float64, len(room)), full: make([]bool, len(room)),
		users: make([][]*demand, len(room)), waiting: class,
	}
	for _, route := range class {
		route.full, route.frozen, route.bottleneck = 0, false, -1
		for _, needed := range route.calls {
			f.users[needed.service] = append(f.users[needed.service], route)
		}
	}
	for f.admitWaiting(); f.level < 1; f.admitWaiting() {
		if limiting := f.raise(); limiting >= 0 {
			f.fill(limiting)
		}
	}
	for _, route := range class {
		if !route.frozen {
			route.share = 1
		}
	}
}

// admitWaiting begins to raise the routes whose least share the level has reached.
func (f *filling) admitWaiting() {
	var waiting []*demand
	for _, route := range f.waiting {
		if route.frozen {
			continue
		}
		if route.least > f.level {
			waiting = append(waiting, route)
			continue
		}
		for _, needed := range route.calls {
			f.rates[needed.service] += needed.slots
		}
	}
	f.waiting = waiting
}

// raise raises the level to the next one at which a service is full, and returns the service, or
// to one at which another route begins to take room beyond its least share, and returns -1.
func (f *filling) raise() int {
	next, limiting := 1.0, -1
	for _, route := range f.waiting {
		next = min(next, route.least)
	}
	for service, rate := range f.rates {
		if rate <= 0 || f.full[service] || math.IsInf(f.room[service], 1) {
			continue
		}
		if at := f.level + max(0, f.room[service])/rate; at < next {
			next, limiting = at, service
		}
	}
	for service, rate := range f.rates {
		if !f.full[service] {
			f.room[service] -= (next - f.level) * rate
		}
	}
	f.level = next
	return limiting
}

// fill marks a service as full and ends the rise of the routes that can't omit it.
func (f *filling) fill(service int) {
	f.full[service] = true
	f.room[service] = min(0, f.room[service])
	for _, route := range f.users[service] {
		route.full++
		if route.frozen || route.full <= route.omittable {
			continue
		}
		route.frozen, route.bottleneck = true, service
		route.share = max(route.least, f.level)
		if route.least > f.level {
			continue // It was not raised yet.
		}
		for _, needed := range route.calls {
			f.rates[needed.service] = max(0, f.rates[needed.service]-needed.slots)
		}
	}
}
