package journal

import v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"

// Sameness is the key by which equal events are merged: all fields but ids,
// times and counts.
type Sameness struct {
	kind, source, service, shard, address, detail string
}

// SamenessOf returns the key of an event.
func SamenessOf(event *v1.Event) Sameness {
	return Sameness{
		kind: event.GetKind(), source: event.GetSource(), service: event.GetService(),
		shard: event.GetShard(), address: event.GetAddress(), detail: event.GetDetail(),
	}
}
