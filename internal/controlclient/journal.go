package controlclient

import (
	"context"

	"connectrpc.com/connect"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// AppendEvents stores events in the journal. It is a spool.Deliver function: an
// event that is already stored is not stored again.
func (v *Voters) AppendEvents(ctx context.Context, events []*v1.Event) error {
	return v.callUntilAnswered(ctx, func(ctx context.Context, voter int) error {
		_, err := v.events[voter].Append(ctx, connect.NewRequest(&v1.AppendEventsRequest{Events: events}))
		return err
	})
}
