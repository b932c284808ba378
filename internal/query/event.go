package query

import (
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

// RequestID identifies a request within one engine. The caller's own id is
// Request.CallerID.
type RequestID uint64

// AttemptID identifies an attempt within one engine. Ids are never reused, so a late
// reply can not be matched to another attempt.
type AttemptID uint64

// Request is a query as admitted by the callers' API.
type Request struct {
	ID RequestID
	// CallerID is the caller's request id; it is the claim key of requests
	// that run at most once.
	CallerID string
	Route    string
	// Key selects the shard on routes with plan.TargetKey.
	Key string
	// Deadline is absolute and no later than arrival plus the policy's
	// deadline; zero means the policy's.
	Deadline time.Time
	Body     []byte
	// BodyDigest is backendapi.Digest of Body.
	BodyDigest string
}

// Event is an input of Engine.Step.
type Event interface{ isEvent() }

// ConfigInstalled replaces the plan. Requests in flight finish under the plan that
// they were admitted with.
type ConfigInstalled struct {
	Revision uint64
	Plan     *plan.Plan
}

// LeaseRenewed extends the configuration lease; requests arriving later than
// Until are refused. Until never moves back except by LeaseRenewed with a zero
// time, which ends the lease.
type LeaseRenewed struct{ Until time.Time }

// StopRequested makes the engine refuse new requests with reason stopping and finish
// those in flight. Command Stopped follows when none is left.
type StopRequested struct{}

// ShareChanged sets this router's share of one back end's connections and slots.
// Without it, the router uses all of both.
type ShareChanged struct {
	Address     netip.AddrPort
	Slots       int
	Connections int
}

// RequestArrived submits a request for admission.
type RequestArrived struct{ Request Request }

// CallerDisconnected reports that the caller of a request no longer waits.
type CallerDisconnected struct{ Request RequestID }

// ClaimDecided is the reply to command Claim.
type ClaimDecided struct {
	Request  RequestID
	Decision ClaimDecision
}

// ClaimDecision is the claim registry's decision.
type ClaimDecision uint8

// Claim decisions.
const (
	ClaimGranted ClaimDecision = iota + 1
	ClaimHeldMayHaveRun
	ClaimHeldRan
	ClaimExpired
	ClaimDigestMismatch
	// ClaimUnavailable means that no quorum decided in time and the claim may or may
	// not exist; nothing was dispatched.
	ClaimUnavailable
)

// Echo holds the query parameters that a back end repeats in its reply.
type Echo struct {
	Request       string
	Shard         uint32
	Generation    uint32
	Version       uint64
	RequestDigest string
}

// PartArrived is a complete reply whose body matched its digest.
type PartArrived struct {
	Attempt AttemptID
	Echo    Echo
	Part    backendapi.Part
	Report  Report
}

// AttemptFailed ends an attempt without a part. Verdict says whether the
// attempt may have run.
type AttemptFailed struct {
	Attempt AttemptID
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// RetryAfter is the back end's hint; 0 for none.
	RetryAfter time.Duration
	Report     Report
}

// Report holds what a reply's headers state about the back end that sent it.
type Report struct {
	// Known is false when there was no reply.
	Known    bool
	Draining bool
	Load     backendapi.Load
	// Holdings is the back end's marker for what it can serve; empty if it has none.
	Holdings string
}

// replacesProbe reports whether the reply carries all the information of a probe.
func (r Report) replacesProbe() bool { return r.Known && !r.Draining && r.Holdings != "" }

// HealthObserved is the outcome of one probe of a back end.
type HealthObserved struct {
	Address netip.AddrPort
	// Reachable is false when the probe failed; Health is then empty.
	Reachable bool
	// TimedOut is set in addition when no reply arrived in time. The network may be the
	// cause, so it tells nothing about the back end.
	TimedOut bool
	Health   backendapi.Health
}

// MachineObserved is a report about a back end from the platform list, an operator or
// another router. It can take a machine out of use, but can not bring back one that
// this router itself observed as unavailable.
type MachineObserved struct {
	Address netip.AddrPort
	State   MachineState
}

// MachineState is the reported state of a machine.
type MachineState uint8

// Machine states.
const (
	MachineLive MachineState = iota + 1
	MachineDraining
	MachineRemoved
)

// TimerFired reports that the last requested time has come. Spurious ones are
// harmless.
type TimerFired struct{}

func (ConfigInstalled) isEvent()    {}
func (LeaseRenewed) isEvent()       {}
func (StopRequested) isEvent()      {}
func (ShareChanged) isEvent()       {}
func (RequestArrived) isEvent()     {}
func (CallerDisconnected) isEvent() {}
func (ClaimDecided) isEvent()       {}
func (PartArrived) isEvent()        {}
func (AttemptFailed) isEvent()      {}
func (HealthObserved) isEvent()     {}
func (MachineObserved) isEvent()    {}
func (TimerFired) isEvent()         {}
