package controlclient

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/wait"
)

const (
	// attemptTimeout bounds one call to one voter, so that a voter behind a silent
	// partition leaves time for the others.
	attemptTimeout = 700 * time.Millisecond
	// roundDelay is the delay between rounds over all voters.
	roundDelay = 20 * time.Millisecond
)

// Voters calls the control voters. Any voter forwards calls to the leader; the
// voter that answered last is tried first.
type Voters struct {
	claims []martenstagev1connect.ClaimServiceClient
	events []martenstagev1connect.JournalServiceClient
	next   atomic.Uint64
}

// NewVoters returns a client of the voters at the addresses. At least one address
// is required.
func NewVoters(client *rpc.Client, addresses []string) *Voters {
	options := rpc.ClientOptions()
	return &Voters{
		claims: lo.Map(addresses, func(address string, _ int) martenstagev1connect.ClaimServiceClient {
			return martenstagev1connect.NewClaimServiceClient(client.HTTP(), client.URL(address), options)
		}),
		events: lo.Map(addresses, func(address string, _ int) martenstagev1connect.JournalServiceClient {
			return martenstagev1connect.NewJournalServiceClient(client.HTTP(), client.URL(address), options)
		}),
	}
}

// callUntilAnswered sends a call to one voter after another until one answers or
// the context ends. The call must be safe to retry.
func (v *Voters) callUntilAnswered(ctx context.Context, call func(ctx context.Context, voter int) error) error {
	for attempt := 1; ; attempt++ {
		voter := v.next.Load()
		err := v.attempt(ctx, call, int(voter%uint64(len(v.claims))))
		if err == nil || isFinalError(err) {
			return err
		}
		// Several concurrent calls may fail; only one of them advances.
		v.next.CompareAndSwap(voter, voter+1)
		if ctx.Err() != nil {
			return err
		}
		if attempt%len(v.claims) == 0 && !wait.For(ctx, roundDelay) {
			return err
		}
	}
}

func (v *Voters) attempt(ctx context.Context, call func(ctx context.Context, voter int) error, voter int) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, voter)
}

// isFinalError reports whether an error is an answer that any other voter would
// give as well.
func isFinalError(err error) bool {
	var coded *connect.Error
	if !errors.As(err, &coded) {
		return false
	}
	switch coded.Code() {
	case connect.CodeInvalidArgument, connect.CodePermissionDenied, connect.CodeFailedPrecondition,
		connect.CodeUnauthenticated, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return true
	default:
		return false
	}
}
