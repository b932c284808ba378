package scatter

import (
	"time"

	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// RequestID numbers a request within one engine.
type RequestID uint64

// AttemptID numbers an attempt within one engine; it is never used again.
type AttemptID uint64

// Event is an input of Engine.Step.
type Event interface{ isEvent() }

// Arrived submits a request.
type Arrived struct {
	ID RequestID
	// Route is that of the document in force at arrival; its shards are those
	// that the answer is made of.
	Route *routing.Route
	// Services are the shards, or the one service.
	Services []string
	// Deadline is when the answer is given at the latest.
	Deadline time.Time
	// Due is by when a reply is of full use; zero for at any time.
	Due time.Time
	// Earlier is how many other routers may have asked servers before: each of them is
	// taken to have sent one attempt, and every further one has to be paid for.
	Earlier int
	// Claims says that whoever asked counts the attempts: each one beyond the first of a
	// shard is sent only once it was granted.
	Claims bool
}

// Granted answers a Claim: attempts beyond the first may be sent for some shards of a
// request, or may not.
type Granted struct {
	Request RequestID
	// Shards are positions in Arrived.Services.
	Shards  []int
	Refused bool
}

// Ended is the end of an attempt; there is exactly one for each Send.
type Ended struct {
	Attempt AttemptID
	Outcome Outcome
}

// Abandoned says that nobody waits for a request any more: it was answered with
// what was there, or its client left.
type Abandoned struct{ Request RequestID }

// Withdrawn says that a request is quarantined: nothing more is sent for it, what is out is
// aborted, and it ends at once.
type Withdrawn struct{ Request RequestID }

// ServersChanged tells of servers that are new or have changed.
type ServersChanged struct{ Servers []Server }

// ServersGone tells of servers that get no new work and are forgotten.
type ServersGone struct{ IDs []string }

// DocumentChanged tells of the services of a new document.
type DocumentChanged struct{ Services []routing.Service }

// RoutersCounted tells how many routers share the servers.
type RoutersCounted struct {
	Count int
	// Rank is the position of this one in an order that all of them share, from 0.
	Rank int
}

// GatherersCounted tells, for the services that are shards, how many routers ask
// each in the ordinary course. Services that are not named are asked by all.
type GatherersCounted struct{ Gatherers map[string]Gatherers }

// Gatherers are the routers that ask the servers of a shard in the ordinary
// course: their requests are divided by shard (package slicing).
type Gatherers struct {
	Count int
	// Self says that this router is one of them; Rank is its position among them then,
	// from 0.
	Self bool
	Rank int
}

// ZonesEvacuated tells which servers get nothing because an operator has their zone
// evacuated.
type ZonesEvacuated struct{ View evacuation.View }

// TimerFired says that the time of the last Wake has come.
type TimerFired struct{}

func (Arrived) isEvent()          {}
func (Granted) isEvent()          {}
func (Ended) isEvent()            {}
func (Abandoned) isEvent()        {}
func (Withdrawn) isEvent()        {}
func (ServersChanged) isEvent()   {}
func (ServersGone) isEvent()      {}
func (DocumentChanged) isEvent()  {}
func (RoutersCounted) isEvent()   {}
func (GatherersCounted) isEvent() {}
func (ZonesEvacuated) isEvent()   {}
func (TimerFired) isEvent()       {}

// Server is one start of a server.
type Server struct {
	ID string
	// Name is the server's own, which all its starts share; empty where it has none beside ID.
	Name    string
	Service string
	Address string
	Zone    string
	// Version is that of the server's software; empty where it does not say.
	Version string
	Slots   int
	// Leaving servers get no new work.
	Leaving bool
	// Missing servers are silent towards the directory; they get work only if
	// there is no other.
	Missing bool
	// Replaced servers get no work: another start of the same server is in use in their place.
	Replaced bool
	// WarmAt is when the server is no longer cold: slow, and able to bear few requests.
	WarmAt time.Time
}

// Failure says in which way an attempt failed.
type Failure uint8

// Failures.
const (
	// NoFailure is a whole reply of the server, whatever its status.
	NoFailure Failure = iota
	// NotConnected: no connection came up; nothing was sent.
	NotConnected
	// Refused: the server says that it did not run the request.
	Refused
	// OtherInstance: another server answers at the address.
	OtherInstance
	// Unaccepted: a new connection was reset before anything was answered, as
	// servers do beyond their limit of connections.
	Unaccepted
	// Broken: the connection or the answer broke off, or was no answer.
	Broken
	// TimedOut: the attempt's time was over.
	TimedOut
	// Aborted: the engine ended it.
	Aborted
	// NotSent: the router stood still between the choice of the server and the sending, so that
	// what the choice went by is too old; nothing was sent.
	NotSent
)

// String returns the failure in lower case, for logs.
func (f Failure) String() string {
	return [...]string{"none", "not_connected", "refused", "other_instance", "unaccepted", "broken", "timed_out", "aborted", "not_sent"}[f]
}

// Outcome is what became of an attempt.
type Outcome struct {
	Failure Failure
	Verdict verdict.Verdict
	// Reply is set when the server answered as a whole.
	Reply *message.Reply
	Load  message.Load
	// ColdFor is for how much longer the server says that it is cold; 0 for nothing said.
	ColdFor time.Duration
}

// Command is an output of Engine.Step; the shell carries them out in order.
type Command interface{ isCommand() }

// Send sends one attempt.
type Send struct {
	Attempt AttemptID
	Request RequestID
	Server  Server
	// Deadline is until when the server may work.
	Deadline time.Time
	// Extra says that it is not the first attempt of its call.
	Extra bool
}

// Claim asks for attempts beyond the first of a shard. One Granted follows.
type Claim struct {
	Request RequestID
	// Shard is the position in Arrived.Services.
	Shard int
}

// Abort ends an attempt whose answer is not wanted any more. Its Ended follows.
type Abort struct{ Attempt AttemptID }

// Part gives a part of a request that gathers. Respond follows once no more can
// come.
type Part struct {
	Request RequestID
	// Shard is the position in Arrived.Services.
	Shard int
	Reply *message.Reply
}

// Respond ends a request: with the answer of its service, or, of a request that
// gathers, with what is known of the shards without a part.
type Respond struct {
	Request RequestID
	Result  Result
}

// Dropped tells how far a request had come that was abandoned.
type Dropped struct {
	Request RequestID
	Result  Result
}

// Overdue tells what a request lacks when its parts are due.
type Overdue struct {
	Request RequestID
	Result  Result
}

// Wake asks for TimerFired at a time; each replaces the one before.
type Wake struct{ At time.Time }

// Noted tells of a changed belief about a server, for the log.
type Noted struct {
	Server Server
	Belief string
	Detail string
}

func (Send) isCommand()    {}
func (Claim) isCommand()   {}
func (Abort) isCommand()   {}
func (Part) isCommand()    {}
func (Respond) isCommand() {}
func (Dropped) isCommand() {}
func (Overdue) isCommand() {}
func (Wake) isCommand()    {}
func (Noted) isCommand()   {}

// Result is how a request ended.
type Result struct {
	// Reply is that of the service; nil for a failure of the router's own and for
	// requests that gather.
	Reply *message.Reply
	// Missing are the positions of shards without a part.
	Missing []int
	// Verdict and Reason are set when there is no reply.
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// RetryAfter is when a request that has not run may come back.
	RetryAfter time.Duration
	// Attempts and Extras count what was sent, and how much of it beyond the
	// first of each call.
	Attempts int
	Extras   int
	// Denied counts the extra attempts that the budget did not pay for.
	Denied int
	// Lacked counts the calls without a part; Lacking tells of the first few.
	Lacked  int
	Lacking []Lack
}

// StepKind says what a step of a call was.
type StepKind uint8

// Step kinds.
const (
	StepSent StepKind = iota
	StepHedged
	StepRetried
	StepEnded
	// StepWaits: no server had room, or none was known.
	StepWaits
	// StepDenied: the budget did not pay for another attempt.
	StepDenied
	// StepClaims: another attempt is asked for.
	StepClaims
	// StepHeld: attempts of the request broke off, and no server has answered it.
	StepHeld
)

// String returns the kind in lower case, for logs.
func (k StepKind) String() string {
	return [...]string{"sent", "hedged", "retried", "ended", "waits", "denied", "claims", "held"}[k]
}

// Step is one thing that was done for a call.
type Step struct {
	Kind StepKind
	// After is the time since the arrival of the request.
	After  time.Duration
	Server string
	// Failure is that of StepEnded.
	Failure Failure
}
