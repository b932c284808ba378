package follower

import (
	"context"
	"time"
)

// leaderAuthority grants leases by confirmed leadership.
type leaderAuthority struct {
	leadership Leadership
	lease      time.Duration
}

// NewLeaderAuthority returns the authority of a control voter: leases of a
// fixed duration, each after a confirmation begun after the call arrived. So a
// lease, which counts from before the call, ends within its duration after any
// later leader was elected.
func NewLeaderAuthority(leadership Leadership, lease time.Duration) Authority {
	return leaderAuthority{leadership: leadership, lease: lease}
}

// Confirm asks a quorum.
func (a leaderAuthority) Confirm(ctx context.Context, _ bool) (Entitlement, error) {
	term, err := a.leadership.ConfirmLeadership(ctx)
	if err != nil {
		return Entitlement{}, err
	}
	return Entitlement{Term: term, Lease: a.lease}, nil
}
