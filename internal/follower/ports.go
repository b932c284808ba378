package follower

import (
	"context"
	"fmt"
	"time"

	"github.com/martenstage/martenstage/internal/plan"
)

// PlanSource is the accepted configuration as a serving process knows it.
type PlanSource interface {
	// Latest returns the newest accepted revision known here with its plan,
	// and a channel that is closed once a newer one is known. Revision 0 means
	// that there is none yet; its plan is nil.
	Latest() (revision uint64, latest *plan.Plan, changed <-chan struct{})
}

// Leadership is the consensus module as far as leases need it.
type Leadership interface {
	// ConfirmLeadership returns the term of this voter once a quorum has
	// confirmed, by messages sent after the call began, that it leads, and
	// once PlanSource.Latest covers everything accepted before the call.
	// When this voter does not lead it returns a *NotLeaderError.
	ConfirmLeadership(ctx context.Context) (term uint64, err error)
}

// NotLeaderError says that this process may not grant leases, and who may.
type NotLeaderError struct {
	// Leader is the address of the server to ask instead; empty when unknown.
	Leader string
}

// Error describes the refusal.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader; ask %s", e.Leader)
}

// Authority entitles a serving process to grant leases. Control's is its
// confirmed leadership (NewLeaderAuthority), a relay's is its own lease.
type Authority interface {
	// Confirm returns what may be granted to a call that arrived before
	// Confirm was called, or a *NotLeaderError.
	Confirm(ctx context.Context) (Entitlement, error)
}

// Entitlement is the right to grant leases.
type Entitlement struct {
	// Term of the leader that the right comes from.
	Term uint64
	// Lease is the longest lease that may be granted now.
	Lease time.Duration
}
