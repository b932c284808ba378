package spool

import (
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// sameness is what equal events have in common.
type sameness struct {
	kind, source, service, shard, address, detail string
}

// fold joins events that are equal but for their time into the first of them,
// which then counts them and spans their times. Events with an id of their own
// stay apart. The order of first appearance is kept.
func fold(events []*v1.Event) []*v1.Event {
	folded := make([]*v1.Event, 0, len(events))
	first := make(map[sameness]*v1.Event, len(events))
	for _, event := range events {
		key := sameness{
			kind: event.GetKind(), source: event.GetSource(), service: event.GetService(),
			shard: event.GetShard(), address: event.GetAddress(), detail: event.GetDetail(),
		}
		earlier, found := first[key]
		if !found || event.GetId() != "" || earlier.GetId() != "" {
			first[key] = event
			folded = append(folded, event)
			continue
		}
		earlier.Count += event.GetCount()
		if event.GetLastTime().AsTime().After(earlier.GetLastTime().AsTime()) {
			earlier.LastTime = event.GetLastTime()
		}
	}
	return folded
}
