package follower

import (
	"context"
	"fmt"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/membership"
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
	// Confirm was called, or a *NotLeaderError. For the first call of a child,
	// PlanSource.Latest must cover on return everything that was accepted
	// before the call, so that a restarted node starts with the latest.
	Confirm(ctx context.Context, first bool) (Entitlement, error)
}

// Entitlement is the right to grant leases.
type Entitlement struct {
	// Term of the leader that the right comes from.
	Term uint64
	// Lease is the longest lease that may be granted now.
	Lease time.Duration
}

// Tables is what a serving process knows of routers and machines. The Handler
// calls it under its own lock, from one goroutine at a time. NewRootTables
// makes those of control; package relay has those of a relay.
type Tables interface {
	// StartTerm is called when the right to grant comes from a new term.
	StartTerm(now time.Time, term uint64)
	// Report notes a node that a direct child, or membership.Direct, vouches
	// for; Lapse that it no longer does.
	Report(source string, view membership.NodeView)
	Lapse(now time.Time, source, name string)
	// LapseChild notes that a direct child is gone, with whatever it vouched for.
	LapseChild(now time.Time, child string)
	// Observe notes what a router saw of a back end.
	Observe(now time.Time, observation membership.Observation)
	// Expire drops what is out of date.
	Expire(now time.Time)
	// Routers and Machines return the tables to spread; nil while there is
	// nothing reliable to spread yet.
	Routers(now time.Time) *membership.Table[membership.Node]
	Machines(now time.Time) *membership.Table[membership.Machine]
}

// Sink takes what a Follower learns. The Follower calls it from one goroutine
// at a time.
type Sink interface {
	// InstallPlan puts a revision in force and returns once nothing is
	// admitted any more under a lower one.
	InstallPlan(revision uint64, installed *plan.Plan)
	// ExtendLease allows work to be admitted until a time of the local clock
	// by a lease of the term. A zero time ends the lease at once.
	ExtendLease(term uint64, until time.Time)
	// MergeRouters and MergeMachines take over changes of the tables.
	MergeRouters(changes membership.Changes[membership.Node])
	MergeMachines(changes membership.Changes[membership.Machine])
	// Versions returns the versions of the tables that are held.
	Versions() (routers, machines uint64)
}

// Reporter adds to calls what a node has to tell upwards.
type Reporter interface {
	// Prepare adds the reports to a call. Upstream names the server asked and
	// the term of its leader, so that everything is told again to a new one.
	Prepare(now time.Time, upstream Upstream, request *v1.SyncRequest)
	// Delivered notes that the call with these reports was answered.
	Delivered(upstream Upstream, request *v1.SyncRequest)
}

// Upstream identifies whom a follower reports to.
type Upstream struct {
	Address string
	Term    uint64
}

// Events takes events for the journal. Record does not block.
type Events interface {
	Record(event journal.Event)
}

// noEvents discards events.
type noEvents struct{}

// Record does nothing.
func (noEvents) Record(journal.Event) {}
