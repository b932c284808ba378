package spool

import (
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
)

// Equal events join while the earlier one is younger than a window. The fuller
// the spool, the wider the window: a short outage keeps every episode apart,
// and a long one in which much goes on keeps counts instead of losing events.
const (
	shortestWindow = time.Minute
	middleWindow   = 15 * time.Minute
	longestWindow  = 4 * time.Hour
)

func foldWindow(stored, limit int) time.Duration {
	switch {
	case stored < limit/4:
		return shortestWindow
	case stored < limit/2:
		return middleWindow
	default:
		return longestWindow
	}
}

// joins reports whether a later event is close enough to an equal earlier one.
func joins(earlier, later *v1.Event, window time.Duration) bool {
	return later.GetTime().AsTime().Sub(earlier.GetTime().AsTime()) < window
}

// join counts a later event into an earlier one.
func join(earlier, later *v1.Event) {
	earlier.Count += later.GetCount()
	if later.GetLastTime().AsTime().After(earlier.GetLastTime().AsTime()) {
		earlier.LastTime = later.GetLastTime()
	}
}

// fold joins events that are equal but for their time into the first of them,
// which then counts them and spans their times. Events with an id of their own
// stay apart. The order of first appearance is kept.
func fold(events []*v1.Event, window time.Duration) []*v1.Event {
	folded := make([]*v1.Event, 0, len(events))
	first := make(map[journal.Sameness]*v1.Event, len(events))
	for _, event := range events {
		key := journal.SamenessOf(event)
		earlier, found := first[key]
		if !found || event.GetId() != "" || earlier.GetId() != "" || !joins(earlier, event, window) {
			first[key] = event
			folded = append(folded, event)
			continue
		}
		join(earlier, event)
	}
	return folded
}
