package query

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Command is an output of Engine.Step. The shell carries commands out in
// order.
type Command interface{ isCommand() }

// Send sends one attempt. The shell answers with exactly one PartArrived or
// AttemptFailed for it, also after Cancel.
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
	// Hedge marks an extra attempt sent while another was out.
	Hedge bool
	// Retry marks an extra attempt sent after another failed.
	Retry bool
	Body  []byte
}

// Cancel ends an attempt whose answer is no longer wanted.
type Cancel struct {
	Attempt AttemptID
	Address netip.AddrPort
}

// Claim asks the claim registry for the right to dispatch a request that runs
// at most once. ClaimDecided answers it. Nothing is sent before.
type Claim struct {
	Request  RequestID
	CallerID string
	Route    string
	Digest   string
	Expiry   time.Duration
	// Timeout is how long the engine waits for the decision.
	Timeout time.Duration
}

// SettleClaim records the outcome of a claimed request: verdict.Ran,
// verdict.NotRun (releases the claim) or verdict.MayHaveRun (no record needed;
// the claim stays as it is).
type SettleClaim struct {
	// Request is the one whose Claim was granted.
	Request  RequestID
	CallerID string
	Outcome  verdict.Verdict
}

// Respond gives a request its one answer. No other command for the request
// follows, except Cancel and SettleClaim.
type Respond struct {
	Request RequestID
	Answer  Answer
}

// Wake asks for TimerFired at a time. Each Wake replaces the one before.
type Wake struct{ At time.Time }

// Warm asks the shell to hold a number of open connections to a back end
// ready.
type Warm struct {
	Address     netip.AddrPort
	Connections int
}

// Observed tells other nodes about a back end that this engine saw leave, or
// return after it did.
type Observed struct {
	Address netip.AddrPort
	State   MachineState
}

// Record appends an event to the journal; the shell sets ID and Source.
type Record struct{ Event journal.Event }

// Stopped says that no request is left after StopRequested.
type Stopped struct{}

func (Send) isCommand()        {}
func (Cancel) isCommand()      {}
func (Claim) isCommand()       {}
func (SettleClaim) isCommand() {}
func (Respond) isCommand()     {}
func (Wake) isCommand()        {}
func (Warm) isCommand()        {}
func (Observed) isCommand()    {}
func (Record) isCommand()      {}
func (Stopped) isCommand()     {}

// Snapshot names the one state of the index that an answer is drawn from.
type Snapshot struct {
	Service    string
	Generation uint32
	Version    uint64
}

// Answer is the one reply to a request. Err is nil for an answer with parts;
// such an answer may still be partial, late or superseded, and says so.
type Answer struct {
	// Err is the refusal or failure; nil when there are parts to show.
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
	// Superseded is true when a newer version was already pinnable when the
	// answer was decided.
	Superseded bool
	Items      []json.RawMessage
	Attempts   AttemptCounts
	// Elapsed is the time from arrival to decision.
	Elapsed time.Duration
	// ConfigRevision is the configuration that the request was admitted under.
	ConfigRevision uint64
	// Restarts counts whole restarts on another snapshot.
	Restarts int
}

// ShardCoverage is a shard whose part is in the answer.
type ShardCoverage struct {
	Shard uint32
	Name  string
	// Items is how many of the part's items came in, before the merge.
	Items   int
	Elapsed time.Duration
}

// MissingShard is a target shard whose part is not in the answer.
type MissingShard struct {
	Shard  uint32
	Name   string
	Reason verdict.Reason
}

// AttemptCounts is the load that the request put on back ends.
type AttemptCounts struct {
	First   int
	Hedges  int
	Retries int
}
