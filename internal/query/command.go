package query

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Command is an output of Engine.Step. The shell executes commands in order.
type Command interface{ isCommand() }

// Send sends one attempt. The shell reports exactly one PartArrived or AttemptFailed
// for it, also after Cancel.
type Send struct {
	Attempt    AttemptID
	Request    RequestID
	CallerID   string
	Address    netip.AddrPort
	Service    string
	Shard      uint32
	Generation uint32
	Version    uint64
	// Timeout is the time left for the attempt.
	Timeout time.Duration
	// Once forbids any resend by the transport.
	Once bool
	// Hedge marks an extra attempt sent while another was in flight.
	Hedge bool
	// Retry marks an extra attempt sent after another failed.
	Retry bool
	Body  []byte
}

// Cancel ends an attempt whose reply is no longer wanted.
type Cancel struct {
	Attempt AttemptID
	Address netip.AddrPort
}

// Claim requests the right to dispatch a request that runs at most once from the
// claim registry. ClaimDecided is the reply, and nothing is sent before it.
type Claim struct {
	Request  RequestID
	CallerID string
	Route    string
	Digest   string
	Expiry   time.Duration
	// Timeout is how long the engine waits for the decision.
	Timeout time.Duration
}

// SettleClaim records the outcome of a claimed request: verdict.Ran, verdict.NotRun
// (releases the claim) or verdict.MayHaveRun (nothing to record; the claim is kept).
type SettleClaim struct {
	// Request is the request whose Claim was granted.
	Request  RequestID
	CallerID string
	Outcome  verdict.Verdict
}

// Respond sends the only answer of a request. Only Cancel and SettleClaim may follow
// for the request.
type Respond struct {
	Request RequestID
	Answer  Answer
}

// SetTimer requests TimerFired at a time. Each SetTimer replaces the previous one.
type SetTimer struct{ At time.Time }

// Warm tells the shell how many open connections to a back end to maintain.
type Warm struct {
	Address     netip.AddrPort
	Connections int
}

// PublishMachineState informs other nodes that this engine observed a back end start draining,
// or return to service afterwards.
type PublishMachineState struct {
	Address netip.AddrPort
	State   MachineState
}

// Record appends an event to the journal; the shell sets ID and Source.
type Record struct{ Event journal.Event }

// Stopped reports that no request is left after StopRequested.
type Stopped struct{}

func (Send) isCommand()                {}
func (Cancel) isCommand()              {}
func (Claim) isCommand()               {}
func (SettleClaim) isCommand()         {}
func (Respond) isCommand()             {}
func (SetTimer) isCommand()            {}
func (Warm) isCommand()                {}
func (PublishMachineState) isCommand() {}
func (Record) isCommand()              {}
func (Stopped) isCommand()             {}

// Snapshot identifies the state of the index that an answer is drawn from.
type Snapshot struct {
	Service    string
	Generation uint32
	Version    uint64
}

// Answer is the only reply to a request. Err is nil for an answer with parts; such an
// answer may still be partial, late or superseded, as its fields show.
type Answer struct {
	// Err is the refusal or failure; nil if the answer has parts.
	Err      *verdict.Error
	Verdict  verdict.Verdict
	Snapshot Snapshot
	// Covered and Missing partition the target shards of the snapshot.
	Covered []ShardCoverage
	Missing []MissingShard
	// Complete is true when no target shard is missing.
	Complete bool
	// Late is true when the answer was decided after the request's deadline.
	Late bool
	// Superseded is true when a newer version could already be pinned when the answer
	// was decided.
	Superseded bool
	Items      []json.RawMessage
	Attempts   AttemptCounts
	// Elapsed is the time from arrival to decision.
	Elapsed time.Duration
	// ConfigRevision is the configuration revision under which the request was
	// admitted.
	ConfigRevision uint64
	// Restarts counts restarts of the complete request on another snapshot.
	Restarts int
}

// ShardCoverage is a shard whose part is in the answer.
type ShardCoverage struct {
	Shard uint32
	Name  string
	// Items is the number of items in the part, before the merge.
	Items   int
	Elapsed time.Duration
}

// MissingShard is a target shard whose part is not in the answer.
type MissingShard struct {
	Shard  uint32
	Name   string
	Reason verdict.Reason
}

// AttemptCounts is the number of attempts that the request sent to back ends, by
// kind.
type AttemptCounts struct {
	First   int
	Hedges  int
	Retries int
}
