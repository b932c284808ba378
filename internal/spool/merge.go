package spool

import (
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
)

// Equal events are merged if the later one occurs within a window after the first.
// The window grows with the fill level of the spool: a short outage keeps separate
// episodes, a long one with many events keeps counts instead of losing events.
const (
	minWindow    = time.Minute
	middleWindow = 15 * time.Minute
	maxWindow    = 4 * time.Hour
)

func mergeWindow(stored, limit int) time.Duration {
	switch {
	case stored < limit/4:
		return minWindow
	case stored < limit/2:
		return middleWindow
	default:
		return maxWindow
	}
}

// withinWindow reports whether a later event is close enough to an equal earlier one to
// be merged into it.
func withinWindow(earlier, later *v1.Event, window time.Duration) bool {
	return later.GetTime().AsTime().Sub(earlier.GetTime().AsTime()) < window
}

// merge adds the count of a later event to an equal earlier one and extends its time span.
func merge(earlier, later *v1.Event) {
	earlier.Count += later.GetCount()
	if later.GetLastTime().AsTime().After(earlier.GetLastTime().AsTime()) {
		earlier.LastTime = later.GetLastTime()
	}
}

// mergeEqual merges events that differ only in their time into the first of them.
// Events that already have an id are not merged. The order of first appearance is
// kept.
func mergeEqual(events []*v1.Event, window time.Duration) []*v1.Event {
	merged := make([]*v1.Event, 0, len(events))
	first := make(map[journal.EventKey]*v1.Event, len(events))
	for _, event := range events {
		key := journal.EventKeyOf(event)
		earlier, found := first[key]
		if !found || event.GetId() != "" || earlier.GetId() != "" || !withinWindow(earlier, event, window) {
			first[key] = event
			merged = append(merged, event)
			continue
		}
		merge(earlier, event)
	}
	return merged
}
