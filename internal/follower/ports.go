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

// PlanSource provides the accepted configuration as far as this process has it.
type PlanSource interface {
	// Latest returns the newest accepted revision of this process with its plan,
	// and a channel that is closed once there is a newer one. Revision 0 means
	// that there is none yet; its plan is nil.
	Latest() (revision uint64, latest *plan.Plan, changed <-chan struct{})
}

// Leadership is the part of the consensus module that leases depend on.
type Leadership interface {
	// ConfirmLeadership returns the term of this voter once a quorum has
	// confirmed, by messages sent after the call began, that it leads, and
	// once PlanSource.Latest covers everything accepted before the call.
	// When this voter does not lead it returns a *NotLeaderError.
	ConfirmLeadership(ctx context.Context) (term uint64, err error)
}

// NotLeaderError means that this process may not grant leases.
type NotLeaderError struct {
	// Leader is the address of the server to call instead; empty when unknown.
	Leader string
}

// Error describes the refusal.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader; ask %s", e.Leader)
}

// Authority entitles a process to grant leases. A control voter is entitled by
// its confirmed leadership (NewLeaderAuthority), a relay by its own lease.
type Authority interface {
	// Confirm returns what may be granted to a call that arrived before
	// Confirm was called, or a *NotLeaderError. For the first call of a child,
	// PlanSource.Latest must on return cover everything that was accepted
	// before the call, so that a restarted node starts with the latest revision.
	Confirm(ctx context.Context, first bool) (Entitlement, error)
}

// Entitlement is the right to grant leases.
type Entitlement struct {
	// Term of the leader that the right derives from.
	Term uint64
	// Lease is the longest lease that may be granted now.
	Lease time.Duration
}

// Tables holds what a process has received about routers and machines. The
// Handler calls it under its own lock, from one goroutine at a time. RootTables
// implements it for control voters, package relay for relays.
type Tables interface {
	// StartTerm is called when the right to grant leases derives from a new term.
	StartTerm(now time.Time, term uint64)
	// Report records a node that a source (a direct child, or membership.Direct)
	// reports as live; Lapse records that the source no longer does.
	Report(source string, view membership.NodeView)
	Lapse(now time.Time, source, name string)
	// LapseChild records the loss of a direct child and of every node that only
	// this child reported.
	LapseChild(now time.Time, child string)
	// Observe records a router's observation of a back end.
	Observe(now time.Time, observation membership.Observation)
	// Expire drops outdated entries.
	Expire(now time.Time)
	// Routers and Machines return the tables to distribute; nil while they are
	// not reliable yet.
	Routers(now time.Time) *membership.Table[membership.Node]
	Machines(now time.Time) *membership.Table[membership.Machine]
}

// Sink receives the plans, leases and tables of a Follower. The Follower calls
// it from one goroutine at a time.
type Sink interface {
	// InstallPlan activates a revision and returns once no work is admitted any
	// more under a lower one.
	InstallPlan(revision uint64, installed *plan.Plan)
	// ExtendLease allows work to be admitted until a time of the local clock,
	// under a lease of the term. A zero time ends the lease at once.
	ExtendLease(term uint64, until time.Time)
	// MergeRouters and MergeMachines apply changes to the tables.
	MergeRouters(changes membership.Changes[membership.Node])
	MergeMachines(changes membership.Changes[membership.Machine])
	// Versions returns the current versions of the tables.
	Versions() (routers, machines uint64)
}

// Reporter adds a node's reports to its calls.
type Reporter interface {
	// Prepare adds the reports to a call. Upstream names the server called and
	// the term of its leader, so that everything is reported again to a new one.
	Prepare(now time.Time, upstream Upstream, request *v1.SyncRequest)
	// Delivered is called when the call with these reports was answered.
	Delivered(upstream Upstream, request *v1.SyncRequest)
}

// Upstream identifies the server that a follower reports to.
type Upstream struct {
	Address string
	Term    uint64
}

// Events records events in the journal. Record does not block.
type Events interface {
	Record(event journal.Event)
}

// noEvents discards events.
type noEvents struct{}

// Record implements Events.
func (noEvents) Record(journal.Event) {}
