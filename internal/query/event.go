package query

import (
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

// RequestID numbers a request within one engine. The caller's own id is
// Request.CallerID.
type RequestID uint64

// AttemptID numbers an attempt within one engine. It is never used again, so
// a late reply can not be taken for that of another attempt.
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

// ConfigInstalled replaces the plan. Requests under way finish under the plan
// that they were admitted with.
type ConfigInstalled struct {
	Revision uint64
	Plan     *plan.Plan
}

// LeaseRenewed extends the configuration lease; requests arriving later than
// Until are refused. Until never moves back except by LeaseRenewed with a zero
// time, which ends the lease.
type LeaseRenewed struct{ Until time.Time }

// StopRequested makes the engine refuse new requests with reason stopping and
// finish those under way. Command Stopped follows when none is left.
type StopRequested struct{}

// ShareChanged sets this router's share of one back end's connections and
// slots. Without one, the router takes the whole of both.
type ShareChanged struct {
	Address     netip.AddrPort
	Slots       int
	Connections int
}

// RequestArrived submits a request for admission.
type RequestArrived struct{ Request Request }

// CallerGone says that the caller of a request no longer waits.
type CallerGone struct{ Request RequestID }

// ClaimDecided is the reply to command Claim.
type ClaimDecided struct {
	Request  RequestID
	Decision ClaimDecision
}

// ClaimDecision is what the claim registry said.
type ClaimDecision uint8

// Claim decisions.
const (
	ClaimGranted ClaimDecision = iota + 1
	ClaimHeldMayHaveRun
	ClaimHeldRan
	ClaimExpired
	ClaimDigestMismatch
	// ClaimUnavailable means that no quorum decided in time and the claim may
	// or may not exist; nothing was dispatched.
	ClaimUnavailable
)

// Echo is what a back end's reply says about the query it answers.
type Echo struct {
	Request       string
	Shard         uint32
	Generation    uint32
	Version       uint64
	RequestDigest string
}

// PartArrived is a whole reply whose body matched its digest.
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
	// RetryAfter is the back end's own hint; 0 for none.
	RetryAfter time.Duration
	Report     Report
}

// Report is what a reply's headers say about its sender.
type Report struct {
	// Known is false when there was no reply.
	Known    bool
	Draining bool
	Load     backendapi.Load
	// Holdings is the sender's mark for what it can serve, if it has one.
	Holdings string
}

// observes reports whether the reply says all that a probe says.
func (r Report) observes() bool { return r.Known && !r.Draining && r.Holdings != "" }

// HealthObserved is the outcome of one probe of a back end.
type HealthObserved struct {
	Address netip.AddrPort
	// Reachable is false when the probe failed; Health is then empty.
	Reachable bool
	// Silent is set in addition when nothing was heard in time, which may be the
	// network's doing: it is no news of the back end.
	Silent bool
	Health backendapi.Health
}

// MachineObserved is a word about a back end from the platform list, an
// operator or another router. It can take a machine out of use; it can not
// bring one back that this router's own observation holds for gone.
type MachineObserved struct {
	Address netip.AddrPort
	State   MachineState
}

// MachineState is the state of a machine by somebody's word.
type MachineState uint8

// Machine states.
const (
	MachineLive MachineState = iota + 1
	MachineLeaving
	MachineGone
)

// TimerFired says that the time of the last command Wake has come. Spurious
// ones do no harm.
type TimerFired struct{}

func (ConfigInstalled) isEvent() {}
func (LeaseRenewed) isEvent()    {}
func (StopRequested) isEvent()   {}
func (ShareChanged) isEvent()    {}
func (RequestArrived) isEvent()  {}
func (CallerGone) isEvent()      {}
func (ClaimDecided) isEvent()    {}
func (PartArrived) isEvent()     {}
func (AttemptFailed) isEvent()   {}
func (HealthObserved) isEvent()  {}
func (MachineObserved) isEvent() {}
func (TimerFired) isEvent()      {}
