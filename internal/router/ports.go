package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// ConfigSource delivers what control decides to a router: configuration,
// lease, machine states and the list of live routers.
type ConfigSource interface {
	// Run delivers updates to the sink until the context ends. It calls the
	// sink from one goroutine at a time.
	Run(ctx context.Context, sink ConfigSink) error
	// Observe passes on that this router saw a back end leave or fail. It does
	// not block.
	Observe(address netip.AddrPort, state query.MachineState)
	// Leave gives the lease back at a planned stop, once nothing is in flight.
	Leave(ctx context.Context) error
	// Describe names the source for logs and the status page.
	Describe() string
}

// ConfigSink receives the updates of a ConfigSource. The router implements it.
type ConfigSink interface {
	// InstallPlan puts a revision in force and returns once every engine
	// admits only under it, so the source may then acknowledge the revision.
	// A revision that is not higher than the installed one is ignored.
	InstallPlan(revision uint64, installed *plan.Plan)
	// ExtendLease lets the router admit requests until a time of the local
	// clock. Earlier times than the current one are ignored; a zero time ends
	// the lease at once.
	ExtendLease(until time.Time)
	// ObserveMachines passes on states of back ends.
	ObserveMachines(observed []query.MachineObserved)
	// InstallRouters replaces the list of live routers, this one included.
	InstallRouters(routers []Peer)
}

// Peer is a router with a live lease.
type Peer struct {
	Name    string
	Zone    string
	Address netip.AddrPort
	// Boot changes at every start of the peer's process.
	Boot uint64
}

// ClaimRequest asks for the right to dispatch a request that runs at most
// once.
type ClaimRequest struct {
	// CallerID is the caller's request id, the key of the claim.
	CallerID string
	Route    string
	// Digest is that of the request body; the same id with another digest is
	// refused.
	Digest string
	Expiry time.Duration
}

// ClaimRegistry decides at-most-once claims.
type ClaimRegistry interface {
	// Claim returns the decision. Whatever prevents one is
	// query.ClaimUnavailable.
	Claim(ctx context.Context, request ClaimRequest) query.ClaimDecision
	// Settle records the outcome of a claim that this router holds.
	Settle(ctx context.Context, callerID string, outcome verdict.Verdict) error
}

// AdmissionLog takes note of admitted requests, for the judge of a run. Admitted
// is called by all engines.
type AdmissionLog interface {
	// Admitted says that a request was admitted at a moment under a revision. A
	// request whose caller went away before its answer may be left out.
	Admitted(at time.Time, revision uint64)
}

// EventSink takes events for the journal. Record does not block; what it
// can't take it counts.
type EventSink interface {
	Record(event journal.Event)
	// Flush waits until the events recorded so far are stored, or the context
	// ends.
	Flush(ctx context.Context) error
}
