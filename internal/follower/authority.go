package follower

import (
	"context"
	"time"
)

// leaderAuthority entitles a control voter to grant leases while its
// leadership is confirmed.
type leaderAuthority struct {
	leadership Leadership
	lease      time.Duration
}

// NewLeaderAuthority returns the Authority of a control voter. Leases have a
// fixed duration, and each is granted after a leadership confirmation that
// started after the call arrived. A lease runs from before the call, so it
// expires within its duration of the election of any later leader.
func NewLeaderAuthority(leadership Leadership, lease time.Duration) Authority {
	return leaderAuthority{leadership: leadership, lease: lease}
}

// Confirm confirms the leadership with a quorum.
func (a leaderAuthority) Confirm(ctx context.Context, _ bool) (Entitlement, error) {
	term, err := a.leadership.ConfirmLeadership(ctx)
	if err != nil {
		return Entitlement{}, err
	}
	return Entitlement{Term: term, Lease: a.lease}, nil
}
