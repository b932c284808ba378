package journal

import v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"

// EventKey is the key by which equal events are merged: all fields but ids,
// times and counts.
type EventKey struct {
	kind, source, service, shard, address, detail string
}

// EventKeyOf returns the key of an event.
func EventKeyOf(event *v1.Event) EventKey {
	return EventKey{
		kind: event.GetKind(), source: event.GetSource(), service: event.GetService(),
		shard: event.GetShard(), address: event.GetAddress(), detail: event.GetDetail(),
	}
}
