// Package evacuation works out which servers get no requests because an operator has
// their zone evacuated. It has no I/O and reads no clock.
//
// The orders themselves are durable elsewhere (package directory). A router that hears
// of one moves the services of the zone one after the other over a short time, so that
// connections to the servers of other zones come up before all of the load is there.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is what one router knows of evacuated zones. The zero value knows of none. A
// View is never changed: Take returns another one.
type View struct {
	zones map[string]move
}

// move is the way of a zone's services out of it, or back.
type move struct {
	began time.Time
	// over is the time that all services take; 0 for at once.
	over time.Duration
	// back says that the evacuation was taken back.
	back bool
}

// Take returns the view of a router that is told, at a time, which zones are evacuated.
// Services leave and return over a time, 0 for at once. A zone whose order is reversed
// while its services still move is moved at once: where each service is by then is
// known to this router alone.
func (v View) Take(now time.Time, zones []string, over time.Duration) View {
	next := make(map[string]move, len(zones))
	for zone, known := range v.zones {
		evacuated := slices.Contains(zones, zone)
		switch {
		case evacuated != known.back:
			next[zone] = known
		case now.Before(known.began.Add(known.over)):
			next[zone] = move{began: now, back: !evacuated}
		default:
			next[zone] = move{began: now, over: over, back: !evacuated}
		}
		if ended := next[zone]; ended.back && !now.Before(ended.began.Add(ended.over)) {
			delete(next, zone)
		}
	}
	for _, zone := range zones {
		if _, known := v.zones[zone]; !known {
			next[zone] = move{began: now, over: over}
		}
	}
	return View{zones: next}
}

// Empty reports whether the servers of a service in a zone get no requests.
func (v View) Empty(now time.Time, zone, service string) bool {
	known, exists := v.zones[zone]
	if !exists {
		return false
	}
	moved := !now.Before(known.moves(service))
	return moved != known.back
}

// Moving reports whether services are on their way, so that Empty may soon answer
// otherwise.
func (v View) Moving(now time.Time) bool {
	for _, known := range v.zones {
		if now.Before(known.began.Add(known.over)) {
			return true
		}
	}
	return false
}

// Zones returns the zones that are evacuated, ordered by name.
func (v View) Zones() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(v.zones)), func(zone string) bool { return v.zones[zone].back })
}

// moves is when a service leaves or returns: all routers move it at about the same
// time, so that those that gather it agree.
func (m move) moves(service string) time.Time {
	const steps = 1 << 16
	step := xxhash.Sum64String(service) % steps
	return m.began.Add(time.Duration(step) * (m.over / steps))
}
