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

// ConfigSource delivers the decisions of control to a router: configuration, lease,
// machine states and the list of live routers.
type ConfigSource interface {
	// Run delivers updates to the sink until the context ends. It calls the
	// sink from one goroutine at a time.
	Run(ctx context.Context, sink ConfigSink) error
	// Observe reports that this router observed a back end drain or return to service.
	// It does not block.
	Observe(address netip.AddrPort, state query.MachineState)
	// Leave returns the lease at a planned stop, once nothing is in flight.
	Leave(ctx context.Context) error
	// Describe names the source for logs and the status page.
	Describe() string
}

// ConfigSink receives the updates of a ConfigSource. The router implements it.
type ConfigSink interface {
	// InstallPlan activates a revision and returns once every engine admits only under
	// it, so the source may then acknowledge the revision. A revision that is not
	// higher than the installed one is ignored.
	InstallPlan(revision uint64, installed *plan.Plan)
	// ExtendLease lets the router admit requests until a time of the local clock.
	// Times earlier than the current end are ignored; a zero time ends the lease at
	// once.
	ExtendLease(until time.Time)
	// ObserveMachines applies reported states of back ends.
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

// ClaimRequest requests the right to dispatch a request that runs at most once.
type ClaimRequest struct {
	// CallerID is the caller's request id, the key of the claim.
	CallerID string
	Route    string
	// Digest is the digest of the request body; the same id with another digest is
	// refused.
	Digest string
	Expiry time.Duration
}

// ClaimRegistry decides at-most-once claims.
type ClaimRegistry interface {
	// Claim returns the decision, or query.ClaimUnavailable if none could be made.
	Claim(ctx context.Context, request ClaimRequest) query.ClaimDecision
	// Settle records the outcome of a claim that this router holds.
	Settle(ctx context.Context, callerID string, outcome verdict.Verdict) error
}

// AdmissionLog records admitted requests, so that a test run can be checked
// afterwards. Admitted is called by all engines.
type AdmissionLog interface {
	// Admitted records that a request was admitted at a time under a revision. A
	// request whose caller disconnected before its answer may be omitted.
	Admitted(at time.Time, revision uint64)
}

// EventSink receives events for the journal. Record does not block; events that it
// can't accept are counted.
type EventSink interface {
	Record(event journal.Event)
	// Flush waits until the events recorded so far are stored, or the context
	// ends.
	Flush(ctx context.Context) error
}
