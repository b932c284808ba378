// Package evacuation determines which servers get no requests because an operator has
// evacuated their zone. It does no I/O and reads no clock.
//
// The orders are made durable elsewhere (package directory). A router that receives one moves
// the services of the zone one after the other over a short time, so that connections to the
// servers of other zones are established before they carry the full load.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is one router's knowledge of evacuated zones. The zero value has none. A View is
// immutable: an update returns a new one.
type View struct {
	zones map[string]transition
}

// transition is the gradual move of a zone's services out of it, or back.
type transition struct {
	startedAt time.Time
	// duration is the time until all services have moved; 0 for at once.
	duration time.Duration
	// returning says that the evacuation was cancelled.
	returning bool
}

// Update returns the view after a router received, at a time, the list of evacuated zones.
// Services leave and return over a duration, 0 for at once. A zone whose order is reversed
// during its transition is moved at once, since only this router knows which of its services
// have moved by then.
func (v View) Update(now time.Time, zones []string, duration time.Duration) View {
	next := make(map[string]transition, len(zones))
	for zone, known := range v.zones {
		evacuated := slices.Contains(zones, zone)
		switch {
		case evacuated != known.returning:
			next[zone] = known
		case now.Before(known.startedAt.Add(known.duration)):
			next[zone] = transition{startedAt: now, returning: !evacuated}
		default:
			next[zone] = transition{startedAt: now, duration: duration, returning: !evacuated}
		}
		if ended := next[zone]; ended.returning && !now.Before(ended.startedAt.Add(ended.duration)) {
			delete(next, zone)
		}
	}
	for _, zone := range zones {
		if _, known := v.zones[zone]; !known {
			next[zone] = transition{startedAt: now, duration: duration}
		}
	}
	return View{zones: next}
}

// Evacuated reports whether the servers of a service in a zone get no requests.
func (v View) Evacuated(now time.Time, zone, service string) bool {
	known, exists := v.zones[zone]
	if !exists {
		return false
	}
	moved := !now.Before(known.movesAt(service))
	return moved != known.returning
}

// Moving reports whether a transition is in progress, so that the set of evacuated services
// may soon change.
func (v View) Moving(now time.Time) bool {
	for _, known := range v.zones {
		if now.Before(known.startedAt.Add(known.duration)) {
			return true
		}
	}
	return false
}

// Zones returns the evacuated zones, sorted by name.
func (v View) Zones() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(v.zones)), func(zone string) bool { return v.zones[zone].returning })
}

// movesAt returns when a service leaves or returns. All routers move it at about the same
// time, so that those that gather it agree.
func (t transition) movesAt(service string) time.Time {
	const steps = 1 << 16
	step := xxhash.Sum64String(service) % steps
	return t.startedAt.Add(time.Duration(step) * (t.duration / steps))
}
