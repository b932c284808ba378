package journal

import v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"

// Sameness is what equal events have in common: all but their ids, times and
// counts.
type Sameness struct {
	kind, source, service, shard, address, detail string
}

// SamenessOf returns the sameness of an event.
func SamenessOf(event *v1.Event) Sameness {
	return Sameness{
		kind: event.GetKind(), source: event.GetSource(), service: event.GetService(),
		shard: event.GetShard(), address: event.GetAddress(), detail: event.GetDetail(),
	}
}
